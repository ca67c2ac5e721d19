//! One stream of the log service.

use std::collections::VecDeque;
use std::fmt::Write;

/// A page ends with the record that makes its JSON text longer than this. Unit: bytes.
const PAGE_SIZE_THRESHOLD: usize = 1024 * 1024;

/// Records of one stream. Offsets start at 0 and are never reused.
#[derive(Debug, Default)]
pub(super) struct Stream {
    /// Offset of the oldest retained record.
    start: u64,
    records: VecDeque<String>,
}

impl Stream {
    /// Appends a record, drops the oldest ones beyond `retention`, and returns the record's offset.
    pub(super) fn append(&mut self, value: String, retention: usize) -> u64 {
        let offset = self.tail();
        self.records.push_back(value);
        self.trim(retention);
        offset
    }

    /// Drops the oldest records until at most `retention` remain.
    pub(super) fn trim(&mut self, retention: usize) {
        while self.records.len() > retention {
            self.records.pop_front();
            self.start += 1;
        }
    }

    /// Returns the offset of the oldest retained record.
    pub(super) const fn start(&self) -> u64 {
        self.start
    }

    /// Returns the offset that the next record gets.
    pub(super) fn tail(&self) -> u64 {
        self.start + self.records.len() as u64
    }

    /// Returns the records from an offset on, which must not be before the start.
    pub(super) fn records_from(&self, from: u64) -> impl Iterator<Item = (u64, &String)> {
        let skip = usize::try_from(from - self.start).unwrap_or(usize::MAX);
        (from..).zip(self.records.iter().skip(skip))
    }

    /// Returns at most `limit` records from an offset on, as the JSON text of a page.
    pub(super) fn page(&self, from: u64, limit: usize) -> String {
        let mut text = format!(
            "{{\"start\":{},\"tail\":{},\"records\":[",
            self.start,
            self.tail()
        );
        let mut separator = "";
        for (offset, value) in self.records_from(from).take(limit) {
            let _infallible = write!(text, "{separator}{{\"offset\":{offset},\"value\":{value}}}");
            separator = ",";
            if text.len() > PAGE_SIZE_THRESHOLD {
                break;
            }
        }
        text.push_str("]}");
        text
    }
}
