//! One budget of memory and connections for all HTTP servers of a process.
//!
//! Callers are not trusted: a crowd of them must not make a process on a small host exceed its memory or descriptors,
//! nor keep ordinary requests from being answered. [`partition`] divides the process's resources once; [`connections`]
//! and [`admission`] decide who keeps a connection or memory when they are short. These decisions have no I/O. The
//! alternatives are weighed in `docs/design/http-budget.md`.

pub mod admission;
pub mod connections;
mod machine;
pub mod partition;
pub mod pressure;
pub mod progress;
mod shares;

pub use partition::{Partition, Resources};
