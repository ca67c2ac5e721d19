//! Passes events to the planner and executes its actions.

use super::{claim, record};
use crate::entry::State;
use godwitstep_core::id::{Attempt, Epoch, JobId, WorkerId};
use godwitstep_core::planner::{Action, Event};
use godwitstep_wire::{Frame, Part};
use std::rc::Rc;
use std::time::Duration;

/// Passes an event to the planner, if this entry is the decider, and executes the resulting actions.
pub(crate) fn send_event(state: &Rc<State>, event: Event) {
    let now = state.now();
    {
        let mut slot = state.decider.borrow_mut();
        let Some(decider) = slot.as_mut() else { return };
        decider.planner.handle(now, event, &mut decider.actions);
    }
    perform(state);
}

/// Executes the planner's pending actions.
pub(super) fn perform(state: &Rc<State>) {
    let (actions, epoch, violation) = {
        let mut slot = state.decider.borrow_mut();
        let Some(decider) = slot.as_mut() else { return };
        let actions = std::mem::take(&mut decider.actions);
        let violation = decider
            .planner
            .violation()
            .map(|invariant| format!("{invariant:?}"));
        (actions, decider.epoch, violation)
    };
    if let Some(violation) = violation {
        // Actions of a planner with inconsistent state are not executed. Another entry takes over and rebuilds
        // the state from the registry and the agents' announcements.
        tracing::error!(violation, "planner violated an invariant");
        metrics::counter!("godwitstep_violations_total").increment(1);
        claim::step_down(state, "an invariant was violated");
        return;
    }
    for action in actions {
        execute(state, epoch, action);
    }
}

/// Executes one action of the planner that runs under `epoch`.
fn execute(state: &Rc<State>, epoch: Epoch, action: Action) {
    match action {
        Action::Record(event) => {
            let task = record::write(Rc::clone(state), epoch, event);
            state.spawn(task);
        }
        Action::Reserve {
            worker,
            job,
            attempt,
            tasks,
            accelerators,
        } => {
            // The registry has no record of the part yet, so its sizes come from the action.
            let part = Part {
                tasks,
                accelerators,
                ..part(state, epoch, &worker, job, attempt)
            };
            send(state, &worker, Frame::Reserve(part));
        }
        Action::Commit {
            worker,
            job,
            attempt,
            tasks,
            accelerators,
        } => {
            // The record may not have been applied to the registry yet.
            let part = Part {
                tasks,
                accelerators,
                ..part(state, epoch, &worker, job, attempt)
            };
            send(state, &worker, Frame::Commit(part));
        }
        Action::Settle {
            worker,
            job,
            attempt,
        } => send(
            state,
            &worker,
            Frame::Settle(part(state, epoch, &worker, job, attempt)),
        ),
        Action::Release {
            worker,
            job,
            attempt,
        } => send(
            state,
            &worker,
            Frame::Release(part(state, epoch, &worker, job, attempt)),
        ),
        Action::Stop {
            worker,
            job,
            attempt,
            checkpoint,
        } => {
            let part = part(state, epoch, &worker, job, attempt);
            send(state, &worker, Frame::Stop { part, checkpoint });
        }
        Action::Explain { job, reason } => {
            metrics::counter!("godwitstep_decisions_total", "reason" => reason.code()).increment(1);
            tracing::debug!(%job, %reason, "decision");
        }
    }
}

/// Sends a frame to a worker's agent. The planner repeats unanswered requests, so a frame that can't be sent is
/// dropped.
fn send(state: &State, worker: &WorkerId, frame: Frame) {
    if !state.links.borrow().send(worker, frame) {
        tracing::debug!(%worker, "no link to the worker's agent; frame dropped");
    }
}

/// Returns the part of a job's run on a worker, with the sizes from its record. Without a record the sizes don't
/// matter, but must be valid: agents reject a part without tasks.
fn part(state: &State, epoch: Epoch, worker: &str, job: JobId, attempt: Attempt) -> Part {
    let registry = state.registry.borrow();
    let job_state = registry.job(&job);
    let recorded = job_state
        .filter(|job| job.status.attempt == attempt)
        .and_then(|job| job.parts.iter().find(|part| &*part.worker == worker));
    Part {
        epoch,
        attempt,
        tasks: recorded.map_or(1, |part| part.tasks),
        accelerators: recorded.map_or(0, |part| part.accelerators),
        run: job_state
            .and_then(|job| job.spec.run_s)
            .map(Duration::from_secs),
        job,
    }
}
