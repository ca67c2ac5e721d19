//! Errors of opening a link.

use std::time::Duration;
use tokio_tungstenite::tungstenite;

/// Step of opening a link, named in its error.
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

/// Failure to open a link, with the step and the peer.
#[derive(Debug, thiserror::Error)]
#[error("can't {step} {peer}: {cause}")]
pub struct Error {
    /// Step that failed.
    pub step: Step,
    /// Address of the peer, preceded by its name once it has sent one.
    pub peer: String,
    /// Underlying error.
    #[source]
    pub cause: Cause,
}

/// Cause of a failed step.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// I/O error of the TCP socket.
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    /// Error of the WebSocket protocol.
    #[error("{0}")]
    WebSocket(Box<tungstenite::Error>),
    /// A message could not be decoded as a frame.
    #[error("{0}")]
    Frame(#[from] godwitstep_wire::Error),
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    Closed,
    /// The step did not finish within its time limit.
    #[error("not done within {0:?}")]
    TimedOut(Duration),
    /// The two ends use different versions of the protocol.
    #[error("the peer speaks protocol version {theirs}, this process speaks {ours}")]
    Version {
        /// Version of this process.
        ours: u16,
        /// Version of the peer.
        theirs: u16,
    },
    /// The peer's MAC was not made with the link key.
    #[error("the peer's proof does not match the link key")]
    Proof,
    /// The peer sent a message that is not valid at this point of the handshake.
    #[error("unexpected message, expected {expected}")]
    Unexpected {
        /// Name of the frame that was expected.
        expected: &'static str,
    },
    /// The peer is already linked with a newer incarnation.
    #[error("incarnation {theirs} is older than the linked {linked}")]
    Outdated {
        /// Incarnation that was refused.
        theirs: u64,
        /// Incarnation of the existing link.
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
