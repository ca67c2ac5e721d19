//! Callers' records on their way to the log: one batch at a time, each with all records that came meanwhile.

use crate::batch::log::{AppendError, Item};
use crate::batch::notice::Notice;
use godwitstep_batch::record::Record;
use smol::channel::{Sender, bounded};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// Most records in one append.
const MAX_RECORDS: usize = 64;
/// Time after a failed append for which the log is taken to fail still.
const RETRIAL: Duration = Duration::from_millis(300);
/// Most records that wait.
const MAX_WAITING: usize = 1_024;

/// Why a record was not written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Error {
    /// It was not written and won't be.
    #[error("the record was not written")]
    Refused,
    /// It may have been written, or may still be.
    #[error("it is not known whether the record was written")]
    Unknown,
}

type Waiting = (Item, Sender<Result<(), Error>>);

/// Queue of records.
#[derive(Default)]
pub(super) struct Writer {
    waiting: RefCell<Vec<Waiting>>,
    arrivals: Notice,
    /// Since when the log has not stored anything although it was asked to.
    failing: Cell<Option<Duration>>,
    /// When an append last failed.
    failed: Cell<Duration>,
}

impl Writer {
    /// Appends a record and waits for the outcome.
    pub async fn write(&self, record: &Record) -> Result<(), Error> {
        if self.waiting.borrow().len() >= MAX_WAITING {
            return Err(Error::Refused);
        }
        let item = Item {
            key: record.key(),
            value: record.encode(),
        };
        let (sender, receiver) = bounded(1);
        self.waiting.borrow_mut().push((item, sender));
        self.arrivals.notify();
        receiver.recv().await.unwrap_or(Err(Error::Unknown))
    }

    /// Returns for how long the log has not stored anything although it was asked to; zero if that was
    /// some time ago, so that the next record finds out.
    pub fn failing(&self, now: Duration) -> Duration {
        if now.saturating_sub(self.failed.get()) > RETRIAL {
            return Duration::ZERO;
        }
        self.failing
            .get()
            .map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Has batches stored for good.
    pub async fn run(&self, store: impl AsyncFn(&[Item]) -> Result<(), Error>) {
        loop {
            let version = self.arrivals.version();
            let batch = self.take();
            if batch.is_empty() {
                self.arrivals
                    .changed(version, Duration::from_secs(60))
                    .await;
                continue;
            }
            let (items, senders): (Vec<Item>, Vec<_>) = batch.into_iter().unzip();
            let result = store(&items).await;
            for sender in senders {
                // A caller that left does not wait for the outcome.
                let _ = sender.try_send(result);
            }
        }
    }

    fn take(&self) -> Vec<Waiting> {
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.len().min(MAX_RECORDS);
        waiting.drain(..count).collect()
    }

    /// Notes the result of an append of this entry's own.
    pub fn note(
        &self,
        began: Duration,
        now: Duration,
        result: Result<u64, AppendError>,
    ) -> Result<(), Error> {
        metrics::histogram!("godwitstep_log_append_seconds").record(now.saturating_sub(began));
        match result {
            Ok(_) => {
                if let Some(since) = self.failing.take() {
                    let failed = began.saturating_sub(since);
                    tracing::info!(failed_ms = failed.as_millis(), "log stores records again");
                }
                Ok(())
            }
            Err(error) => {
                self.failed.set(now);
                if self.failing.get().is_none() {
                    self.failing.set(Some(began));
                    tracing::warn!(%error, "log does not store records");
                }
                metrics::counter!("godwitstep_log_append_failures_total").increment(1);
                match error {
                    AppendError::Refused(_) => Err(Error::Refused),
                    AppendError::Unanswered(_) | AppendError::Fenced | AppendError::Sequence(_) => {
                        Err(Error::Unknown)
                    }
                }
            }
        }
    }
}
