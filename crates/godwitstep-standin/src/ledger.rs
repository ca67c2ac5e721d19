//! Record of the work that a stand-in did, for checks that compare it with the responses that its
//! callers received.

use serde::Serialize;
use std::collections::VecDeque;

/// Maximum number of entries in a ledger; the oldest are dropped.
const MAX_ENTRIES: usize = 200_000;

/// A bounded list of entries that are numbered from 0.
#[derive(Debug)]
pub struct Ledger<T> {
    /// Number of the oldest retained entry.
    first: u64,
    entries: VecDeque<T>,
}

/// Entries from a number on, as served at `GET /ledger?from=`.
#[derive(Debug, Clone, Serialize)]
pub struct Page<T> {
    /// Number of the first entry of the page.
    pub first: u64,
    /// Number that the next new entry gets.
    pub next: u64,
    /// Entries in the order of their start.
    pub entries: Vec<T>,
}

impl<T> Default for Ledger<T> {
    fn default() -> Self {
        Self {
            first: 0,
            entries: VecDeque::new(),
        }
    }
}

impl<T: Clone> Ledger<T> {
    /// Adds an entry and returns its number.
    pub fn push(&mut self, entry: T) -> u64 {
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
            self.first += 1;
        }
        self.entries.push_back(entry);
        self.first + self.entries.len() as u64 - 1
    }

    /// Returns the entry with the given number if it is retained.
    pub fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        let index = usize::try_from(number.checked_sub(self.first)?).ok()?;
        self.entries.get_mut(index)
    }

    /// Returns the retained entries whose number is at least `from`.
    #[must_use]
    pub fn page(&self, from: u64) -> Page<T> {
        let first = from.max(self.first);
        let skip = usize::try_from(first - self.first).unwrap_or(usize::MAX);
        Page {
            first,
            next: self.first + self.entries.len() as u64,
            entries: self.entries.iter().skip(skip).cloned().collect(),
        }
    }
}
