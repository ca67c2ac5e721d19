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
//! assert_eq!(settings.bounds.max_lease().as_secs(), 6);
//! ```

use crate::http::budget::Resources;
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
    /// Time limits of the deployment.
    #[serde(default)]
    pub bounds: TimeLimits,
    /// Size limits of the log service.
    #[serde(default)]
    pub sizes: SizeLimits,
    /// Limits of the machine.
    #[serde(default)]
    pub limits: MachineLimits,
}

/// Limits of what the process may use. A limit that is not set is the one that the process sees.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// Memory of the machine, including what the kernel holds for the process. Unit: MB (2^20 bytes).
    pub memory_mb: Option<f64>,
    /// Maximum number of open descriptors.
    pub open_files: Option<f64>,
}

/// Minimum value of [`MachineLimits::memory_mb`]: a process without jobs takes 10 MB.
const MIN_MEMORY_MB: f64 = 16.0;
/// Minimum value of [`MachineLimits::open_files`]: listeners, the log, and 16 connections of each server.
const MIN_OPEN_FILES: f64 = 128.0;
/// Maximum of both limits, far above any machine.
const MAX_MACHINE_LIMIT: f64 = 1e9;

impl MachineLimits {
    /// Returns the resources of the process.
    #[must_use]
    pub fn resources(&self) -> Resources {
        let memory = self.memory_mb.map(|megabytes| to_usize(megabytes) << 20);
        Resources::detect(memory, self.open_files.map(to_usize))
    }

    fn check(&self) -> Result<(), Error> {
        let limits = [
            (
                "limits.memory_mb",
                self.memory_mb,
                MIN_MEMORY_MB,
                "16 MB to 1,000,000,000 MB",
            ),
            (
                "limits.open_files",
                self.open_files,
                MIN_OPEN_FILES,
                "128 to 1,000,000,000",
            ),
        ];
        for (name, value, least, required) in limits {
            if let Some(value) = value
                && !(least..=MAX_MACHINE_LIMIT).contains(&value)
            {
                return Err(Error::OutOfRange {
                    name,
                    value,
                    required,
                });
            }
        }
        Ok(())
    }
}

/// Converts a limit that has been checked.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Within 0 to MAX_MACHINE_LIMIT.
const fn to_usize(value: f64) -> usize {
    value as usize
}

/// Size limits of the log service. Unit: bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct SizeLimits {
    /// Maximum size of a record with its key.
    pub record_bytes: usize,
    /// Maximum size of all records of one append. At least [`SizeLimits::record_bytes`].
    pub append_bytes: usize,
}

impl Default for SizeLimits {
    fn default() -> Self {
        Self {
            record_bytes: 256 * 1024,
            append_bytes: 2 * 1024 * 1024,
        }
    }
}

/// Minimum value of [`SizeLimits::record_bytes`]: the submission of a job has to fit.
const MIN_RECORD_BYTES: usize = 16 * 1024;

/// Time limits of the deployment as plain numbers, in the unit that each name ends with.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct TimeLimits {
    /// Maximum lease of a worker. Unit: milliseconds.
    pub hold_ms: f64,
    /// Maximum time that a worker takes to stop a run. Unit: milliseconds.
    pub stop_ms: f64,
    /// Time for which a member of a gang waits for the other members to start. Unit: milliseconds.
    pub gang_ms: f64,
    /// Maximum time for which a key may be accepted after its revocation. Unit: milliseconds.
    pub revoke_ms: f64,
    /// Time after its acceptance within which a job covered by a guarantee starts. Unit: milliseconds.
    pub reclaim_ms: f64,
    /// Time between SIGTERM and SIGKILL. Unit: seconds.
    pub grace_s: f64,
    /// Time for which the status of an ended job stays available. Unit: seconds.
    pub status_s: f64,
    /// Factor by which a gang spread over several racks, or a task on another rack than its data, runs longer.
    pub spread: f64,
    /// Interval between two checkpoints of a task, measured in work done. Unit: seconds.
    pub checkpoint_s: f64,
}

impl Default for TimeLimits {
    fn default() -> Self {
        let bounds = Bounds::default();
        let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
        Self {
            hold_ms: millis(bounds.max_lease),
            stop_ms: millis(bounds.max_stop_time),
            gang_ms: millis(bounds.gang_start_timeout),
            revoke_ms: millis(bounds.max_revocation_delay),
            reclaim_ms: millis(bounds.guaranteed_start_time),
            grace_s: bounds.grace.as_secs_f64(),
            status_s: bounds.status_retention.as_secs_f64(),
            spread: bounds.rack_slowdown,
            checkpoint_s: bounds.checkpoint_interval.as_secs_f64(),
        }
    }
}

impl TimeLimits {
    /// Returns the maximum lease of a worker.
    #[must_use]
    pub fn max_lease(&self) -> Duration {
        seconds(self.hold_ms / 1_000.0)
    }

    /// Converts the settings to the bounds that the scheduler uses.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        Bounds {
            max_lease: self.max_lease(),
            max_stop_time: seconds(self.stop_ms / 1_000.0),
            gang_start_timeout: seconds(self.gang_ms / 1_000.0),
            max_revocation_delay: seconds(self.revoke_ms / 1_000.0),
            guaranteed_start_time: seconds(self.reclaim_ms / 1_000.0),
            grace: seconds(self.grace_s),
            status_retention: seconds(self.status_s),
            rack_slowdown: self.spread,
            checkpoint_interval: seconds(self.checkpoint_s),
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
    #[error("the setting {name} is {value}, but must be {required}")]
    OutOfRange {
        /// Name of the setting.
        name: &'static str,
        /// Rejected value.
        value: f64,
        /// Values that are permitted.
        required: &'static str,
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
        settings.sizes.check()?;
        settings.limits.check()?;
        Ok(settings)
    }
}

impl SizeLimits {
    fn check(&self) -> Result<(), Error> {
        let sizes = [
            (
                "sizes.record_bytes",
                self.record_bytes,
                MIN_RECORD_BYTES,
                "at least 16384 bytes",
            ),
            (
                "sizes.append_bytes",
                self.append_bytes,
                self.record_bytes,
                "at least the size of a record",
            ),
        ];
        for (name, value, least, required) in sizes {
            if value < least {
                return Err(Error::OutOfRange {
                    name,
                    #[allow(clippy::cast_precision_loss)] // Only shown to a person.
                    value: value as f64,
                    required,
                });
            }
        }
        Ok(())
    }
}

impl TimeLimits {
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
                return Err(Error::OutOfRange {
                    name,
                    value,
                    required: "a time above 0",
                });
            }
        }
        Ok(())
    }
}
