//! Rebuilds a stream's state for a reader that starts after older records have expired.

use super::cursor::Cursor;
use super::{Change, Fold, Gap, Registry, Stream, snapshot};
use crate::id::{Incarnation, Name, Offset, RegionId, Version};
use crate::record::{Envelope, Event};
use std::collections::BTreeMap;
use std::time::Duration;

/// Snapshot offset, writer and incarnation. Only parts with the same source form a snapshot.
type SnapshotSource = (Version, Name, Incarnation);

/// Folds one stream from the first retained record.
///
/// A rebuild from offset 0 is ready immediately. From a later offset it buffers records until it
/// has read one complete snapshot, then folds the records that follow the snapshot and is ready.
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
    /// Offset of the first buffered record.
    start: Offset,
    /// Records from `start`, without gaps; `None` for one that is not an envelope.
    buffered: Vec<Option<Envelope>>,
    parts: BTreeMap<SnapshotSource, BTreeMap<u32, String>>,
    ready: Option<Registry>,
}

impl Rebuild {
    /// Returns a rebuild that reads a stream from the offset `start`.
    #[must_use]
    pub fn new(region: impl Into<RegionId>, stream: Stream, start: Offset) -> Self {
        let region = region.into();
        Self {
            ready: (start == 0).then(|| Registry::new(region.clone())),
            region,
            stream,
            start,
            buffered: Vec::new(),
            parts: BTreeMap::new(),
        }
    }

    /// Returns the stream that is being rebuilt.
    #[must_use]
    pub const fn stream(&self) -> Stream {
        self.stream
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub fn position(&self) -> Offset {
        match &self.ready {
            Some(registry) => registry.position(self.stream),
            None => self.start + self.buffered.len() as Offset,
        }
    }

    /// Returns the rebuilt state once it is ready. Only the state of this stream is meaningful.
    #[must_use]
    pub const fn ready(&self) -> Option<&Registry> {
        self.ready.as_ref()
    }

    /// Reads the record at an offset.
    ///
    /// # Errors
    ///
    /// [`Gap`] if records before it are missing.
    pub fn fold(&mut self, offset: Offset, record: &Envelope, now: Duration) -> Result<Fold, Gap> {
        if let Some(registry) = &mut self.ready {
            return registry.fold(self.stream, offset, record, now);
        }
        if !self.buffer(offset, Some(record))? {
            return Ok(Fold::duplicate(record));
        }
        for event in &record.events {
            if let Event::SnapshotPart { id, part, of, text } = event {
                let source = (*id, record.writer.clone(), record.incarnation);
                let parts = self.parts.entry(source.clone()).or_default();
                parts.insert(*part, text.clone());
                if parts.len() == *of as usize {
                    self.finish_from_snapshot(&source, now)?;
                }
            }
        }
        Ok(Fold::default())
    }

    /// Skips a record that is not an [`Envelope`].
    ///
    /// # Errors
    ///
    /// [`Gap`] as for [`Rebuild::fold`].
    pub fn skip(&mut self, offset: Offset) -> Result<(), Gap> {
        match &mut self.ready {
            Some(registry) => registry.skip(self.stream, offset),
            None => self.buffer(offset, None).map(|_| ()),
        }
    }

    pub(super) fn into_ready(self) -> Option<Registry> {
        self.ready
    }

    fn buffer(&mut self, offset: Offset, record: Option<&Envelope>) -> Result<bool, Gap> {
        let expected = self.position();
        if offset > expected {
            return Err(Gap {
                stream: self.stream,
                expected,
                found: offset,
            });
        }
        if offset == expected {
            self.buffered.push(record.cloned());
        }
        Ok(offset == expected)
    }

    /// Restores the state from a complete snapshot. A snapshot that can't be parsed, or that ends
    /// before the first buffered record, is skipped in favour of a later one.
    fn finish_from_snapshot(&mut self, source: &SnapshotSource, now: Duration) -> Result<(), Gap> {
        let parts = self.parts.remove(source).unwrap_or_default();
        let position = source.0 + 1;
        let text: String = parts.into_values().collect();
        let Some(mut registry) = self.registry_from_snapshot(&text, position, now) else {
            return Ok(());
        };
        if position < self.start || position > self.position() {
            return Ok(());
        }
        for (offset, record) in (self.start..).zip(self.buffered.drain(..)) {
            match record {
                Some(record) => registry.fold(self.stream, offset, &record, now).map(|_| ()),
                None => registry.skip(self.stream, offset),
            }?;
        }
        self.parts.clear();
        self.ready = Some(registry);
        Ok(())
    }

    fn registry_from_snapshot(
        &self,
        text: &str,
        position: Offset,
        now: Duration,
    ) -> Option<Registry> {
        let mut registry = Registry::new(self.region.clone());
        let mut changes = Vec::<Change>::new();
        let writers = match self.stream {
            Stream::Config => {
                let snapshot = snapshot::parse(text).ok()?;
                registry.config = snapshot.state;
                snapshot.writers
            }
            Stream::Jobs => {
                let snapshot = snapshot::parse(text).ok()?;
                registry.jobs.differences(&snapshot.state, &mut changes);
                registry.jobs = snapshot.state;
                registry.claim_renewed_at = now;
                snapshot.writers
            }
        };
        registry.update_acceptance_times(&changes, now);
        registry.cursors[self.stream as usize] = Cursor::at(position, writers);
        Some(registry)
    }
}
