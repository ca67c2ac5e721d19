//! Diagnostic messages and metrics of a daemon.
//!
//! ```
//! use godwitstep::telemetry;
//!
//! let metrics = telemetry::metrics()?;
//! metrics::counter!("godwitstep_requests_total", "outcome" => "answered").increment(1);
//! assert!(metrics.render().contains("godwitstep_requests_total{outcome=\"answered\"} 1"));
//! # Ok::<(), telemetry::Error>(())
//! ```

mod sink;

use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};
use serde::Deserialize;
use std::io::IsTerminal;
use std::sync::Mutex;
use tracing_subscriber::EnvFilter;

/// Bounds of the histograms in seconds. They are dense around the objectives: 1 ms added by the
/// request path, 1.6 s to the start of urgent work, 2 s of recovery.
const BUCKETS: [f64; 20] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.6,
    2.0, 5.0, 10.0, 30.0, 120.0, 600.0,
];

/// Form of diagnostic messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// Lines for people.
    Human,
    /// One JSON object a line.
    Json,
}

/// Least severity of diagnostic messages that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Errors only.
    Error,
    /// Also warnings.
    Warn,
    /// Also what operators usually want to know.
    Info,
    /// Also what helps to find a fault.
    Debug,
    /// Everything.
    Trace,
}

impl Level {
    const fn directive(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

/// Why telemetry could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another subscriber or recorder is in place.
    #[error("setting up {0} failed: another one is in place")]
    Taken(&'static str),
    /// The recorder's bounds are not legal.
    #[error("setting up metrics failed: {0}")]
    Metrics(#[from] BuildError),
}

/// Starts writing diagnostic messages to the standard error stream.
///
/// # Errors
///
/// Returns an error if messages are written by another subscriber already.
pub fn start(format: Format, level: Level) -> Result<(), Error> {
    let builder = tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(level.directive()))
        .with_writer(std::io::stderr);
    let result = match format {
        Format::Human => builder
            .with_ansi(std::io::stderr().is_terminal())
            .try_init(),
        Format::Json => builder.json().flatten_event(true).try_init(),
    };
    result.map_err(|_| Error::Taken("diagnostic messages"))
}

/// Starts writing structured messages to standard output, bounded in their number and without ever
/// waiting for their reader.
///
/// # Errors
///
/// Returns an error if messages are written by another subscriber already.
pub fn start_bounded(level: Level) -> Result<(), Error> {
    tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(level.directive()))
        .with_writer(sink::Sink::new())
        .json()
        .flatten_event(true)
        .try_init()
        .map_err(|_| Error::Taken("diagnostic messages"))
}

/// Returns the handle that renders this process's metrics, and records metrics from the first call
/// on.
///
/// The caller runs [`PrometheusHandle::run_upkeep`] every few seconds, so that the samples of
/// histograms don't gather between scrapes.
///
/// # Errors
///
/// Returns an error if metrics are recorded by another recorder already.
pub fn metrics() -> Result<PrometheusHandle, Error> {
    static HANDLE: Mutex<Option<PrometheusHandle>> = Mutex::new(None);
    let mut handle = HANDLE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    if let Some(handle) = &*handle {
        return Ok(handle.clone());
    }
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &BUCKETS)?
        .build_recorder();
    let new = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|_| Error::Taken("metrics"))?;
    *handle = Some(new.clone());
    Ok(new)
}
