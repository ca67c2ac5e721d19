//! Submissions to which a cancellation applies that their entry did not know when it received them.
//!
//! A cancellation of an unknown job is answered with 'no such job', so submissions that were under way then must not run.
//! Before an entry accepts a submission, it therefore has to know all records before it. The decider, which appends nearly
//! all of them, does; an entry that appends itself reads the records in between, if there are any.

use super::Entry;
use super::writer::BarredKeys;
use crate::batch::log::{Item, Log, Page, ReadError, Stream};
use godwitstep_batch::id::{JobId, Offset};
use godwitstep_batch::job::Job;
use godwitstep_batch::ledger::Standing;
use godwitstep_batch::record::{Record, submitted_key};
use smol::Timer;
use smol::future::FutureExt;
use std::time::Duration;

/// Time after which the answer to a repeated submission no longer waits for a read of the log.
const REPEAT_READ_TIMEOUT: Duration = Duration::from_millis(400);

/// How the ledger reflects a caller's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Seen {
    /// The record counts.
    Valid,
    /// A cancellation applies to the submission that its entry did not know.
    Barred,
}

/// Part of the log that an entry has not applied yet.
pub(super) struct Unread {
    /// Offset of the first record.
    from: Offset,
    page: Page,
}

impl Unread {
    /// Returns whether it holds a record of a key; deletions don't count.
    pub fn holds(&self, key: &str) -> bool {
        let mut items = self.page.items.iter().flatten();
        items.any(|item| item.key == key && !item.value.is_empty())
    }

    /// Returns the offset after its last record.
    fn end(&self) -> Offset {
        self.from + self.page.items.len() as Offset
    }

    /// Returns whether it reaches the end of the log.
    pub fn is_complete(&self) -> bool {
        self.end() >= self.page.end
    }

    /// Returns the callers' records from an offset on, and the removals of their jobs, with their offsets.
    fn callers_records(&self, start: Offset) -> impl Iterator<Item = (Offset, Record)> {
        let items = (self.from..).zip(&self.page.items);
        items.filter_map(move |(offset, item)| {
            let item = item.as_ref().filter(|_| offset >= start)?;
            let record = Record::decode(&item.key, &item.value).ok()??;
            let concerns_callers = matches!(
                record,
                Record::Submitted(_) | Record::Cancelled { .. } | Record::Dropped { .. }
            );
            concerns_callers.then_some((offset, record))
        })
    }
}

/// Returns the keys of stored submissions that `is_barred` excludes.
pub(super) fn barred_keys<'a>(
    stored: impl Iterator<Item = (Offset, &'a Item)>,
    is_barred: impl Fn(JobId, Offset) -> bool,
) -> BarredKeys {
    let barred = stored.filter(|(offset, item)| {
        let record = Record::decode(&item.key, &item.value);
        matches!(record, Ok(Some(Record::Submitted(job))) if is_barred(job.id, *offset))
    });
    barred.map(|(_, item)| item.key.clone()).collect()
}

impl<L: Log> Entry<L> {
    /// Reads the part of the log that the ledger does not include yet, and applies the callers' records in it. Returns `None`
    /// if that fails.
    pub(super) async fn read_unread(&self) -> Option<Unread> {
        let from = self.state.borrow().records_end;
        let page = match self.log.read(Stream::Records, from, Duration::ZERO).await {
            Ok(page) => page,
            // The partition is still empty.
            Err(ReadError::Expired { start: 0 }) => Page {
                items: Vec::new(),
                end: 0,
            },
            Err(_) => self.read_from_peer(Stream::Records, from).await?,
        };
        let unread = Unread { from, page };
        let mut state = self.state.borrow_mut();
        let start = state.known_end;
        for (offset, record) in unread.callers_records(start) {
            state.ledger.apply(offset, record);
        }
        state.known_end = start.max(unread.end());
        drop(state);
        Some(unread)
    }

    /// Returns the barred submissions among records that this entry has appended and that end at offset `end`. Returns
    /// `None` if the records before them can't be read.
    pub(super) async fn barred_before(&self, items: &[Item], end: Offset) -> Option<BarredKeys> {
        let submitted = |item: &Item| {
            let record = Record::decode(&item.key, &item.value);
            matches!(record, Ok(Some(Record::Submitted(_))))
        };
        if !items.iter().any(submitted) {
            return Some(BarredKeys::new());
        }
        let first = end.saturating_sub(items.len() as Offset);
        if first > self.known_end() {
            self.read_unread().await?;
        }
        let mut state = self.state.borrow_mut();
        if first > state.known_end {
            return None;
        }
        // Earlier ones were applied, and their jobs may have been removed since.
        let known_end = state.known_end;
        for (offset, item) in (first..)
            .zip(items)
            .filter(|(offset, _)| *offset >= known_end)
        {
            if let Ok(Some(record)) = Record::decode(&item.key, &item.value) {
                state.ledger.apply(offset, record);
            }
        }
        state.known_end = known_end.max(end);
        let is_barred = |job, offset| state.ledger.is_barred(job, offset);
        Some(barred_keys((first..).zip(items), is_barred))
    }

    /// Returns how the ledger reflects a submission that may be stored; `None` if it does not yet, or records before it are
    /// unread.
    pub(super) fn seen_submission(&self, job: &Job) -> Option<Seen> {
        let state = self.state.borrow();
        let stored = state.ledger.job(job.id)?;
        if stored.submitted >= state.known_end {
            return None;
        }
        // Two requests that an entry receives on the same view are told apart by their times.
        let same = stored.job.known == job.known && stored.job.accepted == job.accepted;
        match state.ledger.standing(job.id, job.known) {
            Standing::New => None,
            Standing::Accepted => Some(Seen::Valid),
            Standing::CancelledLater if same => Some(Seen::Valid),
            Standing::CancelledLater | Standing::Barred => Some(Seen::Barred),
        }
    }

    /// Returns what is known of the identifier of a submission that this entry receives after it has read the log up to
    /// `known`. A known job may have been cancelled meanwhile, so the unread part of the log is read first, unless
    /// the log does not answer within `time_limit`: then the job counts as the entry knows it.
    pub(super) async fn standing(
        &self,
        id: JobId,
        known: Offset,
        time_limit: Duration,
    ) -> Standing {
        let standing = self.state.borrow().ledger.standing(id, known);
        if standing != Standing::Accepted || self.log_is_failing() {
            return standing;
        }
        let timeout = async {
            Timer::after(time_limit.min(REPEAT_READ_TIMEOUT)).await;
            None
        };
        self.read_unread().or(timeout).await;
        match self.state.borrow().ledger.standing(id, known) {
            Standing::Accepted => Standing::Accepted,
            // It was cancelled or dropped while this entry did not know.
            Standing::New | Standing::CancelledLater | Standing::Barred => Standing::Barred,
        }
    }

    /// Returns whether the part of the log that the ledger does not include yet holds the submission of a job. Returns
    /// `None` if it could not be read up to its end.
    pub(super) async fn is_submitted(&self, id: JobId) -> Option<bool> {
        let unread = self.read_unread().await?;
        let submitted = unread.holds(&submitted_key(id));
        (submitted || unread.is_complete()).then_some(submitted)
    }
}
