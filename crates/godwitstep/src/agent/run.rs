//! Main loop and background tasks of an agent.

use super::state::Agent;
use super::{Error, commands, launch, lease, parts, reconcile, requests};
use crate::link::{self, Event, HEARTBEAT_INTERVAL, LinkId};
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

/// Capacity of the queue of link events. Small, because handling an event never blocks.
const LINK_EVENT_CAPACITY: usize = 64;
/// Time between two ticks. Far below the gap that counts as a pause.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reports of a part's end until it is acknowledged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two health checks of the target.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two checks for remaining work during a graceful stop.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for the last frames to be sent before the process ends.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs an agent until `stop` receives a message or is closed, then stops it gracefully: it
/// announces that it is leaving, refuses new work, and finishes its running work, for at most the
/// `stop_limit` of the settings.
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
    let (agent, actions) = Agent::new(settings, clock);
    let agent = Rc::new(agent);
    let executor = LocalExecutor::new();
    let (events, event_queue) = smol::channel::bounded(LINK_EVENT_CAPACITY);
    let link_tasks: Vec<_> = agent
        .settings
        .entries
        .iter()
        .map(|&entry| {
            let dial = link::dial(entry, agent.identity.clone(), key.clone(), events.clone());
            executor.spawn(dial)
        })
        .collect();
    executor.spawn(tick(Rc::clone(&agent))).detach();
    executor.spawn(monitor_target(Rc::clone(&agent))).detach();
    executor.spawn(lease::maintain(Rc::clone(&agent))).detach();
    executor
        .spawn(reconcile::poll_task_list(Rc::clone(&agent)))
        .detach();
    let handle_events = async {
        while let Ok(event) = event_queue.recv().await {
            handle_link_event(&agent, &executor, event);
        }
    };
    let execute_actions = async {
        let Some(actions) = actions else {
            return std::future::pending().await;
        };
        while let Ok(action) = actions.recv().await {
            let execution = launch::execute(Rc::clone(&agent), action);
            executor.spawn(execution).detach();
        }
    };
    let shutdown = async {
        // A closed channel means the same as a message.
        let _ = stop.recv().await;
        drain(&agent).await;
    };
    executor
        .run(smol::future::or(
            shutdown,
            smol::future::or(handle_events, execute_actions),
        ))
        .await;
    agent.links.borrow_mut().close_all();
    event_queue.close();
    let close = async {
        for link_task in link_tasks {
            link_task.await;
        }
    };
    let timeout = async {
        Timer::after(CLOSE_TIMEOUT).await;
    };
    executor.run(smol::future::or(close, timeout)).await;
    Ok(())
}

fn handle_link_event(agent: &Rc<Agent>, executor: &LocalExecutor<'static>, event: Event) {
    agent.detect_pause();
    match event {
        Event::Up(link) => agent.announce_on(link),
        Event::Down { id, .. } => agent.links.borrow_mut().remove(id),
        Event::Frame(id, frame) => handle_frame(agent, executor, id, frame),
    }
}

fn handle_frame(agent: &Rc<Agent>, executor: &LocalExecutor<'static>, id: LinkId, frame: Frame) {
    if agent.links.borrow().get(id).is_none() {
        // The link was closed, so its frames that are still queued are out of date.
        return;
    }
    match frame {
        Frame::Heartbeat(heartbeat) => {
            if let Some(rules) = heartbeat.rules {
                let known_epoch = agent.rules.borrow().epoch();
                let status = agent.rules.borrow_mut().update(rules, agent.now());
                if let Some(entry) = agent.links.borrow_mut().get_mut(id) {
                    entry.status = Some(status);
                }
                parts::apply_rules(agent);
                if agent.worker.is_some() && agent.rules.borrow().epoch() > known_epoch {
                    // The new decider needs the current inventory.
                    agent.announce();
                }
            }
        }
        Frame::Request(request) => requests::accept(agent, executor, id, request),
        Frame::Fence { id: request, key } => requests::fence(agent, request, &key),
        Frame::Cancel { id: request } => agent.requests.borrow_mut().drop_unsent(request),
        Frame::Reserve(part) => {
            let (tasks, accelerators) = (part.tasks, part.accelerators);
            let command = Command::Reserve {
                tasks,
                accelerators,
            };
            commands::execute(agent, id, part, command);
        }
        Frame::Commit(part) => {
            let command = Command::Commit {
                tasks: part.tasks,
                accelerators: part.accelerators,
            };
            commands::execute(agent, id, part, command);
        }
        Frame::Settle(part) => commands::execute(agent, id, part, Command::Settle),
        Frame::Release(part) => commands::execute(agent, id, part, Command::Release),
        Frame::Stop { part, checkpoint } => {
            commands::execute(agent, id, part, Command::Stop { checkpoint });
        }
        Frame::EndKnown(part) => parts::acknowledge_end(agent, part),
        other => tracing::debug!(link = %id, frame = ?other, "unexpected frame"),
    }
}

/// Sends heartbeats, repeats reports, and expires replies and deadlines.
async fn tick(agent: Rc<Agent>) {
    let mut heartbeat_due = agent.now();
    let mut report_due = heartbeat_due;
    loop {
        Timer::after(TICK_INTERVAL).await;
        agent.detect_pause();
        let now = agent.now();
        agent.requests.borrow_mut().expire(now);
        parts::tick(&agent);
        if now >= report_due {
            parts::report_ends(&agent);
            report_due = now + REPORT_INTERVAL;
        }
        if now >= heartbeat_due {
            agent.send_heartbeats();
            heartbeat_due = (heartbeat_due + HEARTBEAT_INTERVAL).max(now);
        }
    }
}

/// Monitors the target's health and announces its changes.
///
/// The target is announced only after this incarnation of the agent has run for the longest transit
/// time of a request. The key table refuses every non-idempotent request that was accepted before
/// the agent started, however often it is sent again, so a younger agent would refuse such a
/// request until its deadline.
async fn monitor_target(agent: Rc<Agent>) {
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
        Timer::after(HEALTH_CHECK_INTERVAL).await;
    }
}

/// Waits for running work to finish, up to the stop limit, and logs what is aborted.
async fn drain(agent: &Agent) {
    tracing::info!("agent is stopping");
    agent.stopping.set(true);
    agent.announce();
    let deadline = agent.now() + agent.settings.stop_limit;
    let has_work = || {
        let worker = agent.worker.as_ref();
        agent.requests.borrow().busy() > 0
            || worker.is_some_and(|worker| worker.parts.borrow().busy() > 0)
    };
    while has_work() && agent.now() < deadline {
        Timer::after(DRAIN_CHECK_INTERVAL).await;
    }
    for request in agent.requests.borrow().running() {
        tracing::warn!(?request, "request is aborted because the agent stops");
    }
    if let Some(worker) = &agent.worker {
        for (job, attempt) in worker.parts.borrow().active.keys() {
            tracing::warn!(%job, attempt, "part is left running until the worker's lease expires");
        }
    }
}
