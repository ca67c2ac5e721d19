//! Replacement of an agent's worker by another incarnation.
//!
//! A registered incarnation takes over once the processes themselves have shown that it is the host's worker:
//!
//! * It has answered a poll as the incarnation that it claims to be.
//! * The current worker is gone: the other one answers at its address, its address refuses connections or answers under
//!   another name, or its lease has expired.
//!
//! A process of the agent that has no worker yet takes the first one that answers. One that lists no active run has to
//! wait, however, while another one that has registered at another address may be alive and hold a lease that an earlier
//! process requested. That process called one worker at a time, so of several only one holds a lease.
//!
//! Until then the current worker is polled, renewed and stopped as before. If it answers a poll that was sent after the
//! other one registered, that registration is dropped.
//!
//! A worker that deregisters gets no new runs, but is the host's worker until its address refuses connections or answers
//! under another name, or its lease has expired. The message may be late, and its sender goes on for some seconds if the
//! acknowledgement is lost. If another incarnation with its name answers, that one may run starts that were meant for this
//! one. It then has to take over and list its runs, or to be out of reach for as long as such a start can run.

use super::candidate::Candidate;
use super::session::{Facts, Registration, RunLists, Session};
use super::{Agent, LeaseRequest};
use crate::id::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum time between two probes, which limits the calls that registrations of other writers cause.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Pause between two probes of a worker that has deregistered. It usually ends at once, and its runs with it.
const LEAVING_PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Effect of a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Registered {
    /// It belongs to the current worker.
    Current,
    /// It belongs to another incarnation, which has to be probed; `new` unless it has registered before.
    Candidate {
        /// Whether the incarnation was unknown.
        new: bool,
    },
}

/// A poll that tests whether an incarnation of the worker is alive. It does not extend a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// Address to poll.
    pub address: SocketAddr,
    /// Parameters of the poll.
    pub request: LeaseRequest,
}

/// What an attempt to poll an incarnation shows about it.
#[derive(Debug, Clone, PartialEq)]
pub enum Contact {
    /// It answered with its lists of runs.
    Lists(RunLists),
    /// A worker with another name answered at its address.
    OtherLife,
    /// Another incarnation with its name answered at its address. That one carries out starts that arrive late, although
    /// they were meant for this one.
    Restarted,
    /// Its address refused the connection.
    Refused,
    /// There was no usable answer.
    Unanswered,
}

/// Change of the agent's worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transition {
    /// The worker is the same as before.
    Unchanged,
    /// The probed incarnation is the host's worker now.
    Started {
        /// The worker that it replaces.
        previous: Option<Incarnation>,
    },
    /// The worker, which had deregistered, is gone.
    Left(Incarnation),
}

impl Agent {
    /// Processes a registration of a worker that accepts calls at an address.
    pub fn register(
        &mut self,
        now: Duration,
        registration: Registration,
        address: SocketAddr,
    ) -> Registered {
        if let Some(session) = &mut self.session
            && session.incarnation() == &registration.info.incarnation
        {
            session.register(now, self.sequence, registration);
            return Registered::Current;
        }
        let new = self.candidates.register(now, registration, address);
        Registered::Candidate { new }
    }

    /// Processes the deregistration of a worker. Returns whether it has the name of the current one, which then gets no
    /// new runs and is probed until its end shows.
    pub fn deregister(&mut self, now: Duration, worker: &str) -> bool {
        self.candidates.deregister(now, worker);
        let Some(session) = self
            .session
            .as_mut()
            .filter(|session| &*session.incarnation().worker == worker)
        else {
            return false;
        };
        session.leaving_since = Some(now);
        session.probe_at = Some(now);
        true
    }

    /// Returns the next probe, if one is due. At most one probe is to be in flight.
    pub fn due_probe(&mut self, now: Duration) -> Option<Probe> {
        let allowed = self
            .last_probe
            .is_none_or(|last| now >= last + MIN_PROBE_INTERVAL);
        if !allowed || self.epoch == 0 {
            return None;
        }
        let session = self.session.as_ref();
        let session = session.filter(|session| session.probe_at.is_some_and(|at| at <= now));
        let candidate = self.candidates.due(now);
        // If both are due, they are probed by turns.
        let candidate = candidate.filter(|_| session.is_none() || !self.candidate_probed);
        let (address, incarnation, recorded) = match (candidate, session) {
            (Some(candidate), _) => (candidate.address, candidate.facts.incarnation().clone(), 0),
            (None, Some(session)) => {
                let incarnation = session.incarnation().clone();
                (session.address, incarnation, session.acknowledged())
            }
            (None, None) => return None,
        };
        self.candidate_probed = self.incarnation() != Some(&incarnation);
        let first = self.candidates.probed(now, &incarnation);
        if first && self.was_called(&incarnation.worker) {
            self.fence.raise();
        }
        self.last_probe = Some(now);
        Some(Probe {
            address,
            request: LeaseRequest {
                incarnation,
                token: self.fence.token(),
                recorded,
                deadline: None,
                wait: false,
            },
        })
    }

    /// Returns whether calls to a worker of this name may still be under way, which its next incarnation would carry out.
    fn was_called(&self, worker: &str) -> bool {
        let left = self.deregistered.as_ref();
        self.incarnation()
            .into_iter()
            .chain(left.map(|(_, incarnation)| incarnation))
            .any(|known| &*known.worker == worker)
    }

    /// Returns the earliest time at which a probe is due; `None` if there is none or no decider has answered yet.
    #[must_use]
    pub fn next_probe(&self) -> Option<Duration> {
        if self.epoch == 0 {
            return None;
        }
        let current = self.session.as_ref().and_then(|session| session.probe_at);
        let next = self
            .candidates
            .next_due()
            .into_iter()
            .chain(current)
            .min()?;
        let allowed = self.last_probe.map(|last| last + MIN_PROBE_INTERVAL);
        Some(next.max(allowed.unwrap_or_default()))
    }

    /// Processes the result of a probe that was sent at `requested`.
    pub fn probe_answered(
        &mut self,
        now: Duration,
        requested: Duration,
        probe: &Probe,
        contact: Contact,
    ) -> Transition {
        let incarnation = &probe.request.incarnation;
        if self.incarnation() == Some(incarnation) {
            return self.current_probed(now, requested, &contact);
        }
        match contact {
            Contact::Lists(lists) if self.is_replaced_by(now, probe, &lists) => {
                self.take_over(now, requested, incarnation, lists)
            }
            Contact::Lists(_) => {
                if let Some(session) = &mut self.session {
                    session.probe_at = Some(now);
                } else {
                    self.candidates.expedite(now);
                }
                self.candidates.retry(now, incarnation);
                Transition::Unchanged
            }
            Contact::OtherLife | Contact::Refused
                if self.session.is_none() && self.candidates.is_leaving(incarnation) =>
            {
                self.candidates.take(incarnation);
                self.deregistered = Some((now, incarnation.clone()));
                Transition::Left(incarnation.clone())
            }
            Contact::OtherLife | Contact::Restarted | Contact::Refused => {
                self.candidates.note_absence(incarnation);
                self.candidates.retry(now, incarnation);
                Transition::Unchanged
            }
            Contact::Unanswered => {
                self.candidates.retry(now, incarnation);
                Transition::Unchanged
            }
        }
    }

    /// Processes the result of a probe of the current worker. Its lists are not applied, because they may be older
    /// than those of a regular poll that was answered meanwhile.
    fn current_probed(
        &mut self,
        now: Duration,
        requested: Duration,
        contact: &Contact,
    ) -> Transition {
        let Some(session) = &mut self.session else {
            return Transition::Unchanged;
        };
        let transition = if matches!(contact, Contact::Lists(_)) {
            session.answered(now, requested);
            self.refute_candidates(requested);
            Transition::Unchanged
        } else {
            self.note_absence(now, contact)
        };
        if let Some(session) = &mut self.session {
            let leaving = session.leaving_since.is_some();
            session.probe_at = leaving.then_some(now + LEAVING_PROBE_INTERVAL);
        }
        transition
    }

    /// Returns whether a probed incarnation that answered is the host's worker.
    fn is_replaced_by(&self, now: Duration, probe: &Probe, lists: &RunLists) -> bool {
        let incarnation = &probe.request.incarnation;
        let Some(session) = &self.session else {
            let earlier_leases_end = self.started_at + self.bounds.max_lease_duration();
            return now >= earlier_leases_end
                || !lists.running.is_empty()
                || !self.candidates.has_other(incarnation, probe.address);
        };
        // With equal names only the start in the answer tells the two apart.
        let identified = incarnation.worker != session.incarnation().worker
            || lists.started_ms == Some(incarnation.started_ms);
        let gone = probe.address == session.address || session.has_left(now);
        identified && gone
    }

    fn take_over(
        &mut self,
        now: Duration,
        requested: Duration,
        incarnation: &Incarnation,
        lists: RunLists,
    ) -> Transition {
        let Some(Candidate {
            facts,
            address,
            leaving,
            ..
        }) = self.candidates.take(incarnation)
        else {
            return Transition::Unchanged;
        };
        self.deregistered
            .take_if(|(_, deregistered)| deregistered == incarnation);
        if self
            .session
            .as_ref()
            .is_some_and(|session| session.address == address)
        {
            self.note_loss(now, &Contact::OtherLife);
        }
        self.note_crash(now);
        let previous = self.session.take().map(|session| session.facts);
        let previous = previous.as_ref().map(Facts::incarnation).cloned();
        if let Some(previous) = &previous
            && previous.worker != incarnation.worker
        {
            self.deregistered = Some((now, previous.clone()));
        }
        self.clear_calls();
        let lease = self.bounds.worker_lease();
        let mut session = Session::new(now, facts, address, lists, lease);
        if leaving {
            session.leaving_since = Some(now);
            session.probe_at = Some(now + LEAVING_PROBE_INTERVAL);
        }
        self.session = Some(session);
        self.refute_candidates(requested);
        Transition::Started { previous }
    }

    /// Drops the candidates that registered before the current worker was asked and answered.
    pub(super) fn refute_candidates(&mut self, requested: Duration) {
        let refuted = self.candidates.take_registered_by(requested);
        self.refuted.extend(refuted);
    }

    /// Returns the incarnations whose registrations were dropped since the last call, because the current worker
    /// answered.
    pub fn take_refuted(&mut self) -> Vec<Incarnation> {
        std::mem::take(&mut self.refuted)
    }

    /// Processes a failed poll or probe of the current worker.
    pub(super) fn note_absence(&mut self, now: Duration, contact: &Contact) -> Transition {
        self.candidates.expedite(now);
        self.note_loss(now, contact);
        let Some(session) = &mut self.session else {
            return Transition::Unchanged;
        };
        if matches!(contact, Contact::Restarted) {
            let late_starts_end = now + self.bounds.late_start_window();
            session.late_starts_end.get_or_insert(late_starts_end);
        }
        if session.leaving_since.is_none() {
            return Transition::Unchanged;
        }
        session.probe_at = Some(now);
        if session.has_left(now) {
            self.leave(now)
        } else {
            Transition::Unchanged
        }
    }

    /// Ends the session of a worker that has deregistered and is gone.
    fn leave(&mut self, now: Duration) -> Transition {
        let Some(session) = self.session.take() else {
            return Transition::Unchanged;
        };
        let incarnation = session.incarnation().clone();
        self.deregistered = Some((now, incarnation.clone()));
        self.clear_calls();
        Transition::Left(incarnation)
    }
}
