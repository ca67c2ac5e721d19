//! The log service, as the batch processes use it: two partitions of keyed records.
//!
//! A keyed partition keeps the newest record of each key for good, and all records for a limited time.

use bytes::Bytes;
use godwitstep_batch::id::{Epoch, Offset};
use std::time::Duration;

/// A partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Records of the system's own.
    Records,
    /// What operators declare and order. The system only reads it.
    Operator,
}

impl Stream {
    /// Returns the name for messages and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Records => "records",
            Self::Operator => "operator",
        }
    }

    /// Returns the stream with a name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        [Self::Records, Self::Operator]
            .into_iter()
            .find(|stream| stream.name() == name)
    }
}

/// A record with its key. An empty value deletes the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
}

/// Records in the order of their offsets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Records, with `None` for one that can't be read.
    pub items: Vec<Option<Item>>,
    /// Offset after the last record of the partition.
    pub end: Offset,
}

/// Newest records, in the order of their keys. Pages are no snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Newest {
    /// Records with their offsets.
    pub items: Vec<(Offset, Item)>,
    /// Offset after the last record of the partition when the page was made.
    pub end: Offset,
    /// Key to continue after; `None` on the last page.
    pub next: Option<String>,
}

/// Fence of an append: the log refuses an epoch below the highest that it has seen, and a sequence
/// number other than the next one. It answers a repeated append as it did the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fence {
    /// Epoch.
    pub epoch: Epoch,
    /// Number of the append in the epoch.
    pub sequence: u64,
}

/// Why an append failed.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// The log did nothing; the same append may be tried again.
    #[error("the log refused the append: {0}")]
    Refused(String),
    /// The append may have taken effect, or may still do so.
    #[error("the log did not answer the append: {0}")]
    Unanswered(String),
    /// A higher epoch was seen.
    #[error("the append is fenced by a higher epoch")]
    Fenced,
    /// The sequence number is not the next one.
    #[error("the append is out of sequence: {0}")]
    Sequence(String),
}

/// Why a read failed.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The records have expired.
    #[error("the records before offset {start} have expired")]
    Expired {
        /// First offset that is kept.
        start: Offset,
    },
    /// There is no usable answer.
    #[error("reading the log failed: {0}")]
    Failed(String),
}

/// Client of the log service.
#[allow(async_fn_in_trait)] // Everything of a process runs on one thread.
pub trait Log {
    /// Appends records, all or nothing. Returns the offset after them.
    async fn append(&self, items: &[Item], fence: Option<Fence>) -> Result<Offset, AppendError>;
    /// Returns records from an offset on, waiting for the first one for at most `wait`.
    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, ReadError>;
    /// Returns a page of the newest records.
    async fn newest(&self, stream: Stream, after: Option<&str>) -> Result<Newest, ReadError>;
}
