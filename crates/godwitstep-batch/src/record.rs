//! Records of the log, and their keys.
//!
//! All records of the batch system lie in one partition of a keyed topic, so that entries and the
//! decider see them in one order, and the newest record of each key outlives the log's retention.
//!
//! ```
//! use godwitstep_batch::record::Record;
//!
//! let record = Record::Cancelled { job: 7 };
//! let (key, value) = (record.key(), record.encode());
//! assert_eq!(Record::decode(&key, &value).unwrap(), Some(record));
//! ```

use crate::id::{Epoch, Host, JobId};
use crate::job::Job;
use crate::progress::Progress;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// An entry accepted a job. Written by any entry, at times more than once for a job.
    Submitted(Job),
    /// A caller cancelled a job. Written by any entry.
    Cancelled {
        /// Job.
        job: JobId,
    },
    /// The decider changed the state of a job. Fenced by its epoch.
    Progressed {
        /// Job.
        job: JobId,
        /// Its whole new state.
        progress: Progress,
    },
    /// The decider dropped an ended job that nobody asks for any more. Fenced by its epoch.
    Dropped {
        /// Job.
        job: JobId,
    },
    /// A process became the decider or still is. Fenced by its epoch.
    Claimed(Claim),
    /// A process serves as entry.
    Announced(Announcement),
}

/// Who decides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Fencing token.
    pub epoch: Epoch,
    /// Host of the decider.
    pub host: Host,
    /// Address for agents.
    pub address: SocketAddr,
    /// Whether the decider has given up the claim, so that another may take it at once.
    pub released: bool,
}

/// An entry, where agents can ask who decides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Host of the entry.
    pub host: Host,
    /// Address for agents.
    pub address: SocketAddr,
}

/// Why a record can't be read.
#[derive(Debug, thiserror::Error)]
#[error("record under key {key:?} can't be decoded: {reason}")]
pub struct Error {
    key: String,
    reason: String,
}

const SUBMITTED: &str = "job/";
const CANCELLED: &str = "stop/";
const PROGRESSED: &str = "progress/";
const CLAIMED: &str = "claim";
const ANNOUNCED: &str = "entry/";

impl Record {
    /// Returns the key under which the log keeps the newest such record.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            Self::Submitted(job) => submitted_key(job.id),
            Self::Cancelled { job } => cancelled_key(*job),
            Self::Progressed { job, .. } | Self::Dropped { job } => {
                format!("{PROGRESSED}{job:016x}")
            }
            Self::Claimed(_) => CLAIMED.to_owned(),
            Self::Announced(entry) => format!("{ANNOUNCED}{}", entry.host),
        }
    }

    /// Returns the value; empty where the record deletes its key.
    ///
    /// # Panics
    ///
    /// Never: records have no part that CBOR can't hold.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        if !matches!(self, Self::Dropped { .. }) {
            ciborium::into_writer(self, &mut bytes).expect("a record fits into CBOR");
        }
        bytes.into()
    }

    /// Reads a record. Returns `None` for the deletion of a key that means nothing by itself.
    ///
    /// # Errors
    ///
    /// Returns an error for a value that is no record.
    pub fn decode(key: &str, value: &[u8]) -> Result<Option<Self>, Error> {
        if value.is_empty() {
            let job = key.strip_prefix(PROGRESSED).and_then(crate::id::job);
            return Ok(job.map(|job| Self::Dropped { job }));
        }
        ciborium::from_reader(value)
            .map(Some)
            .map_err(|error| Error {
                key: key.to_owned(),
                reason: error.to_string(),
            })
    }
}

/// Returns the key of a job's submission.
#[must_use]
pub fn submitted_key(job: JobId) -> String {
    format!("{SUBMITTED}{job:016x}")
}

/// Returns the key of a job's cancellation.
#[must_use]
pub fn cancelled_key(job: JobId) -> String {
    format!("{CANCELLED}{job:016x}")
}
