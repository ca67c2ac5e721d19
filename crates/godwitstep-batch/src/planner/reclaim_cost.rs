//! What stops for a claim cost, and how much each workspace can return.

use super::borrowed::{Excess, Loan};
use crate::id::Workspace;
use std::cmp::Ordering;

/// What a search prefers to give up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Preference {
    LeastLoss,
    FewestAccelerators,
}

/// What is lost by stopping runs. Borrowed work outweighs any work of lower priority.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Cost {
    /// Accelerators that are taken back.
    pub accelerators: u64,
    /// Work of priority 0. Unit: core-seconds.
    pub borrowed: f64,
    /// Weighted work of lower priorities.
    pub lower: f64,
}

impl Cost {
    pub fn add(&mut self, other: &Self) {
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
        self.borrowed += other.borrowed;
        self.lower += other.lower;
    }

    pub fn compare(&self, other: &Self, preference: Preference) -> Ordering {
        let by_accelerators = self.accelerators.cmp(&other.accelerators);
        let by_loss = self
            .borrowed
            .total_cmp(&other.borrowed)
            .then_with(|| self.lower.total_cmp(&other.lower));
        match preference {
            Preference::LeastLoss => by_loss.then(by_accelerators),
            Preference::FewestAccelerators => by_accelerators.then(by_loss),
        }
    }
}

/// What some stops take back from each workspace; few, so that a list is faster than a map.
#[derive(Default)]
pub(super) struct Returned<'a>(Vec<(&'a Option<Workspace>, u64)>);

impl<'a> Returned<'a> {
    /// Adds a loan if its workspace can return it besides the others. Returns whether it can.
    pub fn add(&mut self, loan: &'a Loan, excess: &Excess) -> bool {
        let position = self.0.iter().position(|(name, _)| **name == loan.workspace);
        let before = position.map_or(0, |position| self.0[position].1);
        let total = before.saturating_add(loan.accelerators);
        let is_possible = excess
            .get(&loan.workspace)
            .is_some_and(|left| total <= *left);
        match position {
            _ if !is_possible => {}
            Some(position) => self.0[position].1 = total,
            None => self.0.push((&loan.workspace, total)),
        }
        is_possible
    }
}
