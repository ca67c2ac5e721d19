//! Interface to the log service, as the batch processes use it: two partitions of keyed records.
//!
//! A keyed partition is compacted: it keeps the newest record of each key forever, and all other records for a
//! limited time.

use bytes::Bytes;
use godwitstep_batch::id::{Epoch, Offset};
use godwitstep_batch::record::Record;
use std::time::Duration;

/// A partition of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Records that the scheduler itself writes.
    Records,
    /// Policies and orders of operators. The scheduler only reads this partition.
    Operator,
}

impl Stream {
    /// Returns the name used in messages and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Records => "records",
            Self::Operator => "operator",
        }
    }

    /// Returns the stream with a name, or `None` if there is none.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Records, Self::Operator]
            .into_iter()
            .find(|stream| stream.name() == name)
    }
}

/// A record with its key. An empty value deletes the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key by which the log compacts.
    pub key: String,
    /// Encoded value; empty for a deletion.
    pub value: Bytes,
}

impl Item {
    /// Returns the size of the record, to which the log's limit applies: its key with its length, and its value. Unit:
    /// bytes.
    #[must_use]
    pub fn record_size(&self) -> usize {
        1 + self.key.len() + self.value.len()
    }

    /// Returns the size of the record in an append, with its length. Unit: bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        4 + self.record_size()
    }
}

impl From<&Record> for Item {
    fn from(record: &Record) -> Self {
        Self {
            key: record.key(),
            value: record.encode(),
        }
    }
}

/// Consecutive records in the order of their offsets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Records, with `None` for one that cannot be decoded.
    pub items: Vec<Option<Item>>,
    /// Offset after the last record of the partition.
    pub end: Offset,
}

/// A page of the newest records, in the order of their keys. Several pages do not form a consistent snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Newest {
    /// Records with their offsets.
    pub items: Vec<(Offset, Item)>,
    /// Offset after the last record of the partition at the time of the page.
    pub end: Offset,
    /// Key after which the next page starts; `None` on the last page.
    pub next: Option<String>,
    /// Whether records are left out because they can't be read, so that a key without a record may exist.
    pub incomplete: bool,
}

/// Fencing token of an append. The log refuses an epoch below the highest that it has stored, and a sequence number
/// other than the next one. It answers a repeated append as it did the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fence {
    /// Epoch of the decider.
    pub epoch: Epoch,
    /// Sequence number of the append within the epoch, starting at 0.
    pub sequence: u64,
}

/// Why an append failed.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// The log stored nothing; the same append may be retried.
    #[error("the log refused the append: {0}")]
    Refused(String),
    /// The log stored nothing and never stores this append, for example because a record is too long.
    #[error("the log does not accept the append: {0}")]
    Invalid(String),
    /// The append may have taken effect, or may do so later.
    #[error("the log did not answer the append: {0}")]
    Unanswered(String),
    /// The log has stored a higher epoch.
    #[error("the append is fenced by a higher epoch")]
    Fenced,
    /// The sequence number is not the one that the log expects next.
    #[error("the append is out of sequence: {0}")]
    Sequence(String),
}

/// Why a read failed.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The records at the requested offset have expired.
    #[error("the records before offset {start} have expired")]
    Expired {
        /// First offset that the log still holds.
        start: Offset,
    },
    /// The log returned no usable answer.
    #[error("reading the log failed: {0}")]
    Failed(String),
}

/// Client interface to the log service.
#[allow(async_fn_in_trait)] // Everything of a process runs on one thread.
pub trait Log {
    /// Appends records atomically. Returns the offset after the last one.
    async fn append(&self, items: &[Item], fence: Option<Fence>) -> Result<Offset, AppendError>;
    /// Returns the records from an offset on. Waits up to `wait` for the first one if there is none yet.
    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, ReadError>;
    /// Returns a page of the newest record of each key, starting after the key `after`.
    async fn newest(&self, stream: Stream, after: Option<&str>) -> Result<Newest, ReadError>;
}
