//! Runs the planner of a region while this entry holds the region's claim.
//!
//! `claim` acquires and renews the claim, `record` appends the planner's records to the log, `snapshot` appends
//! snapshots of the current state, `actions` executes the planner's actions, and `events` converts messages from
//! agents and changes of the registry into planner events.

mod actions;
mod claim;
mod events;
mod record;
mod snapshot;

pub(crate) use actions::send_event;
pub(crate) use claim::maintain_claim;
pub(crate) use events::{
    apply_change, handle_announcement, handle_end, handle_link_loss, handle_part_answer,
    handle_usage,
};

use godwitstep_core::authority::OperatingMode;
use godwitstep_core::id::{Epoch, Offset};
use godwitstep_core::planner::{Action, Planner};
use std::time::Duration;

/// The planner and the epoch of the claim under which it runs.
pub(crate) struct Decider {
    pub(crate) planner: Planner,
    pub(crate) epoch: Epoch,
    /// Buffer for the planner's actions; empty between events.
    actions: Vec<Action>,
    /// When the last renewal of the claim was sent, whether or not it succeeded.
    last_renewal: Duration,
    /// Position of each stream at the time of its last snapshot under this claim.
    snapshot_positions: [Offset; 2],
}

/// Returns the operating mode to pass to the planner. The start of a job has to be recorded in the log, so that a later
/// decider can account for every run; while the log is unavailable, accepted jobs wait.
pub(crate) const fn planner_operating_mode(operating_mode: OperatingMode) -> OperatingMode {
    if operating_mode.may_record() {
        OperatingMode::Normal
    } else {
        OperatingMode::Halted
    }
}
