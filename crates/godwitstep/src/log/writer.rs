//! Writes to one stream.
//!
//! A writer sends one envelope at a time; events that arrive meanwhile wait and go into the next
//! one together. Readers fold an envelope only if its number is above all numbers of the same
//! writer and incarnation before it in the stream.
//!
//! The reply to an append can be lost, and the append can even take effect after the writer has
//! waited long enough, so that reading the stream up to its tail does not prove that the envelope
//! will never be there. The writer therefore
//!
//! 1. reads forward from the tail before the append, and reports [`Outcome::Appended`] if it finds
//!    its envelope;
//! 2. otherwise appends an empty envelope with the next number, the *void*. If the void stands in
//!    the stream and the envelope does not stand before it, no reader will ever fold the envelope:
//!    it is [`Outcome::NotAppended`], for good;
//! 3. reports [`Outcome::Unknown`] if it cannot get there in time, and goes on appending the void
//!    until it, or a later envelope, stands in the stream. Afterwards a late append has no effect.
//!
//! A number is used again only if no byte of its envelope was accepted by the log service. Sending
//! other content under a number that may still arrive would make the outcome depend on which of the
//! two arrives first.

mod queue;
mod sender;

pub use sender::Task;

use super::Client;
use godwitstep_core::id::{Incarnation, Name, Offset};
use godwitstep_core::record::Event;
use queue::Waiting;
use sender::Sender;
use std::time::Duration;

/// Appends that wait; more are refused.
const QUEUE: usize = 1024;

/// What became of the events of one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// They are in the stream.
    Appended {
        /// Offset of their envelope.
        offset: Offset,
        /// Index of the first of them in the envelope; the others follow.
        index: usize,
    },
    /// They are not in the stream and will never take effect.
    NotAppended,
    /// They may be in the stream or may still get there.
    Unknown,
}

/// Appends events to one stream. Clones share the order.
#[derive(Debug, Clone)]
pub struct Writer {
    queue: smol::channel::Sender<Waiting>,
}

impl Writer {
    /// Returns a writer and the task that does its work. There has to be no other writer of the
    /// same name and incarnation in the stream.
    #[must_use]
    pub fn new(
        client: Client,
        stream: impl Into<String>,
        name: impl Into<Name>,
        incarnation: Incarnation,
    ) -> (Self, Task) {
        let (queue, waiting) = smol::channel::bounded(QUEUE);
        let sender = Sender::new(client, stream.into(), name.into(), incarnation);
        (Self { queue }, Task::new(sender, waiting))
    }

    /// Appends events, all in one envelope. Events that are not sent within `limit` are not sent at
    /// all. From the moment they are sent, the outcome takes at most the client's deadline and
    /// 5 s more.
    ///
    /// Events whose future is dropped are appended all the same.
    pub async fn append(&self, events: Vec<Event>, limit: Duration) -> Outcome {
        let (reply, replied) = smol::channel::bounded(1);
        let (waiting, claim) = match Waiting::new(&events, reply) {
            Ok(waiting) => waiting,
            Err(error) => {
                tracing::error!(%error, "events cannot be written as JSON");
                return Outcome::NotAppended;
            }
        };
        if let Err(error) = self.queue.try_send(waiting) {
            tracing::warn!(%error, "append refused");
            return Outcome::NotAppended;
        }
        let withdrawn = async {
            smol::Timer::after(limit).await;
            claim.withdraw()
        };
        // A task that was dropped while it held the events may have been appending them.
        let outcome = async { replied.recv().await.unwrap_or(Outcome::Unknown) };
        let mut outcome = std::pin::pin!(outcome);
        let first = smol::future::or(async { Some(outcome.as_mut().await) }, async {
            withdrawn.await.then_some(Outcome::NotAppended)
        });
        match first.await {
            Some(outcome) => outcome,
            None => outcome.await,
        }
    }
}
