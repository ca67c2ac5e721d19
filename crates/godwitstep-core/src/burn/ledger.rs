//! The counters of one or more entries.

use super::{BUCKET, Counts, KEPT};
use crate::id::{EntryId, Incarnation, KindId, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

/// What became of a request, seen against its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Answered within the objective.
    OnTime,
    /// Answered after the objective.
    Late,
    /// Not run.
    Refused,
    /// Ran and failed.
    Failed,
    /// May have run.
    Unknown,
}

/// One request that was answered.
#[derive(Debug, Clone, PartialEq)]
pub struct Observation {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Kind of work.
    pub kind: KindId,
    /// What became of it.
    pub verdict: Verdict,
    /// Cost of a late answer.
    pub refund: f64,
    /// Time in the queue of the entry, if it was sent.
    pub queue: Option<Duration>,
    /// Time on links and in agents, if it ran.
    pub link: Option<Duration>,
    /// Time at the target, if it ran.
    pub run: Option<Duration>,
}

impl Observation {
    /// Returns an observation without cost and step times.
    #[must_use]
    pub fn new(
        workspace: impl Into<WorkspaceId>,
        kind: impl Into<KindId>,
        verdict: Verdict,
    ) -> Self {
        Self {
            workspace: workspace.into(),
            kind: kind.into(),
            verdict,
            refund: 0.0,
            queue: None,
            link: None,
            run: None,
        }
    }

    /// Sets the cost of a late answer.
    #[must_use]
    pub const fn refund(mut self, refund: f64) -> Self {
        self.refund = refund;
        self
    }

    /// Sets the times of the steps that the request went through.
    #[must_use]
    pub const fn steps(
        mut self,
        queue: Option<Duration>,
        link: Option<Duration>,
        run: Option<Duration>,
    ) -> Self {
        self.queue = queue;
        self.link = link;
        self.run = run;
        self
    }
}

/// Counters by entry, life of the entry, bucket, workspace and kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "Document", into = "Document")]
pub struct Ledger {
    entry: EntryId,
    incarnation: Incarnation,
    pub(super) cells: BTreeMap<Place, Counts>,
}

/// Where a set of counters belongs. Ordered by bucket first, so that old ones are at the front.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct Place {
    /// Wall clock at the start of the bucket, in units of [`BUCKET`].
    pub bucket: u64,
    pub entry: EntryId,
    pub incarnation: Incarnation,
    pub workspace: WorkspaceId,
    pub kind: KindId,
}

/// Form in which a ledger is written: JSON has no keys that are not strings.
#[derive(Clone, Serialize, Deserialize)]
struct Document {
    entry: EntryId,
    incarnation: Incarnation,
    cells: Vec<(Place, Counts)>,
}

impl From<Document> for Ledger {
    fn from(document: Document) -> Self {
        Self {
            entry: document.entry,
            incarnation: document.incarnation,
            cells: document.cells.into_iter().collect(),
        }
    }
}

impl From<Ledger> for Document {
    fn from(ledger: Ledger) -> Self {
        Self {
            entry: ledger.entry,
            incarnation: ledger.incarnation,
            cells: ledger.cells.into_iter().collect(),
        }
    }
}

/// Returns the number of the bucket of a time.
pub(super) fn bucket(at: SystemTime) -> u64 {
    let since = at.duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_secs() / BUCKET.as_secs()
}

impl Ledger {
    /// Returns the empty ledger of one life of an entry.
    #[must_use]
    pub fn new(entry: impl Into<EntryId>, incarnation: Incarnation) -> Self {
        Self {
            entry: entry.into(),
            incarnation,
            cells: BTreeMap::new(),
        }
    }

    /// Counts a request that was answered at the given time.
    pub fn record(&mut self, at: SystemTime, observation: &Observation) {
        self.trim(at);
        let place = Place {
            bucket: bucket(at),
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            workspace: observation.workspace.clone(),
            kind: observation.kind.clone(),
        };
        let counts = self.cells.entry(place).or_default();
        match observation.verdict {
            Verdict::OnTime => counts.on_time += 1,
            Verdict::Late => counts.late += 1,
            Verdict::Refused => counts.refused += 1,
            Verdict::Failed => counts.failed += 1,
            Verdict::Unknown => counts.unknown += 1,
        }
        counts.refund = counts.refund.max(observation.refund);
        for (times, time) in [
            (&mut counts.queue, observation.queue),
            (&mut counts.link, observation.link),
            (&mut counts.run, observation.run),
        ] {
            if let Some(time) = time {
                times.record(time);
            }
        }
    }

    /// Takes in the counters of another ledger.
    ///
    /// Merging is commutative and idempotent: counters of the same entry, life and bucket are
    /// states of one count, of which the greater is kept.
    pub fn merge(&mut self, other: &Self) {
        for (place, counts) in &other.cells {
            match self.cells.get_mut(place) {
                Some(own) => own.join(counts),
                None => drop(self.cells.insert(place.clone(), counts.clone())),
            }
        }
    }

    /// Returns the counters in order of time, with the start of their bucket, the workspace and the
    /// kind.
    pub fn buckets(&self) -> impl Iterator<Item = (SystemTime, &WorkspaceId, &KindId, &Counts)> {
        self.cells.iter().map(|(place, counts)| {
            let since = Duration::from_secs(place.bucket * BUCKET.as_secs());
            let start = SystemTime::UNIX_EPOCH + since;
            (start, &place.workspace, &place.kind, counts)
        })
    }

    /// Drops buckets that are older than [`KEPT`].
    pub fn trim(&mut self, now: SystemTime) {
        let first = bucket(now).saturating_sub(KEPT.as_secs() / BUCKET.as_secs());
        while let Some(oldest) = self.cells.first_entry()
            && oldest.key().bucket <= first
        {
            oldest.remove();
        }
    }
}
