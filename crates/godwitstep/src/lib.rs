//! Runtime of the godwitstep daemons: network and log I/O around the logic in `godwitstep_core`.
//!
//! Each daemon runs on a single thread with a local executor. Shared state is held in
//! `Rc<RefCell<..>>` and is never borrowed across an await point.

pub mod agent;
pub mod batch;
pub mod caller;
pub mod clock;
mod decider;
pub mod entry;
pub mod http;
pub mod incarnation;
pub mod link;
pub mod log;
pub mod resources;
pub mod settings;
pub mod telemetry;
