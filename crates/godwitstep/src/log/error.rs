//! Errors of exchanges with the log service.

use crate::http;
use hyper::StatusCode;
use std::fmt;
use std::net::SocketAddr;

/// Operation of an exchange with the log service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Appending a record.
    Append,
    /// Reading records.
    Read,
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Append => "append to",
            Self::Read => "read of",
        })
    }
}

/// Error of an exchange with the log service.
#[derive(Debug, thiserror::Error)]
#[error("{operation} stream {stream} at {peer}: {cause}")]
pub struct ExchangeError {
    /// Operation that failed.
    pub operation: Operation,
    /// Name of the stream.
    pub stream: String,
    /// Address of the log service.
    pub peer: SocketAddr,
    /// Cause of the failure.
    #[source]
    pub cause: Cause,
}

/// Cause of a failed exchange.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// No complete answer was received.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// The service answered with an error status.
    #[error("answered {status}")]
    Status {
        /// HTTP status of the answer.
        status: StatusCode,
    },
    /// The answer does not conform to the interface of the log service.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// Error of an append, by whether the append may have taken effect.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// It has not taken effect and never will: no byte of the request was sent, or the service
    /// refused it.
    #[error("not appended: {0}")]
    NotAppended(#[source] ExchangeError),
    /// It may have taken effect, or may still do so.
    #[error("may have been appended: {0}")]
    Indeterminate(#[source] ExchangeError),
}

impl AppendError {
    /// Classifies a failed append.
    ///
    /// 503 and client errors (4xx) are refusals. Other statuses do not say whether the record was
    /// written.
    pub(super) fn new(error: ExchangeError) -> Self {
        let refused = match &error.cause {
            Cause::Http(http) => !http.sent,
            Cause::Status { status } => {
                status.is_client_error() || *status == StatusCode::SERVICE_UNAVAILABLE
            }
            Cause::Malformed(_) => false,
        };
        if refused {
            Self::NotAppended(error)
        } else {
            Self::Indeterminate(error)
        }
    }
}
