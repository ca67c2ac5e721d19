//! Placeholder.

pub mod link;
