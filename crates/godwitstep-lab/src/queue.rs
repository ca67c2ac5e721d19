//! Event queue of a discrete-event simulation. Items due at the same time are returned in the order
//! of insertion.

use std::collections::BTreeMap;
use std::time::Duration;

/// Priority queue of items, ordered by the time at which they are due.
#[derive(Debug)]
pub struct Queue<T> {
    items: BTreeMap<(Duration, u64), T>,
    sequence: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds an item that is due at the given time.
    pub fn push(&mut self, due: Duration, item: T) {
        self.sequence += 1;
        self.items.insert((due, self.sequence), item);
    }

    /// Removes and returns the item that is due first, with its time.
    pub fn pop(&mut self) -> Option<(Duration, T)> {
        self.items.pop_first().map(|((due, _), item)| (due, item))
    }
}
