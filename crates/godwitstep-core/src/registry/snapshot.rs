//! Text of a snapshot, cut into parts that fit one record each.

use super::writers::Writers;
use crate::id::Version;
use crate::record::Event;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Greatest size of a part's text as it stands, escaped, in a record. Unit: bytes.
///
/// Leaves 1 KiB of the 64 KiB of a record for the envelope.
pub const MAX_PART: usize = 63 * 1024;

#[derive(Serialize)]
struct Written<'a, S> {
    state: &'a S,
    writers: &'a Writers,
}

#[derive(Deserialize)]
pub(super) struct Read<S> {
    pub(super) state: S,
    pub(super) writers: Writers,
}

/// Returns the parts of a snapshot of everything up to and including the record `id`.
pub(super) fn split<S: Serialize>(id: Version, state: &S, writers: &Writers) -> Vec<Event> {
    let text = match serde_json::to_string(&Written { state, writers }) {
        Ok(text) => text,
        // Only a map with keys that are not strings can fail, and the state has none.
        Err(error) => unreachable!("snapshot can't be written: {error}"),
    };
    let pieces = pieces(&text);
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

/// Reads the text of all parts.
pub(super) fn join<S: DeserializeOwned>(text: &str) -> Result<Read<S>, serde_json::Error> {
    serde_json::from_str(text)
}

/// Cuts a text so that each piece is at most [`MAX_PART`] long once it is escaped.
fn pieces(text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    let (mut start, mut size) = (0, 0);
    for (at, letter) in text.char_indices() {
        let cost = match letter {
            '"' | '\\' => 2,
            letter if letter.is_ascii_control() => 6,
            letter => letter.len_utf8(),
        };
        if size + cost > MAX_PART {
            pieces.push(&text[start..at]);
            (start, size) = (at, 0);
        }
        size += cost;
    }
    pieces.push(&text[start..]);
    pieces
}
