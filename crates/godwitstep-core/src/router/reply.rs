//! Replies of agents, announced and lost targets, and retries.

use super::pending::Phase;
use super::{Action, Outcome, Reply, Router, Sequence, Target};
use crate::id::{Incarnation, TargetId};
use crate::reason::Reason;
use std::time::Duration;

/// Retry-after time if all agents are too young for the request: an agent starts only requests that
/// the entry accepted at least 1.5 s after the agent's start.
const AGENT_TOO_YOUNG_RETRY_AFTER: Duration = Duration::from_millis(1_500);

impl Router {
    pub(super) fn target_up(&mut self, now: Duration, target: &Target, actions: &mut Vec<Action>) {
        let reliable = now >= self.reliable_from;
        let previous = self.fleet.members.get(&target.id);
        let replaced =
            previous.is_some_and(|member| member.target.incarnation != target.incarnation);
        let lost = self.fleet.announce(now, target.clone(), reliable);
        if replaced {
            self.discard_fences_of(now, &target.id, actions);
        }
        for sequence in lost {
            self.handle_lost_request(now, sequence, actions);
        }
        self.fence_on_new_target(target, actions);
    }

    pub(super) fn target_lost(
        &mut self,
        now: Duration,
        id: &TargetId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        let current = self.fleet.members.get(id);
        if current.is_none_or(|member| member.target.incarnation != incarnation) {
            return;
        }
        let lost = self.fleet.remove(now, id, incarnation);
        self.discard_fences_of(now, id, actions);
        for sequence in lost {
            self.handle_lost_request(now, sequence, actions);
        }
        self.drop_without_target(now, actions);
    }

    /// Retries or answers a sent request whose target is lost or reports its outcome as unknown.
    fn handle_lost_request(
        &mut self,
        now: Duration,
        sequence: Sequence,
        actions: &mut Vec<Action>,
    ) {
        self.mark_may_have_run(sequence);
        // The target no longer counts the request as load, so the answer must not cancel it there.
        self.set_phase(now, sequence, Phase::Undecided);
        let Some(pending) = self.pending.get(&sequence) else {
            return;
        };
        if pending.request.idempotent {
            self.retry(now, sequence, Reason::TargetLost, true, actions);
        } else {
            self.abort(now, sequence, Reason::TargetLost, None, actions);
        }
    }

    /// Queues a request again if its deadline, the operating mode, the targets and,
    /// where `budgeted`, the retry budget allow it.
    fn retry(
        &mut self,
        now: Duration,
        sequence: Sequence,
        reason: Reason,
        budgeted: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&sequence) else {
            return;
        };
        let service = pending.request.service.clone();
        let possible = now < pending.request.deadline
            && self.operating_mode.may_start()
            && self.fleet.has_candidate(&service)
            && (!budgeted || self.budget.retry(now));
        if possible {
            self.set_phase(now, sequence, Phase::Queued);
        } else {
            let drain = self.drain_time(now, &service);
            let retry_after = self.jittered_retry_after(drain);
            self.abort(now, sequence, reason, retry_after, actions);
        }
    }

    pub(super) fn reply(
        &mut self,
        now: Duration,
        sequence: Sequence,
        from: &TargetId,
        reply: Reply,
        actions: &mut Vec<Action>,
    ) {
        if let Some(member) = self.fleet.members.get_mut(from) {
            member.release(sequence);
        }
        self.update_target_health(now, from, &reply);
        let Some(pending) = self.pending.get(&sequence) else {
            return;
        };
        let (current, sent) = match &pending.phase {
            Phase::Sent { target, at } => (target == from, Some(*at)),
            Phase::AwaitingEarlierRun { target } => (target == from, None),
            Phase::Undecided | Phase::Queued | Phase::Fencing { .. } => (false, None),
        };
        // An idempotent request may have been sent again; the first answer from any target counts.
        let answer_of_earlier_send =
            pending.request.idempotent && pending.may_have_run && reply == Reply::Answered;
        if !current && !answer_of_earlier_send {
            return;
        }
        if current && let Some(at) = sent {
            self.record_service_time(now, sequence, now.saturating_sub(at), &reply);
        }
        if current {
            self.set_phase(now, sequence, Phase::Undecided);
        }
        let target = from.clone();
        match reply {
            Reply::Answered => self.answer(now, sequence, Outcome::Answered { target }, actions),
            Reply::Failed => self.answer(now, sequence, Outcome::Failed { target }, actions),
            Reply::NotStarted(reason) if sent.is_some() => {
                let budgeted = !is_refusal(&reason);
                if reason == Reason::AgentTooYoung && !self.exclude_target(sequence, &target) {
                    let retry_after = self.jittered_retry_after(AGENT_TOO_YOUNG_RETRY_AFTER);
                    self.abort(now, sequence, reason, retry_after, actions);
                } else if reason == Reason::Cancelled {
                    // A newer request with the same key has fenced it and may run.
                    self.mark_may_have_run(sequence);
                    self.abort(now, sequence, reason, None, actions);
                } else {
                    self.retry(now, sequence, reason, budgeted, actions);
                }
            }
            Reply::NotStarted(_) => self.fence_again(now, sequence, &target, actions),
            Reply::Unknown if sent.is_some() => self.handle_lost_request(now, sequence, actions),
            Reply::Unknown => self.abort(now, sequence, Reason::TargetLost, None, actions),
        }
    }

    /// Excludes the current incarnation of a target, which will never start the request, and
    /// reports whether another target may start it.
    fn exclude_target(&mut self, sequence: Sequence, target: &TargetId) -> bool {
        let Some(pending) = self.pending.get_mut(&sequence) else {
            return false;
        };
        if let Some(member) = self.fleet.members.get(target) {
            let instance = (target.clone(), member.target.incarnation);
            pending.refused_by.insert(instance);
        }
        let mut members = self.fleet.targets_of(&pending.request.service);
        members.any(|member| {
            !member.leaving && pending.can_run_on(&member.target.id, member.target.incarnation)
        })
    }

    /// Fences the key at an agent again, after the earlier request that the agent had reported as
    /// running turned out not to have started.
    fn fence_again(
        &mut self,
        now: Duration,
        sequence: Sequence,
        target: &TargetId,
        actions: &mut Vec<Action>,
    ) {
        let until = now + self.settings.fence_time;
        self.set_phase(now, sequence, Phase::Fencing { until });
        if let Some(pending) = self.pending.get_mut(&sequence)
            && let Some(fences) = &mut pending.fences
        {
            fences.unreplied.insert(target.clone());
            let target = target.clone();
            actions.push(Action::Fence { sequence, target });
        }
    }

    /// Updates the health of a target from a reply.
    fn update_target_health(&mut self, now: Duration, target: &TargetId, reply: &Reply) {
        let Some(member) = self.fleet.members.get_mut(target) else {
            return;
        };
        match reply {
            Reply::Answered => member.record_success(),
            Reply::NotStarted(Reason::Stopping) => member.leaving = true,
            Reply::NotStarted(Reason::Cancelled | Reason::AgentTooYoung) => {}
            Reply::NotStarted(reason) if is_refusal(reason) => member.record_refusal(),
            Reply::NotStarted(_) => {
                member.record_refusal();
                member.record_failure(now);
            }
            Reply::Failed | Reply::Unknown => member.record_failure(now),
        }
    }

    /// Records the service time of a request that ran.
    fn record_service_time(
        &mut self,
        now: Duration,
        sequence: Sequence,
        took: Duration,
        reply: &Reply,
    ) {
        if !matches!(reply, Reply::Answered | Reply::Failed) {
            return;
        }
        let Some(pending) = self.pending.get(&sequence) else {
            return;
        };
        let request = &pending.request;
        let service = request.service.clone();
        let kind = (
            service.clone(),
            request.workspace.clone(),
            request.kind.clone(),
        );
        self.times_by_service
            .entry(service)
            .or_default()
            .record(now, took);
        self.times_by_kind
            .entry(kind)
            .or_default()
            .record(now, took);
    }
}

/// Reports whether the agent refused the request by its own rules. Such a refusal excludes the
/// target until its next heartbeat, which limits the number of retries, so they do not count
/// against the retry budget.
const fn is_refusal(reason: &Reason) -> bool {
    !matches!(reason, Reason::TargetLost | Reason::Cancelled)
}
