//! Headroom: whole workers that lower-priority jobs leave empty for future urgent jobs.
//!
//! Without headroom lower-priority tasks spread over all workers, and each urgent job has to
//! preempt some of them, which takes longer than the job can wait. Urgent jobs need several whole
//! workers at a time, so scattered free capacity does not help them. Lower-priority jobs therefore
//! leave as many empty workers as recent urgent jobs needed, as long as waiting does not make them
//! late.

use super::cluster::{Cluster, Node};
use super::expect::Length;
use super::order::Urgency;
use super::place::PendingStep;
use super::{Planner, Round};
use crate::demand::Demand;
use crate::id::{Incarnation, JobId, Pool};
use crate::ledger::JobState;
use crate::progress::Progress;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Period over which arrivals of urgent jobs are counted.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(20);
/// Maximum number of arrivals that are kept for a pool.
const MAX_ARRIVALS: usize = 400;
/// Quantile of recent urgent jobs for which the empty workers suffice, each job considered alone.
const COVERED_QUANTILE: f64 = 0.9;
/// Maximum share of a pool's schedulable workers that is left empty.
const MAX_HEADROOM_SHARE: f64 = 0.4;
/// Share of a job's slack during which it leaves the headroom empty.
const WAITING_SHARE: f64 = 0.6;
/// Maximum time for which a job without running tasks leaves the headroom empty while less than
/// [`BUSY_SHARE`] of the pool is in use. Accepted work must not wait longer next to idle workers.
pub(super) const MAX_IDLE_WAIT: Duration = Duration::from_secs(2);
/// Share of a pool in use from which it does not count as idle.
pub(super) const BUSY_SHARE: f64 = 0.5;

/// Workers that are left empty, by pool.
pub(super) type HeadroomWorkers = HashMap<Pool, BTreeSet<Incarnation>>;

/// The largest step of an urgent job.
#[derive(Debug)]
struct Arrival {
    accepted: Duration,
    /// Demand of one task.
    demand: Demand,
    tasks: u64,
}

impl Arrival {
    /// Returns how many empty workers the step needs.
    fn workers(&self, capacity: &Demand) -> u64 {
        self.tasks.div_ceil(self.demand.copies_in(capacity).max(1))
    }
}

/// Recent demand of urgent jobs, and the jobs that wait because of it.
#[derive(Debug, Default)]
pub(super) struct Headroom {
    arrivals: HashMap<Pool, VecDeque<Arrival>>,
    /// Jobs without running tasks that leave the headroom empty, and since when.
    waiting_since: HashMap<JobId, Duration>,
}

impl Headroom {
    /// Counts the arrival of a job if it is urgent.
    pub fn record_arrival(&mut self, accepted: Duration, job_state: &JobState) {
        if job_state.job.queue.priority > 0 {
            return;
        }
        let arrivals = self
            .arrivals
            .entry(job_state.job.queue.pool.clone())
            .or_default();
        let steps = job_state.job.steps.iter().map(|step| Arrival {
            accepted,
            demand: step.demand,
            tasks: u64::from(step.tasks),
        });
        let total_cores = |step: &Arrival| step.demand.saturating_mul(step.tasks).cores();
        arrivals.extend(steps.max_by(|a, b| total_cores(a).total_cmp(&total_cores(b))));
        if arrivals.len() > MAX_ARRIVALS {
            arrivals.pop_front();
        }
    }

    /// Removes the jobs for which `open` returns false.
    pub fn retain(&mut self, open: impl Fn(JobId) -> bool) {
        self.waiting_since.retain(|job, _| open(*job));
    }

    /// Returns how many workers of a pool should be left empty.
    fn target_size(&mut self, now: Duration, pool: &str, cluster: &Cluster) -> usize {
        let Some(arrivals) = self.arrivals.get_mut(pool) else {
            return 0;
        };
        while arrivals
            .front()
            .is_some_and(|arrival| arrival.accepted + ARRIVAL_WINDOW < now)
        {
            arrivals.pop_front();
        }
        let nodes = || schedulable_nodes(cluster, pool);
        let largest = nodes().max_by(|a, b| a.capacity.cores().total_cmp(&b.capacity.cores()));
        let Some(capacity) = largest.map(|node| node.capacity) else {
            return 0;
        };
        let mut workers: Vec<u64> = arrivals
            .iter()
            .map(|arrival| arrival.workers(&capacity))
            .collect();
        workers.sort_unstable();
        let Some(last) = workers.len().checked_sub(1) else {
            return 0;
        };
        let max_size = scale_count(nodes().count(), MAX_HEADROOM_SHARE);
        let covering_size = workers[scale_count(last, COVERED_QUANTILE)];
        usize::try_from(covering_size).map_or(max_size, |workers| workers.min(max_size))
    }

    /// Selects the workers of a pool to leave empty: those with all their capacity first, together in a rack as most urgent
    /// gangs need, and among those the fast ones.
    fn select_workers(
        &mut self,
        now: Duration,
        pool: &str,
        cluster: &Cluster,
    ) -> BTreeSet<Incarnation> {
        let target_size = self.target_size(now, pool, cluster);
        let mut empty: Vec<&Node> = schedulable_nodes(cluster, pool)
            .filter(|node| node.is_empty())
            .collect();
        let mut by_rack: BTreeMap<_, usize> = BTreeMap::new();
        for node in &empty {
            *by_rack.entry(&node.rack).or_default() += 1;
        }
        empty.sort_by_key(|node| {
            let shrunk = node.capacity != node.full_capacity;
            let in_rack = Reverse(by_rack[&node.rack]);
            (shrunk, node.suspect, in_rack, node.speed_class)
        });
        let incarnations = empty.into_iter().map(|node| node.incarnation.clone());
        incarnations.take(target_size).collect()
    }

    /// Returns whether a job must be placed despite the headroom: none of its tasks run and much of
    /// the pool is idle.
    fn has_waited_too_long(
        &mut self,
        now: Duration,
        pending: &PendingStep,
        progress: &Progress,
        cluster: &Cluster,
    ) -> bool {
        if progress.placed().next().is_some() || used_share(cluster, pending.pool) >= BUSY_SHARE {
            self.waiting_since.remove(&pending.job);
            return false;
        }
        let since = *self.waiting_since.entry(pending.job).or_insert(now);
        now.saturating_sub(since) > MAX_IDLE_WAIT
    }
}

impl Planner {
    /// Excludes the headroom from the candidates of a lower-priority step. Returns whether any
    /// worker was excluded.
    pub(super) fn exclude_headroom(
        &mut self,
        round: &mut Round,
        urgency: &Urgency,
        job_state: &JobState,
        pending: &mut PendingStep,
    ) -> bool {
        if urgency.priority == 0 || !self.may_wait(round.now, urgency, job_state, pending) {
            return false;
        }
        let pool = &job_state.job.queue.pool;
        if !round.headroom_workers.contains_key(pool) {
            let headroom_workers = self.headroom.select_workers(round.now, pool, round.cluster);
            round
                .headroom_workers
                .insert(pool.clone(), headroom_workers);
        }
        let headroom_workers = &round.headroom_workers[pool];
        let progress = round.draft.progress(pending.job, job_state);
        if headroom_workers.is_empty()
            || self
                .headroom
                .has_waited_too_long(round.now, pending, progress, round.cluster)
        {
            return false;
        }
        pending.excluded.extend(headroom_workers.iter().cloned());
        true
    }

    /// Returns whether a job may wait: it has enough slack, or it is late anyway. A late gang,
    /// which needs its capacity all at once, would starve.
    fn may_wait(
        &self,
        now: Duration,
        urgency: &Urgency,
        job_state: &JobState,
        pending: &PendingStep,
    ) -> bool {
        let slack = self.expected_slack(&job_state.job, Length::Typical);
        let early = self.age(now, pending.job) < slack.mul_f64(WAITING_SHARE);
        early || (urgency.late && !pending.step.gang)
    }
}

/// Returns the nodes of a pool that accept new tasks.
fn schedulable_nodes<'f>(cluster: &'f Cluster, pool: &str) -> impl Iterator<Item = &'f Node> {
    let schedulable = move |node: &&Node| node.schedulable && &*node.pool == pool;
    cluster.nodes.iter().filter(schedulable)
}

/// Returns the used share of a pool's schedulable workers in the least used resource.
pub(super) fn used_share(cluster: &Cluster, pool: &str) -> f64 {
    let capacity = Demand::sum(schedulable_nodes(cluster, pool).map(|node| &node.capacity));
    let free = Demand::sum(schedulable_nodes(cluster, pool).map(|node| &node.free));
    1.0 - free.share_of(&capacity)
}

/// Returns a share of a count, rounded down.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)] // Counts are far below the precision of a double, and the share is not negative.
fn scale_count(count: usize, share: f64) -> usize {
    (count as f64 * share) as usize
}
