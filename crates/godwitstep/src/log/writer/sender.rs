//! Sends envelopes one at a time and settles their outcome.

use super::Outcome;
use super::queue::{Batch, Waiting};
use crate::log::backoff::Backoff;
use crate::log::{AppendError, Client, Fault, Read};
use godwitstep_core::id::{Incarnation, Name, Offset};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol::channel::Receiver;
use std::time::Duration;

/// Time to find out what became of an append whose reply was lost.
const SETTLE: Duration = Duration::from_secs(5);
/// Deadline of one exchange meanwhile. It may be longer than that of an append, because a slow
/// service has to be waited for here.
const SETTLE_EXCHANGE: Duration = Duration::from_secs(2);
/// Records of one read.
const LIMIT: usize = 256;

/// The work of a [`Writer`](super::Writer).
#[derive(Debug)]
pub struct Task {
    sender: Sender,
    queue: Receiver<Waiting>,
}

impl Task {
    pub(super) const fn new(sender: Sender, queue: Receiver<Waiting>) -> Self {
        Self { sender, queue }
    }

    /// Appends until all writers are dropped and nothing waits.
    pub async fn run(mut self) {
        let mut left = None;
        loop {
            let first = match left.take() {
                Some(waiting) => Some(waiting),
                None => match self.next().await {
                    Ok(waiting) => waiting,
                    Err(_) => return,
                },
            };
            let Some(first) = first else {
                self.sender.repeat_void().await;
                continue;
            };
            let (batch, rest) = Batch::gather(first, &self.queue);
            left = rest;
            if !batch.is_empty() {
                batch.answer(self.sender.send(&batch.events).await);
            }
        }
    }

    /// Waits for the next append, or for the time to repeat the void.
    async fn next(&mut self) -> Result<Option<Waiting>, smol::channel::RecvError> {
        if self.sender.void.is_none() {
            return self.queue.recv().await.map(Some);
        }
        let pause = self.sender.backoff.pause();
        let waiting = async { self.queue.recv().await.map(Some) };
        smol::future::or(waiting, async {
            pause.await;
            Ok(None)
        })
        .await
    }
}

/// What identifies an envelope.
#[derive(Deserialize)]
struct Header {
    writer: Name,
    incarnation: Incarnation,
    sequence: u64,
}

#[derive(Serialize)]
struct Draft<'a> {
    writer: &'a str,
    incarnation: Incarnation,
    sequence: u64,
    events: &'a [Box<RawValue>],
}

/// What a search of the stream came to.
enum Found {
    /// The envelope is in the stream.
    Own(Offset),
    /// A later envelope of this writer is in the stream before any of that number.
    Later(Offset),
    /// Neither is in the stream up to its tail.
    Neither,
    /// Records that would tell have expired.
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
    /// Number of the empty envelope that has yet to keep an earlier one from taking effect.
    void: Option<u64>,
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
            void: None,
            backoff: Backoff::default(),
        }
    }

    /// Appends one envelope.
    pub(super) async fn send(&mut self, events: &[Box<RawValue>]) -> Outcome {
        let from = match self.position().await {
            Ok(from) => from,
            Err(fault) => {
                tracing::warn!(%fault, "not appended: the tail is not known");
                return Outcome::NotAppended;
            }
        };
        let sequence = self.sequence;
        let text = self.draft(sequence, events);
        match self.client.append(&self.stream, text).await {
            Ok(offset) => {
                self.sequence += 1;
                self.settled(offset);
                Outcome::Appended { offset, index: 0 }
            }
            Err(error @ AppendError::NotAppended(_)) => {
                tracing::warn!(%error, sequence, "append refused");
                Outcome::NotAppended
            }
            Err(error @ AppendError::Unsure(_)) => {
                tracing::warn!(%error, sequence, "reading the stream for the envelope");
                self.sequence = sequence + 2;
                self.void = Some(sequence + 1);
                let late = async {
                    smol::Timer::after(SETTLE).await;
                    Outcome::Unknown
                };
                let outcome = smol::future::or(self.settle(sequence, from), late).await;
                tracing::info!(stream = %self.stream, sequence, ?outcome, "settled");
                outcome
            }
        }
    }

    /// Finds out what became of an envelope, and keeps it from taking effect if it is not there.
    async fn settle(&mut self, sequence: u64, mut from: Offset) -> Outcome {
        let client = self.client.clone().deadline(SETTLE_EXCHANGE);
        loop {
            match self.search(&client, &mut from, sequence).await {
                Ok(Found::Own(offset)) => {
                    self.settled(offset);
                    return Outcome::Appended { offset, index: 0 };
                }
                Ok(Found::Later(offset)) => {
                    self.settled(offset);
                    return Outcome::NotAppended;
                }
                Ok(Found::Neither) => {
                    let text = self.draft(sequence + 1, &[]);
                    if client.append(&self.stream, text).await.is_ok() {
                        continue;
                    }
                }
                Ok(Found::Trimmed) => {
                    self.from = Some(from);
                    return Outcome::Unknown;
                }
                Err(fault) => tracing::debug!(%fault, "read failed"),
            }
            self.backoff.pause().await;
        }
    }

    /// Reads forward until the envelope, a later one or the tail, and moves `from` there.
    async fn search(
        &self,
        client: &Client,
        from: &mut Offset,
        sequence: u64,
    ) -> Result<Found, Fault> {
        loop {
            let read = client.read(&self.stream, *from, LIMIT, Duration::ZERO);
            let page = match read.await? {
                Read::Page(page) => page,
                Read::Trimmed { start } => {
                    *from = start;
                    return Ok(Found::Trimmed);
                }
            };
            for (offset, text) in &page.records {
                match self.own(text) {
                    Some(number) if number == sequence => return Ok(Found::Own(*offset)),
                    Some(number) if number > sequence => return Ok(Found::Later(*offset)),
                    _ => *from = offset + 1,
                }
            }
            if *from >= page.tail {
                return Ok(Found::Neither);
            }
        }
    }

    /// Number of an envelope if this writer wrote it.
    fn own(&self, text: &str) -> Option<u64> {
        let header: Header = serde_json::from_str(text).ok()?;
        let own = header.writer == self.name && header.incarnation == self.incarnation;
        own.then_some(header.sequence)
    }

    /// Appends the void once more.
    async fn repeat_void(&mut self) {
        let Some(void) = self.void else { return };
        let text = self.draft(void, &[]);
        if let Ok(offset) = self.client.append(&self.stream, text).await {
            self.settled(offset);
        }
    }

    /// Notes that an envelope stands in the stream, so that no earlier number takes effect later.
    fn settled(&mut self, offset: Offset) {
        self.from = Some(offset + 1);
        self.void = None;
        self.backoff.reset();
    }

    async fn position(&mut self) -> Result<Offset, Fault> {
        if let Some(from) = self.from {
            return Ok(from);
        }
        let tail = self.client.tail(&self.stream).await?;
        self.from = Some(tail);
        Ok(tail)
    }

    fn draft(&self, sequence: u64, events: &[Box<RawValue>]) -> String {
        let draft = Draft {
            writer: &self.name,
            incarnation: self.incarnation,
            sequence,
            events,
        };
        // Strings, numbers and text that is JSON already cannot fail to be written.
        serde_json::to_string(&draft).unwrap_or_default()
    }
}
