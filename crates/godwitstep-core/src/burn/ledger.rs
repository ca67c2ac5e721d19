//! Request counters of one or more entries, which can be merged.

use super::{BUCKET, Counts, RETENTION};
use crate::id::{EntryId, Incarnation, KindId, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

/// Result of a request with respect to its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Answered within the objective.
    OnTime,
    /// Answered after the objective.
    Late,
    /// Refused without a run.
    Refused,
    /// Ran and failed.
    Failed,
    /// Outcome unknown; the request may have run.
    Unknown,
}

/// Accounting data of one finished request.
#[derive(Debug, Clone, PartialEq)]
pub struct Observation {
    /// Workspace that the caller belongs to.
    pub workspace: WorkspaceId,
    /// Kind of work.
    pub kind: KindId,
    /// Result with respect to the objective.
    pub verdict: Verdict,
    /// Cost if the answer is late.
    pub refund: f64,
    /// Time in the queue of the entry, if the request was sent.
    pub queue: Option<Duration>,
    /// Time on links and in agents, if the request ran.
    pub link: Option<Duration>,
    /// Time at the target, if the request ran.
    pub run: Option<Duration>,
}

impl Observation {
    /// Returns an observation without a refund and without times of its steps.
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

    /// Sets the cost that applies if the answer is late.
    #[must_use]
    pub const fn refund(mut self, refund: f64) -> Self {
        self.refund = refund;
        self
    }

    /// Sets the times that the request spent in the queue, on links and at the target.
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

/// Counters by entry, incarnation of the entry, bucket, workspace and kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "Document", into = "Document")]
pub struct Ledger {
    entry: EntryId,
    incarnation: Incarnation,
    pub(super) cells: BTreeMap<CellKey, Counts>,
}

/// Key of a set of counters. Ordered by bucket first, so that the oldest come first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct CellKey {
    /// Wall-clock time at the start of the bucket, in units of [`BUCKET`] since the Unix epoch.
    pub bucket: u64,
    pub entry: EntryId,
    pub incarnation: Incarnation,
    pub workspace: WorkspaceId,
    pub kind: KindId,
}

/// Serialized form of a ledger: a list of pairs, because the keys of JSON objects must be strings.
#[derive(Clone, Serialize, Deserialize)]
struct Document {
    entry: EntryId,
    incarnation: Incarnation,
    cells: Vec<(CellKey, Counts)>,
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

/// Returns the number of the bucket that a time belongs to.
pub(super) fn bucket_of(at: SystemTime) -> u64 {
    let since = at.duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_secs() / BUCKET.as_secs()
}

impl Ledger {
    /// Returns an empty ledger for one incarnation of an entry.
    #[must_use]
    pub fn new(entry: impl Into<EntryId>, incarnation: Incarnation) -> Self {
        Self {
            entry: entry.into(),
            incarnation,
            cells: BTreeMap::new(),
        }
    }

    /// Counts a request that finished at the given time.
    pub fn record(&mut self, at: SystemTime, observation: &Observation) {
        self.trim(at);
        let key = CellKey {
            bucket: bucket_of(at),
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            workspace: observation.workspace.clone(),
            kind: observation.kind.clone(),
        };
        let counts = self.cells.entry(key).or_default();
        match observation.verdict {
            Verdict::OnTime => counts.on_time += 1,
            Verdict::Late => counts.late += 1,
            Verdict::Refused => counts.refused += 1,
            Verdict::Failed => counts.failed += 1,
            Verdict::Unknown => counts.unknown += 1,
        }
        counts.refund = counts.refund.max(observation.refund);
        for (histogram, time) in [
            (&mut counts.queue, observation.queue),
            (&mut counts.link, observation.link),
            (&mut counts.run, observation.run),
        ] {
            if let Some(time) = time {
                histogram.record(time);
            }
        }
    }

    /// Merges the counters of another ledger into this one.
    ///
    /// Merging is commutative and idempotent: counters of the same entry, incarnation and bucket
    /// are states of the same count, of which the greater is kept.
    pub fn merge(&mut self, other: &Self) {
        for (key, counts) in &other.cells {
            match self.cells.get_mut(key) {
                Some(existing) => existing.merge_state(counts),
                None => drop(self.cells.insert(key.clone(), counts.clone())),
            }
        }
    }

    /// Returns the counters in order of time, each with the start of its bucket, the workspace and
    /// the kind.
    pub fn buckets(&self) -> impl Iterator<Item = (SystemTime, &WorkspaceId, &KindId, &Counts)> {
        self.cells.iter().map(|(key, counts)| {
            let since = Duration::from_secs(key.bucket * BUCKET.as_secs());
            let start = SystemTime::UNIX_EPOCH + since;
            (start, &key.workspace, &key.kind, counts)
        })
    }

    /// Removes buckets that are older than [`RETENTION`].
    pub fn trim(&mut self, now: SystemTime) {
        let newest_expired = bucket_of(now).saturating_sub(RETENTION.as_secs() / BUCKET.as_secs());
        while let Some(oldest) = self.cells.first_entry()
            && oldest.key().bucket <= newest_expired
        {
            oldest.remove();
        }
    }
}
