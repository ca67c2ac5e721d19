//! Distinguishes workers that fail every job from jobs that fail on every worker.
//!
//! A worker is suspected after consecutive failures of different jobs. If a job has failed on
//! several workers, its failures are no longer counted against them.
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

/// Number of different jobs whose consecutive failures make a worker suspected.
pub const WORKER_FAILURE_LIMIT: usize = 3;
/// Number of different workers on which a job fails before it is ended.
pub const JOB_FAILURE_LIMIT: usize = 3;
/// Number of failed runs after which a job is ended even if it failed on fewer different workers.
pub const FAILED_RUN_LIMIT: u32 = 6;
/// Delay before the first probe of a suspected worker; doubles with each failed probe.
pub const MIN_PROBE_DELAY: Duration = Duration::from_secs(60);
/// Maximum delay between probes.
pub const MAX_PROBE_DELAY: Duration = Duration::from_secs(3600);

#[derive(Debug, Clone, Default)]
struct WorkerRecord {
    /// Different jobs that have failed on the worker since its last success.
    failed_jobs: Vec<u32>,
    /// Delay before the current probe, if the worker is suspected or being probed.
    delay: Option<Duration>,
    probing: bool,
}

/// Failure records by worker. See the [module](self) page.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: BTreeMap<Slot, WorkerRecord>,
}

impl Quarantine {
    /// Records a failure. Returns the delay before the probe if the worker is to be quarantined
    /// now.
    pub fn failed(&mut self, worker: Slot, job: u32) -> Option<Duration> {
        let record = self.records.entry(worker).or_default();
        if !record.failed_jobs.contains(&job) {
            record.failed_jobs.push(job);
        }
        let suspected = record.delay.is_some();
        if suspected && !record.probing {
            return None;
        }
        if !record.probing && record.failed_jobs.len() < WORKER_FAILURE_LIMIT {
            return None;
        }
        let delay = record
            .delay
            .map_or(MIN_PROBE_DELAY, |last| (last * 2).min(MAX_PROBE_DELAY));
        record.delay = Some(delay);
        record.probing = false;
        Some(delay)
    }

    /// Records that a part completed on a worker, which clears the worker.
    pub fn completed(&mut self, worker: Slot) {
        self.records.remove(&worker);
    }

    /// Starts the probe of a worker: it accepts work again, and a single failure quarantines it
    /// again.
    pub fn probe(&mut self, worker: Slot) {
        if let Some(record) = self.records.get_mut(&worker) {
            record.probing = true;
        }
    }

    /// Reports whether a worker is suspected and not being probed.
    #[must_use]
    pub fn is_suspected(&self, worker: Slot) -> bool {
        let record = self.records.get(&worker);
        record.is_some_and(|record| record.delay.is_some() && !record.probing)
    }

    /// Discards the failures of a job that fails on every worker. Returns the workers that are no
    /// longer suspected as a result.
    pub fn discard_failures(&mut self, job: u32, workers: &[Slot]) -> Vec<Slot> {
        let mut cleared = Vec::new();
        for worker in workers {
            let Some(record) = self.records.get_mut(worker) else {
                continue;
            };
            record.failed_jobs.retain(|other| *other != job);
            if record.delay.is_some() && record.failed_jobs.len() < WORKER_FAILURE_LIMIT {
                record.delay = None;
                record.probing = false;
                cleared.push(*worker);
            }
        }
        cleared
    }
}
