//! Decisions on jobs of several steps, without input or output.
//!
//! Callers hand jobs to queues; entries keep them in a log; one entry, the decider, places their
//! tasks on workers; an agent beside each worker carries that out. This crate holds the decisions of
//! all three. It takes the time from its caller and never waits.
//!
//! * [`ledger`] is what is true: the fold of the log's [`record`]s.
//! * [`claim`] tells who decides, [`access`] who is served.
//! * [`planner`] decides where tasks run.
//! * [`agent`] keeps one worker's lease and carries orders out.
//! * [`bounds`] holds the leases that tie these together.

pub mod access;
pub mod agent;
pub mod bounds;
pub mod claim;
pub mod demand;
pub mod id;
pub mod job;
pub mod ledger;
pub mod message;
pub mod planner;
pub mod policy;
pub mod prelude;
pub mod progress;
pub mod record;

pub use agent::Agent;
pub use bounds::Bounds;
pub use demand::Demand;
pub use job::Job;
pub use ledger::Ledger;
pub use planner::Planner;
pub use policy::Policy;
pub use progress::Progress;
pub use record::Record;
