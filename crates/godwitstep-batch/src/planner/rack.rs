//! Whether a gang waits for a rack.
//!
//! Some gangs should run within one rack, as their tasks take [`Bounds::rack_slowdown`] times as long on several. That is
//! a preference, not a condition: a gang that waits for a rack that never comes does not run at all. What keeps a worker
//! from taking a member counts as follows:
//!
//! | the worker | counts as room of its rack |
//! |---|---|
//! | belongs to another pool, lacks the label, is too small, has its limit of tasks of the step | never |
//! | is draining, or its failure domain is out of service | never: it does not come back by itself |
//! | is excluded, as the job failed or crashed there | not while others can run the job |
//! | is out of reach, suspended, quarantined, slow or crashed | while it has been so for less time than several racks cost |
//! | is left empty for urgent jobs, reserved, kept apart for another job, or busy | yes |
//!
//! A gang that no rack can hold by this runs on several at once. One that some rack can hold waits for it, but for no more
//! than [`MAX_IDLE_WAIT`] while that does not pay: while much of the pool is idle, or no rack is expected to become free
//! within the time that several racks cost. This ends the waits for what the table does not know: runs that never end, and
//! workers that are kept for others again and again.
//!
//! [`Bounds::rack_slowdown`]: crate::bounds::Bounds::rack_slowdown

use super::cluster::{Cluster, Node};
use super::failed_search::StepKey;
use super::headroom::MAX_IDLE_WAIT;
use super::place::PendingStep;
use super::waits::waits_beside_idle_workers;
use super::{Planner, Round};
use crate::id::{Incarnation, JobId};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after a take-over within which no gang is spread, as not all agents have reported their workers.
const FIRST_REPORTS: Duration = Duration::from_secs(2);

/// Since when workers have accepted no tasks.
#[derive(Debug, Default)]
pub(super) struct Absences {
    since: HashMap<Incarnation, Duration>,
}

impl Absences {
    /// Updates the absences from the workers of a round, and sets the time of each absence there.
    pub fn update(&mut self, now: Duration, cluster: &mut Cluster) {
        let mut absent = HashSet::new();
        for node in cluster.nodes.iter_mut().filter(|node| !node.schedulable) {
            let since = self.since.entry(node.incarnation.clone()).or_insert(now);
            node.absent_for = node.absent_for.max(now.saturating_sub(*since));
            absent.insert(&node.incarnation);
        }
        self.since
            .retain(|incarnation, _| absent.contains(incarnation));
    }
}

/// Since when it has not paid for gangs to wait for a rack.
#[derive(Debug, Default)]
pub(super) struct RackWaits {
    since: HashMap<StepKey, Duration>,
}

impl RackWaits {
    /// Returns whether waiting has not paid for [`MAX_IDLE_WAIT`] without interruption.
    fn is_over(&mut self, now: Duration, step: StepKey, pays: bool) -> bool {
        if pays {
            self.since.remove(&step);
            return false;
        }
        now >= *self.since.entry(step).or_insert(now) + MAX_IDLE_WAIT
    }

    /// Ends the wait of a gang that is placed.
    fn end(&mut self, step: StepKey) {
        self.since.remove(&step);
    }

    /// Removes the steps of jobs for which `open` returns false.
    pub fn retain(&mut self, open: impl Fn(JobId) -> bool) {
        self.since.retain(|(job, _), _| open(*job));
    }
}

impl Planner {
    /// Returns whether a gang should run within one rack and some rack can hold it sooner or later, without the workers
    /// that it avoids.
    pub(super) fn may_wait_for_rack(
        &self,
        now: Duration,
        pending: &PendingStep,
        cluster: &Cluster,
        avoided: &BTreeSet<Incarnation>,
    ) -> bool {
        if !(pending.step.gang && pending.step.one_rack) {
            return false;
        }
        if now < self.started_at + FIRST_REPORTS {
            return true;
        }
        let members = pending.waiting.len() as u64;
        let racks = self.racks(pending, cluster, avoided);
        racks.values().any(|nodes| {
            let copies = nodes.iter().map(|node| pending.copies_if_empty(node));
            copies.fold(0, u64::saturating_add) >= members
        })
    }

    /// Returns the workers that count as room of each rack.
    fn racks<'c>(
        &self,
        pending: &PendingStep,
        cluster: &'c Cluster,
        avoided: &BTreeSet<Incarnation>,
    ) -> BTreeMap<&'c Option<Arc<str>>, Vec<&'c Node>> {
        let max_absence = self.spread_cost(pending).min(self.bounds.agent_timeout());
        let mut racks: BTreeMap<_, Vec<&Node>> = BTreeMap::new();
        for node in &cluster.nodes {
            let suits = node.suits(pending.pool, pending.step.label.as_ref());
            let is_avoided = avoided.contains(&node.incarnation);
            if suits && !is_avoided && node.may_return(max_absence) {
                racks.entry(&node.rack).or_default().push(node);
            }
        }
        racks
    }

    /// Returns how much longer the tasks of a step take on several racks than on one.
    fn spread_cost(&self, pending: &PendingStep) -> Duration {
        let factor = (self.bounds.rack_slowdown - 1.0).max(0.0);
        let cost = pending.run_time.as_secs_f64() * factor;
        Duration::try_from_secs_f64(cost).unwrap_or(Duration::MAX)
    }

    /// Returns whether a gang that still waits for a rack runs on several from now on. `avoided` are the workers that it
    /// avoids, without those that it leaves empty for urgent jobs.
    pub(super) fn gives_up_rack(
        &mut self,
        round: &Round,
        pending: &PendingStep,
        avoided: &BTreeSet<Incarnation>,
    ) -> bool {
        if !pending.one_rack {
            return false;
        }
        let step = (pending.job, pending.step_number);
        if pending.waiting.is_empty() {
            self.rack_waits.end(step);
            return false;
        }
        let is_idle = waits_beside_idle_workers(pending, round.cluster);
        let pays = !is_idle && self.expects_rack(round, pending, avoided);
        self.rack_waits.is_over(round.now, step, pays)
    }

    /// Returns whether a rack is expected to have capacity for all members within the time that several racks cost.
    fn expects_rack(
        &self,
        round: &Round,
        pending: &PendingStep,
        avoided: &BTreeSet<Incarnation>,
    ) -> bool {
        let max_wait = self.spread_cost(pending);
        let members = pending.waiting.len();
        let racks = self.racks(pending, round.cluster, avoided);
        racks.into_values().any(|nodes| {
            let nodes = nodes.into_iter();
            let waits =
                nodes.flat_map(|node| self.wait_times(round.now, round.draft, node, pending));
            waits.filter(|wait| *wait <= max_wait).count() >= members
        })
    }
}
