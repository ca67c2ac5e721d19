//! The agent: stands beside a target and a worker, and is the only authority on what runs there.
//!
//! An agent dials every entry of its settings, announces what it stands beside, and carries out
//! what the entries ask for, as long as the newest configuration and the standing of the asking
//! entry allow it.
//!
//! ```
//! use godwitstep::agent::Settings;
//!
//! let settings: Settings = serde_json::from_str(
//!     r#"{
//!         "name": "runner-1", "region": "dk-vest", "domain": "dk-vest-a", "rack": "r1",
//!         "entries": ["127.0.0.1:7001"], "link_key": "an example of a key",
//!         "target": {"service": "bookingsted", "slots": 8, "address": "127.0.0.1:8001"}
//!     }"#,
//! )?;
//! assert!(settings.faults().is_empty());
//! # Ok::<(), serde_json::Error>(())
//! ```

mod launch;
mod lease;
mod links;
mod orders;
mod parts;
mod reconcile;
mod requests;
mod rules;
mod run;
mod settings;
mod state;
mod target;
mod task;
mod worker;

pub use run::run;
pub use settings::{Settings, Target, Worker};

use godwitstep_core::resource::Fault;

/// Why an agent can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings hold values that are not allowed.
    #[error("settings of agent {agent} are not allowed: {}", list(.faults))]
    Settings {
        /// Name of the agent.
        agent: String,
        /// Every such value.
        faults: Vec<Fault>,
    },
}

fn list(faults: &[Fault]) -> String {
    let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
    texts.join("; ")
}
