//! Tells workers that fail everything from jobs that fail everywhere.
//!
//! A worker is suspected after failures of different jobs in a row. A job that has failed on
//! several workers takes its failures back from them.
//!
//! ```
//! use godwitstep_core::quarantine::Quarantine;
//! use std::time::Duration;
//!
//! let mut quarantine = Quarantine::default();
//! assert_eq!(quarantine.failed(7, 1), None);
//! assert_eq!(quarantine.failed(7, 1), None, "the same job counts once");
//! assert_eq!(quarantine.failed(7, 2), None);
//! assert_eq!(quarantine.failed(7, 3), Some(Duration::from_secs(60)));
//! ```

use crate::fleet::Slot;
use std::collections::BTreeMap;
use std::time::Duration;

/// Failures of different jobs in a row after which a worker is suspected.
pub const WORKER_LIMIT: usize = 3;
/// Different workers on which a job fails before it is ended.
pub const JOB_LIMIT: usize = 3;
/// Failed runs after which a job is ended even if there were not enough different workers.
pub const RUN_LIMIT: u32 = 6;
/// Time until the first probe of a suspected worker; doubles with each failed probe.
pub const FIRST_PROBE: Duration = Duration::from_secs(60);
/// Longest time between probes.
pub const LAST_PROBE: Duration = Duration::from_secs(3600);

#[derive(Debug, Clone, Default)]
struct Record {
    /// Different jobs that failed since the last success.
    streak: Vec<u32>,
    /// Time to the present probe, if the worker is suspected or probed.
    delay: Option<Duration>,
    probing: bool,
}

/// Failures by worker. See the [module](self) page.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: BTreeMap<Slot, Record>,
}

impl Quarantine {
    /// Notes a failure. Returns the time until the probe if the worker is to be quarantined now.
    pub fn failed(&mut self, worker: Slot, job: u32) -> Option<Duration> {
        let record = self.records.entry(worker).or_default();
        if !record.streak.contains(&job) {
            record.streak.push(job);
        }
        let suspected = record.delay.is_some();
        if suspected && !record.probing {
            return None;
        }
        if !record.probing && record.streak.len() < WORKER_LIMIT {
            return None;
        }
        let delay = record
            .delay
            .map_or(FIRST_PROBE, |last| (last * 2).min(LAST_PROBE));
        record.delay = Some(delay);
        record.probing = false;
        Some(delay)
    }

    /// Notes that a part completed on a worker, which clears it.
    pub fn completed(&mut self, worker: Slot) {
        self.records.remove(&worker);
    }

    /// Starts the probe of a worker: it takes work again, and the next failure counts at once.
    pub fn probe(&mut self, worker: Slot) {
        if let Some(record) = self.records.get_mut(&worker) {
            record.probing = true;
        }
    }

    /// Reports whether a worker is suspected and not being probed.
    #[must_use]
    pub fn suspects(&self, worker: Slot) -> bool {
        let record = self.records.get(&worker);
        record.is_some_and(|record| record.delay.is_some() && !record.probing)
    }

    /// Takes back the failures of a job that fails everywhere. Returns the workers that are
    /// cleared by it.
    pub fn withdraw(&mut self, job: u32, workers: &[Slot]) -> Vec<Slot> {
        let mut cleared = Vec::new();
        for worker in workers {
            let Some(record) = self.records.get_mut(worker) else {
                continue;
            };
            record.streak.retain(|failed| *failed != job);
            if record.delay.is_some() && record.streak.len() < WORKER_LIMIT {
                record.delay = None;
                record.probing = false;
                cleared.push(*worker);
            }
        }
        cleared
    }
}
