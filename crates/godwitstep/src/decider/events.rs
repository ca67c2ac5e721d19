//! Turns what agents and the registry say into events of the planner.

use super::{claim, tell};
use crate::entry::State;
use godwitstep_core::id::{Accelerators, Name};
use godwitstep_core::planner::Event;
use godwitstep_core::registry::{Change, JobState};
use godwitstep_core::resource::Phase;
use godwitstep_wire::{Announce, Frame};
use std::rc::Rc;
use std::time::Duration;

/// Takes in a change of the folded state.
pub(crate) fn learn(state: &Rc<State>, change: &Change) {
    match change {
        Change::Claim(claim) => {
            let me = &state.identity;
            claim::give_up(state, "the region has a newer claim");
            if claim.holder == me.name && claim.incarnation == me.incarnation {
                claim::take_over(state, claim.epoch);
            }
        }
        Change::Workspace { name, item } => {
            let spec = item.as_ref().map(|item| item.spec.clone());
            let id = name.clone();
            tell(state, Event::Workspace { id, spec });
        }
        Change::Domain { name, item } => {
            let spec = item.as_ref().map(|item| &item.spec);
            if spec.is_none_or(|spec| spec.region == state.settings.region) {
                let in_service = spec.is_some_and(|spec| spec.in_service);
                let id = name.clone();
                tell(state, Event::Domain { id, in_service });
            }
        }
        Change::Job { name, state: job } => {
            if let Some(event) = job.as_ref().and_then(|job| news(name, job)) {
                tell(state, event);
            }
        }
    }
}

/// Returns what the planner has not caused itself: new jobs and cancellations.
fn news(name: &Name, job: &JobState) -> Option<Event> {
    let status = &job.status;
    let new = status.phase == Phase::Queued && status.accepted == job.version;
    if new {
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

/// Takes in what an agent says about its worker. An announcement made under an older epoch is
/// passed over: the agent may have started parts for an earlier decider since. It announces itself
/// again when it hears of the new epoch. An agent that announces no worker has lost it.
pub(crate) fn announced(state: &Rc<State>, agent: &Name, told: &Announce) {
    let Some(worker) = told.worker.clone() else {
        return lost(state, agent);
    };
    let epoch = state.decider.borrow().as_ref().map(|decider| decider.epoch);
    if epoch.is_none_or(|epoch| told.epoch < epoch) {
        return;
    }
    let id = worker.id.clone();
    let inventory = told.inventory.clone();
    tell(state, Event::WorkerUp { worker, inventory });
    if told.leaving {
        tell(state, Event::WorkerLeaving { id });
    }
}

/// Takes in that the link to an agent is lost.
pub(crate) fn lost(state: &Rc<State>, agent: &Name) {
    tell(state, Event::WorkerLost { id: agent.clone() });
}

/// Takes in a worker's usage.
pub(crate) fn busy(state: &Rc<State>, worker: &Name, busy: Accelerators) {
    let worker = worker.clone();
    let age = Duration::ZERO;
    tell(state, Event::Usage { worker, busy, age });
}

/// Takes in an agent's answer about a part.
pub(crate) fn part_event(state: &Rc<State>, worker: &Name, frame: Frame) {
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
    tell(state, event);
}

/// Takes in the end of a part and acknowledges it once the log holds what follows from it. Agents
/// repeat an end until then, so that a decider that dies in between loses nothing.
pub(crate) fn ended(state: &Rc<State>, worker: &Name, frame: Frame) {
    let Frame::Ended { part, .. } = &frame else {
        return;
    };
    if state.decider.borrow().is_none() {
        return;
    }
    let pending = {
        let registry = state.registry.borrow();
        registry.job(&part.job).is_some_and(|found| {
            found.status.attempt == part.attempt && found.status.phase == Phase::Running
        })
    };
    if !pending {
        let known = Frame::EndKnown(part.clone());
        state.links.borrow().send(worker, known);
    }
    part_event(state, worker, frame);
}
