//! State of a region folded from the log's two streams: declared resources, jobs and the claim.
//!
//! Every reader applies the same rules to the same records in offset order, so all readers agree
//! on which of two conflicting changes took effect. The folded state doesn't depend on a reader's
//! clock; only the ages of the claim and of jobs do.
//!
//! Each stream has a *position*: the first offset that is not yet folded. It never decreases and
//! serves as the version of a list: a watch from version `v` delivers the changes of all records at
//! offset `v` or later. The version of a single resource is the offset of its last change.
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
//! assert_eq!(fold.outcomes, [Outcome::Applied(0)]);
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

pub use change::{Change, Fold, Gap, Outcome, Relist, WatchEvent};
pub use config::DeclaredResource;
pub use jobs::{Claim, JobState, MAX_FINAL_JOBS};
pub use rebuild::Rebuild;
pub use snapshot::MAX_PART_BYTES;

use config::Config;
use cursor::Cursor;
use jobs::Jobs;

/// A stream of the log that the registry folds.
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
    /// Position, writers and watch history of each stream, indexed by [`Stream`].
    cursors: [Cursor; 2],
    /// Time at which this reader last folded a claim or a renewal, by its own clock.
    claim_renewed_at: Duration,
    /// Time at which this reader folded the acceptance of each job that is not final.
    accepted_at: BTreeMap<JobId, Duration>,
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
            claim_renewed_at: Duration::ZERO,
            accepted_at: BTreeMap::new(),
        }
    }

    /// Folds the record at an offset. Records before the position have no effect.
    ///
    /// # Errors
    ///
    /// [`Gap`] if the offset is beyond the position: records in between were lost, and continuing
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
            if let (Outcome::Applied(_), Event::Claim { .. } | Event::Renew { .. }) =
                (&outcome, event)
            {
                self.claim_renewed_at = now;
            }
            fold.outcomes.push(outcome);
        }
        self.update_acceptance_times(&fold.changes, now);
        self.cursor_mut(stream)
            .record_changes(offset, &fold.changes);
        Ok(fold)
    }

    /// Skips a record that is not an [`Envelope`].
    ///
    /// # Errors
    ///
    /// [`Gap`] as for [`Registry::fold`].
    pub fn skip(&mut self, stream: Stream, offset: Offset) -> Result<(), Gap> {
        self.cursor_mut(stream).advance(stream, offset).map(|_| ())
    }

    /// Returns the parts of a snapshot of one stream, or none if no record of it is folded.
    ///
    /// Each part is written in an envelope of its own. Readers at the same position produce the
    /// same parts.
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

    /// Replaces one stream's state with a rebuilt one and returns the differences.
    ///
    /// Watches of the stream from versions before the new position must list again.
    ///
    /// # Errors
    ///
    /// Returns the rebuilt state if it is not ready, belongs to another region or is behind this
    /// registry.
    pub fn adopt(&mut self, rebuild: Rebuild, now: Duration) -> Result<Vec<Change>, Box<Rebuild>> {
        let stream = rebuild.stream();
        let adoptable = rebuild.ready().is_some_and(|new| {
            new.region == self.region && new.position(stream) >= self.position(stream)
        });
        if !adoptable {
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
                self.claim_renewed_at = self.claim_renewed_at.max(new.claim_renewed_at);
            }
        }
        self.update_acceptance_times(&changes, now);
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

    /// Updates the acceptance times, which are stored only for jobs that are not final.
    fn update_acceptance_times(&mut self, changes: &[Change], now: Duration) {
        for change in changes {
            match change {
                Change::Job {
                    name,
                    state: Some(state),
                    ..
                } if !state.status.phase.is_final() => {
                    self.accepted_at.entry(name.clone()).or_insert(now);
                }
                Change::Job { name, .. } => {
                    self.accepted_at.remove(name);
                }
                _ => {}
            }
        }
    }
}
