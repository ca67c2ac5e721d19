//! Incarnation of a process: a number that is greater than those of the process's earlier starts, and differs from
//! those of other processes that start at the same time.
//!
//! ```
//! use godwitstep::incarnation::incarnation;
//! use std::time::SystemTime;
//!
//! let now = SystemTime::now();
//! assert_ne!(incarnation("entry-0", now), incarnation("entry-1", now));
//! ```

use godwitstep_core::id::Incarnation;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::SystemTime;

/// Low bits of an incarnation that are taken from the process's name, about a millisecond. A process that restarts
/// needs longer than that.
const NAME_BITS: u32 = 10;

/// Returns the incarnation of a process that starts at a time: about the microseconds since the Unix epoch, with a hash
/// of the name in the low bits. Requests and replies are told apart by it, so two entries must not share one.
#[must_use]
pub fn incarnation(name: &str, wall: SystemTime) -> Incarnation {
    let since = wall.duration_since(SystemTime::UNIX_EPOCH);
    let micros = since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    });
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    let mask = (1 << NAME_BITS) - 1;
    (micros & !mask) | (hasher.finish() & mask)
}
