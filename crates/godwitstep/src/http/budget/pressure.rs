//! Recognizes when a resource becomes short and when it no longer is, so that each change is logged once.

use std::time::Duration;

/// Time without a displacement or refusal after which a resource is no longer short. Longer than the pauses of a crowd
/// of clients that comes in waves, so that the log does not repeat itself.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// State of one resource.
#[derive(Debug, Clone, Default)]
pub struct Pressure {
    /// Present shortage, if any.
    shortage: Option<Shortage>,
}

/// A time in which clients were displaced or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// Its beginning.
    pub began: Duration,
    /// When a client was last displaced or refused.
    pub latest: Duration,
    /// Number of clients that were displaced or refused.
    pub clients: u64,
}

impl Pressure {
    /// Counts a displaced or refused client. Returns whether a shortage begins.
    pub fn record(&mut self, now: Duration) -> bool {
        let begins = self.shortage.is_none();
        let shortage = self.shortage.get_or_insert(Shortage {
            began: now,
            latest: now,
            clients: 0,
        });
        shortage.latest = now;
        shortage.clients += 1;
        begins
    }

    /// Returns the shortage if it has ended.
    pub fn take_ended(&mut self, now: Duration) -> Option<Shortage> {
        self.shortage
            .take_if(|shortage| now.saturating_sub(shortage.latest) >= RECOVERY_TIME)
    }
}
