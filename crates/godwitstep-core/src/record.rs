//! Records that the system writes to the log's streams.
//!
//! A record is one JSON [`Envelope`]. Readers skip an envelope whose writer, incarnation and
//! sequence they have folded, so an append that is repeated after a lost reply has one effect.
//!
//! ```
//! use godwitstep_core::record::{Envelope, Event};
//!
//! let record = Envelope::new("entry-1", 7, 1, vec![Event::Cancel { job: "j".into() }]);
//! let text = serde_json::to_string(&record)?;
//! assert_eq!(serde_json::from_str::<Envelope>(&text)?, record);
//! # Ok::<(), serde_json::Error>(())
//! ```

use crate::id::{
    Accelerators, Attempt, DomainId, EntryId, Epoch, Incarnation, JobId, Name, RegionId, Version,
    WorkerId, WorkspaceId,
};
use crate::reason::Reason;
use crate::resource::{Domain, Job, Phase, Workspace};
use serde::{Deserialize, Serialize};

/// One append to a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Name of the process that wrote the record.
    pub writer: Name,
    /// Life of the writer.
    pub incarnation: Incarnation,
    /// Number of the envelope, counted from 1 in each life and stream. Without gaps, except that a
    /// writer may give up on a number that it has proved not to be in the stream.
    pub sequence: u64,
    /// What happened, in order. All of them take effect at the same offset.
    pub events: Vec<Event>,
}

impl Envelope {
    /// Returns an envelope.
    #[must_use]
    pub fn new(
        writer: impl Into<Name>,
        incarnation: Incarnation,
        sequence: u64,
        events: Vec<Event>,
    ) -> Self {
        Self {
            writer: writer.into(),
            incarnation,
            sequence,
            events,
        }
    }
}

/// A declared resource as it stands in the stream `config`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "resource", content = "spec", rename_all = "snake_case")]
pub enum Spec {
    /// A workspace.
    Workspace(Workspace),
    /// A failure domain.
    Domain(Domain),
}

/// Which declared resource a change is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "resource", content = "name", rename_all = "snake_case")]
pub enum Subject {
    /// A workspace.
    Workspace(WorkspaceId),
    /// A failure domain.
    Domain(DomainId),
}

/// State that a change of a resource expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// Any state.
    Any,
    /// The resource does not exist.
    Absent,
    /// The resource has this version.
    Version(Version),
}

/// The part of a gang on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The worker.
    pub worker: WorkerId,
    /// Number of tasks of the gang on this worker.
    pub tasks: u32,
    /// Accelerators of all these tasks together.
    pub accelerators: Accelerators,
}

/// Something that happened, as recorded in a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A resource is created or changed. Stream `config`.
    Declare {
        /// Name of the resource.
        name: Name,
        /// Its new spec.
        spec: Spec,
        /// State that the writer saw; where it is another, the change has no effect.
        expect: Expect,
    },
    /// A resource is removed. Stream `config`.
    Remove {
        /// The resource.
        subject: Subject,
        /// State that the writer saw.
        expect: Expect,
    },
    /// A job is accepted.
    Submit {
        /// Name of the job. A name that exists already makes this event have no effect.
        job: JobId,
        /// Its spec.
        spec: Job,
    },
    /// A caller wants a job to end.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// A job's parts are held and about to start.
    Start {
        /// The job.
        job: JobId,
        /// Number of the run; the previous one plus 1.
        attempt: Attempt,
        /// Epoch of the decider that starts it.
        epoch: Epoch,
        /// Where it runs; each worker at most once.
        parts: Vec<Part>,
        /// Why there.
        reason: Reason,
    },
    /// A run is over and the job waits again.
    Requeue {
        /// The job.
        job: JobId,
        /// The run that is over.
        attempt: Attempt,
        /// Epoch of the decider.
        epoch: Epoch,
        /// Why it is over.
        reason: Reason,
    },
    /// A job is over.
    End {
        /// The job.
        job: JobId,
        /// The last run; 0 if it never ran.
        attempt: Attempt,
        /// Epoch of the decider.
        epoch: Epoch,
        /// A final phase.
        phase: Phase,
        /// Why.
        reason: Reason,
    },
    /// A process wants to decide for a region. Its epoch is the offset of this record.
    Claim {
        /// The region.
        region: RegionId,
        /// The process.
        holder: EntryId,
        /// Life of the process.
        incarnation: Incarnation,
        /// Epoch that the process saw; 0 for none. Where it is another, the claim has no effect.
        replaces: Epoch,
    },
    /// The holder of a claim is alive.
    Renew {
        /// The region.
        region: RegionId,
        /// The claim that is renewed.
        epoch: Epoch,
    },
    /// A piece of the folded state, for readers that start after older records have expired.
    SnapshotPart {
        /// Identifies the snapshot: the offset up to which it was folded.
        id: Version,
        /// Number of this piece, from 0.
        part: u32,
        /// Number of all pieces.
        of: u32,
        /// Piece of the JSON text of the snapshot.
        text: String,
    },
}
