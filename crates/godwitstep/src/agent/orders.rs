//! Orders of the deciders about parts of jobs.

use super::parts::{carry_out, decide};
use super::state::Agent;
use crate::link::LinkId;
use godwitstep_core::hold::{Action, Command, CommandHeader, Event};
use godwitstep_core::reason::Reason;
use godwitstep_core::resource::MAX_TASKS;
use godwitstep_wire::{Frame, Part};

/// Carries out a decider's order.
///
/// Where nothing may start, a hold that is to be committed is given up instead, so that a repeated
/// order can't start it later; a part that runs already is reported as before.
pub(super) fn carry(agent: &Agent, link: LinkId, part: Part, command: Command) {
    let Some(beside) = &agent.worker else {
        let reason = lost(agent);
        return agent.send_on(link, Frame::Denied { part, reason });
    };
    if !(1..=MAX_TASKS).contains(&part.tasks) {
        let detail = format!("a part has 1 to {MAX_TASKS} tasks, not {}", part.tasks);
        let reason = Reason::Other { detail };
        return agent.send_on(link, Frame::Denied { part, reason });
    }
    let id = (part.job.clone(), part.attempt);
    let (up, holds) = {
        let mut parts = beside.parts.borrow_mut();
        parts.note(&id, &part, agent.peer_of(link).unwrap_or_default());
        (parts.up, parts.holds(&id))
    };
    let obstacle = agent
        .obstacle(link)
        .or_else(|| (!up).then(|| lost(agent)))
        .filter(|_| starts(&command));
    let order = CommandHeader {
        epoch: part.epoch,
        job: part.job.clone(),
        attempt: part.attempt,
    };
    match &obstacle {
        Some(reason) if !holds => {
            let reason = reason.clone();
            return agent.send_on(link, Frame::Denied { part, reason });
        }
        Some(_) if matches!(command, Command::Commit { .. }) => {
            decide(agent, Event::Command(order.clone(), Command::Release));
        }
        _ => {}
    }
    for action in decide(agent, Event::Command(order, command)) {
        let Action::Denied { reason, .. } = action else {
            carry_out(agent, beside, action);
            continue;
        };
        // Goes to the sender, who need not be the one that gave the latest order.
        let reason = match (reason, &obstacle) {
            (Reason::HoldExpired, Some(obstacle)) => obstacle.clone(),
            (reason, _) => reason,
        };
        let part = part.clone();
        agent.send_on(link, Frame::Denied { part, reason });
    }
}

fn lost(agent: &Agent) -> Reason {
    Reason::WorkerLost {
        worker: agent.settings.name.clone(),
    }
}

const fn starts(command: &Command) -> bool {
    matches!(command, Command::Reserve { .. } | Command::Commit { .. })
}
