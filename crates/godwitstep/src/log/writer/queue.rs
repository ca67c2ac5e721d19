//! Queue of appends and their batches.

use super::Outcome;
use godwitstep_core::record::Event;
use serde_json::value::RawValue;
use smol::channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;

/// Maximum size of the events in one envelope. Unit: bytes. A single larger append gets
/// an envelope of its own.
const BATCH_BYTES: usize = 64 * 1024;
/// Maximum number of events in one envelope.
const BATCH_EVENTS: usize = 256;

/// State of a queued append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendState {
    /// The events are queued, and the caller may withdraw them.
    Queued,
    /// The events are being sent.
    Sending,
    /// The caller has withdrawn the events; they must not be sent.
    Withdrawn,
}

/// Handle with which the caller withdraws its events.
#[derive(Debug)]
pub(super) struct Withdrawal(Rc<Cell<AppendState>>);

impl Withdrawal {
    /// Withdraws the events unless they are being sent. Returns false if they are.
    pub(super) fn withdraw(&self) -> bool {
        let queued = self.0.get() == AppendState::Queued;
        if queued {
            self.0.set(AppendState::Withdrawn);
        }
        queued
    }
}

/// Append that waits in the queue, or is being sent, and the channel for its outcome.
#[derive(Debug)]
pub(super) struct PendingAppend {
    events: Vec<Box<RawValue>>,
    state: Rc<Cell<AppendState>>,
    reply: Sender<Outcome>,
}

impl PendingAppend {
    pub(super) fn new(
        events: &[Event],
        reply: Sender<Outcome>,
    ) -> Result<(Self, Withdrawal), serde_json::Error> {
        let events = events.iter().map(serde_json::value::to_raw_value);
        let state = Rc::new(Cell::new(AppendState::Queued));
        let pending = Self {
            events: events.collect::<Result<_, _>>()?,
            state: Rc::clone(&state),
            reply,
        };
        Ok((pending, Withdrawal(state)))
    }

    fn bytes(&self) -> usize {
        self.events.iter().map(|event| event.get().len()).sum()
    }

    fn resolve(&self, outcome: Outcome) {
        // The caller may have dropped its future.
        let _ = self.reply.try_send(outcome);
    }
}

/// Appends that are sent in one envelope.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) events: Vec<Box<RawValue>>,
    /// Appends with the index of their first event.
    appends: Vec<(usize, PendingAppend)>,
}

impl Batch {
    /// Collects `first` and the appends queued behind it, up to the bounds. Also returns the append
    /// that did not fit, which comes first in the next batch.
    pub(super) fn collect(
        first: PendingAppend,
        queue: &Receiver<PendingAppend>,
    ) -> (Self, Option<PendingAppend>) {
        let mut batch = Self::default();
        let mut bytes = 0;
        let mut next = Some(first);
        while let Some(pending) = next {
            if pending.state.get() == AppendState::Queued {
                bytes += pending.bytes();
                let events = batch.events.len() + pending.events.len();
                let full = bytes > BATCH_BYTES || events > BATCH_EVENTS;
                if full && !batch.appends.is_empty() {
                    return (batch, Some(pending));
                }
                batch.add(pending);
            }
            next = queue.try_recv().ok();
        }
        (batch, None)
    }

    fn add(&mut self, mut pending: PendingAppend) {
        let index = self.events.len();
        pending.state.set(AppendState::Sending);
        self.events.append(&mut pending.events);
        self.appends.push((index, pending));
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.appends.is_empty()
    }

    /// Sends the outcome to the callers of all appends of the batch.
    pub(super) fn resolve(&self, outcome: Outcome) {
        for (first, pending) in &self.appends {
            pending.resolve(match outcome {
                Outcome::Appended { offset, .. } => Outcome::Appended {
                    offset,
                    index: *first,
                },
                other => other,
            });
        }
    }
}
