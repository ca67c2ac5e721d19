//! Logging and metrics of a daemon.
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

use bytes::Bytes;
use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};
use serde::Deserialize;
use std::cell::RefCell;
use std::io::IsTerminal;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tracing_subscriber::EnvFilter;

/// Upper bounds of the histogram buckets. Unit: seconds. They are dense around the service-level
/// objectives: 1 ms added by the request path, 1.6 s until urgent work starts, 2 s of recovery.
const SECONDS_BUCKETS: [f64; 20] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.6,
    2.0, 5.0, 10.0, 30.0, 120.0, 600.0,
];

/// Upper bounds of the buckets of logarithms of ratios: a twentieth to twenty times.
const LOG_RATIO_BUCKETS: [f64; 13] = [
    -3.0, -2.0, -1.5, -1.0, -0.5, -0.25, 0.0, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0,
];

/// Time for which the text of the metrics is served again. Rendering takes milliseconds, in which the process serves
/// nothing else, so that clients that request the text without pause would leave no time for callers.
const TEXT_LIFETIME: Duration = Duration::from_millis(100);

/// Output format of log messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// Human-readable lines.
    Human,
    /// One JSON object per line.
    Json,
}

/// Minimum severity of the log messages that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Errors only.
    Error,
    /// Also warnings.
    Warn,
    /// Also events of normal operation.
    Info,
    /// Also details for troubleshooting.
    Debug,
    /// All messages.
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
    /// The process already has a global subscriber or recorder.
    #[error("setting up {0} failed: another one is in place")]
    AlreadySet(&'static str),
    /// The metrics recorder rejected the histogram buckets.
    #[error("setting up metrics failed: {0}")]
    Metrics(#[from] BuildError),
}

/// Starts logging to standard error.
///
/// # Errors
///
/// Returns an error if a global subscriber is already set.
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
    result.map_err(|_| Error::AlreadySet("diagnostic messages"))
}

/// Starts logging JSON lines to standard output, rate-limited and with non-blocking writes.
///
/// # Errors
///
/// Returns an error if a global subscriber is already set.
pub fn start_bounded(level: Level) -> Result<(), Error> {
    tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(level.directive()))
        .with_writer(sink::Sink::new())
        .json()
        .flatten_event(true)
        .try_init()
        .map_err(|_| Error::AlreadySet("diagnostic messages"))
}

/// Returns the handle that renders the metrics of this process. The first call installs the
/// recorder.
///
/// The caller runs [`PrometheusHandle::run_upkeep`] every few seconds, so that
/// histogram samples don't accumulate between scrapes.
///
/// # Errors
///
/// Returns an error if another global recorder is already set.
pub fn metrics() -> Result<PrometheusHandle, Error> {
    static HANDLE: Mutex<Option<PrometheusHandle>> = Mutex::new(None);
    let mut handle = HANDLE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    if let Some(handle) = &*handle {
        return Ok(handle.clone());
    }
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &SECONDS_BUCKETS)?
        .set_buckets_for_metric(Matcher::Suffix("_error".to_owned()), &LOG_RATIO_BUCKETS)?
        .build_recorder();
    let new = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|_| Error::AlreadySet("metrics"))?;
    *handle = Some(new.clone());
    Ok(new)
}

/// Text of the metrics of this process, as scrapers read it.
#[derive(Debug)]
pub struct Exposition {
    handle: PrometheusHandle,
    /// Newest text, and when it was rendered.
    text: RefCell<Option<(Instant, Bytes)>>,
}

impl Exposition {
    /// Returns the text of the metrics of a recorder.
    #[must_use]
    pub const fn new(handle: PrometheusHandle) -> Self {
        Self {
            handle,
            text: RefCell::new(None),
        }
    }

    /// Returns the text, which is up to 100 ms old. `update` sets the metrics that are computed for each text.
    pub fn text(&self, update: impl FnOnce()) -> Bytes {
        let mut text = self.text.borrow_mut();
        if let Some((rendered_at, text)) = &*text
            && rendered_at.elapsed() < TEXT_LIFETIME
        {
            return text.clone();
        }
        update();
        let rendered = Bytes::from(self.handle.render());
        *text = Some((Instant::now(), rendered.clone()));
        rendered
    }
}
