//! Preemption for urgent jobs.
//!
//! A job of priority 0 that finds no capacity waits as long as it can still be on time with
//! capacity that is about to become free. Otherwise it preempts runs from queues of lower priority
//! where the least work is lost. If its workspace exceeds its guarantee, the lost work is limited, see
//! [`super::stop_cost`]. The freed capacity is committed to the job until it starts. A job within its
//! guarantee also stops runs of priority 0 of workspaces beyond theirs, see [`super::reclaim`].

use super::cluster::{Cluster, Node, Occupant};
use super::draft::Draft;
use super::expect::Length;
use super::order::Urgency;
use super::place::{self, PendingStep, Placement};
use super::speed_fit::PreemptionCost;
use super::{Decision, Planner, PreemptionReason, Round, stop_cost};
use crate::demand::Demand;
use crate::id::{Run, Task};
use crate::ledger::JobState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for preempted runs to end and their replacements to start.
pub(super) const SWITCH_TIME: Duration = Duration::from_millis(700);
/// Cost of a stop and a restart in addition to the lost work.
const RESTART_COST: Duration = Duration::from_millis(800);

/// Work that is lost by stopping each run. Unit: core-seconds, weighted by priority.
pub(super) type Losses = BTreeMap<(Task, Run), f64>;

/// A placement that may require preemption.
struct CostedPlacement {
    /// Index of the task in its step.
    index: u16,
    /// Index of the node.
    node: usize,
    /// Weighted work that is lost in addition to the cost of the placements before it.
    cost: f64,
}

impl Planner {
    /// Commits capacity to an urgent job: capacity that becomes free in time, or else capacity that
    /// is freed by preemption. Returns the number of tasks that get capacity.
    pub(super) fn secure_capacity(
        &mut self,
        round: &mut Round,
        urgency: Urgency,
        job_state: &JobState,
        pending: &PendingStep,
    ) -> usize {
        if self.commit_earmark(round, pending) {
            return pending.waiting.len();
        }
        let Round {
            now,
            draft,
            cluster,
            ..
        } = round;
        let now = *now;
        let remaining_wait = self.remaining_wait(now, job_state, urgency);
        if !remaining_wait.is_zero()
            && let Some(placements) =
                self.placements_within(now, draft, cluster, pending, remaining_wait)
        {
            commit_capacity(cluster, pending, &placements);
            return placements.len();
        }
        let losses = self.losses(now, draft, cluster, pending);
        let own_work = pending.run_time.as_secs_f64() * pending.step.demand.cores();
        let max_cost = self.max_stop_cost(now, urgency, job_state, own_work);
        let placements = self.cheapest_placements(cluster, pending, &losses);
        let placeable = placements.len();
        if placeable < pending.waiting.len()
            && let Some(placed) =
                self.reclaim(round, urgency, job_state, pending, &losses, placeable)
        {
            return placed;
        }
        let needed = place::count_by_node(
            affordable(pending, &placements, max_cost)
                .into_iter()
                .map(|placement| placement.node),
        );
        let mut preempts_any = false;
        for (node_index, tasks) in needed {
            let demand = pending.step.demand.saturating_mul(tasks);
            let node = &round.cluster.nodes[node_index];
            let victims = self.victims(pending, node, &demand, &losses);
            let victims = victims.unwrap_or_default();
            for (task, run) in victims {
                preempts_any |= self.stopping.insert((task, run));
                round.plan.decisions.push(Decision::Preempted {
                    task,
                    run,
                    by: pending.job,
                    reason: PreemptionReason::Priority,
                });
            }
        }
        let placements: Vec<Placement> = placements
            .iter()
            .map(|placement| (placement.index, placement.node))
            .collect();
        if preempts_any && pending.step.gang {
            self.earmark(round, pending, &placements);
        }
        commit_capacity(round.cluster, pending, &placements);
        placements.len()
    }

    /// Returns how long a job may still wait before it must preempt others.
    fn remaining_wait(&self, now: Duration, job_state: &JobState, urgency: Urgency) -> Duration {
        let mut max_wait = self.expected_slack(&job_state.job, Length::Lower);
        if !urgency.unguaranteed {
            let bound = self.bounds.guaranteed_start_time;
            max_wait = max_wait.min(bound.saturating_sub(self.bounds.max_stop_time));
        }
        max_wait.saturating_sub(self.age(now, urgency.job) + SWITCH_TIME)
    }

    /// Returns placements for all waiting tasks in the capacity that becomes free within `wait`.
    fn placements_within(
        &self,
        now: Duration,
        draft: &Draft,
        cluster: &Cluster,
        pending: &PendingStep,
        wait: Duration,
    ) -> Option<Vec<Placement>> {
        let ends = |occupant: &Occupant| self.time_left(now, draft, occupant) <= wait;
        place::candidate_groups(pending, cluster)
            .into_iter()
            .map(|mut nodes| {
                nodes.retain(|node_index| pending.joins_after(&cluster.nodes[*node_index], ends));
                place::place_within(pending, cluster, &nodes, |node| node.free_after(ends))
            })
            .find(|placements| !placements.is_empty())
    }

    /// Returns the runs that may be preempted for a job, with the work that each of them would
    /// lose.
    fn losses(
        &self,
        now: Duration,
        draft: &Draft,
        cluster: &Cluster,
        pending: &PendingStep,
    ) -> Losses {
        let mut losses = Losses::new();
        for occupant in cluster.nodes.iter().flat_map(|node| &node.occupants) {
            let Some(job_state) = draft.ledger().job(occupant.task.job) else {
                continue;
            };
            let priority = job_state.job.queue.priority;
            if priority == 0 || occupant.task.job == pending.job || self.is_told_to_stop(occupant) {
                continue;
            }
            let step = &job_state.job.steps[usize::from(occupant.task.step)];
            let weight = stop_cost::loss_weight(priority, step);
            let lost = self.lost_work(now, job_state, occupant.task, occupant.run);
            losses.insert((occupant.task, occupant.run), lost * weight);
        }
        losses
    }

    /// Returns the work that is lost if a run, and with it the gang that it belongs to, is stopped.
    pub(super) fn lost_work(
        &self,
        now: Duration,
        job_state: &JobState,
        task: Task,
        run: Run,
    ) -> f64 {
        let step = &job_state.job.steps[usize::from(task.step)];
        let members = if step.gang {
            f64::from(step.tasks)
        } else {
            1.0
        };
        let loss_time = self.redo_time(now, job_state, task, run) + RESTART_COST;
        loss_time.as_secs_f64() * step.demand.cores() * members
    }

    /// Returns how long it takes to redo the work that a run loses when it is stopped.
    pub(super) fn redo_time(
        &self,
        now: Duration,
        job_state: &JobState,
        task: Task,
        run: Run,
    ) -> Duration {
        let step = &job_state.job.steps[usize::from(task.step)];
        let elapsed = self.health.elapsed(now, task, run).unwrap_or_default();
        if step.checkpointable {
            elapsed.min(self.bounds.checkpoint_interval)
        } else {
            elapsed
        }
    }

    /// Returns the placements with the least lost work: for all members of a gang or none, or for
    /// as many independent tasks as capacity could be freed for.
    fn cheapest_placements(
        &self,
        cluster: &Cluster,
        pending: &PendingStep,
        losses: &Losses,
    ) -> Vec<CostedPlacement> {
        place::candidate_groups(pending, cluster)
            .into_iter()
            .map(|nodes| self.cheapest_in_group(cluster, pending, losses, &nodes))
            .filter(|placements| !placements.is_empty())
            .min_by(|a, b| total(cluster, a).compare(&total(cluster, b)))
            .unwrap_or_default()
    }

    fn cheapest_in_group(
        &self,
        cluster: &Cluster,
        pending: &PendingStep,
        losses: &Losses,
        nodes: &[usize],
    ) -> Vec<CostedPlacement> {
        // Number of tasks placed on each node so far, and their cost.
        let mut placed_by_node: BTreeMap<usize, (u64, f64)> = BTreeMap::new();
        let mut placements = Vec::new();
        for index in &pending.waiting {
            let best = nodes
                .iter()
                .filter(|node_index| pending.allows(&cluster.nodes[**node_index]))
                .filter_map(|node_index| {
                    let (tasks, cost) = placed_by_node.get(node_index).copied().unwrap_or_default();
                    let node = &cluster.nodes[*node_index];
                    if pending.step.per_worker > 0 && tasks >= u64::from(pending.step.per_worker) {
                        return None;
                    }
                    let demand = pending.step.demand.saturating_mul(tasks + 1);
                    let victims = self.victims(pending, node, &demand, losses)?;
                    let new_cost: f64 = victims.iter().map(|key| losses[key]).sum();
                    Some((*node_index, tasks + 1, new_cost, new_cost - cost))
                })
                .min_by(|(a_node, _, _, a), (b_node, _, _, b)| {
                    let cost = |node: usize, loss: f64| PreemptionCost {
                        loss,
                        slowest: cluster.nodes[node].speed_class,
                    };
                    cost(*a_node, *a).compare(&cost(*b_node, *b))
                });
            let Some((node, tasks, node_cost, cost)) = best else {
                break;
            };
            placed_by_node.insert(node, (tasks, node_cost));
            placements.push(CostedPlacement {
                index: *index,
                node,
                cost,
            });
        }
        if pending.step.gang && placements.len() < pending.waiting.len() {
            placements.clear();
        }
        placements
    }

    /// Returns the runs with the least loss to stop on a worker so that a demand fits, or `None` if
    /// it cannot fit.
    fn victims(
        &self,
        pending: &PendingStep,
        node: &Node,
        demand: &Demand,
        losses: &Losses,
    ) -> Option<Vec<(Task, Run)>> {
        if pending.is_isolated() {
            return self.all_others(pending, node, demand, losses);
        }
        let stopping = node
            .occupants
            .iter()
            .filter(|occupant| self.is_stopping(occupant));
        let stopping = Demand::sum(stopping.map(|occupant| &occupant.demand));
        // The excess is part of it, and drains before anything is free.
        let mut free = node
            .free
            .saturating_add(&stopping)
            .saturating_sub(&node.committed);
        let demand = demand.saturating_add(&node.excess);
        let mut candidates: Vec<(&Occupant, f64)> = node
            .occupants
            .iter()
            .filter_map(|occupant| Some((occupant, *losses.get(&(occupant.task, occupant.run))?)))
            .collect();
        candidates.sort_by(|(_, a), (_, b)| a.total_cmp(b));
        let mut chosen: Vec<&Occupant> = Vec::new();
        for (occupant, _) in candidates {
            if demand.fits(&free) {
                break;
            }
            free = free.saturating_add(&occupant.demand);
            chosen.push(occupant);
        }
        if !demand.fits(&free) {
            return None;
        }
        // A larger run that was chosen later may make it unnecessary to stop an earlier one.
        let mut needed = BTreeSet::new();
        for occupant in chosen.iter().rev() {
            let without = free.saturating_sub(&occupant.demand);
            if demand.fits(&without) {
                free = without;
            } else {
                needed.insert((occupant.task, occupant.run));
            }
        }
        Some(needed.into_iter().collect())
    }

    /// Returns the runs of all other jobs on a worker, or `None` if some of them may not be stopped or the demand does
    /// not fit without them.
    fn all_others(
        &self,
        pending: &PendingStep,
        node: &Node,
        demand: &Demand,
        losses: &Losses,
    ) -> Option<Vec<(Task, Run)>> {
        let key = |occupant: &Occupant| (occupant.task, occupant.run);
        let ends =
            |occupant: &Occupant| self.is_stopping(occupant) || losses.contains_key(&key(occupant));
        let fits = demand.fits(&node.free_after(ends));
        let others = node
            .others(pending.job)
            .filter(|occupant| !self.is_stopping(occupant));
        (fits && pending.joins_after(node, ends)).then(|| others.map(key).collect())
    }
}

/// Returns the placements whose cost is within the limit per task.
fn affordable<'a>(
    pending: &PendingStep,
    placements: &'a [CostedPlacement],
    max_cost: f64,
) -> Vec<&'a CostedPlacement> {
    if !pending.step.gang {
        return placements
            .iter()
            .filter(|placement| placement.cost <= max_cost)
            .collect();
    }
    #[allow(clippy::cast_precision_loss)] // A gang has few members, so the conversion is exact.
    let max_total = max_cost * placements.len() as f64;
    if total_cost(placements) <= max_total {
        placements.iter().collect()
    } else {
        Vec::new()
    }
}

/// Returns the cost of a placement of several tasks.
fn total(cluster: &Cluster, placements: &[CostedPlacement]) -> PreemptionCost {
    let classes = placements
        .iter()
        .map(|placement| cluster.nodes[placement.node].speed_class);
    PreemptionCost {
        loss: total_cost(placements),
        slowest: classes.max().unwrap_or_default(),
    }
}

fn total_cost(placements: &[CostedPlacement]) -> f64 {
    placements.iter().map(|placement| placement.cost).sum()
}

/// Commits the capacity of placements so that later jobs in the order cannot use it.
pub(super) fn commit_capacity(
    cluster: &mut Cluster,
    pending: &PendingStep,
    placements: &[Placement],
) {
    for (_, node_index) in placements {
        let node = &mut cluster.nodes[*node_index];
        node.commit(&pending.step.demand, pending.run_time);
        pending.isolate(node);
    }
}
