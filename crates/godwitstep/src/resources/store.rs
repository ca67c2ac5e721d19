//! What the interface needs from the entry.

use super::{Collection, Document};
use crate::http::Signal;
use godwitstep_core::id::Offset;
use godwitstep_core::reason::Reason;
use godwitstep_core::record::Event;
use godwitstep_core::registry::{Outcome, Registry, Stream};
use godwitstep_core::resource::Fault;
use serde_json::{Map, Value};
use std::time::Duration;

/// A change that an operator wants.
#[derive(Debug, Clone, Copy)]
pub enum Proposal<'a> {
    /// Declare a resource or submit a job.
    Put(&'a Document),
    /// Remove a resource or cancel a job.
    Remove(Collection, &'a str),
}

/// What a proposal would do, beyond its own resource.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Review {
    /// Why the proposal is refused, with numbers; empty if it is not.
    pub faults: Vec<Fault>,
    /// What it would do, for a dry run: `null` if nothing is known.
    pub effect: Value,
}

/// Why it is not known that a record took effect.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Unrecorded {
    /// It was not appended and has no effect.
    #[error("{reason}")]
    NotRun {
        /// Why.
        reason: Reason,
        /// When to try again.
        retry_after: Duration,
    },
    /// It may have been appended.
    #[error("the log did not confirm the record; it may have taken effect")]
    Unknown,
}

/// The entry as the interface sees it.
pub trait Store: 'static {
    /// Looks at the registry.
    fn read<T>(&self, look: impl FnOnce(&Registry) -> T) -> T;

    /// Appends events as one record, waits until this entry has folded it and returns the outcome
    /// of each event.
    fn change(
        &self,
        stream: Stream,
        events: Vec<Event>,
    ) -> impl Future<Output = Result<Vec<Outcome>, Unrecorded>>;

    /// Waits until the position of a stream is greater than the given one.
    fn advanced(&self, stream: Stream, position: Offset) -> impl Future<Output = ()>;

    /// Judges a proposal by capacity and by what runs.
    fn review(&self, _proposal: Proposal<'_>) -> Review {
        Review::default()
    }

    /// Returns fields that replace or add to those of a resource's status.
    fn status(&self, _collection: Collection, _name: &str) -> Map<String, Value> {
        Map::new()
    }

    /// Returns the signal that ends watches.
    fn signal(&self) -> Signal;

    /// Reports whether the entry serves, and why not.
    ///
    /// # Errors
    ///
    /// Returns the reason for which it does not.
    fn ready(&self) -> Result<(), Reason>;

    /// Returns the metrics in the text form of scrapers.
    fn metrics(&self) -> String;

    /// Returns the body of `/v1/status`.
    fn overview(&self) -> Value;

    /// Returns the body of `/v1/report`.
    fn report(&self) -> Value;
}
