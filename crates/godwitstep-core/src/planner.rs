//! The decider's policy: which job starts where, who gives way, what is refused.
//!
//! The planner takes [`Event`]s with a time and returns [`Action`]s. It plans for one region.

mod event;

pub use event::{Action, End, Event, Running, Worker};
