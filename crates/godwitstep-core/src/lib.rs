//! Scheduling logic and invariants of godwitstep, without I/O.
//!
//! Every state machine in this crate handles events with a timestamp and returns actions. The crate
//! opens no sockets, reads no files, starts no threads, reads no clock and uses no global random
//! number generator, so the same events with the same seed always give the same decisions.
//!
//! ```
//! use godwitstep_core::resource::{Adjacency, Shape};
//!
//! let shape = Shape::new(16, 1).adjacency(Adjacency::Rack);
//! assert_eq!(shape.accelerators(), 16);
//! ```

pub mod admission;
pub mod authority;
pub mod backoff;
pub mod budget;
pub mod burn;
pub mod clock;
pub mod estimate;
pub mod fleet;
pub mod guarantee;
pub mod hold;
pub mod id;
pub mod invariant;
pub mod key;
pub mod planner;
pub mod prelude;
pub mod quarantine;
pub mod reason;
pub mod record;
pub mod registry;
pub mod resource;
pub mod router;

pub use authority::{Evidence, OperatingMode};
pub use clock::Clock;
pub use reason::Reason;
