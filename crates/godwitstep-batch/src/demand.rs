//! Amounts of processor time, memory and accelerators.
//!
//! ```
//! use godwitstep_batch::demand::Demand;
//!
//! let capacity = Demand { cpu: 64_000, memory: 262_144, accelerators: 8 };
//! let task = Demand { cpu: 26_000, memory: 140_000, accelerators: 4 };
//! assert!(task.fits(&capacity));
//! assert!(!task.fits(&capacity.saturating_sub(&task)), "memory for one such task only");
//! ```

use serde::{Deserialize, Serialize};

/// Number of cores that one accelerator counts as in measures of work.
pub const CORES_PER_ACCELERATOR: u64 = 8;
/// Thousandths of a core per core.
const MILLICORES_PER_CORE: u64 = 1_000;

/// Resources that a task needs or a worker provides. Callers choose the amounts freely, so sums and products
/// saturate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Processor time in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Demand {
    /// Returns whether this demand fits into a capacity in every dimension.
    #[must_use]
    pub const fn fits(&self, capacity: &Self) -> bool {
        self.cpu <= capacity.cpu
            && self.memory <= capacity.memory
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the saturating sum of two demands.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the saturating sum of any number of demands.
    #[must_use]
    pub fn sum<'a>(demands: impl IntoIterator<Item = &'a Self>) -> Self {
        let zero = Self::default();
        demands
            .into_iter()
            .fold(zero, |sum, demand| sum.saturating_add(demand))
    }

    /// Returns the difference, saturating at zero in each dimension.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the smaller amount in each dimension.
    #[must_use]
    pub fn component_min(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the larger amount in each dimension.
    #[must_use]
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the saturating demand of a number of tasks with this demand each.
    #[must_use]
    pub const fn saturating_mul(&self, tasks: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(tasks),
            memory: self.memory.saturating_mul(tasks),
            accelerators: self.accelerators.saturating_mul(tasks),
        }
    }

    /// Returns how many tasks with this demand fit into a capacity at the same time.
    #[must_use]
    pub fn copies_in(&self, capacity: &Self) -> u64 {
        [
            (self.cpu, capacity.cpu),
            (self.memory, capacity.memory),
            (self.accelerators, capacity.accelerators),
        ]
        .into_iter()
        .filter_map(|(task, capacity)| capacity.checked_div(task))
        .min()
        .unwrap_or(u64::MAX)
    }

    /// Returns the dominant share: the largest fraction of a capacity that this demand takes in any dimension.
    #[must_use]
    pub fn share_of(&self, capacity: &Self) -> f64 {
        [
            (self.cpu, capacity.cpu),
            (self.memory, capacity.memory),
            (self.accelerators, capacity.accelerators),
        ]
        .into_iter()
        .filter(|(task, _)| *task > 0)
        .map(|(task, capacity)| {
            if capacity == 0 {
                f64::INFINITY
            } else {
                ratio(task, capacity)
            }
        })
        .fold(0.0, f64::max)
    }

    /// Returns the demand in cores, with each accelerator counted as [`CORES_PER_ACCELERATOR`] cores.
    #[must_use]
    pub fn cores(&self) -> f64 {
        ratio(self.cpu, MILLICORES_PER_CORE)
            + ratio(self.accelerators.saturating_mul(CORES_PER_ACCELERATOR), 1)
    }
}

/// Divides two amounts, which are small enough to be represented exactly by an `f64`.
#[allow(clippy::cast_precision_loss)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
