//! Replies of agents, lost targets, and retries.

use super::item::Phase;
use super::{Action, Outcome, Reply, Router, Sequence, Target};
use crate::id::{Incarnation, TargetId};
use crate::reason::Reason;
use std::time::Duration;

/// Time to come back if all agents are younger than the request: agents take requests that are
/// accepted from 1.5 s after their start on.
const YOUNG_RETRY: Duration = Duration::from_millis(1_500);

impl Router {
    pub(super) fn target_up(&mut self, now: Duration, target: &Target, actions: &mut Vec<Action>) {
        let reliable = now >= self.reliable_from;
        let previous = self.fleet.members.get(&target.id);
        let replaced =
            previous.is_some_and(|member| member.target.incarnation != target.incarnation);
        let lost = self.fleet.up(now, target.clone(), reliable);
        if replaced {
            self.fences_lost(now, &target.id, actions);
        }
        for sequence in lost {
            self.sent_lost(now, sequence, actions);
        }
        self.fence_also(target, actions);
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
        let lost = self.fleet.lose(now, id, incarnation);
        self.fences_lost(now, id, actions);
        for sequence in lost {
            self.sent_lost(now, sequence, actions);
        }
        self.drop_hopeless(now, actions);
    }

    /// The target of a sent request is lost, or can't tell what became of it.
    fn sent_lost(&mut self, now: Duration, sequence: Sequence, actions: &mut Vec<Action>) {
        self.doubt(sequence);
        // The request is no longer on the target's count, so answering must not cancel it there.
        self.set_phase(now, sequence, Phase::Idle);
        let Some(item) = self.items.get(&sequence) else {
            return;
        };
        if item.request.idempotent {
            self.retry(now, sequence, Reason::TargetLost, true, actions);
        } else {
            self.give_up(now, sequence, Reason::TargetLost, None, actions);
        }
    }

    /// Queues a request again if its deadline, the budget and the targets allow it.
    fn retry(
        &mut self,
        now: Duration,
        sequence: Sequence,
        reason: Reason,
        budgeted: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(item) = self.items.get(&sequence) else {
            return;
        };
        let service = item.request.service.clone();
        let possible = now < item.request.deadline
            && self.standing.may_start()
            && self.fleet.has_prospect(&service)
            && (!budgeted || self.budget.retry(now));
        if possible {
            self.set_phase(now, sequence, Phase::Queued);
        } else {
            let drain = self.drain_time(now, &service);
            let back = self.come_back(drain);
            self.give_up(now, sequence, reason, back, actions);
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
            member.settle(sequence);
        }
        self.judge(now, from, &reply);
        let Some(item) = self.items.get(&sequence) else {
            return;
        };
        let (current, sent) = match &item.phase {
            Phase::Sent { target, at } => (target == from, Some(*at)),
            Phase::Waiting { target } => (target == from, None),
            Phase::Idle | Phase::Queued | Phase::Fencing { .. } => (false, None),
        };
        // An idempotent request that was sent again is answered by whichever target comes first.
        let late = item.request.idempotent && item.doubt && reply == Reply::Answered;
        if !current && !late {
            return;
        }
        if current && let Some(at) = sent {
            self.observe(now, sequence, now.saturating_sub(at), &reply);
        }
        if current {
            self.set_phase(now, sequence, Phase::Idle);
        }
        let target = from.clone();
        match reply {
            Reply::Answered => self.answer(now, sequence, Outcome::Answered { target }, actions),
            Reply::Failed => self.answer(now, sequence, Outcome::Failed { target }, actions),
            Reply::NotStarted(reason) if sent.is_some() => {
                let budgeted = !is_refusal(&reason);
                if reason == Reason::AgentTooYoung && !self.has_other(sequence, &target) {
                    let back = self.come_back(YOUNG_RETRY);
                    self.give_up(now, sequence, reason, back, actions);
                } else if reason == Reason::Cancelled {
                    // A newer request of the caller owns the key and may run.
                    self.doubt(sequence);
                    self.give_up(now, sequence, reason, None, actions);
                } else {
                    self.retry(now, sequence, reason, budgeted, actions);
                }
            }
            Reply::NotStarted(_) => self.fenced_late(now, sequence, &target, actions),
            Reply::Unknown if sent.is_some() => self.sent_lost(now, sequence, actions),
            Reply::Unknown => self.give_up(now, sequence, Reason::TargetLost, None, actions),
        }
    }

    /// Notes that a target's present life will never start the request, and reports whether another
    /// target may.
    fn has_other(&mut self, sequence: Sequence, refuser: &TargetId) -> bool {
        let Some(item) = self.items.get_mut(&sequence) else {
            return false;
        };
        if let Some(member) = self.fleet.members.get(refuser) {
            let life = (refuser.clone(), member.target.incarnation);
            item.refused.insert(life);
        }
        let mut members = self.fleet.of(&item.request.service);
        members.any(|member| {
            !member.leaving && item.allows(&member.target.id, member.target.incarnation)
        })
    }

    /// The earlier request that an agent reported as running did not start: from now on the key
    /// is fenced there.
    fn fenced_late(
        &mut self,
        now: Duration,
        sequence: Sequence,
        target: &TargetId,
        actions: &mut Vec<Action>,
    ) {
        let until = now + self.settings.fence_time;
        self.set_phase(now, sequence, Phase::Fencing { until });
        if let Some(item) = self.items.get_mut(&sequence)
            && let Some(fences) = &mut item.fences
        {
            fences.asked.insert(target.clone());
            let target = target.clone();
            actions.push(Action::Fence { sequence, target });
        }
    }

    /// Keeps account of whether a target works.
    fn judge(&mut self, now: Duration, target: &TargetId, reply: &Reply) {
        let Some(member) = self.fleet.members.get_mut(target) else {
            return;
        };
        match reply {
            Reply::Answered => member.succeed(),
            Reply::NotStarted(Reason::Stopping) => member.leaving = true,
            Reply::NotStarted(Reason::Cancelled | Reason::AgentTooYoung) => {}
            Reply::NotStarted(reason) if is_refusal(reason) => member.refuse(),
            Reply::NotStarted(_) => {
                member.refuse();
                member.fail(now);
            }
            Reply::Failed | Reply::Unknown => member.fail(now),
        }
    }

    fn observe(&mut self, now: Duration, sequence: Sequence, took: Duration, reply: &Reply) {
        if !matches!(reply, Reply::Answered | Reply::Failed) {
            return;
        }
        let Some(item) = self.items.get(&sequence) else {
            return;
        };
        let request = &item.request;
        let service = request.service.clone();
        let kind = (
            service.clone(),
            request.workspace.clone(),
            request.kind.clone(),
        );
        self.by_service
            .entry(service)
            .or_default()
            .record(now, took);
        self.by_kind.entry(kind).or_default().record(now, took);
    }
}

/// Reports whether an agent refused by its own rules. Each such refusal keeps the target out until
/// its next heartbeat, which bounds them, so they do not draw on the retry budget.
const fn is_refusal(reason: &Reason) -> bool {
    !matches!(reason, Reason::TargetLost | Reason::Cancelled)
}
