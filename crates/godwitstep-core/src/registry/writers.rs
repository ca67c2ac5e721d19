//! Which envelopes of each writer have been folded.

use crate::id::{Incarnation, Name, Offset};
use crate::record::Envelope;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Writers that are remembered. Beyond it, the one that has been silent for the longest stretch of
/// the stream is forgotten.
const MAX_WRITERS: usize = 4_096;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Last {
    incarnation: Incarnation,
    sequence: u64,
    offset: Offset,
}

/// The newest folded envelope of each writer.
///
/// Only the newest life of a writer counts, and in it only numbers above the highest folded one.
/// So an append that arrives after its writer has given it up, or after the writer was replaced,
/// has no effect, and the table holds one row for each writer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Writers(BTreeMap<Name, Last>);

impl Writers {
    /// Notes an envelope. Returns false if it must not take effect.
    pub(super) fn admit(&mut self, record: &Envelope, offset: Offset) -> bool {
        let next = (record.incarnation, record.sequence);
        if let Some(last) = self.0.get(&record.writer)
            && next <= (last.incarnation, last.sequence)
        {
            return false;
        }
        self.0.insert(
            record.writer.clone(),
            Last {
                incarnation: record.incarnation,
                sequence: record.sequence,
                offset,
            },
        );
        if self.0.len() > MAX_WRITERS {
            self.forget_oldest();
        }
        true
    }

    fn forget_oldest(&mut self) {
        let oldest = self.0.iter().min_by_key(|(_, last)| last.offset);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.0.remove(&name);
        }
    }
}
