//! Reader that follows one stream.

use super::backoff::Backoff;
use super::{Client, Page, Read};
use godwitstep_core::authority::Evidence;
use godwitstep_core::id::Offset;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Wait of a long poll at the tail.
///
/// The age of evidence is counted from the moment the read was sent, so it is up to twice this wait
/// plus the network delay when the next answer arrives. Evidence expires after 2 s. Within that
/// time, a read on an unresponsive connection must time out, 1 s after its wait, and another read
/// must succeed.
const POLL_WAIT: Duration = Duration::from_millis(300);
/// Maximum number of records of one read.
const READ_LIMIT: usize = 256;

/// Newest tail that a reader has reached. Shared with the code that determines whether the process
/// may start work.
#[derive(Debug, Default)]
pub struct ObservedTail(Cell<Option<(Offset, Instant)>>);

impl ObservedTail {
    /// Returns the newest tail up to which all records have been yielded, and the time since the
    /// read that returned it was sent. The tail does not decrease within one stream.
    #[must_use]
    pub fn evidence(&self) -> Option<Evidence> {
        self.0.get().map(|(tail, sent)| Evidence {
            tail,
            age: sent.elapsed(),
        })
    }
}

/// Result of [`Reader::next`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Batch {
    /// The next records, without gaps; none if the reader is at the tail and nothing was appended.
    Records {
        /// Offset and JSON text of each record.
        records: Vec<(Offset, String)>,
        /// Offset that the next record of the stream will get.
        tail: Offset,
    },
    /// Records before `start` expired before they were read. The reader continues at `start`.
    Trimmed {
        /// Offset of the oldest retained record.
        start: Offset,
    },
}

/// Yields the records of a stream in order.
#[derive(Debug)]
pub struct Reader {
    client: Client,
    stream: String,
    next: Offset,
    observed_tail: Rc<ObservedTail>,
    backoff: Backoff,
    failing: bool,
    /// Time that the last long poll took beyond its wait.
    overhead: Duration,
    /// Delay before the next read: nonzero if the service gave an empty answer before the wait was
    /// over, which would otherwise cause a busy loop.
    poll_delay: Duration,
}

impl Reader {
    /// Returns a reader that starts at an offset.
    #[must_use]
    pub fn new(client: Client, stream: impl Into<String>, from: Offset) -> Self {
        Self {
            client,
            stream: stream.into(),
            next: from,
            observed_tail: Rc::default(),
            backoff: Backoff::default(),
            failing: false,
            overhead: Duration::ZERO,
            poll_delay: Duration::ZERO,
        }
    }

    /// Returns a shared handle to the newest tail that the reader has reached. It stays readable
    /// while a read is in progress.
    #[must_use]
    pub fn observed_tail(&self) -> Rc<ObservedTail> {
        Rc::clone(&self.observed_tail)
    }

    /// Returns the offset of the next record that will be yielded.
    #[must_use]
    pub const fn position(&self) -> Offset {
        self.next
    }

    /// Continues at another offset, for example that of a peer or a snapshot.
    pub const fn seek(&mut self, to: Offset) {
        self.next = to;
    }

    /// Returns the next batch. Failed reads are retried with backoff until one succeeds; meanwhile
    /// the age of the [`ObservedTail`] grows. The method is cancel safe: no records are lost if the
    /// future is dropped.
    pub async fn next(&mut self) -> Batch {
        loop {
            if !self.poll_delay.is_zero() {
                smol::Timer::after(self.poll_delay).await;
                self.poll_delay = Duration::ZERO;
            }
            // The wait is shortened by the latency of the service, so that evidence does not
            // expire.
            let wait = POLL_WAIT.saturating_sub(self.overhead);
            let sent = Instant::now();
            let read = self.client.read(&self.stream, self.next, READ_LIMIT, wait);
            match read.await {
                Ok(Read::Trimmed { start }) => {
                    tracing::warn!(stream = %self.stream, next = self.next, start, "trimmed");
                    self.record_success();
                    self.next = start;
                    return Batch::Trimmed { start };
                }
                Ok(Read::Page(page)) if page.tail >= self.next => {
                    if page.records.is_empty() {
                        let elapsed = sent.elapsed();
                        self.overhead = elapsed.saturating_sub(wait);
                        self.poll_delay = wait.saturating_sub(elapsed);
                    }
                    return self.advance(page, sent);
                }
                Ok(Read::Page(page)) => {
                    self.record_failure(&format!("tail {} is before {}", page.tail, self.next));
                }
                Err(error) => {
                    self.record_failure(&error.to_string());
                    // The next read does not wait, because the evidence is old by now.
                    self.overhead = POLL_WAIT;
                }
            }
            self.backoff.pause().await;
        }
    }

    fn advance(&mut self, page: Page, sent: Instant) -> Batch {
        self.record_success();
        self.next += page.records.len() as Offset;
        if self.next == page.tail {
            self.observed_tail.0.set(Some((page.tail, sent)));
        }
        Batch::Records {
            records: page.records,
            tail: page.tail,
        }
    }

    fn record_success(&mut self) {
        self.backoff.reset();
        if std::mem::take(&mut self.failing) {
            tracing::info!(stream = %self.stream, "reads succeed again");
        }
    }

    fn record_failure(&mut self, error: &str) {
        if std::mem::replace(&mut self.failing, true) {
            tracing::debug!(stream = %self.stream, error, "read failed again; retrying");
        } else {
            tracing::warn!(stream = %self.stream, error, "read failed; retrying with backoff");
        }
    }
}
