//! The room of a worker, from its registrations.
//!
//! A worker's room may shrink and grow while it runs. Registrations may come late, or from another writer, whose
//! sequence numbers may be of any size. In doubt the room is therefore the smaller one, in each resource: a smaller
//! amount counts at once, a larger one when it is repeated.

use crate::demand::Demand;
use std::time::Duration;

/// Time without a registration that confirms the room after which a larger one that is repeated counts whatever its
/// sequence number. Workers register several times within it.
const CONFIRMATION_RETENTION: Duration = Duration::from_secs(5);

/// Room of a worker for its runs.
#[derive(Debug)]
pub(super) struct Room {
    usable: Demand,
    /// When a registration last had this room, or made it smaller.
    confirmed_at: Duration,
    /// Highest sequence number of these registrations. Larger rooms with a lower one are late, unless the number is that
    /// of another writer.
    confirmed_by: u64,
    /// Larger amounts in the last registration, and its sequence number.
    unconfirmed: Option<(Demand, u64)>,
}

impl Room {
    pub const fn new(now: Duration, sequence: u64, registered: Demand) -> Self {
        Self {
            usable: registered,
            confirmed_at: now,
            confirmed_by: sequence,
            unconfirmed: None,
        }
    }

    /// Returns the room for runs.
    pub const fn usable(&self) -> Demand {
        self.usable
    }

    /// Applies the room in a registration.
    pub fn register(&mut self, now: Duration, sequence: u64, registered: Demand) {
        let usable = self.usable.component_min(&registered);
        if usable != self.usable || usable == registered {
            self.usable = usable;
            self.confirmed_at = now;
            self.confirmed_by = self.confirmed_by.max(sequence);
        }
        if usable == registered {
            self.unconfirmed = None;
            return;
        }
        let earlier = self.unconfirmed.replace((registered, sequence));
        let repeated =
            earlier.filter(|(room, earlier)| *room == registered && *earlier <= sequence);
        let overdue = now >= self.confirmed_at + CONFIRMATION_RETENTION;
        if repeated.is_some_and(|(_, earlier)| earlier >= self.confirmed_by || overdue) {
            *self = Self::new(now, sequence, registered);
        }
    }
}
