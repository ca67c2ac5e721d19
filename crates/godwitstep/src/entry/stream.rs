//! State that an entry holds for one stream of the log, besides the folded registry.

use crate::log::{ObservedTail, Writer};
use godwitstep_core::authority::{EVIDENCE_LIMIT, Evidence};
use godwitstep_core::id::Offset;
use godwitstep_core::registry::{Outcome, Rebuild};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of records buffered for peers that cannot read the log. They cover 5 minutes at
/// 12 records a second, which is the rate at the two-year size plus headroom.
const MAX_RECENT_RECORDS: usize = 4_096;
/// Maximum total size of the buffered records, in bytes.
const MAX_RECENT_BYTES: usize = 2 * 1024 * 1024;
/// Maximum number of own records whose outcomes are kept until the task that appended them reads
/// them.
const MAX_OUTCOMES: usize = 4_096;

/// One stream of the log: its writer, the evidence of its tail and its recent records.
pub(crate) struct Stream {
    /// Name of the stream in the log.
    pub(crate) name: String,
    /// Appends records to the stream.
    pub(crate) writer: Writer,
    /// Evidence from this entry's own reads.
    pub(crate) observed_tail: Rc<ObservedTail>,
    /// Newest tail reported by a peer, and when it was valid, on this entry's clock. Counts as
    /// evidence only once the folded position has reached it.
    peer_evidence: Cell<Option<(Offset, Duration)>>,
    /// Whether the folded state has covered a recent tail at least once since the start.
    ready: Cell<bool>,
    /// State that is being rebuilt because records were trimmed before they were read.
    pub(crate) rebuild: RefCell<Option<Rebuild>>,
    /// Newest records, at consecutive offsets.
    recent: RefCell<Recent>,
    /// Outcomes of the events of own records, by offset.
    outcomes: RefCell<BTreeMap<Offset, Vec<Outcome>>>,
    /// Channels of the tasks that wait for the position to advance, which closes them.
    waiters: RefCell<Vec<smol::channel::Sender<()>>>,
}

#[derive(Default)]
struct Recent {
    records: VecDeque<(Offset, String)>,
    bytes: usize,
}

impl Stream {
    pub(super) fn new(name: String, writer: Writer, observed_tail: Rc<ObservedTail>) -> Self {
        Self {
            name,
            writer,
            observed_tail,
            peer_evidence: Cell::new(None),
            ready: Cell::new(false),
            rebuild: RefCell::default(),
            recent: RefCell::default(),
            outcomes: RefCell::default(),
            waiters: RefCell::default(),
        }
    }

    /// Returns the newest evidence, from own reads or from a peer, whose tail the folded state
    /// covers.
    pub(crate) fn evidence(&self, now: Duration, position: Offset) -> Option<Evidence> {
        let own = self
            .observed_tail
            .evidence()
            .filter(|own| own.tail <= position);
        let from_peer = self
            .peer_evidence
            .get()
            .filter(|(tail, _)| *tail <= position);
        let from_peer = from_peer.map(|(tail, at)| Evidence {
            tail,
            age: now.saturating_sub(at),
        });
        own.into_iter()
            .chain(from_peer)
            .min_by_key(|evidence| evidence.age)
    }

    /// Stores a tail reported by a peer, if it is newer than the stored one.
    pub(super) fn set_peer_evidence(&self, tail: Offset, at: Duration) {
        if self.peer_evidence.get().is_none_or(|(_, known)| at > known) {
            self.peer_evidence.set(Some((tail, at)));
        }
    }

    /// Marks the stream as ready if the folded state covers a tail that is recent enough.
    pub(super) fn update_ready(&self, now: Duration, position: Offset) {
        let fresh = |evidence: Evidence| evidence.age <= EVIDENCE_LIMIT;
        if self.evidence(now, position).is_some_and(fresh) {
            self.set_ready(position);
        }
    }

    /// Marks the stream as ready: the folded state covers everything known of the stream.
    pub(super) fn set_ready(&self, position: Offset) {
        if !self.ready.replace(true) {
            tracing::info!(stream = self.name, position, "stream folded up to its tail");
        }
    }

    pub(crate) const fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Buffers a record for peers. A gap in the offsets clears the buffer first.
    pub(super) fn push_recent(&self, offset: Offset, text: &str) {
        let mut recent = self.recent.borrow_mut();
        let next = recent.records.back().map(|(last, _)| last + 1);
        if next.is_some_and(|next| next != offset) {
            *recent = Recent::default();
        }
        recent.bytes += text.len();
        recent.records.push_back((offset, text.to_owned()));
        while recent.records.len() > MAX_RECENT_RECORDS || recent.bytes > MAX_RECENT_BYTES {
            let Some((_, text)) = recent.records.pop_front() else {
                break;
            };
            recent.bytes -= text.len();
        }
    }

    /// Returns buffered records from an offset on, up to a total size in bytes; `None` if the
    /// buffer does not reach back to the offset.
    pub(super) fn recent(&self, from: Offset, bytes: usize) -> Option<Vec<(Offset, String)>> {
        let recent = self.recent.borrow();
        let first = recent.records.front()?.0;
        let skip = usize::try_from(from.checked_sub(first)?).ok()?;
        let mut remaining = bytes;
        let fits = |record: &&(Offset, String)| {
            let fits = record.1.len() <= remaining;
            remaining = remaining.saturating_sub(record.1.len());
            fits
        };
        let records = recent.records.iter().skip(skip);
        Some(records.take_while(fits).cloned().collect())
    }

    /// Stores the outcomes of an own record, and drops the oldest ones beyond [`MAX_OUTCOMES`].
    pub(super) fn store_outcomes(&self, offset: Offset, record_outcomes: Vec<Outcome>) {
        let mut outcomes = self.outcomes.borrow_mut();
        outcomes.insert(offset, record_outcomes);
        if outcomes.len() > MAX_OUTCOMES {
            outcomes.pop_first();
        }
    }

    /// Returns the outcomes of `count` events of an own record, starting at event `index`.
    pub(crate) fn outcomes(
        &self,
        offset: Offset,
        index: usize,
        count: usize,
    ) -> Option<Vec<Outcome>> {
        let outcomes = self.outcomes.borrow();
        let record_outcomes = outcomes.get(&offset)?;
        record_outcomes
            .get(index..index + count)
            .map(<[Outcome]>::to_vec)
    }

    /// Returns a receiver that is closed when the position next advances.
    pub(crate) fn subscribe(&self) -> smol::channel::Receiver<()> {
        let (sender, receiver) = smol::channel::bounded(1);
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(sender);
        receiver
    }

    /// Wakes all tasks that wait for the position to advance.
    pub(super) fn notify_waiters(&self) {
        self.waiters.borrow_mut().clear();
    }
}
