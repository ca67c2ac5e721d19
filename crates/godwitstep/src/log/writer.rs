//! Writer of one stream.
//!
//! A writer sends one envelope at a time; events that arrive meanwhile wait and go into the next
//! one together. Readers apply an envelope only if its number is above all numbers of the same
//! writer and incarnation before it in the stream.
//!
//! The reply to an append can be lost, and the append can take effect even after the writer has
//! timed out, so that reading the stream up to its tail does not prove that the envelope will never
//! be appended. The writer therefore
//!
//! 1. reads forward from the tail before the append, and reports [`Outcome::Appended`] if it finds
//!    its envelope;
//! 2. otherwise appends an empty envelope with the next number, the *no-op*. If the no-op is in the
//!    stream and the envelope is not before it, no reader will ever apply the envelope: the outcome
//!    is [`Outcome::NotAppended`] and final;
//! 3. reports [`Outcome::Unknown`] if neither is established in time, and retries the no-op until
//!    it, or a later envelope, is in the stream. From then on a delayed append has no effect.
//!
//! A number is reused only if no byte of its envelope was accepted by the log service. Sending
//! other content under a number that may still arrive would make the outcome depend on which of the
//! two arrives first.

mod queue;
mod sender;

pub use sender::Task;

use super::Client;
use godwitstep_core::id::{Incarnation, Name, Offset};
use godwitstep_core::record::Event;
use queue::PendingAppend;
use sender::Sender;
use std::time::Duration;

/// Capacity of the queue of appends; further ones are refused.
const QUEUE_CAPACITY: usize = 1024;

/// Outcome of the append of some events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// They are in the stream.
    Appended {
        /// Offset of their envelope.
        offset: Offset,
        /// Index of the first event in the envelope; the others follow.
        index: usize,
    },
    /// They are not in the stream and will never take effect.
    NotAppended,
    /// They may be in the stream or may still be appended to it.
    Unknown,
}

/// Appends events to one stream. Clones share one queue, so their events are
/// appended in the order of the calls.
#[derive(Debug, Clone)]
pub struct Writer {
    queue: smol::channel::Sender<PendingAppend>,
}

impl Writer {
    /// Returns a writer and the task that performs its appends. No other writer of the stream may
    /// have the same name and incarnation.
    #[must_use]
    pub fn new(
        client: Client,
        stream: impl Into<String>,
        name: impl Into<Name>,
        incarnation: Incarnation,
    ) -> (Self, Task) {
        let (queue, receiver) = smol::channel::bounded(QUEUE_CAPACITY);
        let sender = Sender::new(client, stream.into(), name.into(), incarnation);
        (Self { queue }, Task::new(sender, receiver))
    }

    /// Appends events, all in one envelope. Events that are not sent within `limit` are not sent at
    /// all. From the moment they are sent, the outcome takes at most the client's deadline and
    /// 5 s more.
    ///
    /// Dropping the future does not withdraw the events.
    pub async fn append(&self, events: Vec<Event>, limit: Duration) -> Outcome {
        let (reply, replied) = smol::channel::bounded(1);
        let (pending, withdrawal) = match PendingAppend::new(&events, reply) {
            Ok(pending) => pending,
            Err(error) => {
                tracing::error!(%error, "events cannot be written as JSON");
                return Outcome::NotAppended;
            }
        };
        if let Err(error) = self.queue.try_send(pending) {
            tracing::warn!(%error, "append refused by the queue of the writer");
            return Outcome::NotAppended;
        }
        let withdrawn = async {
            smol::Timer::after(limit).await;
            withdrawal.withdraw()
        };
        // If the task was dropped, it may have been appending the events.
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
