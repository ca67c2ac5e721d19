//! Position and watch history of one stream.

use super::writers::Writers;
use super::{Change, Gap, Relist, Stream, WatchEvent};
use crate::id::{Offset, Version};
use std::collections::VecDeque;

/// Maximum number of changes retained for watches of one stream. At 11,000 changes a day a watcher
/// can resume after about 9 hours without listing again.
const MAX_HISTORY: usize = 4_096;

/// Position of a stream and its recent changes.
#[derive(Debug, Clone, Default)]
pub(super) struct Cursor {
    /// First offset that is not yet folded. Never decreases.
    pub(super) position: Offset,
    pub(super) writers: Writers,
    /// Recent changes in offset order, at most [`MAX_HISTORY`].
    history: VecDeque<(Offset, Change)>,
    /// The history holds all changes at offsets from here up to the position.
    oldest_retained: Offset,
}

impl Cursor {
    /// Returns a cursor that has folded everything before a position.
    pub(super) fn at(position: Offset, writers: Writers) -> Self {
        Self {
            position,
            writers,
            history: VecDeque::new(),
            oldest_retained: position,
        }
    }

    pub(super) fn without_history(self) -> Self {
        Self::at(self.position, self.writers)
    }

    /// Moves the position past an offset. Returns false if that offset was folded before.
    pub(super) fn advance(&mut self, stream: Stream, offset: Offset) -> Result<bool, Gap> {
        if offset > self.position {
            return Err(Gap {
                stream,
                expected: self.position,
                found: offset,
            });
        }
        let is_next = offset == self.position;
        if is_next {
            self.position += 1;
        }
        Ok(is_next)
    }

    pub(super) fn record_changes(&mut self, offset: Offset, changes: &[Change]) {
        self.history
            .extend(changes.iter().map(|change| (offset, change.clone())));
        while self.history.len() > MAX_HISTORY {
            if let Some((dropped, _)) = self.history.pop_front() {
                self.oldest_retained = dropped + 1;
            }
        }
    }

    pub(super) fn changes_from(
        &self,
        from: Version,
    ) -> Result<impl Iterator<Item = WatchEvent<'_>>, Relist> {
        if from < self.oldest_retained {
            return Err(Relist {
                oldest: self.oldest_retained,
            });
        }
        let start = self.history.partition_point(|(offset, _)| *offset < from);
        Ok((start..self.history.len()).map(|index| {
            let (offset, change) = &self.history[index];
            let is_last_of_record = self
                .history
                .get(index + 1)
                .is_none_or(|(next, _)| next != offset);
            WatchEvent {
                offset: *offset,
                resume: offset + u64::from(is_last_of_record),
                change,
            }
        }))
    }
}
