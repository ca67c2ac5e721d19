//! Events that wait for their append, and batches of them.

use super::Outcome;
use godwitstep_core::record::Event;
use serde_json::value::RawValue;
use smol::channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;

/// Bytes of events in one envelope. A single larger append gets an envelope of its own.
const BATCH_BYTES: usize = 64 * 1024;
/// Events in one envelope.
const BATCH_EVENTS: usize = 256;

/// Who decides about the events of one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// They wait, and the caller may withdraw them.
    Waiting,
    /// They are being sent.
    Taken,
    /// They must not be sent.
    Withdrawn,
}

/// A caller's hold on its events.
#[derive(Debug)]
pub(super) struct Claim(Rc<Cell<Phase>>);

impl Claim {
    /// Withdraws the events unless they are being sent. Returns false if they are.
    pub(super) fn withdraw(&self) -> bool {
        let waits = self.0.get() == Phase::Waiting;
        if waits {
            self.0.set(Phase::Withdrawn);
        }
        waits
    }
}

/// The events of one append.
#[derive(Debug)]
pub(super) struct Waiting {
    events: Vec<Box<RawValue>>,
    phase: Rc<Cell<Phase>>,
    reply: Sender<Outcome>,
}

impl Waiting {
    pub(super) fn new(
        events: &[Event],
        reply: Sender<Outcome>,
    ) -> Result<(Self, Claim), serde_json::Error> {
        let events = events.iter().map(serde_json::value::to_raw_value);
        let phase = Rc::new(Cell::new(Phase::Waiting));
        let waiting = Self {
            events: events.collect::<Result<_, _>>()?,
            phase: Rc::clone(&phase),
            reply,
        };
        Ok((waiting, Claim(phase)))
    }

    fn bytes(&self) -> usize {
        self.events.iter().map(|event| event.get().len()).sum()
    }

    fn answer(&self, outcome: Outcome) {
        // The caller may have gone.
        let _ = self.reply.try_send(outcome);
    }
}

/// The events of one envelope.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) events: Vec<Box<RawValue>>,
    /// Index of the first event of each append.
    members: Vec<(usize, Waiting)>,
}

impl Batch {
    /// Takes `first` and what waits behind it, up to the bounds. Returns also the append that did
    /// not fit, which comes first in the next batch.
    pub(super) fn gather(first: Waiting, queue: &Receiver<Waiting>) -> (Self, Option<Waiting>) {
        let mut batch = Self::default();
        let mut bytes = 0;
        let mut next = Some(first);
        while let Some(waiting) = next {
            if waiting.phase.get() == Phase::Waiting {
                bytes += waiting.bytes();
                let events = batch.events.len() + waiting.events.len();
                let full = bytes > BATCH_BYTES || events > BATCH_EVENTS;
                if full && !batch.members.is_empty() {
                    return (batch, Some(waiting));
                }
                batch.add(waiting);
            }
            next = queue.try_recv().ok();
        }
        (batch, None)
    }

    fn add(&mut self, mut waiting: Waiting) {
        let index = self.events.len();
        waiting.phase.set(Phase::Taken);
        self.events.append(&mut waiting.events);
        self.members.push((index, waiting));
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Answers all appends of the batch.
    pub(super) fn answer(&self, outcome: Outcome) {
        for (first, waiting) in &self.members {
            waiting.answer(match outcome {
                Outcome::Appended { offset, .. } => Outcome::Appended {
                    offset,
                    index: *first,
                },
                other => other,
            });
        }
    }
}
