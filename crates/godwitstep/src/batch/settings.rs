//! Settings of the batch processes, read from a JSON document.
//!
//! ```
//! use godwitstep::batch::settings::Settings;
//!
//! let text = r#"{
//!     "host": "host-1", "domain": "dk-vest-a", "log": "127.0.0.1:9000",
//!     "agents": "127.0.0.1:7000", "metrics": "127.0.0.1:9464",
//!     "callers": "127.0.0.1:8080", "ready": "127.0.0.1:8081",
//!     "bounds": { "hold_ms": 6000 }
//! }"#;
//! let settings = Settings::parse(text).unwrap();
//! assert_eq!(settings.bounds.hold().as_secs(), 6);
//! ```

use godwitstep_batch::bounds::Bounds;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Settings of an entry or an agent. Unknown fields are ignored, because platforms add fields of their own.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of the host, unique in the deployment.
    pub host: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address on which an entry accepts agents' reports. An agent uses only the port, on which all entries
    /// listen.
    pub agents: SocketAddr,
    /// Address that serves metrics.
    pub metrics: Option<SocketAddr>,
    /// Address that serves callers; entries only.
    pub callers: Option<SocketAddr>,
    /// Address of the readiness check, which shows whether an entry accepts new callers; entries only.
    pub ready: Option<SocketAddr>,
    /// Address on which the worker registers; agents only.
    pub registrations: Option<SocketAddr>,
    /// Address of the worker, in place of the one that it registers; agents only.
    pub worker: Option<SocketAddr>,
    /// Pool of the worker. If unset, workers of any pool are accepted; agents only.
    pub pool: Option<Arc<str>>,
    /// Initial addresses of entries, which may be outdated. Their ports are replaced by that of `agents`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Time bounds of the deployment.
    #[serde(default)]
    pub bounds: Times,
}

/// Time bounds as plain numbers, in the unit that each name ends with.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct Times {
    /// Longest lease of what runs on a worker. Unit: milliseconds.
    pub hold_ms: f64,
    /// Longest time that stopping a run takes. Unit: milliseconds.
    pub stop_ms: f64,
    /// Time for which a member of a gang waits for the others. Unit: milliseconds.
    pub gang_ms: f64,
    /// Time after which requests with a revoked key must be refused. Unit: milliseconds.
    pub revoke_ms: f64,
    /// Time within which a guaranteed job starts. Unit: milliseconds.
    pub reclaim_ms: f64,
    /// Time between SIGTERM and SIGKILL. Unit: seconds.
    pub grace_s: f64,
    /// Time for which the state of an ended job can be queried. Unit: seconds.
    pub status_s: f64,
    /// Factor by which the run time of a gang grows when it is spread over racks.
    pub spread: f64,
    /// Work between two checkpoints of a task. Unit: seconds.
    pub checkpoint_s: f64,
}

impl Default for Times {
    fn default() -> Self {
        let bounds = Bounds::default();
        let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
        Self {
            hold_ms: millis(bounds.hold),
            stop_ms: millis(bounds.stop),
            gang_ms: millis(bounds.gang),
            revoke_ms: millis(bounds.revoke),
            reclaim_ms: millis(bounds.reclaim),
            grace_s: bounds.grace.as_secs_f64(),
            status_s: bounds.status.as_secs_f64(),
            spread: bounds.spread,
            checkpoint_s: bounds.checkpoint.as_secs_f64(),
        }
    }
}

impl Times {
    /// Returns the longest lease.
    #[must_use]
    pub fn hold(&self) -> Duration {
        seconds(self.hold_ms / 1_000.0)
    }

    /// Converts the settings to the bounds that the scheduler uses.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        Bounds {
            hold: self.hold(),
            stop: seconds(self.stop_ms / 1_000.0),
            gang: seconds(self.gang_ms / 1_000.0),
            revoke: seconds(self.revoke_ms / 1_000.0),
            reclaim: seconds(self.reclaim_ms / 1_000.0),
            grace: seconds(self.grace_s),
            status: seconds(self.status_s),
            spread: self.spread,
            checkpoint: seconds(self.checkpoint_s),
        }
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}

/// Reason why settings are rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("reading settings from {path} failed: {cause}")]
    Read {
        /// Path of the file.
        path: String,
        /// Underlying error.
        cause: std::io::Error,
    },
    /// The document is not valid JSON or does not match the expected structure.
    #[error("settings are malformed at {path}: {cause}")]
    Malformed {
        /// Path of the field in the document.
        path: String,
        /// Underlying error.
        cause: serde_json::Error,
    },
    /// A setting that the process requires is missing.
    #[error("the setting {0} is missing")]
    Missing(&'static str),
    /// A value is outside its permitted range.
    #[error("the setting {name} is {value}, which is outside {limits}")]
    Limits {
        /// Name of the setting.
        name: &'static str,
        /// Rejected value.
        value: f64,
        /// Permitted values.
        limits: &'static str,
    },
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file if it cannot be read, or the invalid field.
    pub fn load(path: &str) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|cause| Error::Read {
            path: path.to_owned(),
            cause,
        })?;
        Self::parse(&text)
    }

    /// Parses settings from JSON text and checks their ranges.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid field.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut document = serde_json::Deserializer::from_str(text);
        let settings: Self =
            serde_path_to_error::deserialize(&mut document).map_err(|error| Error::Malformed {
                path: error.path().to_string(),
                cause: error.into_inner(),
            })?;
        settings.bounds.check()?;
        Ok(settings)
    }
}

impl Times {
    fn check(&self) -> Result<(), Error> {
        let times = [
            ("bounds.hold_ms", self.hold_ms),
            ("bounds.stop_ms", self.stop_ms),
            ("bounds.gang_ms", self.gang_ms),
            ("bounds.revoke_ms", self.revoke_ms),
            ("bounds.grace_s", self.grace_s),
            ("bounds.status_s", self.status_s),
        ];
        for (name, value) in times {
            if !value.is_finite() || value <= 0.0 {
                return Err(Error::Limits {
                    name,
                    value,
                    limits: "times above 0",
                });
            }
        }
        Ok(())
    }
}
