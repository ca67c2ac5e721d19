//! Dispatch of queued requests to targets, and enforcement of deadlines.

use super::pending::Phase;
use super::{Action, DEADLINE_CHECK_INTERVAL, Router, Sequence};
use crate::admission::expected_wait;
use crate::id::{ServiceId, TargetId};
use crate::reason::Reason;
use std::time::Duration;

impl Router {
    /// Sends queued requests while targets have free slots.
    pub(super) fn dispatch(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.operating_mode.may_start() {
            return;
        }
        let services: Vec<ServiceId> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.len() > 0)
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            while let Some((sequence, target)) = self.next_dispatch(now, &service) {
                let pending = self.pending.get(&sequence);
                if pending.is_some_and(|pending| pending.latest_start < now) {
                    self.refuse_late(now, sequence, &service, actions);
                } else {
                    self.send(now, sequence, target, actions);
                }
            }
        }
    }

    /// Returns the first request in queue order that a usable target may run, with that target.
    fn next_dispatch(&self, now: Duration, service: &ServiceId) -> Option<(Sequence, TargetId)> {
        let queue = self.queues.get(service)?;
        let limit = self.settings.heartbeat_limit;
        let domain = &self.settings.domain;
        let any_target = self.fleet.choose(now, service, limit, domain, |_| true)?;
        queue.order().find_map(|sequence| {
            let pending = self.pending.get(&sequence)?;
            if pending.can_run_anywhere() {
                return Some((sequence, any_target.clone()));
            }
            let target = self.fleet.choose(now, service, limit, domain, |member| {
                pending.can_run_on(&member.target.id, member.target.incarnation)
            })?;
            Some((sequence, target))
        })
    }

    fn send(
        &mut self,
        now: Duration,
        sequence: Sequence,
        target: TargetId,
        actions: &mut Vec<Action>,
    ) {
        let phase = Phase::Sent {
            target: target.clone(),
            at: now,
        };
        self.set_phase(now, sequence, phase);
        if let Some(pending) = self.pending.get(&sequence)
            && let Some(queue) = self.queues.get_mut(&pending.request.service)
        {
            queue.record_dequeue(now, pending.priority);
        }
        if let Some(member) = self.fleet.members.get_mut(&target) {
            member.record_send(now, sequence);
        }
        actions.push(Action::Send { sequence, target });
    }

    pub(super) fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.expire(now, actions);
        if now >= self.next_deadline_check {
            self.next_deadline_check = now + DEADLINE_CHECK_INTERVAL;
            self.fleet.expire_unreachable(now, self.settings.key_window);
            self.drop_late(now, actions);
        }
    }

    /// Answers requests whose deadline or fence timeout has passed, and concludes fences that are
    /// complete.
    fn expire(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut expired = Vec::new();
        let mut fencing = Vec::new();
        for (sequence, pending) in &self.pending {
            match pending.phase {
                _ if pending.request.deadline <= now => {
                    expired.push((*sequence, Reason::DeadlineUnreachable));
                }
                Phase::Fencing { until } if until <= now => {
                    expired.push((*sequence, Reason::TargetLost));
                }
                Phase::Fencing { .. } => fencing.push(*sequence),
                _ => {}
            }
        }
        for sequence in fencing {
            self.conclude_fence(now, sequence, actions);
        }
        for (sequence, reason) in expired {
            let retry_after = self.jittered_retry_after(Duration::ZERO);
            self.abort(now, sequence, reason, retry_after, actions);
        }
    }

    /// Refuses queued requests that are expected to miss their deadlines, so that callers receive
    /// the refusal before the deadline.
    fn drop_late(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut late = Vec::new();
        for (service, queue) in &self.queues {
            let mean = self
                .times_by_service
                .get_mut(service)
                .and_then(|observed| observed.mean(now));
            let Some(mean) = mean else {
                continue;
            };
            let interval = expected_wait(1, self.fleet.slots(service), mean);
            let sequences = queue.late_requests(now, interval).into_iter();
            late.extend(sequences.map(|sequence| (sequence, service.clone())));
        }
        for (sequence, service) in late {
            self.refuse_late(now, sequence, &service, actions);
        }
    }

    fn refuse_late(
        &mut self,
        now: Duration,
        sequence: Sequence,
        service: &ServiceId,
        actions: &mut Vec<Action>,
    ) {
        let drain = self.drain_time(now, service);
        let retry_after = self.jittered_retry_after(drain);
        self.abort(
            now,
            sequence,
            Reason::DeadlineUnreachable,
            retry_after,
            actions,
        );
    }
}
