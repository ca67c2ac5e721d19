//! Experiments with the planner: random runs under faults, comparison of policies, and scale.

pub mod compare;
mod policy;
mod queue;
pub mod random;
pub mod scale;
mod world;

pub use world::Breakage;
