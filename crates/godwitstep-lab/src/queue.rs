//! Queue of a discrete-event run. Items due at the same time come in the order of insertion.

use std::collections::BTreeMap;
use std::time::Duration;

/// Items by the time at which they are due.
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
    /// Adds an item that is due at a time.
    pub fn push(&mut self, at: Duration, item: T) {
        self.sequence += 1;
        self.items.insert((at, self.sequence), item);
    }

    /// Takes the next item.
    pub fn pop(&mut self) -> Option<(Duration, T)> {
        self.items.pop_first().map(|((at, _), item)| (at, item))
    }
}
