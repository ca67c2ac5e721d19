//! Declared resources, jobs and the claim of a region, folded from the log's two streams.
//!
//! Every reader applies the same rules to the same records in offset order, so all readers agree
//! on which of two conflicting changes took effect. Nothing in the folded state depends on a
//! reader's clock; only the age of the claim and of jobs does.
//!
//! Each stream has a *position*: the first offset that is not folded. It never goes back, and it
//! is the version of a list: a watch from version `v` delivers the changes of the records at
//! offsets of at least `v`. The version of a single resource is the offset of its last change.
//!
//! ```
//! use godwitstep_core::record::{Envelope, Event, Expect, Spec};
//! use godwitstep_core::registry::{Outcome, Registry, Stream};
//! use godwitstep_core::resource::Domain;
//! use std::time::Duration;
//!
//! let mut registry = Registry::new("dk-vest");
//! let declare = Event::Declare {
//!     name: "dk-vest-a".into(),
//!     spec: Spec::Domain(Domain { region: "dk-vest".into(), in_service: true }),
//!     expect: Expect::Absent,
//! };
//! let record = Envelope::new("entry-1", 7, 1, vec![declare]);
//! let fold = registry.fold(Stream::Config, 0, &record, Duration::ZERO)?;
//! assert_eq!(fold.outcomes, [Outcome::Won(0)]);
//! assert_eq!(registry.position(Stream::Config), 1);
//! # Ok::<(), godwitstep_core::registry::Gap>(())
//! ```

use crate::id::{JobId, Offset, RegionId};
use crate::record::{Envelope, Event};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

mod change;
mod config;
mod cursor;
mod jobs;
mod rebuild;
mod snapshot;
mod view;
mod writers;

pub use change::{Change, Fold, Gap, Notice, Outcome, Relist};
pub use config::Item;
pub use jobs::{Claim, JobState, MAX_FINAL_JOBS};
pub use rebuild::Rebuild;
pub use snapshot::MAX_PART;

use config::Config;
use cursor::Cursor;
use jobs::Jobs;

/// One of the log's streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stream {
    /// Workspaces and failure domains of all regions.
    Config,
    /// Jobs and claims of one region.
    Jobs,
}

impl Stream {
    /// Returns the name of the stream in the log.
    #[must_use]
    pub fn name(self, region: &str) -> String {
        match self {
            Self::Config => "config".to_owned(),
            Self::Jobs => format!("jobs-{region}"),
        }
    }
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Config => "config",
            Self::Jobs => "jobs",
        })
    }
}

/// The folded state of both streams.
#[derive(Debug, Clone)]
pub struct Registry {
    region: RegionId,
    config: Config,
    jobs: Jobs,
    /// Positions and histories. A position never goes back.
    cursors: [Cursor; 2],
    /// When this reader last folded a claim or its renewal, by its own clock.
    claim_heard: Duration,
    /// When this reader folded the acceptance of each job that is not final.
    accepted: BTreeMap<JobId, Duration>,
}

impl Registry {
    /// Returns an empty registry that has folded nothing.
    #[must_use]
    pub fn new(region: impl Into<RegionId>) -> Self {
        Self {
            region: region.into(),
            config: Config::default(),
            jobs: Jobs::default(),
            cursors: [Cursor::default(), Cursor::default()],
            claim_heard: Duration::ZERO,
            accepted: BTreeMap::new(),
        }
    }

    /// Folds the record at an offset. A record before the position has no effect.
    ///
    /// # Errors
    ///
    /// [`Gap`] if the offset is beyond the position: records in between were lost, and folding on
    /// would make this reader disagree with others. The registry is unchanged.
    pub fn fold(
        &mut self,
        stream: Stream,
        offset: Offset,
        record: &Envelope,
        now: Duration,
    ) -> Result<Fold, Gap> {
        let cursor = self.cursor_mut(stream);
        if !cursor.advance(stream, offset)? || !cursor.writers.admit(record, offset) {
            return Ok(Fold::duplicate(record));
        }
        let mut fold = Fold::default();
        for event in &record.events {
            let outcome = match stream {
                Stream::Config => self.config.apply(offset, event, &mut fold.changes),
                Stream::Jobs => self
                    .jobs
                    .apply(&self.region, offset, event, &mut fold.changes),
            };
            if let (Outcome::Won(_), Event::Claim { .. } | Event::Renew { .. }) = (&outcome, event)
            {
                self.claim_heard = now;
            }
            fold.outcomes.push(outcome);
        }
        self.note_ages(&fold.changes, now);
        self.cursor_mut(stream).remember(offset, &fold.changes);
        Ok(fold)
    }

    /// Passes over a record that is not an [`Envelope`].
    ///
    /// # Errors
    ///
    /// [`Gap`] as for [`Registry::fold`].
    pub fn skip(&mut self, stream: Stream, offset: Offset) -> Result<(), Gap> {
        self.cursor_mut(stream).advance(stream, offset).map(|_| ())
    }

    /// Returns the parts of a snapshot of one stream; none if nothing of it is folded.
    ///
    /// Each part goes into an envelope of its own. Readers with the same position produce the same
    /// parts.
    #[must_use]
    pub fn snapshot(&self, stream: Stream) -> Vec<Event> {
        let Some(id) = self.newest(stream) else {
            return Vec::new();
        };
        let writers = &self.cursors[stream as usize].writers;
        match stream {
            Stream::Config => snapshot::split(id, &self.config, writers),
            Stream::Jobs => snapshot::split(id, &self.jobs, writers),
        }
    }

    /// Replaces one stream's state by a rebuilt one and returns what differs.
    ///
    /// Watches of the stream from versions before the new position must list again.
    ///
    /// # Errors
    ///
    /// Returns the rebuilt state if it is not ready, is of another region or is behind this
    /// registry.
    pub fn adopt(&mut self, rebuild: Rebuild, now: Duration) -> Result<Vec<Change>, Box<Rebuild>> {
        let stream = rebuild.stream();
        let fits = rebuild.ready().is_some_and(|new| {
            new.region == self.region && new.position(stream) >= self.position(stream)
        });
        if !fits {
            return Err(Box::new(rebuild));
        }
        let Some(new) = rebuild.into_ready() else {
            return Ok(Vec::new());
        };
        let mut changes = Vec::new();
        match stream {
            Stream::Config => {
                self.config.differences(&new.config, &mut changes);
                self.config = new.config;
            }
            Stream::Jobs => {
                self.jobs.differences(&new.jobs, &mut changes);
                self.jobs = new.jobs;
                self.claim_heard = self.claim_heard.max(new.claim_heard);
            }
        }
        self.note_ages(&changes, now);
        let [config, jobs] = new.cursors;
        *self.cursor_mut(stream) = match stream {
            Stream::Config => config.without_history(),
            Stream::Jobs => jobs.without_history(),
        };
        Ok(changes)
    }

    fn cursor_mut(&mut self, stream: Stream) -> &mut Cursor {
        &mut self.cursors[stream as usize]
    }

    /// Keeps the time of acceptance of exactly the jobs that are not final.
    fn note_ages(&mut self, changes: &[Change], now: Duration) {
        for change in changes {
            match change {
                Change::Job {
                    name,
                    state: Some(state),
                    ..
                } if !state.status.phase.is_final() => {
                    self.accepted.entry(name.clone()).or_insert(now);
                }
                Change::Job { name, .. } => {
                    self.accepted.remove(name);
                }
                _ => {}
            }
        }
    }
}
