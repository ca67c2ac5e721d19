//! Always-on check of what the router promises, from its events and actions alone.

use super::{Action, Event, Outcome, Reply, Sequence};
use crate::id::{DomainId, TargetId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Debug)]
struct Open {
    idempotent: bool,
    deadline: Duration,
    /// Targets that were sent the request and have not proved that they did not start it.
    unproven: BTreeSet<TargetId>,
}

/// Keeps its own account, independent of the router's state.
#[derive(Debug, Default)]
pub struct Audit {
    open: BTreeMap<Sequence, Open>,
    /// Failure domain of each target and whether it is leaving.
    targets: BTreeMap<TargetId, (DomainId, bool)>,
    out: BTreeSet<DomainId>,
    violation: Option<String>,
}

impl Audit {
    /// Returns the first violation found.
    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    fn report(&mut self, now: Duration, text: impl std::fmt::Display) {
        if self.violation.is_none() {
            self.violation = Some(format!("at {} ms: {text}", now.as_millis()));
        }
    }

    /// Takes in an event before the router handles it.
    pub fn hear(&mut self, now: Duration, event: &Event) {
        match event {
            Event::Arrive(request) => {
                let open = Open {
                    idempotent: request.idempotent,
                    deadline: request.deadline.max(now),
                    unproven: BTreeSet::new(),
                };
                let sequence = request.sequence;
                if self.open.insert(sequence, open).is_some() {
                    self.report(now, format!("sequence {sequence} arrived twice"));
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
                    self.out.remove(id);
                } else {
                    self.out.insert(id.clone());
                }
            }
            Event::Reply {
                sequence,
                target,
                reply: Reply::NotStarted(_),
            } => {
                if let Some(open) = self.open.get_mut(sequence) {
                    open.unproven.remove(target);
                }
            }
            _ => {}
        }
    }

    /// Checks the actions that the router returned for the event, and after a tick that no
    /// deadline has passed without an answer.
    pub fn check(&mut self, now: Duration, tick: bool, actions: &[Action]) {
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
            let text = format!("request {sequence} has no answer after its deadline");
            self.report(now, text);
        }
    }

    fn check_send(&mut self, now: Duration, sequence: Sequence, target: &TargetId) {
        match self.targets.get(target) {
            None => self.report(now, format!("sent to the unknown target {target}")),
            Some((_, true)) => self.report(now, format!("sent to the leaving target {target}")),
            Some((domain, false)) if self.out.contains(domain) => {
                let text = format!("sent to {target} in {domain}, which is out of service");
                self.report(now, text);
            }
            Some(_) => {}
        }
        let Some(open) = self.open.get_mut(&sequence) else {
            self.report(now, format!("sent {sequence}, which is not open"));
            return;
        };
        let repeated = !open.idempotent && !open.unproven.is_empty();
        open.unproven.insert(target.clone());
        if repeated {
            let text = format!("sent the non-idempotent {sequence} again without proof");
            self.report(now, text);
        }
    }

    fn check_answer(&mut self, now: Duration, sequence: Sequence, outcome: &Outcome) {
        let Some(open) = self.open.remove(&sequence) else {
            self.report(now, format!("answered {sequence}, which is not open"));
            return;
        };
        if matches!(outcome, Outcome::NotRun(_)) && !open.unproven.is_empty() {
            let text = format!("{sequence} is answered as not run, but may have run");
            self.report(now, text);
        }
    }
}
