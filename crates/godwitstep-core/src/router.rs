//! The entry's policy for requests: order, admission, choice of target, retries, at most once.
//!
//! The router takes [`Event`]s with a time and returns [`Action`]s. Bodies stay outside.

mod event;

pub use event::{Action, Event, KeyState, Outcome, Refusal, Reply, Request, Sequence, Target};
