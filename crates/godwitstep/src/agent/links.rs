//! The agent's links to the entries.

use super::rules::EntryStatus;
use crate::link::{Link, LinkId};
use godwitstep_core::id::Incarnation;
use godwitstep_wire::Frame;
use std::collections::BTreeMap;

/// A link and the status of the entry at its other end.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) link: Link,
    pub(super) status: Option<EntryStatus>,
    /// Sequence number of the last heartbeat sent on this link.
    pub(super) sequence: u64,
}

/// The open links, one per connection to an entry.
#[derive(Debug, Default)]
pub(super) struct Links {
    open: BTreeMap<LinkId, Entry>,
}

impl Links {
    pub(super) fn add(&mut self, link: Link) {
        let entry = Entry {
            link,
            status: None,
            sequence: 0,
        };
        self.open.insert(entry.link.id(), entry);
    }

    pub(super) fn remove(&mut self, id: LinkId) {
        self.open.remove(&id);
    }

    pub(super) fn get(&self, id: LinkId) -> Option<&Entry> {
        self.open.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: LinkId) -> Option<&mut Entry> {
        self.open.get_mut(&id)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.open.values_mut()
    }

    /// Sends a frame to the entry with the given incarnation on any of its links, and returns
    /// whether a link accepted it.
    pub(super) fn send_to(&self, incarnation: Incarnation, frame: &Frame) -> bool {
        self.open
            .values()
            .filter(|entry| entry.link.peer().incarnation == incarnation)
            .any(|entry| entry.link.send(frame.clone()))
    }

    /// Sends a frame to every entry.
    pub(super) fn send_all(&self, frame: &Frame) {
        for entry in self.open.values() {
            entry.link.send(frame.clone());
        }
    }

    /// Closes and removes every link, so that frames still queued on it are ignored.
    pub(super) fn close_all(&mut self) {
        for entry in std::mem::take(&mut self.open).into_values() {
            entry.link.close();
        }
    }
}
