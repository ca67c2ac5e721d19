//! Settings of the batch processes, a JSON document.
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

/// Settings of an entry or an agent. Unknown fields are ignored, as platforms add some.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of the host, unique in the deployment.
    pub host: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address at which an entry takes the reports of agents; for an agent one on which entries
    /// listen gives the port.
    pub agents: SocketAddr,
    /// Address that serves metrics.
    pub metrics: Option<SocketAddr>,
    /// Address that serves callers; entries only.
    pub callers: Option<SocketAddr>,
    /// Address that tells whether an entry takes new callers; entries only.
    pub ready: Option<SocketAddr>,
    /// Address at which the worker registers; agents only.
    pub registrations: Option<SocketAddr>,
    /// Address of the worker; agents only.
    pub worker: Option<SocketAddr>,
    /// Pool of the worker; agents only.
    pub pool: Option<Arc<str>>,
    /// Addresses of entries that may be out of date. Their port is that of `agents`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Time bounds of the deployment.
    #[serde(default)]
    pub bounds: Times,
}

/// Time bounds in whole units.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct Times {
    /// Longest lease of what runs on a worker. Unit: milliseconds.
    pub hold_ms: f64,
    /// Longest time that a stop takes. Unit: milliseconds.
    pub stop_ms: f64,
    /// Time that a member of a gang waits for the others. Unit: milliseconds.
    pub gang_ms: f64,
    /// Time after which a withdrawn key must not be served. Unit: milliseconds.
    pub revoke_ms: f64,
    /// Time in which a guaranteed job begins. Unit: milliseconds.
    pub reclaim_ms: f64,
    /// Time between SIGTERM and SIGKILL. Unit: seconds.
    pub grace_s: f64,
    /// Time for which an ended job can be asked for. Unit: seconds.
    pub status_s: f64,
    /// Times that a spread gang takes as long.
    pub spread: f64,
    /// Work between two savings of progress. Unit: seconds.
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

    /// Returns the bounds for the decisions.
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

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("reading settings from {path} failed: {cause}")]
    Read {
        /// Path.
        path: String,
        /// Cause.
        cause: std::io::Error,
    },
    /// The document has another form.
    #[error("settings are malformed at {path}: {cause}")]
    Malformed {
        /// Path in the document.
        path: String,
        /// Cause.
        cause: serde_json::Error,
    },
    /// A setting that the role needs is missing.
    #[error("the setting {0} is missing")]
    Missing(&'static str),
    /// A value is outside its limits.
    #[error("the setting {name} is {value}, which is outside {limits}")]
    Limits {
        /// Name.
        name: &'static str,
        /// Value.
        value: f64,
        /// Legal values.
        limits: &'static str,
    },
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file or the field.
    pub fn load(path: &str) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|cause| Error::Read {
            path: path.to_owned(),
            cause,
        })?;
        Self::parse(&text)
    }

    /// Reads settings from a text.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field.
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
