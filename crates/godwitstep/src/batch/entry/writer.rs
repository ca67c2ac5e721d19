//! Queue of callers' records for the log. Records are stored one batch at a time; a batch holds the records that
//! arrived while the previous one was being stored, up to 64 or 256 KiB. If the log or the decider does not accept a
//! batch, its records are stored one by one, so that one of them does not hold up the others.

use crate::batch::change_notifier::ChangeNotifier;
use crate::batch::log::{AppendError, Item};
use smol::channel::{Sender, bounded};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// Maximum number of records in one batch.
const MAX_BATCH_RECORDS: usize = 64;
/// Maximum size of a batch of several records, half of what the decider appends for other entries at a time. Unit: bytes.
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// Time after a failed append for which the log counts as still failing.
const FAILURE_EXPIRY: Duration = Duration::from_millis(300);
/// Maximum number of records in the queue.
const MAX_QUEUED_RECORDS: usize = 1_024;
/// Maximum size of the records in the queue, unless there is only one. While the log stores nothing, callers end their
/// requests and send others, so the memory of their bodies does not bound the queue. Sixteen batches empty it. Unit: bytes.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// Why a record was not written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Error {
    /// The record was not written and will not be.
    #[error("the record was not written")]
    Refused,
    /// The log never accepts the record.
    #[error("the log does not accept the record")]
    Invalid,
    /// The decider refused the record, because the memory for jobs is short. It was not written and will not be.
    #[error("the memory for jobs is short")]
    Full,
    /// The record may have been written, or may be written later.
    #[error("it is not known whether the record was written")]
    Unknown,
}

type PendingRecord = (Item, Sender<Result<(), Error>>);

/// Queue of records, and the state of this entry's appends.
#[derive(Default)]
pub(super) struct Writer {
    queue: RefCell<Vec<PendingRecord>>,
    arrivals: ChangeNotifier,
    /// Start of the first append that failed since the last successful one.
    failing_since: Cell<Option<Duration>>,
    /// Time of the last failed append.
    last_failure: Cell<Duration>,
}

impl Writer {
    /// Queues a record and waits for the outcome. Refuses it if the queue is full.
    pub async fn write(&self, item: &Item) -> Result<(), Error> {
        if !self.make_room(item) {
            return Err(Error::Refused);
        }
        let (sender, receiver) = bounded(1);
        self.queue.borrow_mut().push((item.clone(), sender));
        self.arrivals.notify();
        receiver.recv().await.unwrap_or(Err(Error::Unknown))
    }

    /// Returns whether the queue holds a record with a key.
    pub fn holds(&self, key: &str) -> bool {
        let queue = self.queue.borrow();
        queue.iter().any(|(item, _)| item.key == key)
    }

    /// Makes room in the queue for a record, if necessary by removing records whose callers no longer wait, oldest first:
    /// these have been told that it is not known whether their records are stored. Returns false if there is no room.
    fn make_room(&self, item: &Item) -> bool {
        let mut queue = self.queue.borrow_mut();
        let mut size: usize = queue.iter().map(|(queued, _)| queued.size()).sum();
        let mut count = queue.len();
        let is_full = |count: usize, size: usize| {
            count >= MAX_QUEUED_RECORDS || (count > 0 && size + item.size() > MAX_QUEUED_BYTES)
        };
        if !is_full(count, size) {
            return true;
        }
        queue.retain(|(queued, outcome)| {
            let removed = outcome.is_closed() && is_full(count, size);
            if removed {
                size -= queued.size();
                count -= 1;
            }
            !removed
        });
        !is_full(count, size)
    }

    /// Returns for how long all appends have failed. Zero if the last failure is older than [`FAILURE_EXPIRY`],
    /// so that the next record tries the log again.
    pub fn failing_for(&self, now: Duration) -> Duration {
        if now.saturating_sub(self.last_failure.get()) > FAILURE_EXPIRY {
            return Duration::ZERO;
        }
        self.failing_since
            .get()
            .map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Stores batches with `store`. Never returns.
    pub async fn run(&self, store: impl AsyncFn(&[Item]) -> Result<(), Error>) {
        loop {
            let version = self.arrivals.version();
            let batch = self.next_batch();
            if batch.is_empty() {
                self.arrivals
                    .changed(version, Duration::from_secs(60))
                    .await;
                continue;
            }
            let (items, senders): (Vec<Item>, Vec<_>) = batch.into_iter().unzip();
            let result = store(&items).await;
            for (item, sender) in items.iter().zip(senders) {
                let result = match result {
                    Err(Error::Invalid | Error::Full) if items.len() > 1 => {
                        store(std::slice::from_ref(item)).await
                    }
                    result => result,
                };
                // The caller may have stopped waiting.
                let _ = sender.try_send(result);
            }
        }
    }

    /// Removes and returns the next records, oldest first. Those whose callers no longer wait come last, so that a log that
    /// answers again serves the others before their timeouts.
    fn next_batch(&self) -> Vec<PendingRecord> {
        let mut queue = self.queue.borrow_mut();
        queue.sort_by_key(|(_, outcome)| outcome.is_closed());
        let mut size = 0;
        let within_limit = queue
            .iter()
            .take(MAX_BATCH_RECORDS)
            .take_while(|(item, _)| {
                size += item.size();
                size <= MAX_BATCH_BYTES
            });
        let count = within_limit.count().max(1).min(queue.len());
        queue.drain(..count).collect()
    }

    /// Records the result of an append by this entry.
    pub fn record_append(
        &self,
        started_at: Duration,
        now: Duration,
        result: Result<u64, AppendError>,
    ) -> Result<(), Error> {
        metrics::histogram!("godwitstep_log_append_seconds").record(now.saturating_sub(started_at));
        match result {
            Ok(_) => {
                if let Some(since) = self.failing_since.take() {
                    let failed = started_at.saturating_sub(since);
                    tracing::info!(failed_ms = failed.as_millis(), "log accepts appends again");
                }
                Ok(())
            }
            Err(AppendError::Invalid(reason)) => {
                tracing::error!(reason, "log does not accept a caller's record");
                metrics::counter!("godwitstep_log_appends_rejected_total").increment(1);
                Err(Error::Invalid)
            }
            Err(error) => {
                self.last_failure.set(now);
                if self.failing_since.get().is_none() {
                    self.failing_since.set(Some(started_at));
                    tracing::warn!(%error, "appending records to the log failed");
                }
                metrics::counter!("godwitstep_log_append_failures_total").increment(1);
                match error {
                    AppendError::Refused(_) | AppendError::Invalid(_) => Err(Error::Refused),
                    AppendError::Unanswered(_) | AppendError::Fenced | AppendError::Sequence(_) => {
                        Err(Error::Unknown)
                    }
                }
            }
        }
    }
}
