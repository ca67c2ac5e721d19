//! Sends envelopes one at a time and determines their outcome.

use super::Outcome;
use super::queue::{Batch, PendingAppend};
use crate::log::backoff::Backoff;
use crate::log::{AppendError, Client, ExchangeError, Read};
use godwitstep_core::id::{Incarnation, Name, Offset};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol::channel::Receiver;
use std::time::Duration;

/// Time limit for determining the outcome of an append whose reply was lost.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Deadline of one exchange during that time. It may be longer than that of an append, because the
/// outcome must be determined even if the service is slow.
const RESOLVE_EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of records of one read.
const READ_LIMIT: usize = 256;

/// Task that performs the appends of a [`Writer`](super::Writer).
#[derive(Debug)]
pub struct Task {
    sender: Sender,
    queue: Receiver<PendingAppend>,
}

impl Task {
    pub(super) const fn new(sender: Sender, queue: Receiver<PendingAppend>) -> Self {
        Self { sender, queue }
    }

    /// Appends until all writers are dropped and the queue is empty.
    pub async fn run(mut self) {
        let mut leftover = None;
        loop {
            let first = match leftover.take() {
                Some(pending) => Some(pending),
                None => match self.next().await {
                    Ok(pending) => pending,
                    Err(_) => return,
                },
            };
            let Some(first) = first else {
                self.sender.retry_noop().await;
                continue;
            };
            let (batch, rest) = Batch::collect(first, &self.queue);
            leftover = rest;
            if !batch.is_empty() {
                batch.resolve(self.sender.send(&batch.events).await);
            }
        }
    }

    /// Waits for the next append; returns `None` when the no-op is due for a retry.
    async fn next(&mut self) -> Result<Option<PendingAppend>, smol::channel::RecvError> {
        if self.sender.pending_noop.is_none() {
            return self.queue.recv().await.map(Some);
        }
        let pause = self.sender.backoff.pause();
        let received = async { self.queue.recv().await.map(Some) };
        smol::future::or(received, async {
            pause.await;
            Ok(None)
        })
        .await
    }
}

/// Fields that identify an envelope.
#[derive(Deserialize)]
struct Header {
    writer: Name,
    incarnation: Incarnation,
    sequence: u64,
}

#[derive(Serialize)]
struct EnvelopeDraft<'a> {
    writer: &'a str,
    incarnation: Incarnation,
    sequence: u64,
    events: &'a [Box<RawValue>],
}

/// Result of a search of the stream for an envelope.
enum SearchResult {
    /// The envelope is in the stream.
    Own(Offset),
    /// A later envelope of this writer is in the stream before any of that number.
    Later(Offset),
    /// The stream contains neither up to its tail.
    Neither,
    /// Records that could have contained the envelope have expired.
    Trimmed,
}

#[derive(Debug)]
pub(super) struct Sender {
    client: Client,
    stream: String,
    name: Name,
    incarnation: Incarnation,
    /// Number of the next envelope.
    sequence: u64,
    /// The next envelope cannot be before this offset. Unknown before the first append.
    from: Option<Offset>,
    /// Number of the empty envelope that must be appended so that an earlier one has no effect.
    pending_noop: Option<u64>,
    backoff: Backoff,
}

impl Sender {
    pub(super) fn new(
        client: Client,
        stream: String,
        name: Name,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            client,
            stream,
            name,
            incarnation,
            sequence: 1,
            from: None,
            pending_noop: None,
            backoff: Backoff::default(),
        }
    }

    /// Appends one envelope.
    pub(super) async fn send(&mut self, events: &[Box<RawValue>]) -> Outcome {
        let from = match self.position().await {
            Ok(from) => from,
            Err(error) => {
                tracing::warn!(fault = %error, "not appended: stream tail unknown");
                return Outcome::NotAppended;
            }
        };
        let sequence = self.sequence;
        let text = self.serialize_envelope(sequence, events);
        match self.client.append(&self.stream, text).await {
            Ok(offset) => {
                self.sequence += 1;
                self.record_appended(offset);
                Outcome::Appended { offset, index: 0 }
            }
            Err(error @ AppendError::NotAppended(_)) => {
                tracing::warn!(%error, sequence, "append refused by the log service");
                Outcome::NotAppended
            }
            Err(error @ AppendError::Indeterminate(_)) => {
                tracing::warn!(%error, sequence, "outcome unknown; searching the stream");
                self.sequence = sequence + 2;
                self.pending_noop = Some(sequence + 1);
                let timeout = async {
                    smol::Timer::after(RESOLVE_TIMEOUT).await;
                    Outcome::Unknown
                };
                let outcome = smol::future::or(self.resolve(sequence, from), timeout).await;
                tracing::info!(stream = %self.stream, sequence, ?outcome, "outcome determined");
                outcome
            }
        }
    }

    /// Determines the outcome of an envelope. If it is not in the stream, prevents it from taking
    /// effect later.
    async fn resolve(&mut self, sequence: u64, mut from: Offset) -> Outcome {
        let client = self.client.clone().deadline(RESOLVE_EXCHANGE_TIMEOUT);
        loop {
            match self.search(&client, &mut from, sequence).await {
                Ok(SearchResult::Own(offset)) => {
                    self.record_appended(offset);
                    return Outcome::Appended { offset, index: 0 };
                }
                Ok(SearchResult::Later(offset)) => {
                    self.record_appended(offset);
                    return Outcome::NotAppended;
                }
                Ok(SearchResult::Neither) => {
                    let text = self.serialize_envelope(sequence + 1, &[]);
                    if client.append(&self.stream, text).await.is_ok() {
                        continue;
                    }
                }
                Ok(SearchResult::Trimmed) => {
                    self.from = Some(from);
                    return Outcome::Unknown;
                }
                Err(error) => {
                    tracing::debug!(fault = %error, "read failed; retrying the search");
                }
            }
            self.backoff.pause().await;
        }
    }

    /// Reads up to the envelope, a later one or the tail, and advances `from` to that offset.
    async fn search(
        &self,
        client: &Client,
        from: &mut Offset,
        sequence: u64,
    ) -> Result<SearchResult, ExchangeError> {
        loop {
            let read = client.read(&self.stream, *from, READ_LIMIT, Duration::ZERO);
            let page = match read.await? {
                Read::Page(page) => page,
                Read::Trimmed { start } => {
                    *from = start;
                    return Ok(SearchResult::Trimmed);
                }
            };
            for (offset, text) in &page.records {
                match self.own_sequence(text) {
                    Some(number) if number == sequence => return Ok(SearchResult::Own(*offset)),
                    Some(number) if number > sequence => return Ok(SearchResult::Later(*offset)),
                    _ => *from = offset + 1,
                }
            }
            if *from >= page.tail {
                return Ok(SearchResult::Neither);
            }
        }
    }

    /// Returns the number of an envelope if this writer wrote it.
    fn own_sequence(&self, text: &str) -> Option<u64> {
        let header: Header = serde_json::from_str(text).ok()?;
        let own = header.writer == self.name && header.incarnation == self.incarnation;
        own.then_some(header.sequence)
    }

    /// Retries the append of the no-op.
    async fn retry_noop(&mut self) {
        let Some(noop) = self.pending_noop else {
            return;
        };
        let text = self.serialize_envelope(noop, &[]);
        if let Ok(offset) = self.client.append(&self.stream, text).await {
            self.record_appended(offset);
        }
    }

    /// Records that an envelope is in the stream, so that no earlier number can take effect later.
    fn record_appended(&mut self, offset: Offset) {
        self.from = Some(offset + 1);
        self.pending_noop = None;
        self.backoff.reset();
    }

    async fn position(&mut self) -> Result<Offset, ExchangeError> {
        if let Some(from) = self.from {
            return Ok(from);
        }
        let tail = self.client.tail(&self.stream).await?;
        self.from = Some(tail);
        Ok(tail)
    }

    fn serialize_envelope(&self, sequence: u64, events: &[Box<RawValue>]) -> String {
        let draft = EnvelopeDraft {
            writer: &self.name,
            incarnation: self.incarnation,
            sequence,
            events,
        };
        // Serializing strings, numbers and text that is already JSON cannot fail.
        serde_json::to_string(&draft).unwrap_or_default()
    }
}
