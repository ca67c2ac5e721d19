//! The agent of a target and a worker: the only authority on what runs there.
//!
//! An agent dials every entry of its settings, announces its target and worker, and executes the
//! requests and commands of the entries, as long as the newest configuration and the operating mode of
//! the sending entry allow it.
//!
//! ```
//! use godwitstep::settings::{self, Agent};
//!
//! let text = r#"{
//!     "name": "runner-1", "region": "dk-vest", "domain": "dk-vest-a", "rack": "r1",
//!     "entries": ["127.0.0.1:7001"], "link_key": "an example of a key",
//!     "target": {"service": "bookingsted", "slots": 8, "address": "127.0.0.1:8001"}
//! }"#;
//! let settings: Agent = settings::read(text, &[]).expect("valid settings");
//! assert_eq!(settings.stop_limit.as_secs(), 30);
//! ```

mod commands;
mod launch;
mod lease;
mod links;
mod parts;
mod reconcile;
mod requests;
mod rules;
mod run;
mod state;
mod target;
mod task;
mod worker;

pub use run::run;
/// Why an agent can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The link key is too short.
    #[error("link_key: {0}")]
    Key(#[from] godwitstep_wire::auth::KeyTooShort),
}
