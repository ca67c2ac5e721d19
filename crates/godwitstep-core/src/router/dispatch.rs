//! Sending of queued requests, and deadlines.

use super::item::Phase;
use super::{Action, RECHECK, Router, Sequence};
use crate::admission::wait;
use crate::id::{ServiceId, TargetId};
use crate::reason::Reason;
use std::time::Duration;

impl Router {
    /// Sends as many queued requests as there are slots.
    pub(super) fn dispatch(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.standing.may_start() {
            return;
        }
        let services: Vec<ServiceId> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.len() > 0)
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            while let Some((sequence, target)) = self.next(now, &service) {
                let item = self.items.get(&sequence);
                if item.is_some_and(|item| item.latest < now) {
                    self.refuse_late(now, sequence, &service, actions);
                } else {
                    self.send(now, sequence, target, actions);
                }
            }
        }
    }

    /// Returns the first request in order that a target can take.
    fn next(&self, now: Duration, service: &ServiceId) -> Option<(Sequence, TargetId)> {
        let queue = self.queues.get(service)?;
        let limit = self.settings.heartbeat_limit;
        let domain = &self.settings.domain;
        let any = self.fleet.choose(now, service, limit, domain, |_| true)?;
        queue.order().find_map(|sequence| {
            let item = self.items.get(&sequence)?;
            if item.allows_all() {
                return Some((sequence, any.clone()));
            }
            let target = self.fleet.choose(now, service, limit, domain, |member| {
                item.allows(&member.target.id, member.target.incarnation)
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
        if let Some(item) = self.items.get(&sequence)
            && let Some(queue) = self.queues.get_mut(&item.request.service)
        {
            queue.taken(now, item.priority);
        }
        if let Some(member) = self.fleet.members.get_mut(&target) {
            member.send(now, sequence);
        }
        actions.push(Action::Send { sequence, target });
    }

    pub(super) fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.expire(now, actions);
        if now >= self.next_check {
            self.next_check = now + RECHECK;
            self.fleet.forget(now, self.settings.key_window);
            self.drop_late(now, actions);
        }
    }

    /// Ends requests whose deadline or fence time is over.
    fn expire(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut ended = Vec::new();
        let mut concluded = Vec::new();
        for (sequence, item) in &self.items {
            match item.phase {
                _ if item.request.deadline <= now => {
                    ended.push((*sequence, Reason::DeadlineUnreachable));
                }
                Phase::Fencing { until } if until <= now => {
                    ended.push((*sequence, Reason::TargetLost));
                }
                Phase::Fencing { .. } => concluded.push(*sequence),
                _ => {}
            }
        }
        for sequence in concluded {
            self.conclude_fence(now, sequence, actions);
        }
        for (sequence, reason) in ended {
            let back = self.come_back(Duration::ZERO);
            self.give_up(now, sequence, reason, back, actions);
        }
    }

    /// Refuses queued requests that would end after their deadline, rather than holding them.
    fn drop_late(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut late = Vec::new();
        for (service, queue) in &self.queues {
            let mean = self
                .by_service
                .get_mut(service)
                .and_then(|observed| observed.mean(now));
            let Some(mean) = mean else {
                continue;
            };
            let each = wait(1, self.fleet.slots(service), mean);
            let of = queue.late(now, each).into_iter();
            late.extend(of.map(|sequence| (sequence, service.clone())));
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
        let back = self.come_back(drain);
        self.give_up(now, sequence, Reason::DeadlineUnreachable, back, actions);
    }
}
