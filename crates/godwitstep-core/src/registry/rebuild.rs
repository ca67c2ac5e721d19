//! A reader that starts after older records have expired.

use super::cursor::Cursor;
use super::{Change, Fold, Gap, Registry, Stream, snapshot};
use crate::id::{Incarnation, Name, Offset, RegionId, Version};
use crate::record::{Envelope, Event};
use std::collections::BTreeMap;
use std::time::Duration;

/// Parts of one writer's snapshot. Only the parts of one writer fit together.
type Source = (Version, Name, Incarnation);

/// Folds one stream from its retained start.
///
/// From offset 0 it is ready at once. From a later start it keeps the records until one whole
/// snapshot has been read, folds those that follow the snapshot, and is ready.
///
/// ```
/// use godwitstep_core::registry::{Rebuild, Stream};
///
/// assert!(Rebuild::new("dk-vest", Stream::Jobs, 0).ready().is_some());
/// assert!(Rebuild::new("dk-vest", Stream::Jobs, 40).ready().is_none());
/// ```
#[derive(Debug, Clone)]
pub struct Rebuild {
    region: RegionId,
    stream: Stream,
    /// Offset of the first kept record.
    start: Offset,
    /// Records from `start`, without gaps; `None` for one that is not an envelope.
    kept: Vec<Option<Envelope>>,
    parts: BTreeMap<Source, BTreeMap<u32, String>>,
    ready: Option<Registry>,
}

impl Rebuild {
    /// Returns a reader of a stream from an offset.
    #[must_use]
    pub fn new(region: impl Into<RegionId>, stream: Stream, start: Offset) -> Self {
        let region = region.into();
        Self {
            ready: (start == 0).then(|| Registry::new(region.clone())),
            region,
            stream,
            start,
            kept: Vec::new(),
            parts: BTreeMap::new(),
        }
    }

    /// Returns the stream that is read.
    #[must_use]
    pub const fn stream(&self) -> Stream {
        self.stream
    }

    /// Returns the first offset that has not been read.
    #[must_use]
    pub fn position(&self) -> Offset {
        match &self.ready {
            Some(registry) => registry.position(self.stream),
            None => self.start + self.kept.len() as Offset,
        }
    }

    /// Returns the rebuilt state, of which only this stream's half is meaningful.
    #[must_use]
    pub const fn ready(&self) -> Option<&Registry> {
        self.ready.as_ref()
    }

    /// Reads the record at an offset.
    ///
    /// # Errors
    ///
    /// [`Gap`] if records before it were left out.
    pub fn fold(&mut self, offset: Offset, record: &Envelope, now: Duration) -> Result<Fold, Gap> {
        if let Some(registry) = &mut self.ready {
            return registry.fold(self.stream, offset, record, now);
        }
        if !self.keep(offset, Some(record))? {
            return Ok(Fold::duplicate(record));
        }
        for event in &record.events {
            if let Event::SnapshotPart { id, part, of, text } = event {
                let source = (*id, record.writer.clone(), record.incarnation);
                let parts = self.parts.entry(source.clone()).or_default();
                parts.insert(*part, text.clone());
                if parts.len() == *of as usize {
                    self.complete(&source, now)?;
                }
            }
        }
        Ok(Fold::default())
    }

    /// Passes over a record that is not an [`Envelope`].
    ///
    /// # Errors
    ///
    /// [`Gap`] as for [`Rebuild::fold`].
    pub fn skip(&mut self, offset: Offset) -> Result<(), Gap> {
        match &mut self.ready {
            Some(registry) => registry.skip(self.stream, offset),
            None => self.keep(offset, None).map(|_| ()),
        }
    }

    pub(super) fn into_ready(self) -> Option<Registry> {
        self.ready
    }

    fn keep(&mut self, offset: Offset, record: Option<&Envelope>) -> Result<bool, Gap> {
        let expected = self.position();
        if offset > expected {
            return Err(Gap {
                stream: self.stream,
                expected,
                found: offset,
            });
        }
        if offset == expected {
            self.kept.push(record.cloned());
        }
        Ok(offset == expected)
    }

    /// Reads a snapshot of which all parts are there. One that can't be read, or that ends before
    /// the kept records begin, is passed over in favour of a later one.
    fn complete(&mut self, source: &Source, now: Duration) -> Result<(), Gap> {
        let parts = self.parts.remove(source).unwrap_or_default();
        let position = source.0 + 1;
        let text: String = parts.into_values().collect();
        let Some(mut registry) = self.read(&text, position, now) else {
            return Ok(());
        };
        if position < self.start || position > self.position() {
            return Ok(());
        }
        for (offset, record) in (self.start..).zip(self.kept.drain(..)) {
            match record {
                Some(record) => registry.fold(self.stream, offset, &record, now).map(|_| ()),
                None => registry.skip(self.stream, offset),
            }?;
        }
        self.parts.clear();
        self.ready = Some(registry);
        Ok(())
    }

    fn read(&self, text: &str, position: Offset, now: Duration) -> Option<Registry> {
        let mut registry = Registry::new(self.region.clone());
        let mut changes = Vec::<Change>::new();
        let writers = match self.stream {
            Stream::Config => {
                let read = snapshot::join(text).ok()?;
                registry.config = read.state;
                read.writers
            }
            Stream::Jobs => {
                let read = snapshot::join(text).ok()?;
                registry.jobs.differences(&read.state, &mut changes);
                registry.jobs = read.state;
                registry.claim_heard = now;
                read.writers
            }
        };
        registry.note_ages(&changes, now);
        registry.cursors[self.stream as usize] = Cursor::at(position, writers);
        Some(registry)
    }
}
