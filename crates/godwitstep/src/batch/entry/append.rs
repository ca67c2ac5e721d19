//! Appends of the decider: the records of a round, after those that other entries relay.
//!
//! The log limits the size of a record and of an append. A record that is too long is stored in fragments, and a round
//! that is too long in several appends. What belongs to one record is always stored together. If the decider is replaced
//! between two appends of a round, its successor goes on from those that are stored: each record holds for itself, as a
//! run's end is a fact and a placement is made only on capacity that is free by then.
//!
//! An append that the log never accepts is not repeated. Its parts are appended one by one, so that one of them does not
//! hold up the others.

use super::Entry;
use super::decide::StepDownReason;
use super::relay::{Outcome, RelayBatch};
use crate::batch::log::{AppendError, Fence, Item, Log};
use bytes::Bytes;
use godwitstep_batch::fragment::{self, Assembler};
use godwitstep_batch::id::{Epoch, Offset};
use godwitstep_batch::record::{Record, cancelled_key, submitted_key};
use smol::Timer;
use smol::future::FutureExt;
use std::collections::VecDeque;
use std::time::Duration;

/// Size from which on the records of a round are appended in several parts, so that a slow link transmits each of them
/// within the timeout of an append: 10 Mbit/s take 420 ms. Unit: bytes.
const TARGET_BYTES: usize = 512 * 1024;
/// Duration of an append from which on it is logged: until then agents get orders from before its decisions.
const SLOW_APPEND: Duration = Duration::from_millis(100);
/// Delay before a failed append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A record of the decider and the items that are stored with it.
struct Group {
    record: Record,
    items: Vec<Item>,
    /// Index of the item at whose offset a reader applies the record.
    position: usize,
}

impl Group {
    /// Returns the items of a record of at most `limit` bytes each. Fragments of the record before it are deleted; a
    /// dropped job also deletes its submission and cancellation.
    fn new(record: Record, assembler: &Assembler, limit: usize) -> Self {
        let encoded = fragment::encode(&record, limit);
        let key = record.key();
        let stored = encoded.len();
        let obsolete = assembler.leftover(&key, stored);
        let mut deleted: Vec<String> = obsolete
            .map(|index| fragment::item_key(&key, index))
            .collect();
        if let Record::Dropped { job } = record {
            deleted.extend([submitted_key(job), cancelled_key(job)]);
        }
        let deletions = deleted.into_iter().map(|key| (key, Bytes::new()));
        let items = encoded.into_iter().chain(deletions);
        Self {
            record,
            items: items.map(|(key, value)| Item { key, value }).collect(),
            position: stored - 1,
        }
    }

    fn size(&self) -> usize {
        self.items.iter().map(Item::size).sum()
    }
}

/// Records that one append stores.
#[derive(Default)]
struct Call {
    relayed: RelayBatch,
    groups: Vec<Group>,
}

impl Call {
    fn is_empty(&self) -> bool {
        self.relayed.is_empty() && self.groups.is_empty()
    }

    fn items(&self) -> Vec<Item> {
        let own = self.groups.iter().flat_map(|group| &group.items);
        self.relayed.items().chain(own).cloned().collect()
    }

    /// Returns the parts that can be appended on their own: the relayed records together, and each of the decider's.
    fn split(self) -> Vec<Self> {
        let relayed = Self {
            relayed: self.relayed,
            groups: Vec::new(),
        };
        let own = self.groups.into_iter().map(|group| Self {
            groups: vec![group],
            ..Self::default()
        });
        let parts = std::iter::once(relayed).chain(own);
        parts.filter(|part| !part.is_empty()).collect()
    }
}

/// Distributes records over appends of at most `limit` bytes, or of one record that is longer.
fn pack(relayed: RelayBatch, groups: Vec<Group>, limit: usize) -> VecDeque<Call> {
    let mut calls = VecDeque::new();
    let mut size: usize = relayed.items().map(Item::size).sum();
    let mut call = Call {
        relayed,
        groups: Vec::new(),
    };
    for group in groups {
        let added = group.size();
        if size > 0 && size + added > limit {
            calls.push_back(std::mem::take(&mut call));
            size = 0;
        }
        size += added;
        call.groups.push(group);
    }
    if !call.is_empty() {
        calls.push_back(call);
    }
    calls
}

impl<L: Log> Entry<L> {
    /// Appends relayed records of callers followed by the decider's own, and applies them to the ledger. Hands the role
    /// over if the log does not answer. `decides_since` is the time at which this entry became the decider.
    pub(super) async fn append_round(
        &self,
        epoch: Epoch,
        decides_since: Duration,
        records: Vec<Record>,
        relayed: RelayBatch,
    ) -> Result<(), StepDownReason> {
        let sizes = self.settings.sizes;
        let groups = {
            let state = self.state.borrow();
            let group = |record| Group::new(record, &state.assembler, sizes.record_bytes);
            records.into_iter().map(group).collect()
        };
        let mut calls = pack(relayed, groups, TARGET_BYTES.min(sizes.append_bytes));
        if calls.len() > 1 {
            tracing::info!(
                epoch,
                appends = calls.len(),
                "round is stored in several appends"
            );
        }
        while let Some(call) = calls.pop_front() {
            let handing_over = async {
                let tenure = self.clock.now().saturating_sub(decides_since);
                self.hand_over(epoch, tenure).await;
                Err(StepDownReason::HandedOver)
            };
            let parts = self.append_call(epoch, call).or(handing_over).await?;
            for part in parts.into_iter().rev() {
                calls.push_front(part);
            }
        }
        Ok(())
    }

    /// Appends the records of one call and applies them. Returns the parts that remain to be appended one by one if the
    /// log does not accept them together.
    async fn append_call(&self, epoch: Epoch, mut call: Call) -> Result<Vec<Call>, StepDownReason> {
        let mut items = call.items();
        let sequence = self.next_sequence();
        let started_at = self.clock.now();
        let mut failing = false;
        // When the first attempt was sent that was not answered. The log may answer a repeated append as the first time
        // even after another entry has claimed the role, so the answer renews the claim from then only.
        let mut unanswered_since: Option<Duration> = None;
        loop {
            let sent = self.clock.now();
            let fence = Fence { epoch, sequence };
            match self.log.append(&items, Some(fence)).await {
                Ok(end) => {
                    if let Some(decider) = &mut self.state.borrow_mut().decider {
                        decider.renewed_at = unanswered_since.unwrap_or(sent);
                        decider.last_append_refused = false;
                    }
                    self.log_append(epoch, sequence, started_at, &call, &items);
                    self.apply_call(end.saturating_sub(items.len() as Offset), call);
                    return Ok(Vec::new());
                }
                Err(AppendError::Fenced) => return Err(StepDownReason::Fenced),
                Err(AppendError::Sequence(reason)) => {
                    tracing::warn!(epoch, sequence, reason, "the log expects another append");
                    return Err(StepDownReason::LogUnavailable);
                }
                Err(AppendError::Invalid(reason)) => {
                    self.reuse_sequence(sequence);
                    return Ok(split_rejected(epoch, &reason, call));
                }
                Err(error @ (AppendError::Refused(_) | AppendError::Unanswered(_))) => {
                    if !failing {
                        tracing::warn!(epoch, sequence, %error, "appending decisions to the log failed; retrying");
                    }
                    failing = true;
                    metrics::counter!("godwitstep_log_append_failures_total").increment(1);
                    if matches!(error, AppendError::Refused(_)) && unanswered_since.is_none() {
                        // Nothing is stored, so the entries may append the callers' records themselves.
                        self.reject_relayed(&std::mem::take(&mut call.relayed));
                        if call.is_empty() {
                            self.reuse_sequence(sequence);
                            return Ok(Vec::new());
                        }
                        items = call.items();
                    } else {
                        unanswered_since.get_or_insert(sent);
                    }
                    Timer::after(RETRY_DELAY).await;
                }
            }
            if self.state.borrow().ledger.epoch() > epoch {
                return Err(StepDownReason::Fenced);
            }
        }
    }

    /// Rejects callers' records that the log refused, along with all queued ones, and accepts none until the
    /// log stores an append again.
    fn reject_relayed(&self, relayed: &RelayBatch) {
        if let Some(decider) = &mut self.state.borrow_mut().decider {
            decider.last_append_refused = true;
        }
        relayed.report(Outcome::NotTaken);
        self.relay_queue.reject_all();
    }

    /// Applies records right after the append that begins at offset `first`, before they are read back. Records that
    /// other processes wrote before them may still be unread; these are only new jobs and cancellations, and no
    /// decision depends on applying those first.
    fn apply_call(&self, first: Offset, call: Call) {
        self.apply_relayed(first, &call.relayed);
        let mut offset = first + call.relayed.items().count() as Offset;
        let mut state = self.state.borrow_mut();
        for group in call.groups {
            let stored = group.position + 1;
            state.assembler.deleted(&group.record.key(), stored);
            let applied = offset + group.position as Offset;
            offset += group.items.len() as Offset;
            if let (Record::Expectations(_), Some(decider)) = (&group.record, &mut state.decider) {
                decider.planner.expectations_stored();
            }
            state.ledger.apply(applied, group.record);
        }
    }

    fn log_append(
        &self,
        epoch: Epoch,
        sequence: u64,
        started_at: Duration,
        call: &Call,
        items: &[Item],
    ) {
        let elapsed = self.clock.now().saturating_sub(started_at);
        let size: usize = items.iter().map(Item::size).sum();
        metrics::histogram!("godwitstep_decision_append_seconds").record(elapsed);
        #[allow(clippy::cast_precision_loss)] // Appends are far smaller than 2^53 bytes.
        metrics::histogram!("godwitstep_decision_append_bytes").record(size as f64);
        if !call.groups.is_empty() && elapsed > SLOW_APPEND {
            tracing::info!(
                epoch,
                sequence,
                records = call.groups.len(),
                size,
                took_ms = elapsed.as_millis(),
                "decisions recorded late"
            );
        }
    }

    /// Returns the sequence number of the next append and increments it.
    fn next_sequence(&self) -> u64 {
        let mut state = self.state.borrow_mut();
        let Some(decider) = &mut state.decider else {
            return 0;
        };
        decider.sequence += 1;
        decider.sequence - 1
    }

    /// Reuses the sequence number of an append that the log refused.
    fn reuse_sequence(&self, sequence: u64) {
        if let Some(decider) = &mut self.state.borrow_mut().decider {
            decider.sequence = sequence;
        }
    }
}

/// Returns the parts of an append that the log does not accept. If it has only one, drops it: relayed records are
/// left to the entries that sent them, and what a record of the decider says is planned again.
fn split_rejected(epoch: Epoch, reason: &str, call: Call) -> Vec<Call> {
    metrics::counter!("godwitstep_log_appends_rejected_total").increment(1);
    let mut parts = call.split();
    if parts.len() > 1 {
        tracing::warn!(
            epoch,
            reason,
            parts = parts.len(),
            "log does not accept an append; appending its parts"
        );
        return parts;
    }
    for part in parts.drain(..) {
        let size: usize = part.items().iter().map(Item::size).sum();
        let record = part.groups.first().map(|group| group.record.key());
        tracing::error!(
            epoch,
            reason,
            record,
            size,
            "log does not accept a record; leaving it out"
        );
        part.relayed.report(Outcome::NotTaken);
    }
    parts
}
