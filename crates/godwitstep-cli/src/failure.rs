//! Why a command did not succeed, and its exit code.

use godwitstep::http;
use godwitstep_core::resource::Fault;
use serde_json::Value;
use std::io;

/// Why a command did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The command line makes no sense.
    #[error("{0}")]
    Usage(String),
    /// A file has faults.
    #[error("{file} has {} fault(s)", .faults.len())]
    Faults {
        /// The file.
        file: String,
        /// All its faults.
        faults: Vec<Fault>,
    },
    /// An entry refused a request.
    #[error("{what}: {message}")]
    Refused {
        /// What was asked for.
        what: String,
        /// The entry's message.
        message: String,
        /// What the entry found.
        faults: Vec<Fault>,
    },
    /// No entry could be asked.
    #[error("{what}: {error}")]
    Http {
        /// What was asked for.
        what: String,
        /// What went wrong.
        error: http::Error,
    },
    /// Something else.
    #[error("{0}")]
    Failed(String),
    /// The output could not be written.
    #[error("writing the output: {0}")]
    Output(io::Error),
}

/// Returns what an operator can do about a refusal.
fn hint(code: &str) -> &'static str {
    match code {
        "conflict" => {
            "; read it with `godwitstep get -o json`, and apply your change to that version"
        }
        "not_found" => "; `godwitstep get` with the kind alone lists the names",
        "refused" => "; ask for less, or bring failure domains or workers back first",
        "unknown" => "; `godwitstep get` shows whether it took effect",
        _ => "",
    }
}

impl Failure {
    /// Reads the error body of an entry.
    pub fn refused(what: &str, status: u16, body: &Value) -> Self {
        let error = &body["error"];
        let message = error["message"].as_str().unwrap_or("no reason given");
        let retry = body["retry_after_ms"]
            .as_u64()
            .map_or_else(String::new, |time| format!("; try again in {time} ms"));
        let code = error["code"].as_str().unwrap_or("error");
        Self::Refused {
            what: what.to_owned(),
            message: format!("{message} ({status} {code}){retry}{}", hint(code)),
            faults: serde_json::from_value(error["faults"].clone()).unwrap_or_default(),
        }
    }

    /// Returns the exit code: 2 for usage and faults in files, 1 for all else.
    pub fn code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Faults { .. } => 2,
            // The reader of a pipe has seen enough, as with `godwitstep get jobs | head`.
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
