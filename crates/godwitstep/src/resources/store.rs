//! Interface between the operator API and the entry.

use super::{Collection, Document};
use crate::http::Signal;
use godwitstep_core::id::Offset;
use godwitstep_core::reason::Reason;
use godwitstep_core::record::Event;
use godwitstep_core::registry::{Outcome, Registry, Stream};
use godwitstep_core::resource::Fault;
use serde_json::{Map, Value};
use std::time::Duration;

/// A change that an operator requests, before it is recorded.
#[derive(Debug, Clone, Copy)]
pub enum Proposal<'a> {
    /// Declare a resource or submit a job.
    Put(&'a Document),
    /// Remove a resource or cancel a job.
    Remove(Collection, &'a str),
}

/// Result of reviewing a proposal: its effects beyond its own resource.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Review {
    /// Why the proposal is refused, with the numbers behind it; empty if it is accepted.
    pub faults: Vec<Fault>,
    /// Expected effect, shown by a dry run; `null` if unknown.
    pub effect: Value,
}

/// Error of a change that is not confirmed as recorded.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// The record was not appended and has no effect.
    #[error("{reason}")]
    NotRun {
        /// Cause, with its numbers.
        reason: Reason,
        /// Time after which the client should retry.
        retry_after: Duration,
    },
    /// The record may have been appended.
    #[error("the log did not confirm the record; it may have taken effect")]
    Unknown,
}

/// Access of the operator API to the entry's registry, log and status.
pub trait Store: 'static {
    /// Runs a read-only closure on the registry and returns its result.
    fn read<T>(&self, query: impl FnOnce(&Registry) -> T) -> T;

    /// Appends events as one record, waits until this entry has applied it to its registry and
    /// returns the outcome of each event.
    fn change(
        &self,
        stream: Stream,
        events: Vec<Event>,
    ) -> impl Future<Output = Result<Vec<Outcome>, ChangeError>>;

    /// Waits until this entry has applied a stream beyond the given position.
    fn wait_past(&self, stream: Stream, position: Offset) -> impl Future<Output = ()>;

    /// Checks a proposal against the capacity in service and the running work.
    fn review(&self, _proposal: Proposal<'_>) -> Review {
        Review::default()
    }

    /// Returns status fields of a resource that extend or override those from the registry.
    fn status(&self, _collection: Collection, _name: &str) -> Map<String, Value> {
        Map::new()
    }

    /// Returns the shutdown signal, which ends all watches.
    fn signal(&self) -> Signal;

    /// Reports whether the entry is ready to serve requests (`/readyz`).
    ///
    /// # Errors
    ///
    /// Returns why it is not ready.
    fn ready(&self) -> Result<(), Reason>;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Returns the body of `/v1/status`.
    fn overview(&self) -> Value;

    /// Returns the body of `/v1/report`.
    fn report(&self) -> Value;
}
