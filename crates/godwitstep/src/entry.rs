//! The entry: serves callers and operators, links agents and peer entries, follows the log, and
//! decides for its region while it holds the claim.
//!
//! [`run`] puts the parts together. All of them share one `State` on one thread:
//!
//! | part | does |
//! |---|---|
//! | `follow` | reads both streams, folds records and spreads what changed |
//! | `stream` | keeps the evidence and the recent records of a stream |
//! | `links` | knows which agents and peers are linked, and what they announced |
//! | `peers` | passes evidence and records between entries |
//! | `standing` | judges whether work may start, and tells the agents |
//! | `requests` | connects the callers' front to the links |
//! | `gauges` | brings the gauges of the metrics up to date |
//! | `store` | connects the operators' interface to the registry and the log |

mod error;
mod follow;
mod gauges;
mod links;
mod listeners;
mod peers;
mod requests;
mod run;
mod serve;
mod standing;
mod state;
mod store;
mod stream;

pub use error::{Error, Step};
pub use listeners::Listeners;
pub use run::{run, serve_at};
pub(crate) use state::State;
