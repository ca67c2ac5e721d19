//! Compares the worker's task list with the parts that should be there.

use super::launch::stop;
use super::parts::{Beside, Id, apply};
use super::state::Agent;
use super::task::Task;
use super::worker::{Failure, List, State};
use godwitstep_core::hold::Event;
use godwitstep_core::planner::End;
use smol::Timer;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Time that a task list is asked to wait for a change.
const WAIT: Duration = Duration::from_secs(1);
/// Time between two attempts while the list can't be read.
const RETRY: Duration = Duration::from_millis(250);
/// Time after which a part that still runs is told to stop again.
const STOP_AGAIN: Duration = Duration::from_secs(1);
/// Ended parts of an earlier life of the agent that are reported. They end work for which the
/// decider may still wait; a worker lists far more, most of them long known.
const MAX_FOUND_ENDED: usize = 32;

/// States of a part's tasks by their number.
type States = BTreeMap<u32, State>;

/// A part as the worker lists it.
struct Found {
    tasks: u32,
    accelerators: u32,
    states: States,
}

/// Follows the worker's task list for as long as the agent runs.
pub(super) async fn follow(agent: Rc<Agent>) {
    let Some(beside) = &agent.worker else { return };
    let mut since = None;
    loop {
        let number = {
            let mut parts = beside.parts.borrow_mut();
            parts.lists += 1;
            parts.lists
        };
        match beside.client.list(since, WAIT).await {
            Ok(list) => {
                // A worker that does not wait must not be asked in a busy loop.
                let unchanged = since == Some(list.sequence);
                since = Some(list.sequence);
                compare(&agent, beside, number, list).await;
                if unchanged {
                    Timer::after(RETRY).await;
                }
            }
            Err(error) => {
                tracing::debug!(%error, "task list can't be read");
                if is_refused(&error) {
                    // Nothing runs there under the lease that is known.
                    beside.parts.borrow_mut().lease = None;
                }
                review(&agent, beside);
                since = None;
                Timer::after(RETRY).await;
            }
        }
    }
}

fn is_refused(error: &Failure) -> bool {
    match error {
        Failure::Exchange(error) => error.step == crate::http::Step::Connect,
        _ => false,
    }
}

/// Announces the worker when its lease is held and its tasks are known, and its loss when not.
pub(super) fn review(agent: &Agent, beside: &Beside) {
    let changed = {
        let mut parts = beside.parts.borrow_mut();
        let now = agent.now();
        let leased = matches!(&parts.lease, Some((_, until)) if now < *until);
        let up = leased && parts.adopted;
        up != std::mem::replace(&mut parts.up, up)
    };
    if changed {
        let up = beside.parts.borrow().up;
        tracing::info!(worker = %agent.settings.name, up, "worker changed");
        agent.announce();
    }
}

async fn compare(agent: &Agent, beside: &Beside, number: u64, list: List) {
    let (found, strange) = sort(list);
    let adopted = std::mem::replace(&mut beside.parts.borrow_mut().adopted, true);
    if !adopted {
        adopt(agent, beside, &found);
    }
    review(agent, beside);
    let mut stops = Vec::new();
    for (id, verdict) in judge(agent, beside, number, &found) {
        match verdict {
            Verdict::Over(end) => {
                let (job, attempt) = id;
                apply(agent, Event::Ended { job, attempt, end });
            }
            Verdict::Stop => stops.push(id),
        }
    }
    for id in stops {
        stop(agent, beside, &id).await;
    }
    for name in strange.into_iter().chain(orphans(beside, &found)) {
        tracing::warn!(task = name, "task of unknown origin is stopped");
        if let Err(error) = beside.client.stop(&name, false).await {
            tracing::debug!(task = name, %error, "task was not stopped");
        }
    }
}

/// Groups listed tasks by part, and returns the running ones whose names are not of this system.
fn sort(list: List) -> (BTreeMap<Id, Found>, Vec<String>) {
    let mut found = BTreeMap::new();
    let mut strange = Vec::new();
    for listed in list.tasks {
        match Task::parse(&listed.task) {
            Some(task) => {
                let part = found.entry((task.job, task.attempt)).or_insert(Found {
                    tasks: task.tasks,
                    accelerators: task.accelerators,
                    states: States::new(),
                });
                part.states.insert(task.index, listed.state);
            }
            None if listed.state == State::Running => strange.push(listed.task),
            None => {}
        }
    }
    (found, strange)
}

/// Takes over what an earlier life of the agent left on the worker. A part that has ended
/// meanwhile is reported with its end, for the newest run of its job.
fn adopt(agent: &Agent, beside: &Beside, found: &BTreeMap<Id, Found>) {
    let mut ended = 0;
    for (id, part) in found {
        let runs = part.states.values().any(|state| *state == State::Running);
        let is_newest = !found.keys().any(|other| other.0 == id.0 && other.1 > id.1);
        if !runs {
            if !is_newest || ended == MAX_FOUND_ENDED {
                continue;
            }
            ended += 1;
        }
        tracing::info!(job = %id.0, attempt = id.1, runs, "part of an earlier life is taken over");
        let (tasks, accelerators) = (part.tasks, part.accelerators);
        let running = beside.parts.borrow_mut().adopt(id, tasks, accelerators);
        apply(agent, Event::Found { running });
    }
}

enum Verdict {
    Over(End),
    Stop,
}

/// Returns the parts that are over, and those that are to be told to stop.
fn judge(
    agent: &Agent,
    beside: &Beside,
    number: u64,
    found: &BTreeMap<Id, Found>,
) -> Vec<(Id, Verdict)> {
    let now = agent.now();
    let mut parts = beside.parts.borrow_mut();
    let mut verdicts = Vec::new();
    for (id, driven) in &mut parts.driven {
        if driven.launching || driven.since > number {
            continue;
        }
        let listed = found.get(id);
        let state = |index| {
            // A task that is not listed has ended with an earlier life of the worker.
            let state = listed.and_then(|part| part.states.get(&index));
            state.copied().unwrap_or(State::Stopped)
        };
        let states: Vec<State> = (0..driven.tasks).map(state).collect();
        if !states.contains(&State::Running) {
            verdicts.push((id.clone(), Verdict::Over(end(&states))));
            continue;
        }
        if states.contains(&State::Failed) || states.contains(&State::Stopped) {
            // A part runs with all its tasks or not at all.
            driven.stop.get_or_insert(false);
        }
        let told = driven.told.is_some_and(|told| now < told + STOP_AGAIN);
        if driven.stop.is_some() && !told {
            verdicts.push((id.clone(), Verdict::Stop));
        }
    }
    verdicts
}

/// Returns how a part ended whose tasks have ended like this.
fn end(states: &[State]) -> End {
    if states.contains(&State::Failed) {
        End::Failed
    } else if states.contains(&State::Stopped) {
        End::Stopped
    } else if states.contains(&State::Checkpointed) {
        End::Checkpointed
    } else {
        End::Done
    }
}

/// Returns running tasks of parts that this agent does not know, such as those of a call whose
/// effect came after its part was given up.
fn orphans(beside: &Beside, found: &BTreeMap<Id, Found>) -> Vec<String> {
    let parts = beside.parts.borrow();
    let unknown = found
        .iter()
        .filter(|(id, _)| !parts.driven.contains_key(id));
    let running = unknown.flat_map(|(id, part)| {
        let running = part
            .states
            .iter()
            .filter(|(_, state)| **state == State::Running);
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
