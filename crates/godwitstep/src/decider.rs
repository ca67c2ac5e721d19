//! Drives the planner of a region while this entry holds the region's claim.
//!
//! `claim` takes and renews the claim, `record` writes the planner's records, `drive` turns
//! planner actions into frames, and `inform` turns what agents and the registry say into planner
//! events.

mod claim;
mod drive;
mod inform;
mod record;
mod snapshot;

pub(crate) use claim::keep;
pub(crate) use drive::tell;
pub(crate) use inform::{announced, busy, ended, learn, lost, part_event};

use godwitstep_core::authority::Standing;
use godwitstep_core::id::{Epoch, Offset};
use godwitstep_core::planner::{Action, Planner};
use std::time::Duration;

/// The planner and the epoch under which it decides.
pub(crate) struct Decider {
    pub(crate) planner: Planner,
    pub(crate) epoch: Epoch,
    /// Buffer for the planner's actions; empty between events.
    actions: Vec<Action>,
    /// When the claim was last renewed, successfully or not.
    renewed: Duration,
    /// Position of each stream up to which a snapshot was written under this claim.
    snapshots: [Offset; 2],
}

/// Returns the standing that the planner gets. The start of a job needs a record in the log, so
/// that a later decider knows of every run; while the log is away, accepted jobs wait.
pub(crate) const fn standing_for(standing: Standing) -> Standing {
    if standing.may_promise() {
        Standing::Fresh
    } else {
        Standing::Halted
    }
}
