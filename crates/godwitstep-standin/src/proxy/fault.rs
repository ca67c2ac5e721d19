//! Faults of the proxy and how they are changed.

use serde::{Deserialize, Serialize};

/// Faults of the bytes that flow in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Direction {
    /// Delay of every piece.
    pub delay_ms: u64,
    /// Greatest additional delay, drawn for each piece. Pieces stay in order.
    pub jitter_ms: u64,
    /// Bytes a second; 0 for no limit.
    pub rate: u64,
    /// Nothing gets through. As TCP repeats what is lost, the bytes arrive once this is over.
    pub stalled: bool,
    /// Bytes after which a connection is reset, counted in each connection from its start; 0 for
    /// never.
    pub reset_after: u64,
}

/// Faults of the proxy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Bytes from the one who connected to the proxy.
    pub forward: Direction,
    /// Bytes from the upstream.
    pub backward: Direction,
    /// All connections are reset and new ones refused.
    pub cut: bool,
}

/// Change of a direction; fields that are absent stay as they are.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionControl {
    /// See [`Direction::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`Direction::jitter_ms`].
    pub jitter_ms: Option<u64>,
    /// See [`Direction::rate`].
    pub rate: Option<u64>,
    /// See [`Direction::stalled`].
    pub stalled: Option<bool>,
    /// See [`Direction::reset_after`].
    pub reset_after: Option<u64>,
}

/// Change of the faults; fields that are absent stay as they are.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Ends all faults before the rest is applied. Connections that went silent stay silent.
    pub heal: bool,
    /// See [`Faults::forward`].
    pub forward: DirectionControl,
    /// See [`Faults::backward`].
    pub backward: DirectionControl,
    /// See [`Faults::cut`].
    pub cut: Option<bool>,
    /// The connections of this moment go silent for good: they stay open and their bytes are
    /// swallowed, while new ones work.
    pub silence: bool,
    /// The connections of this moment are reset.
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

impl Direction {
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
