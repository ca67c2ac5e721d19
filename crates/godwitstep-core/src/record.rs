//! Records in the log's streams.
//!
//! A record is one JSON [`Envelope`]. Readers skip an envelope if they have already folded its
//! writer, incarnation and sequence, so an append that is retried after a lost reply takes effect
//! once.
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
    /// Incarnation of the writer process.
    pub incarnation: Incarnation,
    /// Number of the envelope, counted from 1 in each incarnation and stream. Contiguous, except
    /// that a writer may abandon a number after verifying that it is not in the stream.
    pub sequence: u64,
    /// Events in order. All of them take effect at the same offset.
    pub events: Vec<Event>,
}

impl Envelope {
    /// Returns an envelope with the given identity and events.
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

/// Spec of a declared resource, as stored in the stream `config`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "resource", content = "spec", rename_all = "snake_case")]
pub enum Spec {
    /// Spec of a workspace.
    Workspace(Workspace),
    /// Spec of a failure domain.
    Domain(Domain),
}

/// Identifies the declared resource that an event changes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "resource", content = "name", rename_all = "snake_case")]
pub enum Subject {
    /// Name of a workspace.
    Workspace(WorkspaceId),
    /// Name of a failure domain.
    Domain(DomainId),
}

/// Precondition of a change of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// No precondition.
    Any,
    /// The resource does not exist.
    Absent,
    /// The resource has this version.
    Version(Version),
}

/// The part of a gang on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Worker that runs the tasks.
    pub worker: WorkerId,
    /// Number of tasks of the gang on this worker.
    pub tasks: u32,
    /// Total accelerators of these tasks.
    pub accelerators: Accelerators,
}

/// An event recorded in a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A resource is created or changed. Stream `config`.
    Declare {
        /// Name of the resource.
        name: Name,
        /// New spec of the resource.
        spec: Spec,
        /// State that the writer expects; in any other state the change has no effect.
        expect: Expect,
    },
    /// A resource is removed. Stream `config`.
    Remove {
        /// The resource to remove.
        subject: Subject,
        /// State that the writer expects; in any other state the removal has no effect.
        expect: Expect,
    },
    /// A job is accepted.
    Submit {
        /// Name of the job. The event has no effect if the name already exists.
        job: JobId,
        /// Spec of the job.
        spec: Job,
    },
    /// A caller requests the cancellation of a job.
    Cancel {
        /// Job to cancel.
        job: JobId,
    },
    /// The accelerators for all parts of a job are held and the parts are about to start.
    Start {
        /// Job that starts.
        job: JobId,
        /// Number of the run: that of the previous run plus 1.
        attempt: Attempt,
        /// Epoch of the decider that starts the run.
        epoch: Epoch,
        /// Parts of the gang; each worker appears at most once.
        parts: Vec<Part>,
        /// Reason for the placement.
        reason: Reason,
    },
    /// A run has ended and the job returns to the queue.
    Requeue {
        /// Job that is queued again.
        job: JobId,
        /// Number of the run that has ended.
        attempt: Attempt,
        /// Epoch of the decider that requeues the job.
        epoch: Epoch,
        /// Reason for the end of the run.
        reason: Reason,
    },
    /// A job has reached a final phase.
    End {
        /// Job that has ended.
        job: JobId,
        /// Number of the last run; 0 if the job never ran.
        attempt: Attempt,
        /// Epoch of the decider that ends the job.
        epoch: Epoch,
        /// Final phase of the job.
        phase: Phase,
        /// Reason for the final phase.
        reason: Reason,
    },
    /// A process claims the decider role of a region. Its epoch is the offset of this record.
    Claim {
        /// Region whose decider role is claimed.
        region: RegionId,
        /// Entry process that makes the claim.
        holder: EntryId,
        /// Incarnation of the process.
        incarnation: Incarnation,
        /// Epoch that the claim replaces; 0 for none. Without effect if another epoch is current.
        replaces: Epoch,
    },
    /// The holder of a claim renews it.
    Renew {
        /// Region of the claim.
        region: RegionId,
        /// Epoch of the renewed claim.
        epoch: Epoch,
    },
    /// A part of a snapshot of the folded state, for readers that start after older records have
    /// expired.
    SnapshotPart {
        /// Identifies the snapshot by the offset of the last record folded into it.
        id: Version,
        /// Index of this part, counted from 0.
        part: u32,
        /// Total number of parts.
        of: u32,
        /// This part's section of the snapshot's JSON text.
        text: String,
    },
}
