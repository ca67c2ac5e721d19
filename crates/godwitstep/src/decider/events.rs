//! Converts messages from agents and changes of the registry into planner events.

use super::{claim, send_event};
use crate::entry::State;
use godwitstep_core::id::{Accelerators, Name};
use godwitstep_core::planner::Event;
use godwitstep_core::registry::{Change, JobState};
use godwitstep_core::resource::Phase;
use godwitstep_wire::{Announce, Frame};
use std::rc::Rc;
use std::time::Duration;

/// Processes a change of the registry.
pub(crate) fn apply_change(state: &Rc<State>, change: &Change) {
    match change {
        Change::Claim(claim) => {
            let identity = &state.identity;
            claim::step_down(state, "the region has a newer claim");
            if claim.holder == identity.name && claim.incarnation == identity.incarnation {
                claim::take_over(state, claim.epoch);
            }
        }
        Change::Workspace { name, item } => {
            let spec = item.as_ref().map(|item| item.spec.clone());
            let id = name.clone();
            send_event(state, Event::Workspace { id, spec });
        }
        Change::Domain { name, item } => {
            let spec = item.as_ref().map(|item| &item.spec);
            if spec.is_none_or(|spec| spec.region == state.settings.region) {
                let in_service = spec.is_some_and(|spec| spec.in_service);
                let id = name.clone();
                send_event(state, Event::Domain { id, in_service });
            }
        }
        Change::Job { name, state: job } => {
            if let Some(event) = job.as_ref().and_then(|job| external_event(name, job)) {
                send_event(state, event);
            }
        }
    }
}

/// Returns the event for a job's change that was not caused by the planner: a submission or cancellation.
fn external_event(name: &Name, job: &JobState) -> Option<Event> {
    let status = &job.status;
    let is_new = status.phase == Phase::Queued && status.accepted == job.version;
    if is_new {
        Some(Event::Submit {
            job: name.clone(),
            spec: job.spec.clone(),
            attempt: status.attempt,
            age: Duration::ZERO,
        })
    } else if job.cancelled {
        Some(Event::Cancel { job: name.clone() })
    } else {
        None
    }
}

/// Processes an agent's announcement of its worker. An announcement under an older epoch is ignored, because the
/// agent may have started parts for an earlier decider since; the agent announces itself again when it receives the
/// new epoch. An announcement without a worker means that the agent has lost its worker.
pub(crate) fn handle_announcement(state: &Rc<State>, agent: &Name, announcement: &Announce) {
    let Some(worker) = announcement.worker.clone() else {
        return handle_link_loss(state, agent);
    };
    let epoch = state.decider.borrow().as_ref().map(|decider| decider.epoch);
    if epoch.is_none_or(|epoch| announcement.epoch < epoch) {
        return;
    }
    let id = worker.id.clone();
    let inventory = announcement.inventory.clone();
    send_event(state, Event::WorkerUp { worker, inventory });
    if announcement.leaving {
        send_event(state, Event::WorkerLeaving { id });
    }
}

/// Processes the loss of the link to an agent.
pub(crate) fn handle_link_loss(state: &Rc<State>, agent: &Name) {
    send_event(state, Event::WorkerLost { id: agent.clone() });
}

/// Processes a worker's report of the accelerators in use.
pub(crate) fn handle_usage(state: &Rc<State>, worker: &Name, busy: Accelerators) {
    let worker = worker.clone();
    let age = Duration::ZERO;
    send_event(state, Event::Usage { worker, busy, age });
}

/// Processes an agent's answer about a part.
pub(crate) fn handle_part_answer(state: &Rc<State>, worker: &Name, frame: Frame) {
    let worker = worker.clone();
    let event = match frame {
        Frame::Held(part) => Event::Held {
            worker,
            job: part.job,
            attempt: part.attempt,
        },
        Frame::Denied { part, reason } => Event::Denied {
            worker,
            job: part.job,
            attempt: part.attempt,
            reason,
        },
        Frame::Started(part) => Event::Started {
            worker,
            job: part.job,
            attempt: part.attempt,
        },
        Frame::Ended { part, end } => Event::Ended {
            worker,
            job: part.job,
            attempt: part.attempt,
            end,
        },
        _ => return,
    };
    send_event(state, event);
}

/// Processes the end of a part. The end is acknowledged only when the log holds its consequences; agents repeat it
/// until then, so that it is not lost if the decider fails in between.
pub(crate) fn handle_end(state: &Rc<State>, worker: &Name, frame: Frame) {
    let Frame::Ended { part, .. } = &frame else {
        return;
    };
    if state.decider.borrow().is_none() {
        return;
    }
    let unrecorded = {
        let registry = state.registry.borrow();
        registry.job(&part.job).is_some_and(|job| {
            job.status.attempt == part.attempt && job.status.phase == Phase::Running
        })
    };
    if !unrecorded {
        let ack = Frame::EndKnown(part.clone());
        state.links.borrow().send(worker, ack);
    }
    handle_part_answer(state, worker, frame);
}
