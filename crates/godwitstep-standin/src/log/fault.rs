//! Faults of the log service and how they are changed.

use serde::{Deserialize, Serialize};

/// How the service behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It answers at once.
    #[default]
    Up,
    /// It refuses with 503 or, if `silent` is set, accepts requests and never answers them.
    Down,
    /// Every exchange takes `delay_ms` longer. Appends take effect after the delay, even if the
    /// caller has gone by then.
    Slow,
}

/// State of the service's faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// How the service behaves.
    pub mode: Mode,
    /// Whether the service is silent while it is down.
    pub silent: bool,
    /// Delay of an exchange in mode slow.
    pub delay_ms: u64,
    /// Every how many appends the connection is closed without an answer after the append took
    /// effect; 0 for never.
    pub lose_reply_every: u64,
    /// Records that each stream retains.
    pub retention_records: usize,
}

/// Change of the faults; fields that are absent stay as they are.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// See [`Faults::mode`].
    pub mode: Option<Mode>,
    /// See [`Faults::silent`].
    pub silent: Option<bool>,
    /// See [`Faults::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`Faults::lose_reply_every`].
    pub lose_reply_every: Option<u64>,
    /// See [`Faults::retention_records`].
    pub retention_records: Option<usize>,
}

impl Faults {
    pub(super) fn apply(&mut self, control: &Control) {
        self.mode = control.mode.unwrap_or(self.mode);
        self.silent = control.silent.unwrap_or(self.silent);
        self.delay_ms = control.delay_ms.unwrap_or(self.delay_ms);
        self.lose_reply_every = control.lose_reply_every.unwrap_or(self.lose_reply_every);
        self.retention_records = control.retention_records.unwrap_or(self.retention_records);
    }
}
