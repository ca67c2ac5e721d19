//! The protocol for a key that may have been sent before: every agent of the service is asked,
//! and the request is sent only if none of them has the key.

use super::item::{Fences, Phase};
use super::{Action, KeyState, Outcome, Router, Sequence, Target};
use crate::id::{Incarnation, TargetId};
use crate::reason::Reason;
use std::time::Duration;

impl Router {
    pub(super) fn start_fence(
        &mut self,
        now: Duration,
        sequence: Sequence,
        actions: &mut Vec<Action>,
    ) {
        let Some(item) = self.items.get_mut(&sequence) else {
            return;
        };
        let mut fences = Fences::default();
        for member in self.fleet.of(&item.request.service) {
            let target = member.target.id.clone();
            fences.asked.insert(target.clone());
            actions.push(Action::Fence { sequence, target });
        }
        let open = self.started.unwrap_or(now) + self.settings.warm_up;
        let until = now.max(open) + self.settings.fence_time;
        item.fences = Some(fences);
        self.set_phase(now, sequence, Phase::Fencing { until });
        self.conclude_fence(now, sequence, actions);
    }

    /// Ends the fence of a request if every agent has replied.
    pub(super) fn conclude_fence(
        &mut self,
        now: Duration,
        sequence: Sequence,
        actions: &mut Vec<Action>,
    ) {
        let open = self.started.unwrap_or(now) + self.settings.warm_up;
        let Some(item) = self.items.get_mut(&sequence) else {
            return;
        };
        let Some(fences) = &item.fences else {
            return;
        };
        if !matches!(item.phase, Phase::Fencing { .. }) || !fences.asked.is_empty() || now < open {
            return;
        }
        let window = self.settings.key_window;
        let absent = self.fleet.has_absent(now, &item.request.service, window);
        if absent {
            self.give_up(now, sequence, Reason::TargetLost, None, actions);
        } else if fences.held.is_empty() {
            // Nobody was asked, so nothing is known of the key.
            self.give_up(now, sequence, Reason::NoTarget, None, actions);
        } else {
            item.doubt = false;
            self.admit(now, sequence, actions);
        }
    }

    /// Asks a target that has come up about the keys of requests that wait.
    pub(super) fn fence_also(&mut self, target: &Target, actions: &mut Vec<Action>) {
        for (sequence, item) in &mut self.items {
            let concerned = item.is_waiting() && item.request.service == target.service;
            let Some(fences) = item.fences.as_mut().filter(|_| concerned) else {
                continue;
            };
            if fences.held.get(&target.id) == Some(&target.incarnation) {
                continue;
            }
            fences.held.remove(&target.id);
            if fences.asked.insert(target.id.clone()) {
                let (sequence, target) = (*sequence, target.id.clone());
                actions.push(Action::Fence { sequence, target });
            }
        }
    }

    /// Drops what a lost target said about keys, and ends what depends on it.
    pub(super) fn fences_lost(
        &mut self,
        now: Duration,
        target: &TargetId,
        actions: &mut Vec<Action>,
    ) {
        let mut ended = Vec::new();
        for (sequence, item) in &mut self.items {
            let waits = matches!(&item.phase, Phase::Waiting { target: at } if at == target);
            let Some(fences) = &mut item.fences else {
                continue;
            };
            fences.held.remove(target);
            let unasked = fences.asked.remove(target);
            if waits || (unasked && matches!(item.phase, Phase::Fencing { .. })) {
                ended.push(*sequence);
            }
        }
        for sequence in ended {
            self.give_up(now, sequence, Reason::TargetLost, None, actions);
        }
    }

    pub(super) fn fenced(
        &mut self,
        now: Duration,
        sequence: Sequence,
        target: &TargetId,
        state: KeyState,
        actions: &mut Vec<Action>,
    ) {
        let incarnation = self.incarnation(target);
        let Some(item) = self.items.get_mut(&sequence) else {
            return;
        };
        let waiting = item.is_waiting();
        let Some(fences) = &mut item.fences else {
            return;
        };
        if !fences.asked.remove(target) {
            return;
        }
        match state {
            KeyState::Fenced => {
                if let Some(incarnation) = incarnation {
                    fences.held.insert(target.clone(), incarnation);
                }
                self.conclude_fence(now, sequence, actions);
            }
            _ if !waiting => {}
            KeyState::Running | KeyState::Answered => {
                self.doubt(sequence);
                let target = target.clone();
                self.set_phase(now, sequence, Phase::Waiting { target });
            }
            KeyState::Failed => {
                let target = target.clone();
                self.answer(now, sequence, Outcome::Failed { target }, actions);
            }
            KeyState::Unknown => {
                self.doubt(sequence);
                self.give_up(now, sequence, Reason::CutOff, None, actions);
            }
        }
    }

    fn incarnation(&self, target: &TargetId) -> Option<Incarnation> {
        let member = self.fleet.members.get(target)?;
        Some(member.target.incarnation)
    }

    pub(super) fn doubt(&mut self, sequence: Sequence) {
        if let Some(item) = self.items.get_mut(&sequence) {
            item.doubt = true;
        }
    }
}
