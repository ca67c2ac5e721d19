//! Starts the tasks of an entry and shuts them down in order.

use super::error::Error;
use super::listeners::Listeners;
use super::stream::Stream;
use super::{State, follow, operating_mode, requests, serve};
use crate::http::Shutdown;
use crate::http::budget::Budget;
use crate::incarnation::incarnation;
use crate::link::{self, Event};
use crate::log::{Client, Reader, Writer};
use crate::{decider, settings, telemetry};
use godwitstep_core::authority::OperatingMode;
use godwitstep_core::clock::Clock;
use godwitstep_core::registry::{self, Registry};
use godwitstep_core::router;
use godwitstep_wire::auth::Key;
use godwitstep_wire::{Peer, Role};
use smol::channel::Receiver;
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Capacity of the queue of link events. Handlers never wait, so a short queue is enough.
const LINK_EVENT_CAPACITY: usize = 1_024;
/// Time limit of one request to the log service.
const LOG_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two clean-ups of metric samples, and between two reports of the budget.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time for the last responses, and then the last frames, to be sent while the entry stops.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs an entry until `stop` receives a message or is closed, then shuts it down gracefully: it
/// accepts no new requests and finishes those in progress, up to the stop limit of the settings.
///
/// # Errors
///
/// Returns an error that names the startup step and the address if a listener cannot be bound.
pub async fn run(
    settings: settings::Entry,
    clock: Arc<dyn Clock>,
    stop: Receiver<()>,
) -> Result<(), Error> {
    let listeners = Listeners::bind(&settings).await?;
    serve_at(settings, listeners, clock, stop).await
}

/// Runs an entry like [`run`], with listeners that are already bound.
///
/// # Errors
///
/// Returns an error if the link key is too short or the metrics recorder cannot be installed.
pub async fn serve_at(
    settings: settings::Entry,
    listeners: Listeners,
    clock: Arc<dyn Clock>,
    stop: Receiver<()>,
) -> Result<(), Error> {
    let Listeners {
        callers,
        operators,
        links,
    } = listeners;
    let key = Key::new(String::from_utf8_lossy(settings.link_key.expose()).into_owned())?;
    let metrics = telemetry::metrics()?;
    let executor = Rc::new(LocalExecutor::new());
    let (shutdown, signal) = Shutdown::new();
    let identity = identity(&settings, &*clock);
    let (streams, readers) = open_streams(&settings, &identity, &executor);
    let state = Rc::new(State {
        registry: RefCell::new(Registry::new(settings.region.clone())),
        identity: identity.clone(),
        operating_mode_since: Cell::new(clock.now()),
        clock,
        streams,
        links: RefCell::default(),
        operating_mode: Cell::new(OperatingMode::Halted),
        decider: RefCell::default(),
        front: OnceCell::new(),
        executor: Rc::downgrade(&executor),
        metrics,
        budget: Budget::new(settings.resources()),
        signal: signal.clone(),
        stopping: Cell::new(false),
        settings,
    });
    requests::connect(&state);
    tracing::info!(name = %identity.name, region = %identity.region, "entry starting");

    let (events, inbox) = smol::channel::bounded(LINK_EVENT_CAPACITY);
    for (stream, reader) in [registry::Stream::Config, registry::Stream::Jobs]
        .into_iter()
        .zip(readers)
    {
        state.spawn(follow::follow(Rc::clone(&state), stream, reader));
    }
    let accept = link::listen(links, identity.clone(), key.clone(), events.clone());
    state.spawn(accept);
    for peer in other_entries(&state.settings) {
        let dial = link::dial(peer, identity.clone(), key.clone(), events.clone());
        state.spawn(dial);
    }
    state.spawn(operating_mode::run(Rc::clone(&state)));
    state.spawn(decider::maintain_claim(Rc::clone(&state)));
    state.spawn(run_metrics_upkeep(Rc::clone(&state)));
    let servers = serve::servers(&state, callers, operators, &signal);
    let handle_events = async {
        while let Ok(event) = inbox.recv().await {
            handle_link_event(&state, event);
        }
    };
    let stop_entry = async {
        // A closed channel also requests the shutdown.
        let _ = stop.recv().await;
        tracing::info!("entry stopping");
        state.stopping.set(true);
        // New requests are answered as refused and not run while those in progress finish.
        // Closing the listener instead would leave callers without an answer.
        if let Some(front) = state.front() {
            front.handle(router::Event::Stop);
            front.drain(state.settings.stop_limit).await;
        }
        shutdown.start();
        smol::future::or(servers, async {
            Timer::after(CLOSE_TIMEOUT).await;
        })
        .await;
    };
    executor
        .run(smol::future::or(stop_entry, handle_events))
        .await;
    state.links.borrow().close_all();
    executor.run(Timer::after(CLOSE_TIMEOUT)).await;
    tracing::info!("entry stopped");
    Ok(())
}

fn identity(settings: &settings::Entry, clock: &dyn Clock) -> Peer {
    Peer {
        name: settings.name.clone(),
        role: Role::Entry,
        incarnation: incarnation(&settings.name, clock.wall()),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
    }
}

fn open_streams(
    settings: &settings::Entry,
    identity: &Peer,
    executor: &Rc<LocalExecutor<'static>>,
) -> ([Stream; 2], [Reader; 2]) {
    let open = |stream: registry::Stream| {
        let name = stream.name(&settings.region);
        let client = Client::new(settings.log, LOG_REQUEST_TIMEOUT);
        let writer_name = identity.name.clone();
        let (writer, task) = Writer::new(
            client.clone(),
            name.clone(),
            writer_name,
            identity.incarnation,
        );
        executor.spawn(task.run()).detach();
        let reader = Reader::new(client, name.clone(), 0);
        (Stream::new(name, writer, reader.observed_tail()), reader)
    };
    let (config, config_reader) = open(registry::Stream::Config);
    let (jobs, jobs_reader) = open(registry::Stream::Jobs);
    ([config, jobs], [config_reader, jobs_reader])
}

/// Returns the link addresses of the other entries.
fn other_entries(settings: &settings::Entry) -> Vec<SocketAddr> {
    let peers = settings.peers.iter().copied();
    peers.filter(|peer| *peer != settings.links).collect()
}

async fn run_metrics_upkeep(state: Rc<State>) {
    loop {
        Timer::after(METRICS_UPKEEP_INTERVAL).await;
        state.metrics.run_upkeep();
        state.budget.publish();
    }
}

fn handle_link_event(state: &Rc<State>, event: Event) {
    match event {
        Event::Up(link) => {
            tracing::info!(peer = %link.peer().name, "linked");
            state.links.borrow_mut().insert(link.clone());
            operating_mode::send_first_heartbeat(state, &link);
        }
        Event::Down { id, peer, reason } => {
            tracing::info!(peer = %peer.name, reason, "link lost");
            let agent = state.links.borrow_mut().remove(id);
            if let Some(agent) = agent {
                requests::handle_link_loss(state, &agent);
                decider::handle_link_loss(state, &peer.name);
            }
        }
        Event::Frame(id, frame) => serve::handle_frame(state, id, frame),
    }
}
