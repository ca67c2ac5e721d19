//! Scheduling decisions and invariants of godwitstep, without input or output.
//!
//! Every state machine in this crate takes events with a time and returns actions. Nothing here
//! opens a socket, reads a file, starts a thread, reads a clock or draws from a global source of
//! randomness, so a run with the same events and the same seed makes the same decisions.
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

pub use authority::{Evidence, Standing};
pub use clock::Clock;
pub use reason::Reason;
