//! Records of the log and their keys.
//!
//! All records of the batch system are in one partition of a compacted topic, so that all entries and the
//! decider read them in the same order and the newest record of each key outlives the log's retention.
//!
//! ```
//! use godwitstep_batch::record::Record;
//!
//! let record = Record::Cancelled { job: 7 };
//! let (key, value) = (record.key(), record.encode());
//! assert_eq!(Record::decode(&key, &value).unwrap(), Some(record));
//! ```

use crate::address;
use crate::expectation::Snapshot;
use crate::fragment::Fragment;
use crate::id::{Epoch, Host, JobId, Run};
use crate::job::{self, Job, MAX_STEPS, MAX_TASKS};
use crate::progress::Progress;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// An entry accepted a job. Written by any entry, possibly more than once per job.
    Submitted(Job),
    /// A caller cancelled a job. Written by any entry.
    Cancelled {
        /// Job that was cancelled.
        job: JobId,
    },
    /// The decider changed the state of a job. Fenced by its epoch.
    Progressed {
        /// Job whose state changed.
        job: JobId,
        /// Complete new state of the job.
        progress: Progress,
    },
    /// The decider removed an ended job whose retention time is over. Fenced by its epoch.
    Dropped {
        /// Job that was removed.
        job: JobId,
    },
    /// A process became the decider or renewed its claim. Fenced by its epoch.
    Claimed(Claim),
    /// A process serves as an entry.
    Announced(Announcement),
    /// The decider removed the announcement of an entry that is gone. Fenced by its epoch. Versions without it ignore
    /// the deletion until they read the newest records again.
    Withdrawn {
        /// Host of the entry.
        host: Host,
    },
    /// The decider has learned run times. Fenced by its epoch. Entries of versions without it skip the record.
    Expectations(Snapshot),
    /// Part of a record of a job's state that exceeds the log's limit. Fenced by the decider's epoch.
    Fragment(Fragment),
}

/// Claim of the decider role by an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Fencing token of the claim.
    pub epoch: Epoch,
    /// Host of the decider.
    pub host: Host,
    /// Address on which the decider serves agents.
    pub address: SocketAddr,
    /// Whether the decider has released the claim, so that another entry may take over at once.
    pub released: bool,
}

/// Address of an entry, which agents can ask for the current decider.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Host of the entry.
    pub host: Host,
    /// Address on which the entry serves agents.
    pub address: SocketAddr,
    /// Memory that the entry has for jobs, at least [`MIN_JOB_MEMORY`]; `None` from entries of earlier versions. The
    /// smallest one limits what all entries accept, since each of them holds all jobs. Unit: bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job_memory: Option<u64>,
}

/// Error of a record that can't be decoded.
#[derive(Debug, thiserror::Error)]
#[error("record under key {key:?} can't be decoded: {reason}")]
pub struct Error {
    key: String,
    reason: String,
}

/// Maximum epoch of a claim. Epochs that follow it stay far below the largest number, so that entries can replace any
/// decider; claims reach it after 2^31 changes of the decider.
pub const MAX_EPOCH: Epoch = 1 << 52;
/// Minimum memory for jobs that an entry announces. A smaller value, which no entry has, would keep all callers out.
/// Unit: bytes.
pub const MIN_JOB_MEMORY: u64 = 1 << 20;
/// Maximum number of a run, of a task's failures and of the crashes under it, so that the next one is valid.
const MAX_RUN: Run = Run::MAX / 2;

const SUBMITTED_PREFIX: &str = "job/";
const CANCELLED_PREFIX: &str = "stop/";
const PROGRESS_PREFIX: &str = "progress/";
const CLAIM_KEY: &str = "claim";
/// Key of what the decider has learned.
pub const EXPECTATIONS_KEY: &str = "expectations";
const ANNOUNCEMENT_PREFIX: &str = "entry/";

impl Record {
    /// Returns the key under which the log retains the newest record of this kind.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            Self::Submitted(job) => submitted_key(job.id),
            Self::Cancelled { job } => cancelled_key(*job),
            Self::Progressed { job, .. } | Self::Dropped { job } => progress_key(*job),
            Self::Claimed(_) => CLAIM_KEY.to_owned(),
            Self::Announced(Announcement { host, .. }) | Self::Withdrawn { host } => {
                announcement_key(host)
            }
            Self::Expectations(_) => EXPECTATIONS_KEY.to_owned(),
            Self::Fragment(fragment) => fragment.item_key(),
        }
    }

    /// Encodes the value as CBOR; empty if the record deletes its key.
    ///
    /// # Panics
    ///
    /// Never, because CBOR can represent all records.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        if !matches!(self, Self::Dropped { .. } | Self::Withdrawn { .. }) {
            ciborium::into_writer(self, &mut bytes).expect("CBOR can represent every record");
        }
        bytes.into()
    }

    /// Decodes a record. Returns `None` for the deletion of a key other than that of a job's state or of an entry,
    /// because such a deletion has no meaning of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a valid record, or not the one of this key. Other writers may have left
    /// records, so everything that the planner relies on is checked here.
    pub fn decode(key: &str, value: &[u8]) -> Result<Option<Self>, Error> {
        if value.is_empty() {
            let dropped = || parse_progress_key(key).map(|job| Self::Dropped { job });
            let withdrawn = |host: &str| Self::Withdrawn { host: host.into() };
            let host = key.strip_prefix(ANNOUNCEMENT_PREFIX);
            return Ok(host.map(withdrawn).or_else(dropped));
        }
        let error = |reason: String| Error {
            key: key.to_owned(),
            reason,
        };
        let record: Self =
            ciborium::from_reader(value).map_err(|cause| error(cause.to_string()))?;
        if record.key() != key {
            return Err(error(format!("it belongs to key {:?}", record.key())));
        }
        record.validate().map_err(error)?;
        Ok(Some(record))
    }

    /// Validates the contents of the record by itself.
    fn validate(&self) -> Result<(), String> {
        match self {
            Self::Submitted(job) => validate_job(job),
            Self::Progressed { progress, .. } => validate_progress(progress),
            Self::Fragment(fragment) => fragment.validate(),
            Self::Expectations(snapshot) => snapshot.validate(),
            Self::Claimed(claim) if claim.epoch > MAX_EPOCH => {
                Err(format!("epoch {} is out of range", claim.epoch))
            }
            Self::Claimed(Claim { address, .. })
            | Self::Announced(Announcement { address, .. })
                if !address::is_usable(*address) =>
            {
                Err(format!("address {address} is not usable"))
            }
            Self::Announced(Announcement {
                job_memory: Some(bytes),
                ..
            }) if *bytes < MIN_JOB_MEMORY => {
                Err(format!("memory of {bytes} bytes for jobs is out of range"))
            }
            Self::Claimed(_)
            | Self::Announced(_)
            | Self::Withdrawn { .. }
            | Self::Cancelled { .. }
            | Self::Dropped { .. } => Ok(()),
        }
    }
}

fn validate_job(job: &Job) -> Result<(), String> {
    job::validate(&job.steps).map_err(|error| error.to_string())?;
    let stretch = job.queue.stretch;
    if stretch.is_finite() && stretch >= 0.0 {
        Ok(())
    } else {
        Err(format!("factor {stretch} of its queue is out of range"))
    }
}

fn validate_progress(progress: &Progress) -> Result<(), String> {
    let steps = &progress.steps;
    let tasks: u64 = steps.iter().map(|step| step.tasks.len() as u64).sum();
    if steps.len() > MAX_STEPS || tasks > MAX_TASKS {
        return Err(format!(
            "{} steps with {tasks} tasks are too many",
            steps.len()
        ));
    }
    let numbers = steps.iter().flat_map(|step| {
        let tasks = step.tasks.iter().flat_map(|task| [task.run, task.failures]);
        let crashes = step.crashes.values().map(|crashes| crashes.count);
        let unexplained = step.unexplained.iter().map(|end| end.run);
        let gang = [step.failed_run, step.broken_run];
        tasks.chain(crashes).chain(unexplained).chain(gang)
    });
    match numbers.max() {
        Some(highest) if highest > MAX_RUN => {
            Err(format!("number {highest} of a run is out of range"))
        }
        _ => Ok(()),
    }
}

/// Returns the key of the record of a job's submission.
#[must_use]
pub fn submitted_key(job: JobId) -> String {
    format!("{SUBMITTED_PREFIX}{job:016x}")
}

/// Returns the key of the records of a job's state.
#[must_use]
pub fn progress_key(job: JobId) -> String {
    format!("{PROGRESS_PREFIX}{job:016x}")
}

/// Returns the job of the key of a job's state.
pub(crate) fn parse_progress_key(key: &str) -> Option<JobId> {
    key.strip_prefix(PROGRESS_PREFIX)
        .and_then(crate::id::parse_job_id)
}

/// Returns the key of the record that announces an entry.
#[must_use]
pub fn announcement_key(host: &str) -> String {
    format!("{ANNOUNCEMENT_PREFIX}{host}")
}

/// Returns the key of the record of a job's cancellation.
#[must_use]
pub fn cancelled_key(job: JobId) -> String {
    format!("{CANCELLED_PREFIX}{job:016x}")
}
