//! Amounts of processor, memory and accelerators.
//!
//! ```
//! use godwitstep_batch::demand::Demand;
//!
//! let room = Demand { cpu: 64_000, memory: 262_144, accelerators: 8 };
//! let task = Demand { cpu: 26_000, memory: 140_000, accelerators: 4 };
//! assert!(task.fits(&room));
//! assert!(!task.fits(&room.minus(&task)), "memory for one such task only");
//! ```

use serde::{Deserialize, Serialize};

/// Cores that count as much as one accelerator where work is weighed.
pub const CORES_PER_ACCELERATOR: u64 = 8;
/// Thousandths in a core.
const MILLIS: u64 = 1_000;

/// What a task takes, or what a worker has. Callers choose the amounts freely, so sums and products stop at the
/// greatest number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Processor time. Unit: thousandths of a core.
    pub cpu: u64,
    /// Memory. Unit: MB.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Demand {
    /// Tells whether this demand fits into the room.
    #[must_use]
    pub const fn fits(&self, room: &Self) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Returns the sum.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the sum of any number.
    #[must_use]
    pub fn sum<'a>(demands: impl IntoIterator<Item = &'a Self>) -> Self {
        let none = Self::default();
        demands
            .into_iter()
            .fold(none, |sum, demand| sum.plus(demand))
    }

    /// Returns the difference, at least zero in each dimension.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the smaller amount in each dimension.
    #[must_use]
    pub fn least(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the demand of several such tasks.
    #[must_use]
    pub const fn times(&self, tasks: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(tasks),
            memory: self.memory.saturating_mul(tasks),
            accelerators: self.accelerators.saturating_mul(tasks),
        }
    }

    /// Returns how many such tasks fit into the room side by side.
    #[must_use]
    pub fn copies_in(&self, room: &Self) -> u64 {
        [
            (self.cpu, room.cpu),
            (self.memory, room.memory),
            (self.accelerators, room.accelerators),
        ]
        .into_iter()
        .filter_map(|(task, room)| room.checked_div(task))
        .min()
        .unwrap_or(u64::MAX)
    }

    /// Returns the largest share of the room that this demand takes in any dimension.
    #[must_use]
    pub fn share_of(&self, room: &Self) -> f64 {
        [
            (self.cpu, room.cpu),
            (self.memory, room.memory),
            (self.accelerators, room.accelerators),
        ]
        .into_iter()
        .filter(|(task, _)| *task > 0)
        .map(|(task, room)| {
            if room == 0 {
                f64::INFINITY
            } else {
                ratio(task, room)
            }
        })
        .fold(0.0, f64::max)
    }

    /// Returns the weight of the demand in cores, accelerators included.
    #[must_use]
    pub fn cores(&self) -> f64 {
        ratio(self.cpu, MILLIS) + ratio(self.accelerators.saturating_mul(CORES_PER_ACCELERATOR), 1)
    }
}

/// Divides two amounts that are far below the precision of a double.
#[allow(clippy::cast_precision_loss)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
