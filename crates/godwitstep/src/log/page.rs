//! Results of reads.

use godwitstep_core::id::Offset;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Consecutive records of a stream, with the range of offsets that the stream retains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Offset of the oldest retained record.
    pub start: Offset,
    /// Offset that the next record of the stream will get.
    pub tail: Offset,
    /// Records in offset order without gaps, as JSON text.
    pub records: Vec<(Offset, String)>,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// Records from the requested offset on; none if it is the tail.
    Page(Page),
    /// The requested offset is no longer retained.
    Trimmed {
        /// Offset of the oldest retained record.
        start: Offset,
    },
}

#[derive(Deserialize)]
struct ReadReply<'a> {
    start: Offset,
    tail: Offset,
    #[serde(borrow)]
    records: Vec<Record<'a>>,
}

#[derive(Deserialize)]
struct Record<'a> {
    offset: Offset,
    #[serde(borrow)]
    value: &'a RawValue,
}

impl Page {
    /// Parses the answer to a read from an offset and checks that the records are
    /// consecutive from there.
    pub(super) fn parse(from: Offset, body: &[u8]) -> Result<Self, String> {
        let body: ReadReply = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let mut next = from;
        for record in &body.records {
            if record.offset != next {
                return Err(format!("offset {} instead of {next}", record.offset));
            }
            next += 1;
        }
        if !body.records.is_empty() && next > body.tail {
            return Err(format!("records up to {next} past tail {}", body.tail));
        }
        // Readers do not pause while they are behind the tail, so an empty page there would cause
        // a busy loop.
        if body.records.is_empty() && from < body.tail {
            return Err(format!("no record from {from} to tail {}", body.tail));
        }
        let records = body.records.into_iter();
        Ok(Self {
            start: body.start,
            tail: body.tail,
            records: records
                .map(|record| (record.offset, record.value.get().to_owned()))
                .collect(),
        })
    }
}
