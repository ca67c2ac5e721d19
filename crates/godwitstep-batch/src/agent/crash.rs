//! Evidence that a worker has crashed, and what ran there then.
//!
//! A worker also ends because it leaves, because its host loses power or behind a cut. A crash is told from these by what
//! one process of the agent has seen of one incarnation:
//!
//! * It answered until shortly before its address refused connections or answered as another incarnation. So the agent
//!   was neither paused nor cut off meanwhile, and the worker could have said that it leaves.
//! * It was neither draining nor deregistered.
//! * Another incarnation has taken its place, or its lease has expired.

use super::session::Session;
use super::{Agent, Contact, RunKey, millis};
use crate::message::{Crash, CrashedRun};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum time from the last answer of a worker that crashes to the first sign that its address is not its own any
/// more. Covers a poll of an idle worker and the pause after it; shorter than the time for which a worker goes on whose
/// agent does not acknowledge that it leaves.
const MAX_SILENCE: Duration = Duration::from_millis(2_500);
/// Time for which a crash is reported. Longer than an outage of the decider, and than the time after which the runs of a
/// worker that restarts under its name are known to be over.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of crashes that are reported.
const MAX_CRASHES: usize = 8;
/// Maximum number of runs of all crashes but the last that are reported. Limits the size of reports.
const MAX_CRASHED_RUNS: usize = 8_192;

/// What an agent knows of a worker that has stopped answering.
#[derive(Debug, Clone, Default)]
pub(super) struct Loss {
    /// Runs that were active or may have been, with the time for which they had been listed.
    runs: BTreeMap<RunKey, Duration>,
    /// Whether its address refused connections, or answered as another incarnation, shortly after its last answer.
    sudden: bool,
}

impl Session {
    /// Records that a poll or probe failed. `unlisted` are the runs that may have begun since the last answer.
    ///
    /// Once the address refuses connections, no start can have reached the worker since the poll that failed before.
    fn lose(&mut self, now: Duration, absent: bool, unlisted: &[RunKey]) {
        if self.absent {
            return;
        }
        self.absent = absent;
        let first = self.loss.is_none();
        let loss = self.loss.get_or_insert_default();
        loss.sudden = absent && now.saturating_sub(self.contact_at) <= MAX_SILENCE;
        if first || !absent {
            let listed = self.listed_since.iter();
            let listed = listed.map(|(key, since)| (*key, now.saturating_sub(*since)));
            let unlisted = unlisted.iter().map(|key| (*key, Duration::ZERO));
            for (key, age) in unlisted.chain(listed) {
                loss.runs.entry(key).or_insert(age);
            }
        }
    }

    /// Returns the crash of a worker that is known to be gone, unless it may have ended otherwise.
    fn crash(&self) -> Option<Crash> {
        let loss = self.loss.as_ref()?;
        let crashed = self.absent && loss.sudden && !self.draining();
        let runs = loss.runs.iter().map(|((task, run), age)| CrashedRun {
            task: *task,
            run: *run,
            age_ms: millis(*age),
        });
        crashed.then(|| Crash {
            incarnation: self.incarnation().clone(),
            runs: runs.collect(),
        })
    }
}

impl Agent {
    /// Records that a poll or probe of the current worker failed, and whether that shows that another process or none is
    /// at its address.
    pub(super) fn note_loss(&mut self, now: Duration, contact: &Contact) {
        let begun = self
            .resolving
            .iter()
            .filter(|(_, resolution)| resolution.begun)
            .map(|(key, _)| *key);
        let in_doubt = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.starts_run() && pending.in_doubt())
            .map(|(key, _)| *key);
        let unlisted: Vec<RunKey> = begun.chain(in_doubt).collect();
        if let Some(session) = &mut self.session {
            let absent = matches!(
                contact,
                Contact::OtherLife | Contact::Restarted | Contact::Refused
            );
            session.lose(now, absent, &unlisted);
        }
    }

    /// Records the crash of the current worker, which is known to be gone, if it has crashed.
    pub(super) fn note_crash(&mut self, now: Duration) {
        let Some(crash) = self.session.as_ref().and_then(Session::crash) else {
            return;
        };
        let known = |(_, other): &(Duration, Crash)| other.incarnation == crash.incarnation;
        if self.crashes.iter().any(known) {
            return;
        }
        let runs = |crashes: &[(Duration, Crash)]| -> usize {
            crashes.iter().map(|(_, crash)| crash.runs.len()).sum()
        };
        while self.crashes.len() >= MAX_CRASHES || runs(&self.crashes) > MAX_CRASHED_RUNS {
            self.crashes.remove(0);
        }
        self.crashes.push((now, crash));
    }

    /// Returns the crashes to report.
    pub(super) fn reported_crashes(&mut self, now: Duration) -> Vec<Crash> {
        self.crashes.retain(|(at, _)| *at + RETENTION > now);
        let crashes = self.crashes.iter();
        crashes.map(|(_, crash)| crash.clone()).collect()
    }
}
