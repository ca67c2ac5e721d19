//! The tasks of an agent.

use super::state::Agent;
use super::{Error, launch, lease, orders, parts, reconcile, requests};
use crate::link::{self, Event, HEARTBEAT, LinkId};
use crate::settings;
use godwitstep_core::clock::Clock;
use godwitstep_core::hold::Command;
use godwitstep_core::key::Limits;
use godwitstep_wire::Frame;
use godwitstep_wire::auth::Key;
use smol::channel::Receiver;
use smol::{LocalExecutor, Timer};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Events of links that wait to be handled. Handling never waits, so few are needed.
const MAX_EVENTS: usize = 64;
/// Time between two looks at the clock. Far below the gap that counts as a pause.
const TICK: Duration = Duration::from_millis(250);
/// Time between two reports of an ended part whose end is not known yet.
const REPORT: Duration = Duration::from_secs(1);
/// Time between two health checks of the target.
const HEALTH_CHECK: Duration = Duration::from_millis(250);
/// Time between two looks at the work that a planned stop waits for.
const DRAIN_CHECK: Duration = Duration::from_millis(20);
/// Longest time for the last frames to leave.
const CLOSE_LIMIT: Duration = Duration::from_millis(500);

/// Runs an agent until `stop` delivers or is closed, then stops it gracefully: it announces that
/// it leaves, refuses new work, and finishes what it has, up to the limit of the settings.
///
/// # Errors
///
/// Returns an error if the link key is too short.
pub async fn run(
    settings: settings::Agent,
    clock: Arc<dyn Clock>,
    stop: Receiver<()>,
) -> Result<(), Error> {
    let key = Key::new(String::from_utf8_lossy(settings.link_key.expose()).into_owned())?;
    let (agent, jobs) = Agent::new(settings, clock);
    let agent = Rc::new(agent);
    let executor = LocalExecutor::new();
    let (events, inbox) = smol::channel::bounded(MAX_EVENTS);
    let links: Vec<_> = agent
        .settings
        .entries
        .iter()
        .map(|&entry| {
            let dial = link::dial(entry, agent.identity.clone(), key.clone(), events.clone());
            executor.spawn(dial)
        })
        .collect();
    executor.spawn(tick(Rc::clone(&agent))).detach();
    executor.spawn(watch(Rc::clone(&agent))).detach();
    executor.spawn(lease::keep(Rc::clone(&agent))).detach();
    executor
        .spawn(reconcile::follow(Rc::clone(&agent)))
        .detach();
    let serve = async {
        while let Ok(event) = inbox.recv().await {
            handle(&agent, &executor, event);
        }
    };
    let work = async {
        let Some(jobs) = jobs else {
            return std::future::pending().await;
        };
        while let Ok(job) = jobs.recv().await {
            let perform = launch::perform(Rc::clone(&agent), job);
            executor.spawn(perform).detach();
        }
    };
    let end = async {
        // A closed channel means the same as a message.
        let _ = stop.recv().await;
        drain(&agent).await;
    };
    executor
        .run(smol::future::or(end, smol::future::or(serve, work)))
        .await;
    agent.links.borrow_mut().close_all();
    inbox.close();
    let close = async {
        for link in links {
            link.await;
        }
    };
    let late = async {
        Timer::after(CLOSE_LIMIT).await;
    };
    executor.run(smol::future::or(close, late)).await;
    Ok(())
}

fn handle(agent: &Rc<Agent>, executor: &LocalExecutor<'static>, event: Event) {
    agent.touch();
    match event {
        Event::Up(link) => agent.greet(link),
        Event::Down { id, .. } => agent.links.borrow_mut().remove(id),
        Event::Frame(id, frame) => receive(agent, executor, id, frame),
    }
}

fn receive(agent: &Rc<Agent>, executor: &LocalExecutor<'static>, id: LinkId, frame: Frame) {
    if agent.links.borrow().get(id).is_none() {
        // The link was dropped, and what is left of it is out of date.
        return;
    }
    match frame {
        Frame::Heartbeat(heartbeat) => {
            if let Some(told) = heartbeat.rules {
                let before = agent.rules.borrow().epoch();
                let word = agent.rules.borrow_mut().hear(told, agent.now());
                if let Some(entry) = agent.links.borrow_mut().get_mut(id) {
                    entry.word = Some(word);
                }
                parts::hear(agent);
                if agent.worker.is_some() && agent.rules.borrow().epoch() > before {
                    // The new decider needs to know what is here now.
                    agent.announce();
                }
            }
        }
        Frame::Request(request) => requests::take(agent, executor, id, request),
        Frame::Fence { id: request, key } => requests::fence(agent, request, &key),
        Frame::Cancel { id: request } => agent.requests.borrow_mut().cancel(request),
        Frame::Reserve(part) => {
            let (tasks, accelerators) = (part.tasks, part.accelerators);
            let command = Command::Reserve {
                tasks,
                accelerators,
            };
            orders::carry(agent, id, part, command);
        }
        Frame::Commit(part) => {
            let command = Command::Commit {
                tasks: part.tasks,
                accelerators: part.accelerators,
            };
            orders::carry(agent, id, part, command);
        }
        Frame::Settle(part) => orders::carry(agent, id, part, Command::Settle),
        Frame::Release(part) => orders::carry(agent, id, part, Command::Release),
        Frame::Stop { part, checkpoint } => {
            orders::carry(agent, id, part, Command::Stop { checkpoint });
        }
        Frame::EndKnown(part) => parts::acknowledge(agent, part),
        other => tracing::debug!(link = %id, frame = ?other, "frame is not for an agent"),
    }
}

/// Sends heartbeats and lets time pass.
async fn tick(agent: Rc<Agent>) {
    let mut due = agent.now();
    let mut report = due;
    loop {
        Timer::after(TICK).await;
        agent.touch();
        let now = agent.now();
        agent.requests.borrow_mut().expire(now);
        parts::tick(&agent);
        if now >= report {
            parts::report(&agent);
            report = now + REPORT;
        }
        if now >= due {
            agent.beat();
            due = (due + HEARTBEAT).max(now);
        }
    }
}

/// Watches the target's health and announces its changes.
///
/// The target is announced once this life of the agent is older than a request can be on its way.
/// The key table refuses every non-idempotent request that was accepted earlier, however often it
/// is sent again, so a request sent to a younger agent would come back until its deadline.
async fn watch(agent: Rc<Agent>) {
    let Some(target) = &agent.target else { return };
    Timer::after(Limits::default().transit).await;
    loop {
        if let Some(health) = target.health().await {
            let before = agent.health.replace(health);
            if before != health {
                tracing::info!(target = %agent.settings.name, ?before, ?health, "target changed");
                agent.announce();
            }
        }
        Timer::after(HEALTH_CHECK).await;
    }
}

/// Finishes what runs, up to the limit, and logs what is cut off.
async fn drain(agent: &Agent) {
    tracing::info!("the agent stops");
    agent.stopping.set(true);
    agent.announce();
    let end = agent.now() + agent.settings.stop_limit;
    let has_work = || {
        let worker = agent.worker.as_ref();
        agent.requests.borrow().busy() > 0
            || worker.is_some_and(|beside| beside.parts.borrow().busy() > 0)
    };
    while has_work() && agent.now() < end {
        Timer::after(DRAIN_CHECK).await;
    }
    for request in agent.requests.borrow().running() {
        tracing::warn!(?request, "request is cut off by the stop");
    }
    if let Some(beside) = &agent.worker {
        for (job, attempt) in beside.parts.borrow().driven.keys() {
            tracing::warn!(%job, attempt, "part is left to the worker, whose lease will lapse");
        }
    }
}
