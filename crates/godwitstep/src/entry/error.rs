//! Why an entry can't run.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Step of the start of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Listening for callers.
    Callers,
    /// Listening for operators.
    Operators,
    /// Listening for agents and other entries.
    Links,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Callers => "listen for callers",
            Self::Operators => "listen for operators",
            Self::Links => "listen for links",
        })
    }
}

/// Why an entry can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be used.
    #[error("can't {step} at {address}: {cause}")]
    Listen {
        /// What the address is for.
        step: Step,
        /// The address.
        address: SocketAddr,
        /// What the operating system says.
        #[source]
        cause: io::Error,
    },
    /// The link key is too short.
    #[error("link_key: {0}")]
    Key(#[from] godwitstep_wire::auth::KeyTooShort),
    /// Metrics can't be recorded.
    #[error(transparent)]
    Telemetry(#[from] crate::telemetry::Error),
}
