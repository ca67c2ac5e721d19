//! What folding a record did.

use super::{Claim, Item, JobState, Stream};
use crate::id::{DomainId, JobId, Offset, Version, WorkspaceId};
use crate::record::Envelope;
use crate::resource::{Domain, Workspace};
use std::sync::Arc;

/// A change of the folded state. `None` stands for a removal.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A workspace was declared, changed or removed.
    Workspace {
        /// Its name.
        name: WorkspaceId,
        /// Its new state.
        item: Option<Arc<Item<Workspace>>>,
    },
    /// A failure domain was declared, changed or removed.
    Domain {
        /// Its name.
        name: DomainId,
        /// Its new state.
        item: Option<Arc<Item<Domain>>>,
    },
    /// A job was accepted, changed, or forgotten some time after its end.
    Job {
        /// Its name.
        name: JobId,
        /// Its new state.
        state: Option<Arc<JobState>>,
    },
    /// Another process decides for the region.
    Claim(Claim),
}

/// Effect of one event of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect; the version is the record's offset.
    Won(Version),
    /// The state was not the expected one. Carries the version of the state in force, if any: of
    /// the resource or job, or the epoch for a claim or renewal.
    Conflict(Option<Version>),
    /// The state was already as the event asks.
    Unchanged,
    /// The event has a faulty spec or stands in the wrong stream.
    Invalid,
    /// The record had been folded before, or its writer has gone past it.
    Duplicate,
}

/// Effects of one record.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Fold {
    /// One for each event of the record, in its order.
    pub outcomes: Vec<Outcome>,
    /// What changed, in order.
    pub changes: Vec<Change>,
}

impl Fold {
    pub(super) fn duplicate(record: &Envelope) -> Self {
        Self {
            outcomes: vec![Outcome::Duplicate; record.events.len()],
            changes: Vec::new(),
        }
    }
}

/// A change as a watch delivers it.
#[derive(Debug, Clone, PartialEq)]
pub struct Notice<'a> {
    /// Offset of the record that made the change.
    pub offset: Offset,
    /// Version to watch from to receive what follows. Equals the offset while more changes of the
    /// same record follow, so a watch that resumes there delivers that record again.
    pub resume: Version,
    /// The change.
    pub change: &'a Change,
}

/// The records that follow the position were lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("stream {stream}: record {found} follows, but {expected} is the next one")]
pub struct Gap {
    /// The stream.
    pub stream: Stream,
    /// Offset that must be folded next.
    pub expected: Offset,
    /// Offset that was offered.
    pub found: Offset,
}

/// A watch starts before the history that is kept; the watcher must list again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("changes before version {oldest} are no longer kept; list again")]
pub struct Relist {
    /// Oldest version from which a watch is possible.
    pub oldest: Version,
}
