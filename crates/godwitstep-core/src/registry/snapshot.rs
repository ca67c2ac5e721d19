//! Serializes snapshots and splits their text into parts that each fit one record.

use super::writers::Writers;
use crate::id::Version;
use crate::record::Event;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Maximum size of a part's escaped text in a record, in bytes.
///
/// Leaves 1 KiB of the 64 KiB record limit for the envelope.
pub const MAX_PART_BYTES: usize = 63 * 1024;

#[derive(Serialize)]
struct SnapshotRef<'a, S> {
    state: &'a S,
    writers: &'a Writers,
}

#[derive(Deserialize)]
pub(super) struct Snapshot<S> {
    pub(super) state: S,
    pub(super) writers: Writers,
}

/// Returns the parts of a snapshot of everything up to and including the record `id`.
pub(super) fn split<S: Serialize>(id: Version, state: &S, writers: &Writers) -> Vec<Event> {
    let text = match serde_json::to_string(&SnapshotRef { state, writers }) {
        Ok(text) => text,
        // Serialization fails only for maps with keys that are not strings; the state has none.
        Err(error) => unreachable!("snapshot can't be serialized: {error}"),
    };
    let pieces = split_text(&text);
    let of = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
    (0..of)
        .zip(pieces)
        .map(|(part, text)| Event::SnapshotPart {
            id,
            part,
            of,
            text: text.to_owned(),
        })
        .collect()
}

/// Parses the concatenated text of all parts.
pub(super) fn parse<S: DeserializeOwned>(text: &str) -> Result<Snapshot<S>, serde_json::Error> {
    serde_json::from_str(text)
}

/// Splits a text into pieces of at most [`MAX_PART_BYTES`] bytes each after escaping.
fn split_text(text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    let (mut start, mut size) = (0, 0);
    for (index, character) in text.char_indices() {
        let escaped_len = match character {
            '"' | '\\' => 2,
            character if character.is_ascii_control() => 6,
            character => character.len_utf8(),
        };
        if size + escaped_len > MAX_PART_BYTES {
            pieces.push(&text[start..index]);
            (start, size) = (index, 0);
        }
        size += escaped_len;
    }
    pieces.push(&text[start..]);
    pieces
}
