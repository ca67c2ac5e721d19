//! The decider role of an entry: claiming it, scheduling in rounds, and stepping down.
//!
//! A round plans on the ledger and [appends](super::append) its records under the decider's epoch; the next round begins
//! once they are applied to the ledger. Each decision therefore takes everything recorded before it into
//! account, and the log rejects the records of a decider that has been replaced.

use super::{Decider, Entry, handover, probe};
use crate::batch::log::{AppendError, Fence, Item, Log, ReadError, Stream};
use crate::batch::wall_millis;
use godwitstep_batch::bounds::{DECIDER_LEASE, RENEWAL_INTERVAL};
use godwitstep_batch::claim;
use godwitstep_batch::id::{Epoch, Offset};
use godwitstep_batch::ledger::Ledger;
use godwitstep_batch::membership::Membership;
use godwitstep_batch::planner::{
    Decision, OperatorView, Planner, PreemptionReason, WorkspaceShare,
};
use godwitstep_batch::policy::Policy;
use godwitstep_batch::record::{Claim, Record};
use smol::Timer;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time between two rounds. Leases and quarantines expire without an event.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before a round starts, so that events that arrive together are handled in one round.
const BATCHING_DELAY: Duration = Duration::from_millis(5);
/// Age of its view of the log above which a decider steps down even if it can still append: it would not
/// receive new jobs. Above the age at which it starts no more tasks, so that a short failure of its reads does not move
/// the role.
const MAX_VIEW_AGE: Duration = Duration::from_secs(5);
/// Delay before a failed claim is retried: the log may be busy with the claims of other entries.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Why an entry stepped down as decider.
pub(super) enum StepDownReason {
    /// Another entry holds the claim.
    Fenced,
    /// The log could not be read for too long, or rejected the sequence number of an append.
    LogUnavailable,
    /// The log does not answer, and another entry was named successor.
    HandedOver,
    /// The process is shutting down.
    Stopping,
}

impl<L: Log> Entry<L> {
    /// Claims the decider role whenever a claim is due, and runs rounds while holding it. Never returns.
    pub(super) async fn decider_loop(&self) {
        loop {
            let version = self.changes.version();
            self.probe_decider().await;
            if self.should_claim() && self.confirm_unclaimed().await {
                if let Some(epoch) = self.acquire_claim().await {
                    let cause = self.run_rounds(epoch).await;
                    let handed_over = matches!(cause, StepDownReason::HandedOver);
                    self.step_down(epoch, cause).await;
                    if handed_over {
                        Timer::after(handover::CLAIM_COOLDOWN).await;
                    }
                } else {
                    Timer::after(CLAIM_RETRY_DELAY).await;
                }
            }
            self.changes.changed(version, MAX_ROUND_INTERVAL).await;
        }
    }

    /// Probes a decider that has not appended a record for some time.
    async fn probe_decider(&self) {
        let now = self.clock.now();
        let (claim, suspected) = {
            let state = self.state.borrow();
            let age = state.record_reads.direct_age(now);
            let claim = state
                .ledger
                .claim()
                .filter(|claim| !claim.released)
                .cloned();
            (claim, state.detector.should_probe(now, age))
        };
        let Some(claim) = claim.filter(|_| suspected) else {
            return;
        };
        self.state.borrow_mut().detector.probe_sent(now);
        let answer = if claim.host == self.settings.host {
            probe::ProbeResult::Vacant
        } else {
            probe::send(claim.address, claim.epoch).await
        };
        let now = self.clock.now();
        let detector = &mut self.state.borrow_mut().detector;
        match answer {
            probe::ProbeResult::Decides => return,
            probe::ProbeResult::Vacant => detector.mark_vacant(now, claim.epoch),
            probe::ProbeResult::Struggles => detector.probe_stalled(now),
            probe::ProbeResult::None => detector.probe_unanswered(now),
        }
        tracing::info!(epoch = claim.epoch, host = %claim.host, answer = ?answer, "probed a silent decider");
    }

    /// Returns whether this entry should claim the decider role now.
    fn should_claim(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        // Entries that receive their first policy at the same time also claim in the order of their ranks.
        let configured = state.operator.policy().is_some();
        let age = if configured {
            state.record_reads.direct_age(now)
        } else {
            Duration::MAX
        };
        let claim = state.ledger.claim().cloned();
        let rank = claim.as_ref().and_then(|claim| {
            let hosts = state.ledger.entries().map(|entry| &entry.host);
            claim::takeover_rank(hosts, claim, &self.settings.host)
        });
        state.detector.set_rank(rank);
        let due = state.detector.should_claim(now, claim.as_ref(), age);
        due && !self.stopping.get()
    }

    /// Returns whether no other entry has claimed the role meanwhile. While the log is slow, waits first to let
    /// entries with a lower rank claim.
    async fn confirm_unclaimed(&self) -> bool {
        let current = self.state.borrow().ledger.epoch();
        let started_at = self.clock.now();
        if self.is_claimed(current).await {
            return false;
        }
        let read_time = self.clock.now().saturating_sub(started_at);
        let rank = self.state.borrow().detector.rank(current);
        let delay = claim::takeover_delay(rank, read_time);
        if delay.is_zero() {
            return true;
        }
        Timer::after(delay).await;
        !self.is_claimed(current).await
    }

    /// Returns whether the unapplied part of the log holds a claim above an epoch, or cannot be read.
    async fn is_claimed(&self, current: Epoch) -> bool {
        let from = self.state.borrow().records_end;
        let newer = |item: &Item| {
            let record = Record::decode(&item.key, &item.value);
            matches!(record, Ok(Some(Record::Claimed(claim))) if claim.epoch > current)
        };
        match self.log.read(Stream::Records, from, Duration::ZERO).await {
            Ok(page) => page.items.iter().flatten().any(newer),
            // The partition is still empty.
            Err(ReadError::Expired { start: 0 }) => false,
            Err(error) => {
                tracing::warn!(after = current, %error, "not claiming: reading the log failed");
                true
            }
        }
    }

    /// Appends a claim under a new epoch. Returns the epoch once the claim is applied to the ledger.
    async fn acquire_claim(&self) -> Option<Epoch> {
        let current = self.state.borrow().ledger.epoch();
        let after = claim::epoch_to_follow(current, self.fenced_claim.get());
        let epoch = claim::next_epoch(after, self.claimant);
        tracing::info!(epoch, after = current, "claiming the decider role");
        let record = self.claim(epoch, false);
        let fence = Fence { epoch, sequence: 0 };
        let sent = self.clock.now();
        let end = match self.log.append(&[Item::from(&record)], Some(fence)).await {
            Ok(end) => end,
            Err(error) => {
                tracing::warn!(epoch, %error, "appending the claim failed");
                if matches!(error, AppendError::Fenced) {
                    self.fenced_claim.set(Some((current, epoch)));
                }
                return None;
            }
        };
        self.wait_for_offset(end, DECIDER_LEASE).await.then(|| {
            let now = self.clock.now();
            let mut state = self.state.borrow_mut();
            let planner = self.new_planner(epoch, now, &state.ledger);
            state.decider = Some(Decider {
                planner,
                membership: Membership::new(self.settings.host.clone()),
                withdrawals: Vec::new(),
                renewed_at: sent,
                last_append_refused: false,
                sequence: 1,
                last_directives: HashMap::new(),
            });
            drop(state);
            metrics::gauge!("godwitstep_decides").set(1.0);
            tracing::info!(epoch, "decides");
            epoch
        })
    }

    /// Returns the planner of a new decider, with what its predecessors have learned. The ledger includes the claim, and
    /// with it all records that they could store.
    fn new_planner(&self, epoch: Epoch, now: Duration, ledger: &Ledger) -> Planner {
        let planner = Planner::new(epoch, now, self.bounds.clone());
        if let Some(learned) = ledger.expectations(epoch) {
            let (queues, workers) = (learned.queues(), learned.workers());
            tracing::info!(
                epoch,
                learned_in = learned.epoch,
                queues,
                workers,
                "run-time expectations taken over"
            );
            return planner.with_expectations(learned);
        }
        if let Some(future) = ledger.expectations(Epoch::MAX) {
            tracing::warn!(
                epoch,
                learned_in = future.epoch,
                "run-time expectations of a future epoch ignored"
            );
        }
        planner
    }

    fn claim(&self, epoch: Epoch, released: bool) -> Record {
        Record::Claimed(Claim {
            epoch,
            host: self.settings.host.clone(),
            address: self.settings.agents,
            released,
        })
    }

    /// Waits until the ledger includes all records before an offset. Returns false on timeout.
    async fn wait_for_offset(&self, end: Offset, timeout: Duration) -> bool {
        let deadline = self.clock.now() + timeout;
        loop {
            let version = self.changes.version();
            if self.state.borrow().records_end >= end {
                return true;
            }
            let remaining = deadline.saturating_sub(self.clock.now());
            if remaining.is_zero() {
                return false;
            }
            self.changes.changed(version, remaining).await;
        }
    }

    /// Runs scheduling rounds until this entry has to step down. Returns why.
    async fn run_rounds(&self, epoch: Epoch) -> StepDownReason {
        let started_at = self.clock.now();
        let reloads = self.state.borrow().reloads;
        let mut version = self.changes.version();
        loop {
            if self.stopping.get() {
                return StepDownReason::Stopping;
            }
            if self.state.borrow().ledger.epoch() > epoch {
                return StepDownReason::Fenced;
            }
            if self
                .state
                .borrow()
                .record_reads
                .direct_age(self.clock.now())
                > MAX_VIEW_AGE
            {
                return StepDownReason::LogUnavailable;
            }
            // The pages of a reload are no snapshot: they may hold a job that this decider dropped meanwhile.
            if self.state.borrow().reloads > reloads {
                return StepDownReason::LogUnavailable;
            }
            let mut records = self.plan_round();
            records.extend(self.take_withdrawals());
            let relayed = self.relay_queue.next_batch();
            if let Err(cause) = self.append_round(epoch, started_at, records, relayed).await {
                return cause;
            }
            self.update_directives();
            self.changes.changed(version, MAX_ROUND_INTERVAL).await;
            Timer::after(BATCHING_DELAY).await;
            version = self.changes.version();
        }
    }

    /// Updates the agents' directives from the ledger.
    fn update_directives(&self) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Some(decider) = &mut state.decider {
            decider.planner.refresh_assignments(&state.ledger);
        }
        self.directives.notify();
    }

    /// Plans one round. Returns the records to append, or a renewal of the claim if there are none and it is due.
    fn plan_round(&self) -> Vec<Record> {
        let now = self.clock.now();
        let wall = wall_millis(&*self.clock);
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let default_policy = Rc::new(Policy::default());
        let policy = state.operator.policy().unwrap_or(&default_policy).clone();
        let out = state.operator.domains_out().clone();
        let view = OperatorView {
            policy: &policy,
            domains_out: &out,
            age: state.operator_reads.age(now),
            jobs_age: state.record_reads.age(now),
        };
        let Some(decider) = &mut state.decider else {
            return Vec::new();
        };
        let plan = decider.planner.decide(now, wall, &state.ledger, &view);
        for decision in &plan.decisions {
            log_decision(decision, decider.planner.epoch(), &view);
        }
        plan.shares.iter().for_each(report_share);
        for error in &plan.run_time_errors {
            let queue = error.queue.to_string();
            metrics::histogram!("godwitstep_run_time_error", "queue" => queue)
                .record(error.log_ratio);
        }
        let mut records = plan.records;
        if records.is_empty() && now.saturating_sub(decider.renewed_at) > RENEWAL_INTERVAL {
            records.push(self.claim(decider.planner.epoch(), false));
        }
        // Never alone: entries of earlier versions skip the record, and must hear of the decider by another one.
        if !records.is_empty() {
            let limit = self.settings.sizes.record_bytes;
            records.extend(decider.planner.save_expectations(now, limit));
        }
        records
    }

    /// Ends the decider role. Releases the claim unless another entry has replaced this one or was named successor.
    async fn step_down(&self, epoch: Epoch, cause: StepDownReason) {
        let decider = self.state.borrow_mut().decider.take();
        self.relay_queue.reject_all();
        self.directives.notify();
        metrics::gauge!("godwitstep_decides").set(0.0);
        let reason = match cause {
            StepDownReason::Fenced => "another entry decides",
            StepDownReason::LogUnavailable => "the log could not be followed",
            StepDownReason::HandedOver => "another entry was named successor",
            StepDownReason::Stopping => "the process is shutting down",
        };
        tracing::info!(epoch, reason, "stopped deciding");
        let Some(decider) = decider.filter(|_| {
            matches!(
                cause,
                StepDownReason::Stopping | StepDownReason::LogUnavailable
            )
        }) else {
            return;
        };
        let fence = Fence {
            epoch,
            sequence: decider.sequence,
        };
        let release = self.claim(epoch, true);
        if let Err(error) = self.log.append(&[Item::from(&release)], Some(fence)).await {
            tracing::warn!(epoch, %error, "releasing the claim failed");
        }
    }
}

/// Updates the metric of a workspace's share.
fn report_share(share: &WorkspaceShare) {
    let workspace = share.workspace.as_deref().unwrap_or_default().to_owned();
    let pool = share.pool.to_string();
    let priority = share.priority.to_string();
    metrics::gauge!("godwitstep_share", "pool" => pool, "priority" => priority, "workspace" => workspace)
        .set(share.share);
}

/// Logs a decision and updates its metrics.
fn log_decision(decision: &Decision, epoch: Epoch, view: &OperatorView) {
    let version = view.policy.version;
    let view_ms = view.age.as_millis();
    let jobs_view_ms = view.jobs_age.as_millis();
    match decision {
        Decision::Placed {
            task,
            run,
            incarnation,
            age,
            slowdown,
            expected,
        } => {
            // Two decimals: the estimate is no more accurate.
            let slowdown = format_args!("{slowdown:.2}");
            metrics::histogram!("godwitstep_placement_age_seconds").record(*age);
            tracing::info!(%task, run, worker = %incarnation, age_ms = age.as_millis(), %slowdown, expected_ms = expected.as_millis(), epoch, version, view_ms, jobs_view_ms, "placed");
        }
        Decision::Ended {
            task,
            run,
            incarnation,
            how,
            report,
        } => {
            metrics::counter!("godwitstep_runs_ended_total", "how" => *how).increment(1);
            let sequence = report.as_ref().map(|report| report.sequence);
            let report_ms = report.as_ref().map(|report| report.age.as_millis());
            let report_epoch = report.as_ref().map(|report| report.epoch);
            // Empty if the report lists the worker of the run, which is the usual case.
            let other = report.as_ref().map(|report| report.worker.as_ref());
            let other = other.filter(|worker| *worker != Some(incarnation));
            let reported =
                other.map(|worker| worker.map_or_else(|| "none".to_owned(), ToString::to_string));
            tracing::info!(%task, run, worker = %incarnation, how, epoch, report = sequence, report_ms, report_epoch, reported, "run ended");
        }
        Decision::Explained {
            task,
            run,
            incarnation,
            how,
        } => {
            tracing::info!(%task, run, worker = %incarnation, how, epoch, "end of a run explained");
        }
        Decision::Crashed {
            task,
            run,
            incarnation,
            alone,
            prompt,
            crashes,
            given_up,
        } => {
            metrics::counter!("godwitstep_worker_crashes_total").increment(1);
            tracing::info!(%task, run, worker = %incarnation, alone, prompt, crashes = crashes.count, crashes_alone = crashes.alone, crashes_prompt = crashes.prompt, hosts = crashes.hosts.len(), given_up, epoch, "worker crashed under a run");
        }
        Decision::Preempted {
            task,
            run,
            by,
            reason,
        } => {
            metrics::counter!("godwitstep_preemptions_total").increment(1);
            let reason = match reason {
                PreemptionReason::Priority => "priority",
                PreemptionReason::Guarantee => {
                    metrics::counter!("godwitstep_reclaims_total").increment(1);
                    "guarantee"
                }
            };
            tracing::info!(%task, run, by = format_args!("{by:016x}"), reason, epoch, "preempted");
        }
        Decision::Stalled {
            task,
            run,
            stalled_for,
        } => {
            tracing::info!(%task, run, still_ms = stalled_for.as_millis(), epoch, "stopped: no progress");
        }
        Decision::Moved {
            task,
            run,
            remaining,
        } => {
            tracing::info!(%task, run, left_ms = remaining.as_millis(), epoch, "stopped: the worker is leaving");
        }
        Decision::Finished { job, outcome, age } => {
            metrics::histogram!("godwitstep_job_seconds").record(*age);
            tracing::info!(job = format_args!("{job:016x}"), outcome = ?outcome, age_ms = age.as_millis(), epoch, "job ended");
        }
        Decision::Quarantined {
            incarnation,
            failures,
            duration,
        } => {
            tracing::info!(worker = %incarnation, failures, time_ms = duration.as_millis(), epoch, "quarantined");
        }
    }
}
