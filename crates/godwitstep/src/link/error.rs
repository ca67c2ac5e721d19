//! Why a link did not come up.

use std::time::Duration;
use tokio_tungstenite::tungstenite;

/// What a process was doing when it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Opening the TCP connection.
    Connect,
    /// Setting up the WebSocket.
    Upgrade,
    /// Exchanging nonces and proofs.
    Authenticate,
}

impl std::fmt::Display for Step {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Connect => "connect to",
            Self::Upgrade => "upgrade to WebSocket with",
            Self::Authenticate => "authenticate",
        })
    }
}

/// A failed step, with the peer.
#[derive(Debug, thiserror::Error)]
#[error("can't {step} {peer}: {cause}")]
pub struct Error {
    /// The step.
    pub step: Step,
    /// Address of the peer, and its name where it has given one.
    pub peer: String,
    /// What went wrong.
    #[source]
    pub cause: Cause,
}

/// What went wrong.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The socket failed.
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    /// The WebSocket failed.
    #[error("{0}")]
    WebSocket(Box<tungstenite::Error>),
    /// A message is no frame.
    #[error("{0}")]
    Frame(#[from] godwitstep_wire::Error),
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    Closed,
    /// The time limit has passed.
    #[error("not done within {0:?}")]
    TimedOut(Duration),
    /// Both ends speak different versions of the protocol.
    #[error("the peer speaks protocol version {theirs}, this process speaks {ours}")]
    Version {
        /// Version of this process.
        ours: u16,
        /// Version of the peer.
        theirs: u16,
    },
    /// The peer does not know the link key.
    #[error("the peer's proof does not match the link key")]
    Proof,
    /// The peer sent something else than the handshake needs.
    #[error("unexpected message, expected {expected}")]
    Unexpected {
        /// What the handshake needs.
        expected: &'static str,
    },
    /// The peer is linked under a later incarnation already.
    #[error("incarnation {theirs} is older than the linked {linked}")]
    Outdated {
        /// Incarnation that tried to link.
        theirs: u64,
        /// Incarnation that is linked.
        linked: u64,
    },
}

impl From<tungstenite::Error> for Cause {
    fn from(error: tungstenite::Error) -> Self {
        match error {
            tungstenite::Error::ConnectionClosed | tungstenite::Error::AlreadyClosed => {
                Self::Closed
            }
            tungstenite::Error::Io(error) => Self::Socket(error),
            other => Self::WebSocket(Box::new(other)),
        }
    }
}
