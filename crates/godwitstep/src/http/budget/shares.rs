//! Use of a scarce resource by group of clients, by which a group beyond its equal share is recognized.

use std::collections::HashMap;
use std::hash::Hash;

/// Use by group. Groups that use nothing are not kept, so their number is at most the number of holders.
#[derive(Debug, Clone)]
pub struct Shares<G> {
    used: HashMap<G, usize>,
}

impl<G> Default for Shares<G> {
    fn default() -> Self {
        Self {
            used: HashMap::new(),
        }
    }
}

impl<G: Hash + Eq> Shares<G> {
    /// Adds to a group's use.
    pub fn add(&mut self, group: G, amount: usize) {
        if amount > 0 {
            *self.used.entry(group).or_default() += amount;
        }
    }

    /// Subtracts from a group's use.
    pub fn remove(&mut self, group: &G, amount: usize) {
        if let Some(used) = self.used.get_mut(group) {
            *used = used.saturating_sub(amount);
            if *used == 0 {
                self.used.remove(group);
            }
        }
    }

    /// Returns whether a group that takes `more` would exceed its equal share of `total`. A single group may use
    /// everything, and a use of up to `minimum` is never too much.
    #[must_use]
    pub fn exceeds(&self, group: &G, more: usize, total: usize, minimum: usize) -> bool {
        let used = self.used.get(group).copied().unwrap_or(0);
        let groups = self.used.len() + usize::from(used == 0 && more > 0);
        groups > 1 && used + more > (total / groups).max(minimum)
    }

    /// Returns whether nothing is in use.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }
}
