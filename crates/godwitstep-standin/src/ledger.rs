//! What a stand-in did, for checks that compare it with what its callers were told.

use serde::Serialize;
use std::collections::VecDeque;

/// Entries that a ledger holds; the oldest are dropped.
const ENTRIES: usize = 200_000;

/// A bounded list of entries that are numbered from 0.
#[derive(Debug)]
pub struct Ledger<T> {
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
    pub fn add(&mut self, entry: T) -> u64 {
        if self.entries.len() == ENTRIES {
            self.entries.pop_front();
            self.first += 1;
        }
        self.entries.push_back(entry);
        self.first + self.entries.len() as u64 - 1
    }

    /// Returns an entry that is still held.
    pub fn entry(&mut self, number: u64) -> Option<&mut T> {
        let index = usize::try_from(number.checked_sub(self.first)?).ok()?;
        self.entries.get_mut(index)
    }

    /// Returns the entries from a number on.
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
