//! What an entry knows of one stream of the log, besides the folded state.

use crate::log::{Tip, Writer};
use godwitstep_core::authority::{EVIDENCE_LIMIT, Evidence};
use godwitstep_core::id::Offset;
use godwitstep_core::registry::{Outcome, Rebuild};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Records that are kept for peers that can't read the log. At 12 records a second, the rate of
/// the two-year size with room to spare, they cover 5 minutes.
const MAX_RECENT: usize = 4_096;
/// Size of the kept records. Unit: bytes.
const MAX_RECENT_BYTES: usize = 2 * 1024 * 1024;
/// Outcomes of own records that are kept until their writer asks for them.
const MAX_OUTCOMES: usize = 4_096;

/// One stream as this entry sees it.
pub(crate) struct Stream {
    /// Name of the stream in the log.
    pub(crate) name: String,
    /// Appends to the stream.
    pub(crate) writer: Writer,
    /// Evidence from this entry's own reads.
    pub(crate) tip: Rc<Tip>,
    /// Tail that a peer passed on, and when it was true, on this entry's clock. Counts only once
    /// the position has reached it.
    passed: Cell<Option<(Offset, Duration)>>,
    /// Whether the folded state was complete up to a tail at least once.
    ready: Cell<bool>,
    /// State under reconstruction after records had expired before they were read.
    pub(crate) rebuild: RefCell<Option<Rebuild>>,
    /// The newest records, without gaps.
    recent: RefCell<Recent>,
    /// Effects of own records by their offset.
    outcomes: RefCell<BTreeMap<Offset, Vec<Outcome>>>,
    /// Those who wait for the position to advance.
    waiters: RefCell<Vec<smol::channel::Sender<()>>>,
}

#[derive(Default)]
struct Recent {
    records: VecDeque<(Offset, String)>,
    bytes: usize,
}

impl Stream {
    pub(super) fn new(name: String, writer: Writer, tip: Rc<Tip>) -> Self {
        Self {
            name,
            writer,
            tip,
            passed: Cell::new(None),
            ready: Cell::new(false),
            rebuild: RefCell::default(),
            recent: RefCell::default(),
            outcomes: RefCell::default(),
            waiters: RefCell::default(),
        }
    }

    /// Returns the newest evidence, read by this entry or passed on by a peer, that the folded
    /// state covers.
    pub(crate) fn evidence(&self, now: Duration, position: Offset) -> Option<Evidence> {
        let own = self.tip.evidence().filter(|own| own.tail <= position);
        let passed = self.passed.get().filter(|(tail, _)| *tail <= position);
        let passed = passed.map(|(tail, at)| Evidence {
            tail,
            age: now.saturating_sub(at),
        });
        own.into_iter()
            .chain(passed)
            .min_by_key(|evidence| evidence.age)
    }

    /// Notes a tail that a peer passed on.
    pub(super) fn pass(&self, tail: Offset, at: Duration) {
        if self.passed.get().is_none_or(|(_, known)| at > known) {
            self.passed.set(Some((tail, at)));
        }
    }

    /// Notes that the folded state covers a tail that is known to be recent.
    pub(super) fn judge_ready(&self, now: Duration, position: Offset) {
        let fresh = |evidence: Evidence| evidence.age <= EVIDENCE_LIMIT;
        if self.evidence(now, position).is_some_and(fresh) {
            self.set_ready(position);
        }
    }

    /// Notes that the folded state covers all that is known of the stream.
    pub(super) fn set_ready(&self, position: Offset) {
        if !self.ready.replace(true) {
            tracing::info!(stream = self.name, position, "folded up to the tail");
        }
    }

    pub(crate) const fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Keeps a record for peers.
    pub(super) fn keep(&self, offset: Offset, text: &str) {
        let mut recent = self.recent.borrow_mut();
        let next = recent.records.back().map(|(last, _)| last + 1);
        if next.is_some_and(|next| next != offset) {
            *recent = Recent::default();
        }
        recent.bytes += text.len();
        recent.records.push_back((offset, text.to_owned()));
        while recent.records.len() > MAX_RECENT || recent.bytes > MAX_RECENT_BYTES {
            let Some((_, text)) = recent.records.pop_front() else {
                break;
            };
            recent.bytes -= text.len();
        }
    }

    /// Returns kept records from an offset on, up to a total size, if none of them is missing.
    pub(super) fn recent(&self, from: Offset, bytes: usize) -> Option<Vec<(Offset, String)>> {
        let recent = self.recent.borrow();
        let first = recent.records.front()?.0;
        let skip = usize::try_from(from.checked_sub(first)?).ok()?;
        let mut left = bytes;
        let fits = |record: &&(Offset, String)| {
            let fits = record.1.len() <= left;
            left = left.saturating_sub(record.1.len());
            fits
        };
        let records = recent.records.iter().skip(skip);
        Some(records.take_while(fits).cloned().collect())
    }

    /// Keeps the effects of an own record.
    pub(super) fn note(&self, offset: Offset, effects: Vec<Outcome>) {
        let mut outcomes = self.outcomes.borrow_mut();
        outcomes.insert(offset, effects);
        if outcomes.len() > MAX_OUTCOMES {
            outcomes.pop_first();
        }
    }

    /// Returns the effects of `count` events of an own record, from the given index on.
    pub(crate) fn outcomes(
        &self,
        offset: Offset,
        index: usize,
        count: usize,
    ) -> Option<Vec<Outcome>> {
        let outcomes = self.outcomes.borrow();
        let effects = outcomes.get(&offset)?;
        effects.get(index..index + count).map(<[Outcome]>::to_vec)
    }

    /// Returns a receiver that is closed when the position next advances.
    pub(crate) fn subscribe(&self) -> smol::channel::Receiver<()> {
        let (sender, receiver) = smol::channel::bounded(1);
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(sender);
        receiver
    }

    /// Wakes those who wait for the position to advance.
    pub(super) fn wake(&self) {
        self.waiters.borrow_mut().clear();
    }
}
