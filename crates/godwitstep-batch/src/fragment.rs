//! Records that exceed the log's limit on the size of a record.
//!
//! Such a record is stored in several fragments, each under a key of its own, which one append stores together. A reader
//! applies the record once it has read all of them.
//!
//! ```
//! use godwitstep_batch::fragment::{Assembler, encode};
//! use godwitstep_batch::{job::Step, progress::Progress, record::Record};
//!
//! let progress = Progress::new(&[Step { tasks: 4_000, ..Step::default() }]);
//! let record = Record::Progressed { job: 7, progress };
//! let items = encode(&record, 16 * 1024);
//! assert!(items.len() > 1);
//! let mut assembler = Assembler::default();
//! let read = (0..).zip(&items).filter_map(|(offset, (key, value))| {
//!     let stored = Record::decode(key, value).unwrap().unwrap();
//!     assembler.add(offset, stored).unwrap()
//! });
//! assert_eq!(read.collect::<Vec<_>>(), [(items.len() as u64 - 1, record)]);
//! ```

use crate::id::Offset;
use crate::message::Value;
use crate::record::{Error, Record, parse_progress_key};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

/// Maximum number of fragments of a record.
pub const MAX_FRAGMENTS: u16 = 256;
/// Size of a fragment without its bytes and without its record's key, which it holds twice. Unit: bytes.
const HEADER_BYTES: usize = 128;

/// A part of an encoded record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// Key of the whole record.
    pub key: String,
    /// Index of the fragment, less than `count`.
    pub index: u16,
    /// Number of fragments of the record, from 2 to [`MAX_FRAGMENTS`]. They have consecutive offsets.
    pub count: u16,
    /// The fragment's part of the encoded record.
    pub bytes: Value,
}

impl Fragment {
    /// Returns the key under which the log retains the fragment.
    #[must_use]
    pub fn item_key(&self) -> String {
        item_key(&self.key, self.index)
    }

    /// Validates the fragment by itself.
    pub(crate) fn validate(&self) -> Result<(), String> {
        if parse_progress_key(&self.key).is_none() {
            return Err(format!("records under {:?} have no fragments", self.key));
        }
        let valid = (2..=MAX_FRAGMENTS).contains(&self.count) && self.index < self.count;
        valid
            .then_some(())
            .ok_or_else(|| format!("fragment {} of {} is out of range", self.index, self.count))
    }
}

/// Returns the key of a fragment. The first one has the key of the record, so that the key of a record always exists.
#[must_use]
pub fn item_key(key: &str, index: u16) -> String {
    if index == 0 {
        key.to_owned()
    } else {
        format!("{key}/{index}")
    }
}

/// Encodes a record as the keys and values of at most `limit` bytes each that have to be appended together. The limit
/// includes the key and its length.
#[must_use]
pub fn encode(record: &Record, limit: usize) -> Vec<(String, Bytes)> {
    let (key, value) = (record.key(), record.encode());
    if 1 + key.len() + value.len() <= limit {
        return vec![(key, value)];
    }
    let least = value.len().div_ceil(usize::from(MAX_FRAGMENTS));
    let size = limit
        .saturating_sub(2 * key.len() + HEADER_BYTES)
        .max(least);
    let count = u16::try_from(value.len().div_ceil(size)).unwrap_or(MAX_FRAGMENTS);
    (0..count)
        .map(|index| {
            let start = usize::from(index) * size;
            let end = value.len().min(start + size);
            let fragment = Fragment {
                key: key.clone(),
                index,
                count,
                bytes: Value(value.slice(start..end)),
            };
            (fragment.item_key(), Record::Fragment(fragment).encode())
        })
        .collect()
}

/// Fragments of the newest record of a key, as far as they have been read.
#[derive(Debug, Default)]
struct Partial {
    /// Offset of the first fragment.
    first: Offset,
    fragments: BTreeMap<u16, Fragment>,
}

/// Assembles records from their fragments.
#[derive(Debug, Default)]
pub struct Assembler {
    partial: HashMap<String, Partial>,
    /// Number of fragments of a record that the log may hold.
    counts: HashMap<String, u16>,
}

impl Assembler {
    /// Drops the fragments of incomplete records, because the newest records are read again.
    pub fn reset(&mut self) {
        self.partial.clear();
    }

    /// Adds the record at an offset. Returns it, or the record that its last missing fragment completes, with the offset
    /// of that record.
    ///
    /// # Errors
    ///
    /// Returns an error if the complete record can't be decoded.
    pub fn add(
        &mut self,
        offset: Offset,
        record: Record,
    ) -> Result<Option<(Offset, Record)>, Error> {
        let Record::Fragment(fragment) = record else {
            if !(self.partial.is_empty() && self.counts.is_empty()) {
                let key = record.key();
                self.partial.remove(&key);
                if matches!(record, Record::Dropped { .. }) {
                    self.counts.remove(&key);
                }
            }
            return Ok(Some((offset, record)));
        };
        let count = self.counts.entry(fragment.key.clone()).or_default();
        *count = fragment.count.max(*count);
        let Some(first) = offset.checked_sub(Offset::from(fragment.index)) else {
            return Ok(None);
        };
        let (key, count) = (fragment.key.clone(), fragment.count);
        let partial = self.partial.entry(key.clone()).or_default();
        if partial.first > first {
            return Ok(None);
        }
        if partial.first < first {
            *partial = Partial {
                first,
                ..Partial::default()
            };
        }
        partial.fragments.insert(fragment.index, fragment);
        if partial.fragments.len() < usize::from(count) {
            return Ok(None);
        }
        let complete = self.partial.remove(&key).unwrap_or_default();
        let parts = complete.fragments.values();
        let value: Vec<u8> = parts
            .flat_map(|fragment| &fragment.bytes.0)
            .copied()
            .collect();
        let record = Record::decode(&key, &value)?;
        Ok(record.map(|record| (first + Offset::from(count) - 1, record)))
    }

    /// Returns the indexes of fragments that the log may still hold when the newest record under a key has `count` items.
    #[must_use]
    pub fn leftover(&self, key: &str, count: usize) -> Range<u16> {
        let count = u16::try_from(count).unwrap_or(MAX_FRAGMENTS);
        let known = self.counts.get(key).copied().unwrap_or_default();
        count..known.max(count)
    }

    /// Records that the fragments of a key from `count` on were deleted.
    pub fn deleted(&mut self, key: &str, count: usize) {
        match u16::try_from(count) {
            Ok(count) if count > 1 => {
                self.counts.insert(key.to_owned(), count);
            }
            _ => {
                self.counts.remove(key);
            }
        }
    }
}
