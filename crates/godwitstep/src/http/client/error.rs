//! Errors of the HTTP client.

use crate::http::BoxError;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Error of an exchange that did not end with a whole response.
#[derive(Debug, thiserror::Error)]
#[error("{step} with {peer}: {cause}")]
pub struct Error {
    /// Step that failed.
    pub step: Step,
    /// Address of the server.
    pub peer: SocketAddr,
    /// Whether any byte of the request may have reached the server.
    pub sent: bool,
    /// Cause of the failure.
    #[source]
    pub cause: Cause,
}

/// Step of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Waiting for a free connection of the pool.
    Wait,
    /// Opening a connection.
    Connect,
    /// Sending the request and waiting for the head of the response.
    Exchange,
    /// Reading the body of the response.
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

/// Cause of a failed exchange.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The time limit has passed.
    #[error("not done within {} ms", .time.as_millis())]
    TimedOut {
        /// Time limit of the exchange.
        time: Duration,
    },
    /// A call to the operating system failed.
    #[error(transparent)]
    Io(std::io::Error),
    /// The connection failed or the peer violated the HTTP protocol.
    #[error(transparent)]
    Protocol(hyper::Error),
    /// The body of the response is longer than allowed.
    #[error("body exceeds {limit} bytes")]
    TooLarge {
        /// Maximum size. Unit: bytes.
        limit: usize,
    },
    /// The connection failed before the end of the response body.
    #[error("{0}")]
    Other(BoxError),
}
