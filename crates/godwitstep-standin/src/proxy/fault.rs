//! Faults that the proxy injects, and changes of them.

use serde::{Deserialize, Serialize};

/// Faults of one direction of all connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectionFaults {
    /// Delay of every chunk. Unit: milliseconds.
    pub delay_ms: u64,
    /// Maximum additional delay, which is drawn for each chunk. Chunks stay in order. Unit:
    /// milliseconds.
    pub jitter_ms: u64,
    /// Maximum rate; 0 for no limit. Unit: bytes per second.
    pub rate: u64,
    /// Nothing is forwarded. The bytes arrive once the fault ends, as TCP would retransmit them.
    pub stalled: bool,
    /// Number of bytes forwarded in this direction, counted from the start of each connection,
    /// after which the connection is reset; 0 for never.
    pub reset_after: u64,
}

/// Faults in effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Faults of the bytes from the client to the upstream.
    pub forward: DirectionFaults,
    /// Faults of the bytes from the upstream to the client.
    pub backward: DirectionFaults,
    /// All connections are reset and new ones are refused.
    pub cut: bool,
}

/// Change of the faults of one direction. A field that is absent leaves its fault unchanged.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionControl {
    /// See [`DirectionFaults::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`DirectionFaults::jitter_ms`].
    pub jitter_ms: Option<u64>,
    /// See [`DirectionFaults::rate`].
    pub rate: Option<u64>,
    /// See [`DirectionFaults::stalled`].
    pub stalled: Option<bool>,
    /// See [`DirectionFaults::reset_after`].
    pub reset_after: Option<u64>,
}

/// Change of the faults. A field that is absent leaves its fault unchanged.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Ends all faults before the other changes are applied. Silenced connections stay silent.
    pub heal: bool,
    /// See [`Faults::forward`].
    pub forward: DirectionControl,
    /// See [`Faults::backward`].
    pub backward: DirectionControl,
    /// See [`Faults::cut`].
    pub cut: Option<bool>,
    /// Silences all current connections permanently: they stay open and their bytes are discarded.
    /// New connections are not affected.
    pub silence: bool,
    /// Resets all current connections.
    pub reset: bool,
}

impl Control {
    /// Returns the change that ends all faults.
    #[must_use]
    pub fn heal() -> Self {
        Self {
            heal: true,
            ..Self::default()
        }
    }
}

impl DirectionFaults {
    fn apply(&mut self, control: &DirectionControl) {
        self.delay_ms = control.delay_ms.unwrap_or(self.delay_ms);
        self.jitter_ms = control.jitter_ms.unwrap_or(self.jitter_ms);
        self.rate = control.rate.unwrap_or(self.rate);
        self.stalled = control.stalled.unwrap_or(self.stalled);
        self.reset_after = control.reset_after.unwrap_or(self.reset_after);
    }
}

impl Faults {
    pub(super) fn apply(&mut self, control: &Control) {
        if control.heal {
            *self = Self::default();
        }
        self.forward.apply(&control.forward);
        self.backward.apply(&control.backward);
        self.cut = control.cut.unwrap_or(self.cut);
    }
}
