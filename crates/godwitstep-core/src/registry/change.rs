//! Effects of folding a record: outcomes, changes and errors.

use super::{Claim, DeclaredResource, JobState, Stream};
use crate::id::{DomainId, JobId, Offset, Version, WorkspaceId};
use crate::record::Envelope;
use crate::resource::{Domain, Workspace};
use std::sync::Arc;

/// A change of the folded state. `None` means that the object was removed.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A workspace was declared, changed or removed.
    Workspace {
        /// Name of the workspace.
        name: WorkspaceId,
        /// The new state, or `None` after a removal.
        item: Option<Arc<DeclaredResource<Workspace>>>,
    },
    /// A failure domain was declared, changed or removed.
    Domain {
        /// Name of the failure domain.
        name: DomainId,
        /// The new state, or `None` after a removal.
        item: Option<Arc<DeclaredResource<Domain>>>,
    },
    /// A job was accepted or changed, or evicted some time after its end.
    Job {
        /// Name of the job.
        name: JobId,
        /// The new state, or `None` after a removal.
        state: Option<Arc<JobState>>,
    },
    /// Another process became the decider of the region.
    Claim(Claim),
}

/// Effect of one event of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The event took effect. Carries the new version, which is the record's offset.
    Applied(Version),
    /// The current state was not the expected one. Carries its version, if any: the version of the
    /// resource or job, or the epoch for a claim or renewal.
    Conflict(Option<Version>),
    /// The state already was as the event requests.
    Unchanged,
    /// The event has an invalid spec or belongs to another stream.
    Invalid,
    /// The record was folded before, or a later record of the same writer was.
    Duplicate,
}

/// Effects of one record.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Fold {
    /// One outcome for each event of the record, in the same order.
    pub outcomes: Vec<Outcome>,
    /// Changes of the folded state, in the order in which they took effect.
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

/// A change delivered by a watch.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchEvent<'a> {
    /// Offset of the record that made the change.
    pub offset: Offset,
    /// Version from which a new watch delivers the changes that follow. Equals the offset while more
    /// changes of the same record follow, so a watch that resumes there repeats that record.
    pub resume: Version,
    /// The change of the folded state.
    pub change: &'a Change,
}

/// Error for a record beyond the position: the records in between were lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("stream {stream}: record {found} follows, but {expected} is the next one")]
pub struct Gap {
    /// Stream with the missing records.
    pub stream: Stream,
    /// Offset that must be folded next.
    pub expected: Offset,
    /// Offset of the record that was passed in.
    pub found: Offset,
}

/// Error for a watch that starts before the retained history; the watcher must list again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("changes before version {oldest} are no longer kept; list again")]
pub struct Relist {
    /// Oldest version from which a watch is possible.
    pub oldest: Version,
}
