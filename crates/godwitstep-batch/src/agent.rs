//! State machine of an agent: its view of the worker and the calls that it makes to it.
//!
//! The agent executes the decider's orders, renews the lease of its worker while a decider answers, and
//! reports the worker's state. It makes no scheduling decisions. Calls may be lost or executed late, so the
//! following rules hold whatever happens to a call that was not answered:
//!
//! * A start carries a deadline of [`START_TTL`] on the worker's clock, after which the worker rejects it.
//! * A run counts as never begun only after the worker has answered a stop of it (or refused the only call
//!   to start it) and a poll that was sent later lists neither the run nor its end, but all other ends.
//! * A report that the worker's lease has expired ends all runs. The deadlines of all starts that were sent have passed
//!   then, and no start is sent any more on an order that answers this report or an earlier one. The same holds for
//!   orders that answer a report from before the worker took over.
//! * No start is sent on an order that answers a report from before the worker's room became smaller.
//!
//! ```
//! use godwitstep_batch::{agent::Agent, bounds::Bounds};
//! use std::time::Duration;
//!
//! let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 1, Bounds::default());
//! assert!(agent.lease_request(Duration::ZERO).is_none(), "no worker is known");
//! let report = agent.report(Duration::ZERO, false);
//! assert_eq!(report.sequence, 1);
//! ```

mod call;
mod candidate;
mod crash;
mod order;
mod replacement;
mod room;
mod search;
mod session;

pub use call::{Answer, Call, Operation};
pub use replacement::{Contact, Probe, Registered, Transition};
pub use search::DeciderSearch;
pub use session::{Registration, RunLists};

use crate::bounds::{AGENT_LEASE, Bounds, START_ORDER_TTL};
use crate::id::{Epoch, Host, Incarnation, Run, Task, Token};
use crate::message::{Crash, Directive, Refused, Report, Running, Worker, WorkerInfo};
use crate::token::Fence;
use call::{Pending, Resolution};
use candidate::Candidates;
use session::Session;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time to live of a call that starts a run, from its sending. Longer than the timeout of the call.
pub const START_TTL: Duration = Duration::from_secs(2);
/// Number of reports whose sending times are kept, to compute the age of the directives that answer them.
const MAX_SENT_REPORTS: usize = 64;
/// Time for which a run that never began is reported. Longer than an outage of the decider.
const REFUSAL_RETENTION: Duration = Duration::from_secs(30);
/// Time for which the deregistration of a worker is reported.
const DEREGISTRATION_RETENTION: Duration = Duration::from_secs(30);

/// Identifies a run: its task and its number.
pub type RunKey = (Task, Run);

/// Parameters of a lease request, which polls a worker's runs and renews its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Incarnation of the worker that is addressed.
    pub incarnation: Incarnation,
    /// Fencing token.
    pub token: Token,
    /// Highest sequence number up to which all ends are recorded; the worker may forget these.
    pub recorded: u64,
    /// New end of the lease on the worker's clock in milliseconds; `None` to leave the lease unchanged.
    pub deadline: Option<u64>,
    /// Whether the worker may hold the answer back until a run ends (long poll).
    pub wait: bool,
}

/// State machine of an agent.
#[derive(Debug)]
pub struct Agent {
    /// When the agent's process started. Calls of an earlier process may be executed after it.
    started_at: Duration,
    host: Host,
    incarnation: u64,
    bounds: Bounds,
    sequence: u64,
    /// Sending times of the newest reports, oldest first.
    sent: VecDeque<(u64, Duration)>,
    /// Sending time of the newest report that a decider answered.
    last_answered: Option<Duration>,
    epoch: Epoch,
    fence: Fence,
    /// The host's worker, once it has answered a poll.
    session: Option<Session>,
    candidates: Candidates,
    /// Incarnations whose registrations were dropped, because the current worker answered.
    refuted: Vec<Incarnation>,
    /// When the last probe was sent.
    last_probe: Option<Duration>,
    /// Whether the last probe was sent to a candidate instead of the current worker.
    candidate_probed: bool,
    /// When the last worker deregistered or was replaced by one with another name, and its incarnation.
    deregistered: Option<(Duration, Incarnation)>,
    /// Workers that crashed lately, and since when that is known.
    crashes: Vec<(Duration, Crash)>,
    pending: BTreeMap<RunKey, Pending>,
    /// Runs whose call was answered and whose state is determined by the next poll.
    resolving: BTreeMap<RunKey, Resolution>,
    refused: Vec<(Duration, Refused)>,
    /// Sequence number of the newest report before the worker changed, or that said that the lease has expired; 0 before
    /// the first one. The decider may have ended all runs since, so starts that answer it or an earlier one are void.
    void_through: u64,
}

impl Agent {
    /// Creates an agent without a worker. Its process starts at `now`.
    #[must_use]
    pub const fn new(now: Duration, host: Host, incarnation: u64, bounds: Bounds) -> Self {
        Self {
            started_at: now,
            host,
            incarnation,
            bounds,
            sequence: 0,
            sent: VecDeque::new(),
            last_answered: None,
            epoch: 0,
            fence: Fence::new(),
            session: None,
            candidates: Candidates::new(),
            refuted: Vec::new(),
            last_probe: None,
            candidate_probed: false,
            deregistered: None,
            crashes: Vec::new(),
            pending: BTreeMap::new(),
            resolving: BTreeMap::new(),
            refused: Vec::new(),
            void_through: 0,
        }
    }

    /// Drops all orders and calls, because the worker has changed. Orders that answer an earlier report are void, also if
    /// the same worker returns.
    fn clear_calls(&mut self) {
        self.void_through = self.sequence;
        self.pending.clear();
        self.resolving.clear();
        self.refused.clear();
    }

    /// Returns the current incarnation of the worker.
    #[must_use]
    pub fn incarnation(&self) -> Option<&Incarnation> {
        self.session.as_ref().map(Session::incarnation)
    }

    /// Returns the properties of the current worker.
    #[must_use]
    pub fn worker_info(&self) -> Option<&WorkerInfo> {
        self.session.as_ref().map(|session| &session.facts.info)
    }

    /// Returns the highest epoch that the agent has received.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the time since the newest report that a decider answered was sent.
    #[must_use]
    pub fn time_since_answer(&self, now: Duration) -> Option<Duration> {
        self.last_answered
            .map(|answered| now.saturating_sub(answered))
    }

    /// Returns whether the worker lists ends that the decider has not recorded yet.
    #[must_use]
    pub fn has_unrecorded_ends(&self) -> bool {
        self.session
            .as_ref()
            .is_some_and(Session::has_unrecorded_ends)
    }

    /// Returns the number of orders whose calls are not settled.
    #[must_use]
    pub fn pending_orders(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether the worker has active runs or may have some soon, because calls are pending or not settled.
    #[must_use]
    pub fn busy(&self) -> bool {
        let running = self
            .session
            .as_ref()
            .is_some_and(|session| !session.running.is_empty());
        running || !self.pending.is_empty() || !self.resolving.is_empty()
    }

    /// Returns the next lease request to the worker; `None` if there is no worker or no decider has answered yet.
    #[must_use]
    pub fn lease_request(&mut self, now: Duration) -> Option<LeaseRequest> {
        let renew = self
            .time_since_answer(now)
            .is_some_and(|silence| silence < AGENT_LEASE);
        let lease = self.bounds.worker_lease();
        if self.epoch == 0 {
            return None;
        }
        let session = self.session.as_mut()?;
        // The lease of a worker that may be gone is left to expire, as the last evidence that it is. The next incarnation
        // with its name would apply a renewal that is meant for this one.
        let renew = renew && !session.has_restarted() && !session.is_unreachable();
        let deadline = renew.then(|| session.clock(now).saturating_add(millis(lease)));
        session.extend_lease(deadline);
        Some(LeaseRequest {
            incarnation: session.incarnation().clone(),
            token: self.fence.token(),
            recorded: session.acknowledged(),
            deadline,
            wait: !session.has_unrecorded_ends(),
        })
    }

    /// Processes the run lists in the answer to a lease request that was sent at `requested`. Returns whether they
    /// differ from the previous answer.
    pub fn poll_answered(
        &mut self,
        now: Duration,
        requested: Duration,
        incarnation: &Incarnation,
        lists: RunLists,
    ) -> bool {
        let Some(session) = self
            .session
            .as_mut()
            .filter(|session| session.incarnation() == incarnation)
        else {
            return false;
        };
        session.answered(now, requested);
        let truncated = lists.truncated;
        let incomplete = lists.incomplete;
        let max_stop_time = self.bounds.max_stop_time;
        let changed = session.update(now, lists);
        let mut resolved = Vec::new();
        self.resolving.retain(|key, resolution| {
            if session.lists_ended(key) {
                return false;
            }
            if session.lists_active(key) {
                // A run that has begun is listed as active now; one that is being stopped is kept until its end
                // is listed.
                return resolution.refusal.is_some();
            }
            // A row that can't be read may be that of the run, but not for longer than any stop takes.
            let hidden = incomplete && now <= resolution.since + max_stop_time * 2;
            if truncated || hidden || requested < resolution.since {
                return true;
            }
            resolved.extend(resolution.refusal.map(|reason| (*key, reason)));
            false
        });
        let changed = changed || !resolved.is_empty();
        for ((task, run), reason) in resolved {
            self.refused.push((now, Refused { task, run, reason }));
        }
        self.refute_candidates(requested);
        changed
    }

    /// Records that the worker did not answer a lease request with its lists.
    pub fn poll_failed(
        &mut self,
        now: Duration,
        incarnation: &Incarnation,
        contact: &Contact,
    ) -> Transition {
        let Some(session) = self
            .session
            .as_mut()
            .filter(|session| session.incarnation() == incarnation)
        else {
            return Transition::Unchanged;
        };
        if session.failed_polls == 0 {
            self.fence.raise();
        }
        session.failed_polls += 1;
        if matches!(contact, Contact::OtherLife | Contact::Restarted)
            && !session.absent
            && self.candidates.is_empty()
        {
            // Fences off late calls at the incarnation that has answered, before its registration arrives.
            session.probe_at = Some(now);
        }
        self.note_absence(now, contact)
    }

    /// Creates the next report.
    pub fn report(&mut self, now: Duration, wait: bool) -> Report {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        if self.sent.len() > MAX_SENT_REPORTS {
            self.sent.pop_front();
        }
        self.refused.retain(|(at, _)| *at + REFUSAL_RETENTION > now);
        self.deregistered
            .take_if(|(at, _)| *at + DEREGISTRATION_RETENTION < now);
        if self
            .session
            .as_ref()
            .is_some_and(|session| session.is_gone(now))
        {
            self.void_through = self.sequence;
            self.pending.retain(|_, pending| !pending.starts_run());
            self.note_crash(now);
        }
        let crashed = self.reported_crashes(now);
        Report {
            host: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            epoch: self.epoch,
            worker: self
                .session
                .as_ref()
                .map(|session| self.worker_report(now, session)),
            deregistered: self
                .deregistered
                .as_ref()
                .map(|(_, incarnation)| incarnation.clone()),
            crashed,
            wait,
            ..Report::default()
        }
    }

    fn worker_report(&self, now: Duration, session: &Session) -> Worker {
        let mut running: Vec<Running> = session.running.clone();
        let begun = self
            .resolving
            .iter()
            .filter(|(key, resolution)| resolution.begun && !session.lists_active(key));
        running.extend(begun.map(|((task, run), _)| Running {
            task: *task,
            run: *run,
            saved: "".into(),
            percent: 0,
        }));
        Worker {
            info: WorkerInfo {
                draining: session.draining(),
                ..session.facts.info.clone()
            },
            reachability: session.reachability(now),
            running,
            ended: session.ended.clone(),
            refused: self
                .refused
                .iter()
                .map(|(_, refused)| refused.clone())
                .collect(),
        }
    }

    /// Processes a decider's reply to a report. Returns whether it was applied.
    pub fn apply_directive(&mut self, now: Duration, directive: Directive) -> bool {
        if directive.epoch < self.epoch {
            return false;
        }
        self.epoch = directive.epoch;
        self.fence.advance(directive.epoch, directive.token);
        let reported = self
            .sent
            .iter()
            .find(|(sequence, _)| *sequence == directive.sequence)
            .map(|(_, at)| *at);
        let Some(reported) = reported else {
            return false;
        };
        self.last_answered = self.last_answered.max(Some(reported));
        let Some(session) = &mut self.session else {
            return true;
        };
        if directive.incarnation.as_ref() != Some(session.incarnation()) {
            return true;
        }
        session.recorded = session.recorded.max(directive.recorded);
        let accepts_starts = !session.draining() && directive.sequence > self.void_through;
        for key in directive.stop {
            self.enqueue_stop(now, directive.sequence, key);
        }
        let expires = reported + START_ORDER_TTL;
        if expires > now && accepts_starts {
            for start in directive.start {
                self.enqueue_start(directive.sequence, expires, start);
            }
        }
        true
    }

    /// Returns whether the worker is shutting down and accepts no new runs.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.session.as_ref().is_some_and(Session::draining)
    }
}

/// Returns a duration in whole milliseconds, saturating at the maximum.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
