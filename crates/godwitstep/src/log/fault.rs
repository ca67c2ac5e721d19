//! Why an exchange with the log service failed.

use crate::http;
use hyper::StatusCode;
use std::fmt;
use std::net::SocketAddr;

/// What was being done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Appending a record.
    Append,
    /// Reading records.
    Read,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Append => "append to",
            Self::Read => "read of",
        })
    }
}

/// A failed exchange.
#[derive(Debug, thiserror::Error)]
#[error("{step} stream {stream} at {peer}: {cause}")]
pub struct Fault {
    /// What was being done.
    pub step: Step,
    /// The stream.
    pub stream: String,
    /// The log service.
    pub peer: SocketAddr,
    /// What went wrong.
    #[source]
    pub cause: Cause,
}

/// What went wrong in an exchange.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// There was no whole answer.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// The answer is a refusal.
    #[error("answered {status}")]
    Status {
        /// Its status.
        status: StatusCode,
    },
    /// The answer is not what the interface says.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// Whether a failed append may have taken effect.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// It did not and will not: no byte of it was sent, or the service refused it.
    #[error("not appended: {0}")]
    NotAppended(#[source] Fault),
    /// It may have taken effect, or may still do so.
    #[error("may have been appended: {0}")]
    Unsure(#[source] Fault),
}

impl AppendError {
    /// Classifies a failed append.
    ///
    /// 503 and the statuses of a caller's fault are refusals. Other statuses do not say whether the
    /// record was written.
    pub(super) fn new(fault: Fault) -> Self {
        let refused = match &fault.cause {
            Cause::Http(error) => !error.sent,
            Cause::Status { status } => {
                status.is_client_error() || *status == StatusCode::SERVICE_UNAVAILABLE
            }
            Cause::Malformed(_) => false,
        };
        if refused {
            Self::NotAppended(fault)
        } else {
            Self::Unsure(fault)
        }
    }
}
