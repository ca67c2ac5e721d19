//! What a decider stores of its expectations in the log for its successor.
//!
//! Samples instead of fits, so that a later version may fit them in another way. Logarithms are stored as integers of
//! a thousandth, which can be neither infinite nor undefined.

use super::regression::{MAX_SAMPLES, Sample};
use super::worker::{Hardware, MAX_LOG_SLOWDOWN, MAX_WEIGHT, Speed};
use super::{Expectations, KINDS, QueueModel};
use crate::id::{Epoch, Host, Queue};
use crate::record::MAX_EPOCH;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// Maximum size of the encoded record. Unit: bytes.
pub const MAX_RECORD_BYTES: usize = 32 * 1024;
/// Size of a record without queues and workers, at most. Unit: bytes.
const HEADER_BYTES: usize = 96;
/// Size of a queue without its name and its samples, at most. Unit: bytes.
const QUEUE_BYTES: usize = 64;
/// Size of a sample, at most: two numbers of 3 bytes, a truth value and the header of the list. Unit: bytes.
const SAMPLE_BYTES: usize = 8;
/// Size of a worker without its host, at most: numbers of 9, 3 and 3 bytes, and headers. Unit: bytes.
const WORKER_BYTES: usize = 24;
/// Share of the record that queues may take, so that workers have room in it too.
const QUEUE_SHARE: usize = 2;
/// Unit in which logarithms and weights are stored.
const UNITS: f64 = 1_000.0;
/// Bound of the logarithms of times in seconds: e^±19 s are 6 ns and 5 years.
const MAX_LOG_TIME: i16 = 19_000;
/// Maximum length of a name that is stored. Unit: bytes.
const MAX_NAME_BYTES: usize = 256;

/// Expectations in the log. Written only by deciders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Epoch of the decider that wrote it.
    pub epoch: Epoch,
    /// Queues, the most recently used ones first.
    queues: Vec<StoredQueue>,
    /// Workers, the most recently used ones first.
    workers: Vec<StoredWorker>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredQueue {
    #[serde(rename = "q")]
    name: Queue,
    /// Samples of each kind of steps, the oldest first.
    #[serde(rename = "k")]
    kinds: Vec<Vec<StoredSample>>,
}

/// Sample with logarithms in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedSample", into = "PackedSample")]
struct StoredSample {
    log_estimate: i16,
    log_run_time: i16,
    censored: bool,
}

/// Serialized form without field names, which would make up most of a record.
type PackedSample = (i16, i16, bool);

/// Worker with its slowness in thousandths.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedWorker", into = "PackedWorker")]
struct StoredWorker {
    host: Host,
    hardware: Hardware,
    log_slowdown: i16,
    weight: i16,
}

type PackedWorker = (Host, Hardware, i16, i16);

impl From<PackedSample> for StoredSample {
    fn from((log_estimate, log_run_time, censored): PackedSample) -> Self {
        Self {
            log_estimate,
            log_run_time,
            censored,
        }
    }
}

impl From<StoredSample> for PackedSample {
    fn from(sample: StoredSample) -> Self {
        (sample.log_estimate, sample.log_run_time, sample.censored)
    }
}

impl From<PackedWorker> for StoredWorker {
    fn from((host, hardware, log_slowdown, weight): PackedWorker) -> Self {
        Self {
            host,
            hardware,
            log_slowdown,
            weight,
        }
    }
}

impl From<StoredWorker> for PackedWorker {
    fn from(worker: StoredWorker) -> Self {
        (
            worker.host,
            worker.hardware,
            worker.log_slowdown,
            worker.weight,
        )
    }
}

impl Snapshot {
    /// Returns the number of queues.
    #[must_use]
    pub const fn queues(&self) -> usize {
        self.queues.len()
    }

    /// Returns the number of workers.
    #[must_use]
    pub const fn workers(&self) -> usize {
        self.workers.len()
    }

    /// Validates the contents: other writers may have left a record.
    pub(crate) fn validate(&self) -> Result<(), String> {
        if self.epoch > MAX_EPOCH {
            return Err(format!("epoch {} is out of range", self.epoch));
        }
        let names = self.queues.iter().map(|queue| &queue.name);
        let mut names = names.chain(self.workers.iter().map(|worker| &worker.host));
        if names.any(|name| name.len() > MAX_NAME_BYTES) {
            return Err(format!("a name has over {MAX_NAME_BYTES} bytes"));
        }
        for queue in &self.queues {
            let too_long = queue.kinds.iter().any(|kind| kind.len() > MAX_SAMPLES);
            if too_long || queue.kinds.len() > KINDS {
                return Err(format!("queue {:?} has too many samples", queue.name));
            }
            let mut samples = queue.kinds.iter().flatten();
            if !samples.all(|sample| sample.is_valid()) {
                return Err(format!(
                    "a sample of queue {:?} is out of range",
                    queue.name
                ));
            }
        }
        match self.workers.iter().find(|worker| !worker.is_valid()) {
            Some(worker) => Err(format!("worker {:?} is out of range", worker.host)),
            None => Ok(()),
        }
    }
}

impl StoredSample {
    fn new(sample: &Sample) -> Self {
        let stored = |log: f64| stored(log).clamp(-MAX_LOG_TIME, MAX_LOG_TIME);
        Self {
            log_estimate: stored(sample.log_estimate),
            log_run_time: stored(sample.log_run_time),
            censored: sample.censored,
        }
    }

    fn is_valid(self) -> bool {
        let range = -MAX_LOG_TIME..=MAX_LOG_TIME;
        range.contains(&self.log_estimate) && range.contains(&self.log_run_time)
    }

    fn restore(self) -> Sample {
        Sample {
            log_estimate: f64::from(self.log_estimate) / UNITS,
            log_run_time: f64::from(self.log_run_time) / UNITS,
            censored: self.censored,
        }
    }
}

impl StoredWorker {
    fn new(host: &Host, speed: &Speed) -> Self {
        Self {
            host: host.clone(),
            hardware: speed.hardware,
            log_slowdown: stored(speed.log_slowdown),
            weight: stored(speed.weight),
        }
    }

    fn is_valid(&self) -> bool {
        f64::from(self.log_slowdown).abs() <= MAX_LOG_SLOWDOWN * UNITS
            && (0.0..=MAX_WEIGHT * UNITS).contains(&f64::from(self.weight))
    }
}

impl Expectations {
    /// Returns whether there are samples that no stored snapshot has.
    #[must_use]
    pub const fn is_unsaved(&self) -> bool {
        self.samples > self.stored
    }

    /// Notes that the last snapshot was stored.
    pub const fn mark_stored(&mut self) {
        self.stored = self.in_snapshot;
    }

    /// Returns a snapshot for a record of at most `limit` bytes, without the least recently used queues and workers if
    /// there are too many.
    #[must_use]
    pub fn snapshot(&mut self, epoch: Epoch, limit: usize) -> Snapshot {
        self.in_snapshot = self.samples;
        let available = limit.min(MAX_RECORD_BYTES).saturating_sub(HEADER_BYTES);
        let mut unused = available / QUEUE_SHARE;
        let queues = self.stored_queues(&mut unused);
        let mut unused = available - available / QUEUE_SHARE + unused;
        let workers = self.stored_workers(&mut unused);
        Snapshot {
            epoch,
            queues,
            workers,
        }
    }

    /// Returns the most recently used queues that fit, and subtracts their size.
    fn stored_queues(&self, unused: &mut usize) -> Vec<StoredQueue> {
        let mut queues: Vec<_> = self.queues.iter().collect();
        queues.sort_unstable_by_key(|(_, queue)| Reverse(queue.used));
        let fits = |(name, queue): &(&Queue, &QueueModel)| {
            let samples: usize = queue.kinds.iter().map(|kind| kind.samples().len()).sum();
            let size = QUEUE_BYTES + name.len() + samples * SAMPLE_BYTES;
            take(unused, name, size)
        };
        let queues = queues.into_iter().filter(fits);
        let queues = queues.map(|(name, queue)| StoredQueue {
            name: name.clone(),
            kinds: queue
                .kinds
                .iter()
                .map(|kind| kind.samples().map(StoredSample::new).collect())
                .collect(),
        });
        queues.collect()
    }

    /// Returns the most recently used workers that fit, and subtracts their size.
    fn stored_workers(&self, unused: &mut usize) -> Vec<StoredWorker> {
        let mut workers: Vec<_> = self.workers.iter().collect();
        let most = *unused / WORKER_BYTES;
        if workers.len() > most {
            // Sorting all workers of a large cluster every few seconds would cost milliseconds.
            workers.select_nth_unstable_by_key(most, |(_, speed)| Reverse(speed.used));
            workers.truncate(most);
        }
        workers.sort_unstable_by_key(|(_, speed)| Reverse(speed.used));
        workers
            .into_iter()
            .filter(|(host, _)| take(unused, host, WORKER_BYTES + host.len()))
            .map(|(host, speed)| StoredWorker::new(host, speed))
            .collect()
    }

    /// Returns the expectations of an earlier decider.
    #[must_use]
    pub fn restore(snapshot: &Snapshot) -> Self {
        let mut expectations = Self::default();
        for queue in snapshot.queues.iter().rev() {
            expectations.samples += 1;
            let mut model = QueueModel {
                used: expectations.samples,
                ..QueueModel::default()
            };
            for (kind, samples) in model.kinds.iter_mut().zip(&queue.kinds) {
                for sample in samples {
                    kind.restore(sample.restore());
                }
            }
            expectations.queues.insert(queue.name.clone(), model);
        }
        for (used, worker) in (1..).zip(snapshot.workers.iter().rev()) {
            let speed = Speed {
                hardware: worker.hardware,
                log_slowdown: f64::from(worker.log_slowdown) / UNITS,
                weight: f64::from(worker.weight) / UNITS,
                used,
            };
            expectations.workers.restore(worker.host.clone(), speed);
        }
        expectations.stored = expectations.samples;
        expectations.refresh();
        expectations
    }
}

/// Subtracts the size of an entry from what is unused. Returns whether it fits; entries with long names never do.
fn take(unused: &mut usize, name: &str, size: usize) -> bool {
    let fits = name.len() <= MAX_NAME_BYTES && size <= *unused;
    if fits {
        *unused -= size;
    }
    fits
}

/// Returns a number in thousandths.
#[allow(clippy::cast_possible_truncation)] // Saturates beyond the range, which callers limit further.
fn stored(value: f64) -> i16 {
    (value * UNITS).round() as i16
}
