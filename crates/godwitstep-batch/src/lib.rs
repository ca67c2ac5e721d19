//! Scheduling logic for multi-step jobs, without I/O.
//!
//! Callers submit jobs to queues; entries store them in a log; one entry, the decider, places their tasks on
//! workers; an agent on each worker's host executes these decisions. This crate contains the logic of all three
//! roles. The current time is passed in as an argument, and no function blocks.
//!
//! * [`ledger`] holds the authoritative state, derived from the log's [`record`]s, of which a long one is stored in
//!   [`fragment`]s.
//! * [`claim`] elects the decider; [`membership`] finds the entries that are gone.
//! * [`access`] authorizes callers; [`backlog`] limits the memory of accepted jobs.
//! * [`planner`] decides where tasks run; [`expectation`] learns how long they take.
//! * [`agent`] renews one worker's lease and executes orders.
//! * [`address`] checks the addresses that other processes name.
//! * [`token`] fences off late copies of agents' calls to workers.
//! * [`bounds`] defines the time limits and lease durations that these modules rely on.

pub mod access;
pub mod address;
pub mod agent;
pub mod backlog;
pub mod bounds;
pub mod claim;
pub mod demand;
pub mod expectation;
pub mod fragment;
pub mod id;
pub mod job;
pub mod ledger;
pub mod membership;
pub mod message;
pub mod planner;
pub mod policy;
pub mod prelude;
pub mod progress;
pub mod record;
pub mod token;

pub use agent::Agent;
pub use bounds::Bounds;
pub use demand::Demand;
pub use job::Job;
pub use ledger::Ledger;
pub use planner::Planner;
pub use policy::Policy;
pub use progress::Progress;
pub use record::Record;
