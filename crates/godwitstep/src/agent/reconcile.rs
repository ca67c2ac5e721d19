//! Reconciles the worker's task list with the parts that this agent runs there.

use super::launch::stop;
use super::parts::{PartId, WorkerHandle, apply};
use super::state::Agent;
use super::task::Task;
use super::worker::{CallError, TaskList, TaskState};
use godwitstep_core::hold::Event;
use godwitstep_core::planner::End;
use smol::Timer;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Time for which a task list request waits for a change (long poll).
const LIST_WAIT: Duration = Duration::from_secs(1);
/// Time between two requests while the list is unavailable, or the worker replies without waiting.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which the stop of a part that still runs is requested again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Greatest number of ended parts of an earlier incarnation of the agent that are reported. The
/// decider may still wait for their ends. A worker lists far more ended parts, most of whose ends
/// the decider has already recorded.
const MAX_ADOPTED_ENDED: usize = 32;

/// States of a part's tasks by their index in the part.
type TaskStates = BTreeMap<u32, TaskState>;

/// A part reconstructed from the worker's task list.
struct ListedPart {
    tasks: u32,
    accelerators: u32,
    states: TaskStates,
}

/// Polls the worker's task list and reconciles it for as long as the agent runs.
pub(super) async fn poll_task_list(agent: Rc<Agent>) {
    let Some(worker) = &agent.worker else { return };
    let mut since = None;
    loop {
        let list_number = {
            let mut parts = worker.parts.borrow_mut();
            parts.lists_requested += 1;
            parts.lists_requested
        };
        match worker.client.list(since, LIST_WAIT).await {
            Ok(list) => {
                // Prevents a busy loop if the worker answers without waiting.
                let unchanged = since == Some(list.sequence);
                since = Some(list.sequence);
                reconcile(&agent, worker, list_number, list).await;
                if unchanged {
                    Timer::after(RETRY_INTERVAL).await;
                }
            }
            Err(error) => {
                tracing::debug!(%error, "can't read the worker's task list");
                if is_connection_refused(&error) {
                    // The worker is down, so nothing runs there under the current lease.
                    worker.parts.borrow_mut().lease = None;
                }
                update_availability(&agent, worker);
                since = None;
                Timer::after(RETRY_INTERVAL).await;
            }
        }
    }
}

fn is_connection_refused(error: &CallError) -> bool {
    match error {
        CallError::Exchange(error) => error.step == crate::http::Step::Connect,
        _ => false,
    }
}

/// Announces the worker while its lease is held and its tasks have been adopted, and withdraws the
/// announcement otherwise.
pub(super) fn update_availability(agent: &Agent, worker: &WorkerHandle) {
    let changed = {
        let mut parts = worker.parts.borrow_mut();
        let now = agent.now();
        let leased = matches!(&parts.lease, Some((_, until)) if now < *until);
        let up = leased && parts.adopted;
        up != std::mem::replace(&mut parts.up, up)
    };
    if changed {
        let up = worker.parts.borrow().up;
        tracing::info!(worker = %agent.settings.name, up, "worker changed");
        agent.announce();
    }
}

async fn reconcile(agent: &Agent, worker: &WorkerHandle, list_number: u64, list: TaskList) {
    let (listed_parts, foreign) = group_by_part(list);
    let adopted = std::mem::replace(&mut worker.parts.borrow_mut().adopted, true);
    if !adopted {
        adopt(agent, worker, &listed_parts);
    }
    update_availability(agent, worker);
    let mut stops = Vec::new();
    for (id, change) in due_changes(agent, worker, list_number, &listed_parts) {
        match change {
            PartChange::Ended(end) => {
                let (job, attempt) = id;
                apply(agent, Event::Ended { job, attempt, end });
            }
            PartChange::Stop => stops.push(id),
        }
    }
    for id in stops {
        stop(agent, worker, &id).await;
    }
    for name in foreign
        .into_iter()
        .chain(orphaned_tasks(worker, &listed_parts))
    {
        tracing::warn!(task = name, "stopping an unknown task");
        if let Err(error) = worker.client.stop(&name, false).await {
            tracing::debug!(task = name, %error, "can't stop the task");
        }
    }
}

/// Groups listed tasks by part. Also returns the names of running tasks that no agent started.
fn group_by_part(list: TaskList) -> (BTreeMap<PartId, ListedPart>, Vec<String>) {
    let mut listed_parts = BTreeMap::new();
    let mut foreign = Vec::new();
    for listed in list.tasks {
        match Task::parse(&listed.task) {
            Some(task) => {
                let part = listed_parts
                    .entry((task.job, task.attempt))
                    .or_insert(ListedPart {
                        tasks: task.tasks,
                        accelerators: task.accelerators,
                        states: TaskStates::new(),
                    });
                part.states.insert(task.index, listed.state);
            }
            None if listed.state == TaskState::Running => foreign.push(listed.task),
            None => {}
        }
    }
    (listed_parts, foreign)
}

/// Adopts the parts that an earlier incarnation of the agent left on the worker. A part that has
/// ended meanwhile is reported only if it belongs to the newest attempt of its job.
fn adopt(agent: &Agent, worker: &WorkerHandle, listed_parts: &BTreeMap<PartId, ListedPart>) {
    let mut ended = 0;
    for (id, part) in listed_parts {
        let runs = part
            .states
            .values()
            .any(|state| *state == TaskState::Running);
        let is_newest = !listed_parts
            .keys()
            .any(|other| other.0 == id.0 && other.1 > id.1);
        if !runs {
            if !is_newest || ended == MAX_ADOPTED_ENDED {
                continue;
            }
            ended += 1;
        }
        tracing::info!(job = %id.0, attempt = id.1, runs, "adopting part of earlier incarnation");
        let (tasks, accelerators) = (part.tasks, part.accelerators);
        let running = worker.parts.borrow_mut().adopt(id, tasks, accelerators);
        apply(agent, Event::Found { running });
    }
}

/// What a comparison with the task list requires for a part.
enum PartChange {
    /// None of its tasks runs any more.
    Ended(End),
    /// Its stop must be sent to the worker.
    Stop,
}

/// Returns the parts that have ended, and those whose stop must be requested.
fn due_changes(
    agent: &Agent,
    worker: &WorkerHandle,
    list_number: u64,
    listed_parts: &BTreeMap<PartId, ListedPart>,
) -> Vec<(PartId, PartChange)> {
    let now = agent.now();
    let mut parts = worker.parts.borrow_mut();
    let mut changes = Vec::new();
    for (id, active) in &mut parts.active {
        if active.launching || active.first_list > list_number {
            continue;
        }
        let listed = listed_parts.get(id);
        let state = |index| {
            // A task that is not listed ended with an earlier incarnation of the worker.
            let state = listed.and_then(|part| part.states.get(&index));
            state.copied().unwrap_or(TaskState::Stopped)
        };
        let states: Vec<TaskState> = (0..active.tasks).map(state).collect();
        if !states.contains(&TaskState::Running) {
            changes.push((id.clone(), PartChange::Ended(part_end(&states))));
            continue;
        }
        if states.contains(&TaskState::Failed) || states.contains(&TaskState::Stopped) {
            // A part must run with all its tasks or not at all.
            active.stop.get_or_insert(false);
        }
        let stop_pending = active
            .stop_sent
            .is_some_and(|sent| now < sent + STOP_RETRY_INTERVAL);
        if active.stop.is_some() && !stop_pending {
            changes.push((id.clone(), PartChange::Stop));
        }
    }
    changes
}

/// Returns the end of a part from the final states of its tasks.
fn part_end(states: &[TaskState]) -> End {
    if states.contains(&TaskState::Failed) {
        End::Failed
    } else if states.contains(&TaskState::Stopped) {
        End::Stopped
    } else if states.contains(&TaskState::Checkpointed) {
        End::Checkpointed
    } else {
        End::Done
    }
}

/// Returns the names of running tasks whose part is not active at this agent, such as a task that a
/// delayed call started after the launch of its part was aborted.
fn orphaned_tasks(
    worker: &WorkerHandle,
    listed_parts: &BTreeMap<PartId, ListedPart>,
) -> Vec<String> {
    let parts = worker.parts.borrow();
    let unknown = listed_parts
        .iter()
        .filter(|(id, _)| !parts.active.contains_key(id));
    let running = unknown.flat_map(|(id, part)| {
        let running = part
            .states
            .iter()
            .filter(|(_, state)| **state == TaskState::Running);
        running.map(|(index, _)| {
            let task = Task {
                job: id.0.clone(),
                attempt: id.1,
                index: *index,
                tasks: part.tasks,
                accelerators: part.accelerators,
            };
            task.to_string()
        })
    });
    running.collect()
}
