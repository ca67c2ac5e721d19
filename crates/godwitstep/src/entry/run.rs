//! Puts the parts of an entry together and stops them in order.

use super::error::Error;
use super::listeners::Listeners;
use super::stream::Stream;
use super::{State, follow, requests, serve, standing};
use crate::http::Shutdown;
use crate::link::{self, Event};
use crate::log::{Client, Reader, Writer};
use crate::{decider, settings, telemetry};
use godwitstep_core::authority::Standing;
use godwitstep_core::clock::Clock;
use godwitstep_core::id::Incarnation;
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
use std::time::{Duration, SystemTime};

/// Events of links that wait to be handled. Handling never waits, so few are needed.
const MAX_EVENTS: usize = 1_024;
/// Time of one exchange with the log service.
const LOG_DEADLINE: Duration = Duration::from_secs(1);
/// Time between two clean-ups of metric samples.
const UPKEEP: Duration = Duration::from_secs(5);
/// Time for the last answers and frames to leave.
const CLOSE_LIMIT: Duration = Duration::from_millis(500);

/// Runs an entry until `stop` delivers or is closed, then stops it gracefully: it takes no new
/// requests and finishes those in progress, up to the limit of the settings.
///
/// # Errors
///
/// Returns an error that names the step and the address if an address can't be used.
pub async fn run(
    settings: settings::Entry,
    clock: Arc<dyn Clock>,
    stop: Receiver<()>,
) -> Result<(), Error> {
    let listeners = Listeners::bind(&settings).await?;
    serve_at(settings, listeners, clock, stop).await
}

/// Runs an entry as [`run`] does, at sockets that listen already.
///
/// # Errors
///
/// Returns an error if the link key is too short or metrics can't be recorded.
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
    let (streams, readers) = streams(&settings, &identity, &executor);
    let state = Rc::new(State {
        registry: RefCell::new(Registry::new(settings.region.clone())),
        identity: identity.clone(),
        since: Cell::new(clock.now()),
        clock,
        streams,
        links: RefCell::default(),
        standing: Cell::new(Standing::Halted),
        decider: RefCell::default(),
        front: OnceCell::new(),
        executor: Rc::downgrade(&executor),
        metrics,
        signal: signal.clone(),
        stopping: Cell::new(false),
        settings,
    });
    requests::connect(&state);
    tracing::info!(name = %identity.name, region = %identity.region, "the entry starts");

    let (events, inbox) = smol::channel::bounded(MAX_EVENTS);
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
    state.spawn(standing::keep(Rc::clone(&state)));
    state.spawn(decider::maintain_claim(Rc::clone(&state)));
    state.spawn(upkeep(Rc::clone(&state)));
    let servers = serve::servers(&state, callers, operators, &signal);
    let handle = async {
        while let Ok(event) = inbox.recv().await {
            take(&state, event);
        }
    };
    let end = async {
        // A closed channel means the same as a message.
        let _ = stop.recv().await;
        tracing::info!("the entry stops");
        state.stopping.set(true);
        // New requests are refused as not run while those in progress end; a closed listener
        // would leave callers without an answer.
        if let Some(front) = state.front() {
            front.handle(router::Event::Stop);
            front.drain(state.settings.stop_limit).await;
        }
        shutdown.start();
        smol::future::or(servers, async {
            Timer::after(CLOSE_LIMIT).await;
        })
        .await;
    };
    executor.run(smol::future::or(end, handle)).await;
    state.links.borrow().close_all();
    executor.run(Timer::after(CLOSE_LIMIT)).await;
    tracing::info!("the entry has stopped");
    Ok(())
}

fn identity(settings: &settings::Entry, clock: &dyn Clock) -> Peer {
    Peer {
        name: settings.name.clone(),
        role: Role::Entry,
        incarnation: incarnation(clock.wall()),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
    }
}

fn incarnation(wall: SystemTime) -> Incarnation {
    let since = wall.duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}

fn streams(
    settings: &settings::Entry,
    identity: &Peer,
    executor: &Rc<LocalExecutor<'static>>,
) -> ([Stream; 2], [Reader; 2]) {
    let of = |stream: registry::Stream| {
        let name = stream.name(&settings.region);
        let client = Client::new(settings.log, LOG_DEADLINE);
        let me = identity.name.clone();
        let (writer, task) = Writer::new(client.clone(), name.clone(), me, identity.incarnation);
        executor.spawn(task.run()).detach();
        let reader = Reader::new(client, name.clone(), 0);
        (Stream::new(name, writer, reader.tip()), reader)
    };
    let (config, config_reader) = of(registry::Stream::Config);
    let (jobs, jobs_reader) = of(registry::Stream::Jobs);
    ([config, jobs], [config_reader, jobs_reader])
}

/// Returns the link addresses of the other entries.
fn other_entries(settings: &settings::Entry) -> Vec<SocketAddr> {
    let peers = settings.peers.iter().copied();
    peers.filter(|peer| *peer != settings.links).collect()
}

async fn upkeep(state: Rc<State>) {
    loop {
        Timer::after(UPKEEP).await;
        state.metrics.run_upkeep();
    }
}

fn take(state: &Rc<State>, event: Event) {
    match event {
        Event::Up(link) => {
            tracing::info!(peer = %link.peer().name, "linked");
            state.links.borrow_mut().up(link.clone());
            standing::greet(state, &link);
        }
        Event::Down { id, peer, reason } => {
            tracing::info!(peer = %peer.name, reason, "link lost");
            let agent = state.links.borrow_mut().down(id);
            if let Some(agent) = agent {
                requests::lost(state, &agent);
                decider::handle_link_loss(state, &peer.name);
            }
        }
        Event::Frame(id, frame) => serve::frame(state, id, frame),
    }
}
