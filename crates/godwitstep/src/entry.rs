//! The entry process: serves callers and operators, accepts links from agents and peer entries,
//! follows the log, and acts as the decider of its region while it holds the claim.
//!
//! [`run`] wires the modules together. All of them share one `State` on one thread:
//!
//! | module | purpose |
//! |---|---|
//! | `follow` | reads both streams, folds their records and dispatches the changes |
//! | `stream` | holds the tail evidence and the recent records of a stream |
//! | `links` | tracks linked agents and peers and their last announcements |
//! | `peers` | exchanges tail evidence and records with peer entries |
//! | `operating_mode` | evaluates whether work may start, and sends the result to the agents |
//! | `requests` | connects the caller front end to the links |
//! | `gauges` | updates the gauges of the metrics |
//! | `store` | implements the operator API on the registry and the log |

mod error;
mod follow;
mod gauges;
mod links;
mod listeners;
mod operating_mode;
mod peers;
mod requests;
mod run;
mod serve;
mod state;
mod store;
mod stream;

pub use error::{Error, Step};
pub use listeners::Listeners;
pub use run::{run, serve_at};
pub(crate) use state::State;
