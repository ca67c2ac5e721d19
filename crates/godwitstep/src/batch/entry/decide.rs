//! Taking the claim, deciding in rounds, and stepping down.
//!
//! A round reads the ledger and appends its records under the epoch; the next one begins when the
//! ledger shows them. So each decision rests on everything that was recorded before it, and a decider
//! whose place was taken records nothing.

use super::relay::{Outcome, Taken};
use super::{Decider, Entry, handover, probe};
use crate::batch::log::{AppendError, Fence, Item, Log, ReadError, Stream};
use crate::batch::wall_millis;
use godwitstep_batch::bounds::{RENEWAL, VOICE};
use godwitstep_batch::claim;
use godwitstep_batch::id::{Epoch, Offset};
use godwitstep_batch::planner::{Decision, Orders, Planner};
use godwitstep_batch::policy::Policy;
use godwitstep_batch::record::{Claim, Record, cancelled_key, submitted_key};
use smol::Timer;
use smol::future::FutureExt;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Longest time between two rounds: ends of leases and quarantines come without an event.
const TICK: Duration = Duration::from_millis(200);
/// Shortest time between two rounds, so that events that come together are decided on together.
const GATHER: Duration = Duration::from_millis(5);
/// Age of its view of the log at which a decider that can still append gives its place up: it would
/// not hear of new jobs.
const DEAF: Duration = Duration::from_secs(5);
/// Pause before an append without an answer is repeated.
const RETRY: Duration = Duration::from_millis(100);
/// Pause before a claim that failed is repeated: the log may be busy with those of others.
const CLAIM_RETRY: Duration = Duration::from_millis(400);

/// Why an entry stopped deciding.
enum Down {
    /// Another entry has the claim.
    Fenced,
    /// The log took no renewal for too long.
    Unheard,
    /// The log does not answer, and another entry was told to take the place.
    HandedOver,
    /// The process is about to end.
    Stopping,
}

impl<L: Log> Entry<L> {
    /// Claims and decides for good.
    pub(super) async fn decide(&self) {
        loop {
            let version = self.changes.version();
            self.ask_decider().await;
            if self.should_claim() && self.has_turn().await {
                if let Some(epoch) = self.take_claim().await {
                    let down = self.preside(epoch).await;
                    let rest = matches!(down, Down::HandedOver);
                    self.step_down(epoch, down).await;
                    if rest {
                        Timer::after(handover::REST).await;
                    }
                } else {
                    Timer::after(CLAIM_RETRY).await;
                }
            }
            self.changes.changed(version, TICK).await;
        }
    }

    /// Asks a decider that has been silent whether it still decides.
    async fn ask_decider(&self) {
        let now = self.clock.now();
        let (claim, suspected) = {
            let state = self.state.borrow();
            let age = state.records.own_age(now);
            let claim = state
                .ledger
                .claim()
                .filter(|claim| !claim.released)
                .cloned();
            (claim, state.watch.suspects(now, age))
        };
        let Some(claim) = claim.filter(|_| suspected) else {
            return;
        };
        self.state.borrow_mut().watch.asked(now);
        let answer = if claim.host == self.settings.host {
            probe::Answer::Vacant
        } else {
            probe::ask(claim.address, claim.epoch).await
        };
        let now = self.clock.now();
        let watch = &mut self.state.borrow_mut().watch;
        match answer {
            probe::Answer::Decides => return,
            probe::Answer::Vacant => watch.vacant(now, claim.epoch),
            probe::Answer::Struggles => watch.struggles(now),
            probe::Answer::None => watch.unanswered(now),
        }
        tracing::info!(epoch = claim.epoch, host = %claim.host, answer = ?answer, "asked a silent decider");
    }

    fn should_claim(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        // Entries that get their first policy at the same time claim in turns as well.
        let configured = state.operator.policy().is_some();
        let age = if configured {
            state.records.own_age(now)
        } else {
            Duration::MAX
        };
        let claim = state.ledger.claim().cloned();
        let turn = claim.as_ref().and_then(|claim| {
            let hosts = state.ledger.entries().map(|entry| &entry.host);
            claim::turn(hosts, claim, &self.settings.host)
        });
        state.watch.set_turn(turn);
        let due = state.watch.should_claim(now, claim.as_ref(), age);
        due && !self.stopping.get()
    }

    /// Tells whether no other entry has claimed the place by now. While the log is slow, those whose turn comes
    /// before get time to do so.
    async fn has_turn(&self) -> bool {
        let held = self.state.borrow().ledger.epoch();
        let began = self.clock.now();
        if self.is_claimed(held).await {
            return false;
        }
        let took = self.clock.now().saturating_sub(began);
        let turn = self.state.borrow().watch.turn(held);
        let pause = claim::courtesy(turn, took);
        if pause.is_zero() {
            return true;
        }
        Timer::after(pause).await;
        !self.is_claimed(held).await
    }

    /// Tells whether the log shows a claim above an epoch beyond what was applied, or can't be read.
    async fn is_claimed(&self, held: Epoch) -> bool {
        let from = self.state.borrow().records_end;
        let newer = |item: &Item| {
            let record = Record::decode(&item.key, &item.value);
            matches!(record, Ok(Some(Record::Claimed(claim))) if claim.epoch > held)
        };
        match self.log.read(Stream::Records, from, Duration::ZERO).await {
            Ok(page) => page.items.iter().flatten().any(newer),
            // The partition begins with its first record.
            Err(ReadError::Expired { start: 0 }) => false,
            Err(error) => {
                tracing::warn!(after = held, %error, "no claim: the log could not be read");
                true
            }
        }
    }

    /// Appends a claim under a new epoch. Returns the epoch once the ledger shows the claim.
    async fn take_claim(&self) -> Option<Epoch> {
        let held = self.state.borrow().ledger.epoch();
        let epoch = claim::next(held, self.claimant);
        tracing::info!(epoch, after = held, "claiming the place of the decider");
        let record = self.claim(epoch, false);
        let fence = Fence { epoch, sequence: 0 };
        let sent = self.clock.now();
        let end = match self.log.append(&[item(&record)], Some(fence)).await {
            Ok(end) => end,
            Err(error) => {
                tracing::warn!(epoch, %error, "claim failed");
                return None;
            }
        };
        self.caught_up(end, VOICE).await.then(|| {
            let now = self.clock.now();
            let planner = Planner::new(epoch, now, self.bounds.clone());
            self.state.borrow_mut().decider = Some(Decider {
                planner,
                stored: sent,
                refused: false,
                sequence: 1,
                told: HashMap::new(),
            });
            metrics::gauge!("godwitstep_decides").set(1.0);
            tracing::info!(epoch, "decides");
            epoch
        })
    }

    fn claim(&self, epoch: Epoch, released: bool) -> Record {
        Record::Claimed(Claim {
            epoch,
            host: self.settings.host.clone(),
            address: self.settings.agents,
            released,
        })
    }

    /// Waits until the ledger holds everything before an offset. Returns whether it does in time.
    async fn caught_up(&self, end: Offset, time: Duration) -> bool {
        let limit = self.clock.now() + time;
        loop {
            let version = self.changes.version();
            if self.state.borrow().records_end >= end {
                return true;
            }
            let left = limit.saturating_sub(self.clock.now());
            if left.is_zero() {
                return false;
            }
            self.changes.changed(version, left).await;
        }
    }

    /// Decides in rounds until the claim is lost.
    async fn preside(&self, epoch: Epoch) -> Down {
        let began = self.clock.now();
        let mut version = self.changes.version();
        loop {
            if self.stopping.get() {
                return Down::Stopping;
            }
            if self.state.borrow().ledger.epoch() > epoch {
                return Down::Fenced;
            }
            if self.state.borrow().records.own_age(self.clock.now()) > DEAF {
                return Down::Unheard;
            }
            let records = self.round();
            let handing_over = async {
                let held = self.clock.now().saturating_sub(began);
                self.hand_over(epoch, held).await;
                Err(Down::HandedOver)
            };
            let taken = self.intake.take();
            if let Err(down) = self.record(epoch, records, taken).or(handing_over).await {
                return down;
            }
            self.assign();
            self.changes.changed(version, TICK).await;
            Timer::after(GATHER).await;
            version = self.changes.version();
        }
    }

    /// Lets the directives follow the ledger.
    fn assign(&self) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Some(decider) = &mut state.decider {
            decider.planner.assign(&state.ledger);
        }
        self.directives.notify();
    }

    /// Decides once. Returns the records to append.
    fn round(&self) -> Vec<Record> {
        let now = self.clock.now();
        let wall = wall_millis(&*self.clock);
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let nothing = Rc::new(Policy::default());
        let policy = state.operator.policy().unwrap_or(&nothing).clone();
        let out = state.operator.out().clone();
        let orders = Orders {
            policy: &policy,
            out: &out,
            age: state.operators.age(now),
        };
        let Some(decider) = &mut state.decider else {
            return Vec::new();
        };
        let plan = decider.planner.decide(now, wall, &state.ledger, &orders);
        for decision in &plan.decisions {
            explain(decision, decider.planner.epoch(), &orders);
        }
        let mut records = plan.records;
        if records.is_empty() && now.saturating_sub(decider.stored) > RENEWAL {
            records.push(self.claim(decider.planner.epoch(), false));
        }
        records
    }

    /// Appends callers' records and then the decider's, and applies them.
    async fn record(
        &self,
        epoch: Epoch,
        records: Vec<Record>,
        mut taken: Taken,
    ) -> Result<(), Down> {
        if records.is_empty() && taken.is_empty() {
            return Ok(());
        }
        let mut batch: Vec<Item> = taken.items().cloned().collect();
        let callers = batch.len();
        batch.extend(records.iter().flat_map(items));
        let own = batch.len() - callers;
        let sequence = self.next_sequence();
        let began = self.clock.now();
        let mut failing = false;
        let mut unanswered = false;
        loop {
            let sent = self.clock.now();
            let fence = Fence { epoch, sequence };
            match self.log.append(&batch, Some(fence)).await {
                Ok(end) => {
                    if let Some(decider) = &mut self.state.borrow_mut().decider {
                        decider.stored = sent;
                        decider.refused = false;
                    }
                    metrics::histogram!("godwitstep_decision_append_seconds")
                        .record(self.clock.now().saturating_sub(began));
                    self.apply_taken(end.saturating_sub(batch.len() as u64), &taken);
                    self.apply_own(end, own, records);
                    return Ok(());
                }
                Err(AppendError::Fenced) => return Err(Down::Fenced),
                Err(AppendError::Sequence(reason)) => {
                    tracing::warn!(epoch, sequence, reason, "the log expects another append");
                    return Err(Down::Unheard);
                }
                Err(error) => {
                    if !failing {
                        tracing::warn!(epoch, sequence, %error, "log does not store decisions");
                    }
                    failing = true;
                    metrics::counter!("godwitstep_log_append_failures_total").increment(1);
                    if matches!(error, AppendError::Refused(_)) && !unanswered {
                        // Nothing is stored; the callers' records may find another way.
                        self.give_back(&std::mem::take(&mut taken));
                        batch.drain(..batch.len() - own);
                        if batch.is_empty() {
                            self.reuse_sequence(sequence);
                            return Ok(());
                        }
                    } else {
                        unanswered = true;
                    }
                    Timer::after(RETRY).await;
                }
            }
            if self.state.borrow().ledger.epoch() > epoch {
                return Err(Down::Fenced);
            }
        }
    }

    /// Gives callers' records back that the log refused, with all that wait, and takes none until it stores an
    /// append again.
    fn give_back(&self, taken: &Taken) {
        if let Some(decider) = &mut self.state.borrow_mut().decider {
            decider.refused = true;
        }
        taken.tell(Outcome::NotTaken);
        self.intake.give_back();
    }

    /// Applies records that were just stored, ahead of the tail. What others wrote before them is
    /// not known yet: new jobs and cancellations, which no decision has to be the first to see.
    fn apply_own(&self, end: Offset, items: usize, records: Vec<Record>) {
        let first = end.saturating_sub(items as u64);
        let mut state = self.state.borrow_mut();
        for (offset, record) in (first..).zip(records) {
            state.ledger.apply(offset, record);
        }
    }

    fn next_sequence(&self) -> u64 {
        let mut state = self.state.borrow_mut();
        let Some(decider) = &mut state.decider else {
            return 0;
        };
        decider.sequence += 1;
        decider.sequence - 1
    }

    /// Lets the next append have the number of one that the log refused.
    fn reuse_sequence(&self, sequence: u64) {
        if let Some(decider) = &mut self.state.borrow_mut().decider {
            decider.sequence = sequence;
        }
    }

    async fn step_down(&self, epoch: Epoch, down: Down) {
        let decider = self.state.borrow_mut().decider.take();
        self.intake.give_back();
        self.directives.notify();
        metrics::gauge!("godwitstep_decides").set(0.0);
        let reason = match down {
            Down::Fenced => "another entry decides",
            Down::Unheard => "the log could not be followed",
            Down::HandedOver => "another entry was told to take the place",
            Down::Stopping => "the process stops",
        };
        tracing::info!(epoch, reason, "decides no more");
        let Some(decider) = decider.filter(|_| matches!(down, Down::Stopping | Down::Unheard))
        else {
            return;
        };
        let fence = Fence {
            epoch,
            sequence: decider.sequence,
        };
        let release = self.claim(epoch, true);
        if let Err(error) = self.log.append(&[item(&release)], Some(fence)).await {
            tracing::warn!(epoch, %error, "the claim could not be released");
        }
    }
}

fn item(record: &Record) -> Item {
    Item {
        key: record.key(),
        value: record.encode(),
    }
}

/// Returns a record with the deletions that go with it.
fn items(record: &Record) -> Vec<Item> {
    let mut items = vec![item(record)];
    if let Record::Dropped { job } = record {
        let deletions = [submitted_key(*job), cancelled_key(*job)].map(|key| Item {
            key,
            value: bytes::Bytes::new(),
        });
        items.extend(deletions);
    }
    items
}

/// Writes the line that explains a decision.
fn explain(decision: &Decision, epoch: Epoch, orders: &Orders) {
    let version = orders.policy.version;
    let view_ms = orders.age.as_millis();
    match decision {
        Decision::Placed {
            task,
            run,
            life,
            age,
        } => {
            metrics::histogram!("godwitstep_placement_age_seconds").record(*age);
            tracing::info!(%task, run, worker = %life, age_ms = age.as_millis(), epoch, version, view_ms, "placed");
        }
        Decision::Ended {
            task,
            run,
            life,
            how,
        } => {
            metrics::counter!("godwitstep_runs_ended_total", "how" => *how).increment(1);
            tracing::info!(%task, run, worker = %life, how, epoch, "run ended");
        }
        Decision::Preempted { task, run, by } => {
            metrics::counter!("godwitstep_preemptions_total").increment(1);
            tracing::info!(%task, run, by = format_args!("{by:016x}"), epoch, "preempted");
        }
        Decision::Stuck { task, run, still } => {
            tracing::info!(%task, run, still_ms = still.as_millis(), epoch, "stopped for want of progress");
        }
        Decision::Moved { task, run, left } => {
            tracing::info!(%task, run, left_ms = left.as_millis(), epoch, "stopped on a leaving worker");
        }
        Decision::Finished { job, outcome, age } => {
            metrics::histogram!("godwitstep_job_seconds").record(*age);
            tracing::info!(job = format_args!("{job:016x}"), outcome = ?outcome, age_ms = age.as_millis(), epoch, "job ended");
        }
        Decision::Quarantined {
            life,
            failures,
            time,
        } => {
            tracing::info!(worker = %life, failures, time_ms = time.as_millis(), epoch, "quarantined");
        }
    }
}
