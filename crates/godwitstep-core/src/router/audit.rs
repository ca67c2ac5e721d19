//! Always-on runtime check of the router's invariants, based on its events and actions alone.

use super::{Action, Event, Outcome, Reply, Sequence};
use crate::id::{DomainId, TargetId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A request that has arrived and has not been answered.
#[derive(Debug)]
struct OpenRequest {
    idempotent: bool,
    deadline: Duration,
    /// Targets that were sent the request and have not reported that they did not start it.
    may_have_started: BTreeSet<TargetId>,
}

/// Checks each action of the router. Its state is independent of the router's own, so that a bug
/// there does not hide a violation.
#[derive(Debug, Default)]
pub struct Audit {
    open: BTreeMap<Sequence, OpenRequest>,
    /// Failure domain of each target and whether it is leaving.
    targets: BTreeMap<TargetId, (DomainId, bool)>,
    /// Failure domains out of service.
    out_of_service: BTreeSet<DomainId>,
    violation: Option<String>,
}

impl Audit {
    /// Returns the first violation found.
    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    fn record_violation(&mut self, now: Duration, text: impl std::fmt::Display) {
        if self.violation.is_none() {
            self.violation = Some(format!("at {} ms: {text}", now.as_millis()));
        }
    }

    /// Updates the audit's state by an event. Called before the router handles the event.
    pub fn record_event(&mut self, now: Duration, event: &Event) {
        match event {
            Event::Arrive(request) => {
                let open = OpenRequest {
                    idempotent: request.idempotent,
                    deadline: request.deadline.max(now),
                    may_have_started: BTreeSet::new(),
                };
                let sequence = request.sequence;
                if self.open.insert(sequence, open).is_some() {
                    self.record_violation(now, format!("request {sequence} arrived twice"));
                }
            }
            Event::TargetUp(target) => {
                let state = (target.domain.clone(), false);
                self.targets.insert(target.id.clone(), state);
            }
            Event::TargetLeaving { id } => {
                if let Some((_, leaving)) = self.targets.get_mut(id) {
                    *leaving = true;
                }
            }
            Event::Domain { id, in_service } => {
                if *in_service {
                    self.out_of_service.remove(id);
                } else {
                    self.out_of_service.insert(id.clone());
                }
            }
            Event::Reply {
                sequence,
                target,
                reply: Reply::NotStarted(_),
            } => {
                if let Some(open) = self.open.get_mut(sequence) {
                    open.may_have_started.remove(target);
                }
            }
            _ => {}
        }
    }

    /// Checks the actions that the router returned for an event. After a tick, also checks that
    /// every request whose deadline has passed was answered.
    pub fn check_actions(&mut self, now: Duration, tick: bool, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { sequence, target } => self.check_send(now, *sequence, target),
                Action::Answer { sequence, outcome } => self.check_answer(now, *sequence, outcome),
                Action::Fence { .. } | Action::Cancel { .. } => {}
            }
        }
        if !tick {
            return;
        }
        let late = self.open.iter().find(|(_, open)| open.deadline < now);
        if let Some((sequence, _)) = late {
            let text = format!("request {sequence} not answered by its deadline");
            self.record_violation(now, text);
        }
    }

    fn check_send(&mut self, now: Duration, sequence: Sequence, target: &TargetId) {
        match self.targets.get(target) {
            None => self.record_violation(
                now,
                format!("request {sequence} sent to the unknown target {target}"),
            ),
            Some((_, true)) => self.record_violation(
                now,
                format!("request {sequence} sent to the leaving target {target}"),
            ),
            Some((domain, false)) if self.out_of_service.contains(domain) => {
                let text = format!(
                    "request {sequence} sent to target {target} in {domain}, which is out of service"
                );
                self.record_violation(now, text);
            }
            Some(_) => {}
        }
        let Some(open) = self.open.get_mut(&sequence) else {
            self.record_violation(now, format!("request {sequence} sent, but it is not open"));
            return;
        };
        let repeated = !open.idempotent && !open.may_have_started.is_empty();
        open.may_have_started.insert(target.clone());
        if repeated {
            let text = format!(
                "non-idempotent request {sequence} sent again, but it may have started before"
            );
            self.record_violation(now, text);
        }
    }

    fn check_answer(&mut self, now: Duration, sequence: Sequence, outcome: &Outcome) {
        let Some(open) = self.open.remove(&sequence) else {
            self.record_violation(
                now,
                format!("request {sequence} answered, but it is not open"),
            );
            return;
        };
        if matches!(outcome, Outcome::NotRun(_)) && !open.may_have_started.is_empty() {
            let text = format!("request {sequence} answered as not run, but it may have run");
            self.record_violation(now, text);
        }
    }
}
