//! Placement of waiting tasks.
//!
//! Jobs are placed in scheduling order. Independent tasks are placed one by one. A gang is placed as a
//! whole or not at all, and within one rack if it requires that and waiting for a rack pays ([`super::rack`]). Which
//! of the workers with capacity is chosen is decided in [`super::choice`].

use super::cluster::{Cluster, Node, Occupant};
use super::crashes::Neighbours;
use super::order::Urgency;
use super::speed_fit::RunBudget;
use super::{Decision, Planner, Round, broken, choice, crashes, expect};
use crate::id::{Incarnation, JobId, Run, Task};
use crate::job::Step;
use crate::ledger::JobState;
use crate::progress::{self, State};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of reservations at a time. Reserved capacity can only be used by shorter tasks, so each has a cost.
const MAX_RESERVATIONS: usize = 3;

/// Placement of one task: its index in the step and the index of the node.
pub(super) type Placement = (u16, usize);

/// The tasks of a step that are not placed yet, and which workers they may use.
pub(super) struct PendingStep<'a> {
    pub job: JobId,
    pub pool: &'a str,
    pub step_number: u16,
    pub step: &'a Step,
    /// Expected run time of a task on a worker of average speed.
    pub run_time: Duration,
    /// Indices of the waiting tasks.
    pub waiting: Vec<u16>,
    /// Whether the job has little slack.
    pub urgent: bool,
    /// How long the step may take.
    pub budget: RunBudget,
    /// Which tasks may run beside them.
    pub neighbours: Neighbours,
    /// Workers that are excluded because the job failed there or because they are left empty.
    pub excluded: BTreeSet<Incarnation>,
    /// Whether the tasks are placed within one rack or wait.
    pub one_rack: bool,
}

impl Planner {
    /// Places all tasks for which there is capacity, then preempts for urgent jobs and makes
    /// reservations for others.
    pub(super) fn place(&mut self, round: &mut Round) {
        let mut queue: Vec<Urgency> = round
            .draft
            .open()
            .filter(|(_, job_state, progress)| job_state.active() && progress.outcome.is_none())
            .map(|(id, job_state, progress)| {
                self.urgency(round.now, id, job_state, progress, &round.within_guarantee)
            })
            .collect();
        self.rank_by_use(round, &mut queue);
        queue.sort_unstable();
        let mut reservations = 0;
        for urgency in queue {
            let Some(job_state) = round.draft.ledger().job(urgency.job) else {
                continue;
            };
            for step_number in ready_steps(job_state, round.draft.progress(urgency.job, job_state))
            {
                for neighbours in [Neighbours::Any, Neighbours::OwnJob] {
                    let blocked =
                        self.place_step(round, &urgency, job_state, step_number, neighbours);
                    let Some(blocked) = blocked else {
                        continue;
                    };
                    if urgency.worthless && neighbours == Neighbours::Any {
                        continue;
                    }
                    let max_absence = self.bounds.agent_timeout();
                    if blocked.fits_empty_worker(round.cluster, max_absence) {
                        self.shares.note_waiting(&job_state.job);
                    }
                    if urgency.priority == 0 {
                        let tasks = self.secure_capacity(round, urgency, job_state, &blocked);
                        round.pledge(job_state, blocked.step, tasks);
                    } else if reservations < MAX_RESERVATIONS && self.reserve(round, &blocked) {
                        reservations += 1;
                    }
                }
            }
        }
    }

    /// Places the waiting tasks of a step that may have these neighbours, as far as capacity allows.
    /// Returns the tasks that still wait, unless they wait because the step leaves headroom to urgent jobs.
    fn place_step<'e>(
        &mut self,
        round: &mut Round,
        urgency: &Urgency,
        job_state: &'e JobState,
        step_number: u16,
        neighbours: Neighbours,
    ) -> Option<PendingStep<'e>> {
        let job = job_state.job.id;
        let progress = round.draft.progress(job, job_state);
        let state = &progress.steps[usize::from(step_number)];
        let step = &job_state.job.steps[usize::from(step_number)];
        let mut pending = PendingStep {
            job,
            pool: &job_state.job.queue.pool,
            step_number,
            step,
            run_time: self.expected(&job_state.job, step).typical(),
            waiting: waiting_tasks(state, step.gang, neighbours),
            urgent: job_state.job.queue.priority == 0,
            budget: self.run_budget(round.now, &job_state.job, progress, step),
            neighbours,
            excluded: BTreeSet::new(),
            one_rack: false,
        };
        let run = next_run(pending.step.gang, state);
        pending.leave_out_active(round.cluster);
        if pending.waiting.is_empty() {
            return None;
        }
        let crashed_on = crashes::crashed_on(state, &pending.waiting, round.cluster);
        pending.excluded = self.failures.excluded(&pending, round.cluster, crashed_on);
        let mut avoided = pending.excluded.clone();
        pending.one_rack = self.may_wait_for_rack(round.now, &pending, round.cluster, &avoided);
        let overdue = self.overdue(round.now, &pending, state, round.cluster);
        let held_back = self.exclude_headroom(round, urgency, job_state, &mut pending);
        self.place_waiting(round, &mut pending, &run);
        if pending.waiting.iter().any(|index| overdue.contains(index)) {
            pending.waiting.retain(|index| overdue.contains(index));
            if pending.is_suspect() {
                pending.neighbours = Neighbours::Unavoidable;
                self.place_waiting(round, &mut pending, &run);
            }
            if !pending.waiting.is_empty() {
                pending.excluded.retain(|other| !avoided.contains(other));
                avoided.clear();
                pending.one_rack =
                    self.may_wait_for_rack(round.now, &pending, round.cluster, &avoided);
                self.place_waiting(round, &mut pending, &run);
            }
        }
        if self.gives_up_rack(round, &pending, &avoided) {
            pending.one_rack = false;
            self.place_waiting(round, &mut pending, &run);
        }
        (!pending.waiting.is_empty() && !held_back).then_some(pending)
    }

    /// Places the waiting tasks of a step as far as capacity allows, and leaves those that still wait.
    fn place_waiting(
        &mut self,
        round: &mut Round,
        pending: &mut PendingStep,
        run: &impl Fn(u16) -> Run,
    ) {
        let placed: BTreeSet<u16> = if pending.step.gang {
            let placements = choice::best_gang_placements(pending, round.cluster);
            for &(index, node) in &placements {
                self.place_task(round, pending, index, run(index), node);
            }
            placements.into_iter().map(|(index, _)| index).collect()
        } else {
            let mut placed = BTreeSet::new();
            for &index in &pending.waiting {
                let Some(node) = choice::best_node(pending, round.cluster) else {
                    break;
                };
                self.place_task(round, pending, index, run(index), node);
                placed.insert(index);
            }
            placed
        };
        pending.waiting.retain(|index| !placed.contains(index));
    }

    fn place_task(
        &mut self,
        round: &mut Round,
        pending: &PendingStep,
        index: u16,
        run: Run,
        node: usize,
    ) {
        let task = pending.task(index);
        self.waits.end(task);
        let node = &mut round.cluster.nodes[node];
        let occupant = Occupant {
            task,
            run,
            demand: pending.step.demand,
        };
        let expected = expect::on_node(pending.run_time, node);
        node.occupy(occupant, pending.run_time);
        pending.isolate(node);
        let incarnation = node.incarnation.clone();
        let slowdown = node.log_slowdown.exp();
        let step = &mut round.draft.edit(pending.job).steps[usize::from(pending.step_number)];
        let state = &mut step.tasks[usize::from(index)];
        state.run = run;
        state.state = State::Placed(incarnation.clone());
        round.plan.decisions.push(Decision::Placed {
            task,
            run,
            incarnation,
            age: self.age(round.now, pending.job),
            slowdown,
            expected,
        });
    }
}

impl PendingStep<'_> {
    pub fn task(&self, index: u16) -> Task {
        Task {
            job: self.job,
            step: self.step_number,
            index,
        }
    }

    /// Leaves out the waiting tasks of which a run is active; all of them if the step is a gang, which starts as a whole.
    fn leave_out_active(&mut self, cluster: &Cluster) {
        let count = self.waiting.len();
        let waiting = std::mem::take(&mut self.waiting);
        let inactive = waiting.into_iter();
        let inactive = inactive.filter(|index| !cluster.is_active(self.task(*index)));
        self.waiting = inactive.collect();
        if self.step.gang && self.waiting.len() < count {
            self.waiting.clear();
        }
    }

    /// Returns whether tasks of the step may run on a worker, regardless of its capacity.
    pub fn allows(&self, node: &Node) -> bool {
        self.serves(node) && !self.excluded.contains(&node.incarnation)
    }

    /// Returns whether a worker could run tasks of the step, regardless of its capacity and of what the tasks avoid.
    pub fn serves(&self, node: &Node) -> bool {
        node.serves(self.pool, self.step.label.as_ref()) && node.admits(self.job)
    }

    /// Returns whether some worker, also one that accepts no tasks at present, could run a task if it were empty.
    fn fits_empty_worker(&self, cluster: &Cluster, max_absence: Duration) -> bool {
        let mut nodes = cluster.nodes.iter();
        nodes.any(|node| node.may_return(max_absence) && self.copies_if_empty(node) > 0)
    }

    /// Returns how many tasks of the step a worker could run at a time if it were empty and accepted tasks.
    pub fn copies_if_empty(&self, node: &Node) -> u64 {
        if !node.suits(self.pool, self.step.label.as_ref()) {
            return 0;
        }
        let copies = self.step.demand.copies_in(&node.full_capacity);
        match self.step.per_worker {
            0 => copies,
            limit => copies.min(u64::from(limit)),
        }
    }

    /// Returns whether workers have crashed under the tasks.
    pub fn is_suspect(&self) -> bool {
        self.neighbours != Neighbours::Any
    }

    /// Returns whether the tasks start only where no other job's task runs.
    pub fn is_isolated(&self) -> bool {
        self.neighbours == Neighbours::OwnJob
    }

    /// Returns whether the tasks may start beside what runs on a worker once the runs selected by `ends` have ended.
    pub fn joins_after(&self, node: &Node, ends: impl Fn(&Occupant) -> bool) -> bool {
        !self.is_isolated()
            || (!node.has_unplaced_others(self.job) && node.others(self.job).all(ends))
    }

    /// Returns how many tasks of other jobs a crash under these tasks would end on a worker: those that it must not end
    /// again, and all. None if the tasks have not crashed workers.
    pub fn endangered(&self, node: &Node) -> (usize, usize) {
        if !self.is_suspect() {
            return (0, 0);
        }
        let suspects = node.suspect_jobs.iter();
        let suspects = suspects.filter(|job| **job != self.job);
        let others = node.others(self.job).count() + node.unplaced.len();
        (suspects.count(), others)
    }

    /// Returns whether the tasks may start beside what runs on a worker.
    pub fn joins(&self, node: &Node) -> bool {
        self.joins_after(node, |_| false)
    }

    /// Keeps other jobs off a worker that the tasks get, if workers have crashed under them.
    pub fn isolate(&self, node: &mut Node) {
        if self.is_suspect() {
            node.isolated_for = Some(self.job);
        }
    }

    /// Returns the capacity that a worker has for a task of the step.
    pub fn free(&self, node: &Node) -> crate::Demand {
        node.free_for(self.run_time)
    }

    /// Returns how many more tasks of the step fit on a worker.
    pub fn copies(&self, node: &Node, free: &crate::Demand) -> u64 {
        let copies = self.step.demand.copies_in(free).min(node.unused_runs());
        if self.step.per_worker == 0 {
            return copies;
        }
        let present = node.count_runs(self.job, self.step_number);
        copies.min(u64::from(self.step.per_worker).saturating_sub(present))
    }
}

/// Returns the steps that have waiting tasks and whose dependencies are done.
pub(super) fn ready_steps(job_state: &JobState, progress: &progress::Progress) -> Vec<u16> {
    let done = |dependency: &u16| {
        progress
            .steps
            .get(usize::from(*dependency))
            .is_some_and(progress::Step::done)
    };
    (0..)
        .zip(job_state.job.steps.iter().zip(&progress.steps))
        .filter(|(_, (step, state))| {
            let ready = step.depends_on.iter().all(done);
            let is_waiting = if step.gang {
                state.tasks.iter().all(|task| task.state == State::Waiting)
                    && broken::has_attempts_left(&job_state.job, state)
            } else {
                state.tasks.iter().any(|task| task.state == State::Waiting)
            };
            ready && is_waiting
        })
        .map(|(number, _)| number)
        .collect()
}

/// Returns the indices of the waiting tasks of a step that may have these neighbours.
fn waiting_tasks(state: &progress::Step, gang: bool, neighbours: Neighbours) -> Vec<u16> {
    (0..)
        .zip(&state.tasks)
        .filter(|(_, task)| task.state == State::Waiting)
        .map(|(index, _)| index)
        .filter(|index| crashes::neighbours(state, gang, *index) == neighbours)
        .collect()
}

/// Returns a function from a task's index to its next run number. Members of a gang share one number.
fn next_run(gang: bool, state: &progress::Step) -> impl Fn(u16) -> Run + use<> {
    let runs: Vec<Run> = state.tasks.iter().map(|task| task.run).collect();
    let highest = runs.iter().copied().max().unwrap_or(0);
    move |index| {
        if gang {
            highest + 1
        } else {
            runs[usize::from(index)] + 1
        }
    }
}

/// Returns the groups of nodes, each of which is considered as a whole for all tasks of a step: one
/// group per rack for a gang that must run within one rack, otherwise a single group of all nodes.
pub(super) fn candidate_groups(pending: &PendingStep, cluster: &Cluster) -> Vec<Vec<usize>> {
    if !pending.one_rack {
        return vec![(0..cluster.nodes.len()).collect()];
    }
    let mut racks: BTreeMap<&Option<Arc<str>>, Vec<usize>> = BTreeMap::new();
    for (node_index, node) in (0..).zip(&cluster.nodes) {
        if pending.allows(node) {
            racks.entry(&node.rack).or_default().push(node_index);
        }
    }
    racks.into_values().collect()
}

/// Counts how often each node index occurs.
pub(super) fn count_by_node(nodes: impl Iterator<Item = usize>) -> BTreeMap<usize, u64> {
    let mut counts = BTreeMap::new();
    for node in nodes {
        *counts.entry(node).or_default() += 1;
    }
    counts
}

/// Places all tasks within a group of nodes on as few of them as possible, or none.
pub(super) fn place_within(
    pending: &PendingStep,
    cluster: &Cluster,
    nodes: &[usize],
    free: impl Fn(&Node) -> crate::Demand,
) -> Vec<Placement> {
    let mut copies: Vec<(u64, usize)> = nodes
        .iter()
        .map(|&node_index| (node_index, &cluster.nodes[node_index]))
        .filter(|(_, node)| pending.allows(node))
        .map(|(node_index, node)| (pending.copies(node, &free(node)), node_index))
        .collect();
    let needed = pending.waiting.len() as u64;
    copies.sort_unstable_by_key(|(copies, node_index)| (std::cmp::Reverse(*copies), *node_index));
    // The remaining tasks go to the node with the least capacity that is sufficient for all of them. If there is
    // none, the node with the most capacity gets as many as fit.
    let mut placements = Vec::new();
    let mut tasks = pending.waiting.iter().copied();
    let mut remaining = needed;
    let mut used: BTreeSet<usize> = BTreeSet::new();
    while remaining > 0 {
        let sufficient = copies
            .iter()
            .filter(|(copies, node_index)| *copies >= remaining && !used.contains(node_index))
            .min_by_key(|(copies, _)| *copies);
        let next = sufficient.or_else(|| {
            copies
                .iter()
                .find(|(copies, node_index)| *copies > 0 && !used.contains(node_index))
        });
        let Some(&(copies, node_index)) = next else {
            return Vec::new();
        };
        used.insert(node_index);
        let count = copies.min(remaining);
        remaining -= count;
        placements.extend(
            tasks
                .by_ref()
                .take(usize::try_from(count).unwrap_or(usize::MAX))
                .map(|index| (index, node_index)),
        );
    }
    placements
}
