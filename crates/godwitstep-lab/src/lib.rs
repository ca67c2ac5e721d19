//! Experiments with the planner: randomised runs under faults, comparison with other scheduling
//! policies, and scaling measurements.

pub mod compare;
mod policy;
mod queue;
pub mod random;
pub mod scale;
mod world;

pub use world::{InjectedBug, Violation};
