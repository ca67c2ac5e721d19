//! Hands events to the planner and carries out its actions.

use super::{claim, record};
use crate::entry::State;
use godwitstep_core::id::{Attempt, Epoch, JobId, WorkerId};
use godwitstep_core::planner::{Action, Event};
use godwitstep_wire::{Frame, Part};
use std::rc::Rc;
use std::time::Duration;

/// Hands an event to the planner, if this entry decides, and carries out what it asks for.
pub(crate) fn tell(state: &Rc<State>, event: Event) {
    let now = state.now();
    {
        let mut slot = state.decider.borrow_mut();
        let Some(decider) = slot.as_mut() else { return };
        decider.planner.handle(now, event, &mut decider.actions);
    }
    perform(state);
}

/// Carries out the actions that the planner has asked for.
pub(super) fn perform(state: &Rc<State>) {
    let (actions, epoch, violation) = {
        let mut slot = state.decider.borrow_mut();
        let Some(decider) = slot.as_mut() else { return };
        let actions = std::mem::take(&mut decider.actions);
        let violation = decider
            .planner
            .violation()
            .map(|broken| format!("{broken:?}"));
        (actions, decider.epoch, violation)
    };
    if let Some(violation) = violation {
        // Actions of a planner whose books are wrong are not carried out. Another entry takes over
        // and rebuilds its books from the registry and the agents.
        tracing::error!(violation, "the planner broke an invariant");
        metrics::counter!("godwitstep_violations_total").increment(1);
        claim::give_up(state, "an invariant is broken");
        return;
    }
    for action in actions {
        carry_out(state, epoch, action);
    }
}

fn carry_out(state: &Rc<State>, epoch: Epoch, action: Action) {
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
            // It is not recorded yet.
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
            // The record may not have been read back yet.
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

/// Sends a frame to a worker's agent. The planner repeats what gets no answer, so a frame that
/// can't be sent is dropped.
fn send(state: &State, worker: &WorkerId, frame: Frame) {
    if !state.links.borrow().send(worker, frame) {
        tracing::debug!(%worker, "no link to the worker's agent; the planner repeats or gives up");
    }
}

/// Returns the part of a run on a worker, with the sizes of its record where there is one. Without
/// a record the sizes don't count, but agents refuse a part without tasks.
fn part(state: &State, epoch: Epoch, worker: &str, job: JobId, attempt: Attempt) -> Part {
    let registry = state.registry.borrow();
    let found = registry.job(&job);
    let recorded = found
        .filter(|found| found.status.attempt == attempt)
        .and_then(|found| found.parts.iter().find(|part| &*part.worker == worker));
    Part {
        epoch,
        attempt,
        tasks: recorded.map_or(1, |part| part.tasks),
        accelerators: recorded.map_or(0, |part| part.accelerators),
        run: found
            .and_then(|found| found.spec.run_s)
            .map(Duration::from_secs),
        job,
    }
}
