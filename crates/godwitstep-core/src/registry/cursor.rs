//! Position and watch history of one stream.

use super::writers::Writers;
use super::{Change, Gap, Notice, Relist, Stream};
use crate::id::{Offset, Version};
use std::collections::VecDeque;

/// Changes kept for watches of one stream. At 11,000 changes a day this covers a watcher that was
/// away for about 9 hours.
const MAX_HISTORY: usize = 4_096;

/// How far a stream is folded, and what changed lately.
#[derive(Debug, Clone, Default)]
pub(super) struct Cursor {
    /// First offset that is not folded. Never decreases.
    pub(super) position: Offset,
    pub(super) writers: Writers,
    /// In offset order, at most [`MAX_HISTORY`].
    history: VecDeque<(Offset, Change)>,
    /// All changes at offsets from here to the position are in the history.
    oldest: Offset,
}

impl Cursor {
    /// Returns a cursor that has folded everything before a position.
    pub(super) fn at(position: Offset, writers: Writers) -> Self {
        Self {
            position,
            writers,
            history: VecDeque::new(),
            oldest: position,
        }
    }

    pub(super) fn without_history(self) -> Self {
        Self::at(self.position, self.writers)
    }

    /// Moves the position past an offset. Returns false if it had been folded before.
    pub(super) fn advance(&mut self, stream: Stream, offset: Offset) -> Result<bool, Gap> {
        if offset > self.position {
            return Err(Gap {
                stream,
                expected: self.position,
                found: offset,
            });
        }
        let new = offset == self.position;
        if new {
            self.position += 1;
        }
        Ok(new)
    }

    pub(super) fn remember(&mut self, offset: Offset, changes: &[Change]) {
        self.history
            .extend(changes.iter().map(|change| (offset, change.clone())));
        while self.history.len() > MAX_HISTORY {
            if let Some((dropped, _)) = self.history.pop_front() {
                self.oldest = dropped + 1;
            }
        }
    }

    pub(super) fn since(&self, from: Version) -> Result<impl Iterator<Item = Notice<'_>>, Relist> {
        if from < self.oldest {
            return Err(Relist {
                oldest: self.oldest,
            });
        }
        let start = self.history.partition_point(|(offset, _)| *offset < from);
        Ok((start..self.history.len()).map(|index| {
            let (offset, change) = &self.history[index];
            let last = self
                .history
                .get(index + 1)
                .is_none_or(|(next, _)| next != offset);
            Notice {
                offset: *offset,
                resume: offset + u64::from(last),
                change,
            }
        }))
    }
}
