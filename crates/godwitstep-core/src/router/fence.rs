//! Fencing of keys that may have been sent before: every agent of the service is sent a fence of
//! the key, and the request is sent only if no agent has received the key for another request.

use super::pending::{Fences, Phase};
use super::{Action, KeyState, Outcome, Router, Sequence, Target};
use crate::id::{Incarnation, TargetId};
use crate::reason::Reason;
use std::time::Duration;

impl Router {
    /// Sends a fence of the request's key to every linked agent of the service.
    pub(super) fn start_fence(
        &mut self,
        now: Duration,
        sequence: Sequence,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&sequence) else {
            return;
        };
        let mut fences = Fences::default();
        for member in self.fleet.targets_of(&pending.request.service) {
            let target = member.target.id.clone();
            fences.unreplied.insert(target.clone());
            actions.push(Action::Fence { sequence, target });
        }
        let warm_up_end = self.first_event.unwrap_or(now) + self.settings.warm_up;
        let until = now.max(warm_up_end) + self.settings.fence_time;
        pending.fences = Some(fences);
        self.set_phase(now, sequence, Phase::Fencing { until });
        self.conclude_fence(now, sequence, actions);
    }

    /// Ends the fencing of a request if every agent has replied and the warm-up is over.
    pub(super) fn conclude_fence(
        &mut self,
        now: Duration,
        sequence: Sequence,
        actions: &mut Vec<Action>,
    ) {
        let warm_up_end = self.first_event.unwrap_or(now) + self.settings.warm_up;
        let Some(pending) = self.pending.get_mut(&sequence) else {
            return;
        };
        let Some(fences) = &pending.fences else {
            return;
        };
        if !matches!(pending.phase, Phase::Fencing { .. })
            || !fences.unreplied.is_empty()
            || now < warm_up_end
        {
            return;
        }
        let window = self.settings.key_window;
        let unreachable = self
            .fleet
            .has_unreachable(now, &pending.request.service, window);
        if unreachable {
            self.abort(now, sequence, Reason::TargetLost, None, actions);
        } else if fences.granted.is_empty() {
            // No agent holds the fence, so the state of the key is unknown.
            self.abort(now, sequence, Reason::NoTarget, None, actions);
        } else {
            pending.may_have_run = false;
            self.admit(now, sequence, actions);
        }
    }

    /// Sends fences of the keys of waiting requests to the agent of a newly announced target.
    pub(super) fn fence_on_new_target(&mut self, target: &Target, actions: &mut Vec<Action>) {
        for (sequence, pending) in &mut self.pending {
            let needs_fence = pending.is_waiting() && pending.request.service == target.service;
            let Some(fences) = pending.fences.as_mut().filter(|_| needs_fence) else {
                continue;
            };
            if fences.granted.get(&target.id) == Some(&target.incarnation) {
                continue;
            }
            fences.granted.remove(&target.id);
            if fences.unreplied.insert(target.id.clone()) {
                let (sequence, target) = (*sequence, target.id.clone());
                actions.push(Action::Fence { sequence, target });
            }
        }
    }

    /// Discards the fences of a lost target, and answers the requests that depend on its replies.
    pub(super) fn discard_fences_of(
        &mut self,
        now: Duration,
        target: &TargetId,
        actions: &mut Vec<Action>,
    ) {
        let mut ended = Vec::new();
        for (sequence, pending) in &mut self.pending {
            let awaits_run =
                matches!(&pending.phase, Phase::AwaitingEarlierRun { target: at } if at == target);
            let Some(fences) = &mut pending.fences else {
                continue;
            };
            fences.granted.remove(target);
            let unreplied = fences.unreplied.remove(target);
            if awaits_run || (unreplied && matches!(pending.phase, Phase::Fencing { .. })) {
                ended.push(*sequence);
            }
        }
        for sequence in ended {
            self.abort(now, sequence, Reason::TargetLost, None, actions);
        }
    }

    /// Handles an agent's reply to a fence request.
    pub(super) fn fence_reply(
        &mut self,
        now: Duration,
        sequence: Sequence,
        target: &TargetId,
        state: KeyState,
        actions: &mut Vec<Action>,
    ) {
        let incarnation = self.incarnation(target);
        let Some(pending) = self.pending.get_mut(&sequence) else {
            return;
        };
        let waiting = pending.is_waiting();
        let Some(fences) = &mut pending.fences else {
            return;
        };
        if !fences.unreplied.remove(target) {
            return;
        }
        match state {
            KeyState::Fenced => {
                if let Some(incarnation) = incarnation {
                    fences.granted.insert(target.clone(), incarnation);
                }
                self.conclude_fence(now, sequence, actions);
            }
            _ if !waiting => {}
            KeyState::Running | KeyState::Answered => {
                self.mark_may_have_run(sequence);
                let target = target.clone();
                self.set_phase(now, sequence, Phase::AwaitingEarlierRun { target });
            }
            KeyState::Failed => {
                let target = target.clone();
                self.answer(now, sequence, Outcome::Failed { target }, actions);
            }
            KeyState::Unknown => {
                self.mark_may_have_run(sequence);
                self.abort(now, sequence, Reason::CutOff, None, actions);
            }
        }
    }

    fn incarnation(&self, target: &TargetId) -> Option<Incarnation> {
        let member = self.fleet.members.get(target)?;
        Some(member.target.incarnation)
    }

    /// Records that the request may have run, so that it is no longer answered as not run.
    pub(super) fn mark_may_have_run(&mut self, sequence: Sequence) {
        if let Some(pending) = self.pending.get_mut(&sequence) {
            pending.may_have_run = true;
        }
    }
}
