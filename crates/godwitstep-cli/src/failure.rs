//! Failures of commands and their exit codes.

use godwitstep::http;
use godwitstep_core::resource::Fault;
use serde_json::Value;
use std::io;

/// Reason why a command did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The command line is invalid, or a file that it names can't be read.
    #[error("{0}")]
    Usage(String),
    /// A file is invalid.
    #[error("{file} has {} fault(s)", .faults.len())]
    Faults {
        /// Name of the file.
        file: String,
        /// All faults of the file.
        faults: Vec<Fault>,
    },
    /// An entry refused a request or responded with another error.
    #[error("{operation}: {message}")]
    Refused {
        /// Operation that was requested.
        operation: String,
        /// Message of the entry, with the status code and advice.
        message: String,
        /// Faults that the entry reported.
        faults: Vec<Fault>,
    },
    /// The HTTP exchange with the entries failed.
    #[error("{operation}: {error}")]
    Http {
        /// Operation that was requested.
        operation: String,
        /// Error of the last exchange.
        error: http::Error,
    },
    /// Any other failure.
    #[error("{0}")]
    Failed(String),
    /// The output could not be written.
    #[error("can't write the output: {0}")]
    Output(io::Error),
}

/// Returns advice on what an operator can do about an error code.
fn advice(code: &str) -> &'static str {
    match code {
        "conflict" => {
            "; read it with `godwitstep get -o json`, and apply your change to that version"
        }
        "not_found" => "; `godwitstep get` with the kind alone lists the names",
        "refused" => "; request less, or bring failure domains or workers back first",
        "unknown" => "; `godwitstep get` shows whether it took effect",
        _ => "",
    }
}

impl Failure {
    /// Creates a failure from the status and the error body of a response.
    pub fn from_response(operation: &str, status: u16, body: &Value) -> Self {
        let error = &body["error"];
        let message = error["message"].as_str().unwrap_or("no reason given");
        let retry = body["retry_after_ms"]
            .as_u64()
            .map_or_else(String::new, |time| format!("; retry in {time} ms"));
        let code = error["code"].as_str().unwrap_or("error");
        Self::Refused {
            operation: operation.to_owned(),
            message: format!("{message} ({status} {code}){retry}{}", advice(code)),
            faults: serde_json::from_value(error["faults"].clone()).unwrap_or_default(),
        }
    }

    /// Returns the exit code: 2 for usage errors and faults in files, 0 if the reader of the output
    /// has closed it, 1 for all other failures.
    pub fn code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Faults { .. } => 2,
            // The reader of a pipe may stop early, as in `godwitstep get jobs | head`.
            Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe => 0,
            _ => 1,
        }
    }

    /// Writes the failure and all faults to the standard error stream.
    pub fn print(&self) {
        if self.code() == 0 {
            return;
        }
        eprintln!("error: {self}");
        if let Self::Faults { faults, .. } | Self::Refused { faults, .. } = self {
            for fault in faults {
                eprintln!("  {fault}");
            }
        }
    }
}
