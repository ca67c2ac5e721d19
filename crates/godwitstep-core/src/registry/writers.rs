//! Deduplicates envelopes by tracking the newest folded one of each writer.

use crate::id::{Incarnation, Name, Offset};
use crate::record::Envelope;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of tracked writers. Beyond it, the writer whose last envelope has the lowest
/// offset is evicted.
const MAX_WRITERS: usize = 4_096;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct LastEnvelope {
    incarnation: Incarnation,
    sequence: u64,
    offset: Offset,
}

/// The newest folded envelope of each writer.
///
/// Only the newest incarnation of a writer is accepted, and within it only sequence numbers above the
/// highest folded one. An append that arrives after its writer abandoned it, or after the writer was
/// replaced, therefore has no effect, and the table needs only one row for each writer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Writers(BTreeMap<Name, LastEnvelope>);

impl Writers {
    /// Records an envelope. Returns false if it must not take effect.
    pub(super) fn admit(&mut self, record: &Envelope, offset: Offset) -> bool {
        let candidate = (record.incarnation, record.sequence);
        if let Some(last) = self.0.get(&record.writer)
            && candidate <= (last.incarnation, last.sequence)
        {
            return false;
        }
        self.0.insert(
            record.writer.clone(),
            LastEnvelope {
                incarnation: record.incarnation,
                sequence: record.sequence,
                offset,
            },
        );
        if self.0.len() > MAX_WRITERS {
            self.evict_oldest();
        }
        true
    }

    fn evict_oldest(&mut self) {
        let oldest = self.0.iter().min_by_key(|(_, last)| last.offset);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.0.remove(&name);
        }
    }
}
