//! The roles of godwitstep as a library: input and output around `godwitstep_core`.
//!
//! Everything of one daemon runs on one thread with a local executor, so shared state is kept in
//! `Rc<RefCell<..>>` and is never borrowed across an await.

pub mod agent;
pub mod batch;
pub mod caller;
pub mod clock;
mod decider;
pub mod entry;
pub mod http;
pub mod link;
pub mod log;
pub mod resources;
pub mod settings;
pub mod telemetry;
