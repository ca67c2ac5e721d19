//! What an agent knows of its worker and which calls it makes there.
//!
//! The agent carries orders out, keeps the lease of its worker while a decider wants it, and reports.
//! It decides nothing about jobs. Its calls may be lost or carried out late, so each rule here holds
//! whatever becomes of a call that got no answer:
//!
//! * a start carries a deadline of [`START_LIFE`] on the worker's clock, after which the worker
//!   refuses it;
//! * a run counts as never begun only once the worker has answered a stop of it (or refused the only
//!   call that asked for it), and a list that was requested later shows neither the run nor its end.
//!
//! ```
//! use godwitstep_batch::{agent::Agent, bounds::Bounds};
//! use std::time::Duration;
//!
//! let mut agent = Agent::new("host-1".into(), 1, Bounds::default());
//! assert!(agent.hold(Duration::ZERO).is_none(), "no worker is known");
//! let report = agent.report(Duration::ZERO, false);
//! assert_eq!(report.sequence, 1);
//! ```

mod call;
mod search;
mod seat;

pub use call::{Answer, Call, Deed};
pub use search::Search;
pub use seat::{Lists, Registration};

use crate::bounds::{Bounds, COAST, ORDER_LIFE};
use crate::id::{Epoch, Host, Life, Run, Task};
use crate::message::{Directive, Refusal, Refused, Report, Running, Start, Worker};
use call::{Pending, Resolution};
use seat::Seat;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Deadline of a start order, from its sending. Longer than the call's own time limit.
pub const START_LIFE: Duration = Duration::from_secs(2);
/// Reports whose sending times are kept to date the directives that answer them.
const KEPT_REPORTS: usize = 64;
/// Time for which a run that never began is reported. Longer than the outage of a decider.
const KEPT_REFUSALS: Duration = Duration::from_secs(30);
/// Time for which an ended life is reported.
const KEPT_LIFE: Duration = Duration::from_secs(30);

/// Names one run.
pub type Key = (Task, Run);

/// Parameters of a call that reads a worker's lists and prolongs its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// Life of the worker that is meant.
    pub life: Life,
    /// Fencing token.
    pub epoch: Epoch,
    /// Ends up to this number are recorded.
    pub recorded: u64,
    /// New end of the lease on the worker's clock in milliseconds; `None` to leave it.
    pub deadline: Option<u64>,
    /// Whether the answer may wait for an end.
    pub wait: bool,
}

/// State of an agent.
#[derive(Debug)]
pub struct Agent {
    host: Host,
    incarnation: u64,
    bounds: Bounds,
    sequence: u64,
    /// Sending times of the newest reports, oldest first.
    sent: VecDeque<(u64, Duration)>,
    /// When the newest report that a decider answered was sent.
    contact: Option<Duration>,
    epoch: Epoch,
    seat: Option<Seat>,
    left: Option<(Duration, Life)>,
    pending: BTreeMap<Key, Pending>,
    /// Runs whose fate the next list tells.
    resolving: BTreeMap<Key, Resolution>,
    refused: Vec<(Duration, Refused)>,
}

impl Agent {
    /// Returns an agent that knows nothing yet.
    #[must_use]
    pub const fn new(host: Host, incarnation: u64, bounds: Bounds) -> Self {
        Self {
            host,
            incarnation,
            bounds,
            sequence: 0,
            sent: VecDeque::new(),
            contact: None,
            epoch: 0,
            seat: None,
            left: None,
            pending: BTreeMap::new(),
            resolving: BTreeMap::new(),
            refused: Vec::new(),
        }
    }

    /// Takes what the worker says of itself. Returns whether it begins a new life.
    pub fn register(&mut self, registration: Registration) -> bool {
        if let Some(seat) = &mut self.seat {
            if seat.about.life == registration.about.life {
                seat.refresh(registration);
                return false;
            }
            if registration.about.life.born < seat.about.life.born {
                return false;
            }
        }
        let over = self
            .left
            .as_ref()
            .is_some_and(|(_, life)| *life == registration.about.life);
        if over {
            return false;
        }
        self.seat = Some(Seat::new(registration));
        self.forget_calls();
        true
    }

    /// Takes the worker's farewell. Returns whether it was that of the current life.
    pub fn leave(&mut self, now: Duration, worker: &str) -> bool {
        match self.seat.take() {
            Some(seat) if &*seat.about.life.worker == worker => {
                self.left = Some((now, seat.about.life));
                self.forget_calls();
                true
            }
            other => {
                self.seat = other;
                false
            }
        }
    }

    fn forget_calls(&mut self) {
        self.pending.clear();
        self.resolving.clear();
        self.refused.clear();
    }

    /// Returns the current life of the worker.
    #[must_use]
    pub fn life(&self) -> Option<&Life> {
        self.seat.as_ref().map(|seat| &seat.about.life)
    }

    /// Returns the highest epoch that the agent has heard of.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the time since the sending of the newest report that a decider answered.
    #[must_use]
    pub fn silence(&self, now: Duration) -> Option<Duration> {
        self.contact.map(|contact| now.saturating_sub(contact))
    }

    /// Tells whether ends wait for the decider to record them.
    #[must_use]
    pub fn unrecorded(&self) -> bool {
        self.seat.as_ref().is_some_and(Seat::unrecorded)
    }

    /// Tells whether something runs at the worker or may soon.
    #[must_use]
    pub fn busy(&self) -> bool {
        let running = self
            .seat
            .as_ref()
            .is_some_and(|seat| !seat.running.is_empty());
        running || !self.pending.is_empty() || !self.resolving.is_empty()
    }

    /// Returns the next look at the worker, or `None` while there is none to look at or no decider
    /// has been heard of.
    #[must_use]
    pub fn hold(&mut self, now: Duration) -> Option<Hold> {
        let wanted = self.silence(now).is_some_and(|silence| silence < COAST);
        let epoch = self.epoch;
        let hold = self.bounds.hold_time();
        if epoch == 0 {
            return None;
        }
        let seat = self.seat.as_mut()?;
        let deadline = wanted.then(|| seat.clock(now)).flatten();
        let deadline = deadline.map(|clock| clock + millis(hold));
        seat.note_deadline(deadline);
        Some(Hold {
            life: seat.about.life.clone(),
            epoch,
            recorded: seat.recorded,
            deadline,
            wait: !seat.unrecorded(),
        })
    }

    /// Takes the lists that the worker answered to a look requested at `requested`. Returns whether they show
    /// something new.
    pub fn look(&mut self, now: Duration, requested: Duration, life: &Life, lists: Lists) -> bool {
        let Some(seat) = self.seat.as_mut().filter(|seat| seat.about.life == *life) else {
            return false;
        };
        let changed = seat.look(now, lists);
        let mut resolved = Vec::new();
        self.resolving.retain(|key, resolution| {
            if seat.ended(key) {
                return false;
            }
            if seat.lists(key) {
                // A run that was begun is in the lists now; one that is being stopped stays until
                // its end shows.
                return resolution.why.is_some();
            }
            if requested < resolution.since {
                return true;
            }
            resolved.extend(resolution.why.map(|why| (*key, why)));
            false
        });
        let changed = changed || !resolved.is_empty();
        for ((task, run), why) in resolved {
            self.refused.push((now, Refused { task, run, why }));
        }
        changed
    }

    /// Notes that the worker gave no answer to a look.
    pub fn unanswered(&mut self, life: &Life) {
        if let Some(seat) = self.seat.as_mut().filter(|seat| seat.about.life == *life) {
            seat.misses += 1;
        }
    }

    /// Returns the next report.
    pub fn report(&mut self, now: Duration, wait: bool) -> Report {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        if self.sent.len() > KEPT_REPORTS {
            self.sent.pop_front();
        }
        self.refused.retain(|(at, _)| *at + KEPT_REFUSALS > now);
        self.left.take_if(|(at, _)| *at + KEPT_LIFE < now);
        Report {
            host: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            epoch: self.epoch,
            worker: self.seat.as_ref().map(|seat| self.describe(now, seat)),
            left: self.left.as_ref().map(|(_, life)| life.clone()),
            wait,
        }
    }

    fn describe(&self, now: Duration, seat: &Seat) -> Worker {
        let mut running: Vec<Running> = seat.running.clone();
        let begun = self
            .resolving
            .iter()
            .filter(|(key, resolution)| resolution.why.is_none() && !seat.lists(key));
        running.extend(begun.map(|((task, run), _)| Running {
            task: *task,
            run: *run,
            saved: "".into(),
            percent: 0,
        }));
        Worker {
            about: seat.about.clone(),
            contact: seat.contact(now),
            running,
            ended: seat.ended.clone(),
            refused: self
                .refused
                .iter()
                .map(|(_, refused)| refused.clone())
                .collect(),
        }
    }

    /// Takes a decider's answer to a report. Returns whether it was followed.
    pub fn directive(&mut self, now: Duration, directive: Directive) -> bool {
        if directive.epoch < self.epoch {
            return false;
        }
        self.epoch = directive.epoch;
        let reported = self
            .sent
            .iter()
            .find(|(sequence, _)| *sequence == directive.sequence)
            .map(|(_, at)| *at);
        let Some(reported) = reported else {
            return false;
        };
        self.contact = self.contact.max(Some(reported));
        let Some(seat) = &mut self.seat else {
            return true;
        };
        if directive.life.as_ref() != Some(&seat.about.life) {
            return true;
        }
        seat.recorded = seat.recorded.max(directive.recorded);
        let draining = seat.about.draining;
        for key in directive.stop {
            self.order_stop(now, key);
        }
        let expires = reported + ORDER_LIFE;
        if expires > now && !draining {
            for start in directive.start {
                self.order_start(expires, start);
            }
        }
        true
    }

    fn order_start(&mut self, expires: Duration, start: Start) {
        let key = (start.task, start.run);
        let known = self.resolving.contains_key(&key)
            || self
                .seat
                .as_ref()
                .is_some_and(|seat| seat.lists(&key) || seat.ended(&key));
        if known
            || self
                .refused
                .iter()
                .any(|(_, refused)| (refused.task, refused.run) == key)
        {
            return;
        }
        self.pending
            .entry(key)
            .or_insert_with(|| Pending::new(Deed::Start(start), expires))
            .renew(expires);
    }

    fn order_stop(&mut self, now: Duration, key: Key) {
        let seat = self.seat.as_ref();
        if seat.is_some_and(|seat| seat.ended(&key)) {
            return;
        }
        let again = seat.is_some_and(|seat| seat.lists(&key));
        let stopping = self.resolving.get(&key).is_some_and(|resolution| {
            let overdue = resolution.since + self.bounds.stop * 2 < now;
            resolution.why.is_some() && !(again && overdue)
        });
        if stopping
            || self
                .refused
                .iter()
                .any(|(_, refused)| (refused.task, refused.run) == key)
        {
            return;
        }
        let unanswered = match self.pending.get(&key) {
            Some(pending) if matches!(pending.deed, Deed::Stop(_)) => return,
            Some(pending) => pending.in_doubt(),
            None => true,
        };
        let mut stop = Pending::new(Deed::Stop(Refusal::Withdrawn), Duration::MAX);
        stop.unanswered = unanswered;
        self.pending.insert(key, stop);
    }

    /// Returns the calls that are due, and marks them as under way.
    pub fn calls(&mut self, now: Duration) -> Vec<Call> {
        let epoch = self.epoch;
        let Some(seat) = &mut self.seat else {
            return Vec::new();
        };
        let Some(clock) = seat.clock(now) else {
            return Vec::new();
        };
        let deadline = clock + millis(START_LIFE);
        let draining = seat.about.draining;
        let mut calls = Vec::new();
        for (key, pending) in &mut self.pending {
            if !pending.due(now) || (draining && matches!(pending.deed, Deed::Start(_))) {
                continue;
            }
            pending.begin();
            calls.push(Call {
                life: seat.about.life.clone(),
                key: *key,
                epoch,
                deed: pending.deed.clone(),
                deadline,
            });
        }
        if !calls.is_empty() {
            seat.note_deadline(Some(deadline));
        }
        calls
    }

    /// Returns when the next call is due that waits for its retry.
    #[must_use]
    pub fn next_call(&self) -> Option<Duration> {
        self.pending.values().filter_map(Pending::waits_until).min()
    }

    /// Takes the answer to a call. Returns whether the decider should hear of it at once.
    pub fn called(&mut self, now: Duration, call: &Call, answer: Answer) -> bool {
        if self.life() != Some(&call.life) {
            return false;
        }
        let Some(pending) = self.pending.get_mut(&call.key) else {
            return false;
        };
        if !pending.matches(&call.deed) {
            // The order was replaced while the call was under way.
            return false;
        }
        let resolution = match (answer, &pending.deed) {
            (Answer::Unanswered, _) => {
                pending.retry(now, true);
                return false;
            }
            (Answer::Late, Deed::Start(_)) | (Answer::Unhealthy, Deed::Stop(_)) => {
                pending.retry(now, false);
                return false;
            }
            (Answer::Fenced | Answer::OtherLife, _) => None,
            (Answer::Accepted, Deed::Start(_)) => Some(Resolution::begun(now)),
            (Answer::Superseded, Deed::Start(_)) => {
                Some(Resolution::ended(now, Refusal::Superseded))
            }
            (Answer::Unhealthy, Deed::Start(_)) => {
                return self.refuse(now, call.key, Refusal::Unhealthy);
            }
            (Answer::Room, Deed::Start(_)) => return self.refuse(now, call.key, Refusal::Room),
            (Answer::Malformed, Deed::Start(_)) => {
                return self.refuse(now, call.key, Refusal::Malformed);
            }
            (_, Deed::Stop(why)) => Some(Resolution::ended(now, *why)),
        };
        self.pending.remove(&call.key);
        let Some(resolution) = resolution else {
            return false;
        };
        self.resolving.insert(call.key, resolution);
        true
    }

    /// Settles a start that the worker refused. If an earlier copy of the order may still be on its
    /// way, a stop settles that first.
    fn refuse(&mut self, now: Duration, key: Key, why: Refusal) -> bool {
        let in_doubt = self
            .pending
            .remove(&key)
            .is_some_and(|pending| pending.unanswered);
        if in_doubt {
            self.pending
                .insert(key, Pending::new(Deed::Stop(why), Duration::MAX));
            return false;
        }
        let (task, run) = key;
        self.refused.push((now, Refused { task, run, why }));
        true
    }

    /// Tells whether the worker is about to leave.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.seat.as_ref().is_some_and(|seat| seat.about.draining)
    }
}

/// Whole milliseconds of a time.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
