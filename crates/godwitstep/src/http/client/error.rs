//! Errors of the client.

use crate::http::BoxError;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Why an exchange did not end with a whole answer.
#[derive(Debug, thiserror::Error)]
#[error("{step} with {peer}: {cause}")]
pub struct Error {
    /// What was being done.
    pub step: Step,
    /// The server.
    pub peer: SocketAddr,
    /// Whether any byte of the request may have reached the server.
    pub sent: bool,
    /// What went wrong.
    #[source]
    pub cause: Cause,
}

/// Step of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Waiting for one of the connections.
    Wait,
    /// Connecting.
    Connect,
    /// Sending the request and waiting for the head of the answer.
    Exchange,
    /// Reading the body of the answer.
    Body,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Wait => "wait for a connection",
            Self::Connect => "connect",
            Self::Exchange => "exchange",
            Self::Body => "reading the body",
        })
    }
}

/// What went wrong in an exchange.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The time was over.
    #[error("not done within {} ms", .time.as_millis())]
    Late {
        /// Time that was allowed.
        time: Duration,
    },
    /// A call to the operating system failed.
    #[error(transparent)]
    Io(std::io::Error),
    /// The connection broke or the peer does not speak HTTP.
    #[error(transparent)]
    Protocol(hyper::Error),
    /// The answer's body is longer than allowed.
    #[error("body exceeds {limit} bytes")]
    TooLarge {
        /// Greatest size that is allowed. Unit: bytes.
        limit: usize,
    },
    /// The answer's body broke off.
    #[error("{0}")]
    Other(BoxError),
}
