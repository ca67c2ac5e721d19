//! Handles the deciders' commands about parts of jobs.

use super::parts::{execute_action, handle_event};
use super::state::Agent;
use crate::link::LinkId;
use godwitstep_core::hold::{Action, Command, CommandHeader, Event};
use godwitstep_core::reason::Reason;
use godwitstep_core::resource::MAX_TASKS;
use godwitstep_wire::{Frame, Part};

/// Executes a decider's command and replies to it.
///
/// While nothing may start here, a commit releases the hold instead of starting the part, so that
/// a repeated commit can't start it later. A part that already runs is reported as usual.
pub(super) fn execute(agent: &Agent, link: LinkId, part: Part, command: Command) {
    let Some(worker) = &agent.worker else {
        let reason = worker_lost(agent);
        return agent.send_on(link, Frame::Denied { part, reason });
    };
    if !(1..=MAX_TASKS).contains(&part.tasks) {
        let detail = format!("a part has 1 to {MAX_TASKS} tasks, not {}", part.tasks);
        let reason = Reason::Other { detail };
        return agent.send_on(link, Frame::Denied { part, reason });
    }
    let id = (part.job.clone(), part.attempt);
    let (up, present) = {
        let mut parts = worker.parts.borrow_mut();
        parts.record_command(&id, &part, agent.peer_incarnation(link).unwrap_or_default());
        (parts.up, parts.contains(&id))
    };
    let refusal = agent
        .start_refusal(link)
        .or_else(|| (!up).then(|| worker_lost(agent)))
        .filter(|_| is_start(&command));
    let header = CommandHeader {
        epoch: part.epoch,
        job: part.job.clone(),
        attempt: part.attempt,
    };
    match &refusal {
        Some(reason) if !present => {
            let reason = reason.clone();
            return agent.send_on(link, Frame::Denied { part, reason });
        }
        Some(_) if matches!(command, Command::Commit { .. }) => {
            handle_event(agent, Event::Command(header.clone(), Command::Release));
        }
        _ => {}
    }
    for action in handle_event(agent, Event::Command(header, command)) {
        let Action::Denied { reason, .. } = action else {
            execute_action(agent, worker, action);
            continue;
        };
        // The reply goes to this command's sender, which may not be the sender of the latest
        // command.
        let reason = match (reason, &refusal) {
            (Reason::HoldExpired, Some(refusal)) => refusal.clone(),
            (reason, _) => reason,
        };
        let part = part.clone();
        agent.send_on(link, Frame::Denied { part, reason });
    }
}

fn worker_lost(agent: &Agent) -> Reason {
    Reason::WorkerLost {
        worker: agent.settings.name.clone(),
    }
}

const fn is_start(command: &Command) -> bool {
    matches!(command, Command::Reserve { .. } | Command::Commit { .. })
}
