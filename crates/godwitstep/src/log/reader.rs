//! Follows one stream.

use super::backoff::Backoff;
use super::{Client, Page, Read};
use godwitstep_core::authority::Evidence;
use godwitstep_core::id::Offset;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time of a read at the tail.
///
/// Evidence counts from the moment the read was sent, so it is up to twice this old, plus the
/// network's delay, when the next answer arrives. Evidence counts as none after 2 s. Until then, a
/// read on a connection that went silent has to end, 1 s after its wait, and another to succeed.
const WAIT: Duration = Duration::from_millis(300);
/// Records of one read.
const LIMIT: usize = 256;

/// What is known of a stream's tail. Shared with those who judge the process's standing.
#[derive(Debug, Default)]
pub struct Tip(Cell<Option<(Offset, Instant)>>);

impl Tip {
    /// Returns the newest tail up to which all records have been yielded, and the time since the
    /// log service is known to have given it. It does not decrease within one stream.
    #[must_use]
    pub fn evidence(&self) -> Option<Evidence> {
        self.0.get().map(|(tail, since)| Evidence {
            tail,
            age: since.elapsed(),
        })
    }
}

/// Progress of a reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Batch {
    /// The next records, without gaps; none if the tail is confirmed and nothing is new.
    Records {
        /// Offset and JSON text of each.
        records: Vec<(Offset, String)>,
        /// Offset that the next record of the stream gets.
        tail: Offset,
    },
    /// Records before `start` expired before they were read. The reader goes on from there.
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
    tip: Rc<Tip>,
    backoff: Backoff,
    failing: bool,
    /// Time that the last read took beyond its wait.
    overhead: Duration,
    /// Time to wait before the next read: nonzero if the service gave an empty answer too early,
    /// which would otherwise make this a busy loop.
    rest: Duration,
}

impl Reader {
    /// Returns a reader that starts at an offset.
    #[must_use]
    pub fn new(client: Client, stream: impl Into<String>, from: Offset) -> Self {
        Self {
            client,
            stream: stream.into(),
            next: from,
            tip: Rc::default(),
            backoff: Backoff::default(),
            failing: false,
            overhead: Duration::ZERO,
            rest: Duration::ZERO,
        }
    }

    /// What is known of the tail, also while a read is under way.
    #[must_use]
    pub fn tip(&self) -> Rc<Tip> {
        Rc::clone(&self.tip)
    }

    /// Offset of the next record that is yielded.
    #[must_use]
    pub const fn position(&self) -> Offset {
        self.next
    }

    /// Goes on from another offset, which may be one that was learnt from a peer or a snapshot.
    pub const fn seek(&mut self, to: Offset) {
        self.next = to;
    }

    /// Waits for progress. Failed reads are repeated with backoff until one succeeds; the age of
    /// the [`Tip`] tells of them meanwhile. Nothing is lost if the future is dropped.
    pub async fn next(&mut self) -> Batch {
        loop {
            if !self.rest.is_zero() {
                smol::Timer::after(self.rest).await;
                self.rest = Duration::ZERO;
            }
            // A slow service gets a shorter wait, so that evidence does not become too old.
            let wait = WAIT.saturating_sub(self.overhead);
            let sent = Instant::now();
            let read = self.client.read(&self.stream, self.next, LIMIT, wait);
            match read.await {
                Ok(Read::Trimmed { start }) => {
                    tracing::warn!(stream = %self.stream, next = self.next, start, "trimmed");
                    self.recovered();
                    self.next = start;
                    return Batch::Trimmed { start };
                }
                Ok(Read::Page(page)) if page.tail >= self.next => {
                    if page.records.is_empty() {
                        let time = sent.elapsed();
                        self.overhead = time.saturating_sub(wait);
                        self.rest = wait.saturating_sub(time);
                    }
                    return self.advance(page, sent);
                }
                Ok(Read::Page(page)) => {
                    self.failed(&format!("tail {} is before {}", page.tail, self.next));
                }
                Err(fault) => {
                    self.failed(&fault.to_string());
                    // The next answer is to come at once, because the evidence is old by now.
                    self.overhead = WAIT;
                }
            }
            self.backoff.pause().await;
        }
    }

    fn advance(&mut self, page: Page, sent: Instant) -> Batch {
        self.recovered();
        self.next += page.records.len() as Offset;
        if self.next == page.tail {
            self.tip.0.set(Some((page.tail, sent)));
        }
        Batch::Records {
            records: page.records,
            tail: page.tail,
        }
    }

    fn recovered(&mut self) {
        self.backoff.reset();
        if std::mem::take(&mut self.failing) {
            tracing::info!(stream = %self.stream, "reads succeed again");
        }
    }

    fn failed(&mut self, error: &str) {
        if std::mem::replace(&mut self.failing, true) {
            tracing::debug!(stream = %self.stream, error, "read failed");
        } else {
            tracing::warn!(stream = %self.stream, error, "read failed; retrying with backoff");
        }
    }
}
