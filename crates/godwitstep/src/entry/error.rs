//! Errors that prevent an entry from starting.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Startup step in which an entry opens one of its listeners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Opens the listener for callers.
    Callers,
    /// Opens the listener for operators.
    Operators,
    /// Opens the listener for links from agents and other entries.
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

/// Error that prevents an entry from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener could not be bound to its address.
    #[error("cannot {step} at {address}: {cause}")]
    Listen {
        /// Startup step that needs the address.
        step: Step,
        /// Address from the settings.
        address: SocketAddr,
        /// Error that the operating system returned.
        #[source]
        cause: io::Error,
    },
    /// The link key of the settings is too short.
    #[error("link_key: {0}")]
    Key(#[from] godwitstep_wire::auth::KeyTooShort),
    /// The metrics recorder could not be installed.
    #[error(transparent)]
    Telemetry(#[from] crate::telemetry::Error),
}
