//! Faults that the log service can simulate, and changes of them.

use serde::{Deserialize, Serialize};

/// Operating mode of the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// The service responds without delay.
    #[default]
    Up,
    /// The service responds 503 or, if `silent` is set, accepts requests and never responds.
    Down,
    /// Every exchange takes `delay_ms` longer. Appends take effect after the delay, even if the
    /// caller has disconnected by then.
    Slow,
}

/// Faults in effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Operating mode of the service.
    pub mode: Mode,
    /// Whether the service never responds while it is down, instead of responding 503.
    pub silent: bool,
    /// Delay of an exchange in [`Mode::Slow`]. Unit: milliseconds.
    pub delay_ms: u64,
    /// Period, in appends, at which the connection is closed without a response after the append
    /// took effect; 0 for never.
    pub lose_reply_every: u64,
    /// Maximum number of records that each stream retains.
    pub retention_records: usize,
}

/// Change of the faults. A field that is absent leaves its fault unchanged.
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
