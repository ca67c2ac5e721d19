//! Capacity of all workers during a scheduling round.
//!
//! Workers do not check their own capacity, so this accounting is the only protection against
//! overcommitment. Every placed run counts until its end is known, and so does every run in a
//! report.

use super::OperatorView;
use super::draft::Draft;
use super::expect;
use super::health::{Health, StallTimes};
use super::late::LateRuns;
use super::reports::AgentReports;
use super::speed_fit::{SpeedClass, SpeedClasses};
use crate::demand::Demand;
use crate::expectation::Expectations;
use crate::id::{Host, Incarnation, JobId, Pool, Run, Task};
use crate::message::{Reachability, Worker};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of runs on a worker, however small they are. Limits the size of what the worker, its agent and the
/// decider tell each other: 8,192 runs with checkpoints of 256 bytes take 3 MB in a report, of the 4 MB that fit.
const MAX_RUNS: usize = 8_192;

/// A run that occupies capacity on a worker.
#[derive(Debug)]
pub(super) struct Occupant {
    pub task: Task,
    pub run: Run,
    pub demand: Demand,
}

/// Scheduling state of one worker.
#[derive(Debug)]
pub(super) struct Node {
    pub incarnation: Incarnation,
    pub pool: Pool,
    pub rack: Option<Arc<str>>,
    pub labels: Vec<Arc<str>>,
    pub capacity: Demand,
    /// Capacity while it has not shrunk.
    pub full_capacity: Demand,
    /// Capacity that is neither occupied by runs nor committed in this round.
    pub free: Demand,
    /// Demand of the runs in excess of the capacity, which has shrunk since they were placed. Their ends free nothing
    /// before it has drained.
    pub excess: Demand,
    /// Capacity that is committed to jobs but not free yet.
    pub committed: Demand,
    /// Capacity that is reserved for a waiting job.
    pub reservation: Option<Reservation>,
    /// Logarithm of the run time of tasks here relative to equal tasks elsewhere; 0 if unknown.
    pub log_slowdown: f64,
    /// Speed class within the pool.
    pub speed_class: SpeedClass,
    /// Whether a run failed here by the worker's fault since the last successful run.
    pub suspect: bool,
    /// Whether the worker accepts new tasks.
    pub schedulable: bool,
    /// Time for which the worker has accepted no tasks; [`Duration::MAX`] if it is draining or its failure domain is out
    /// of service, as it does not come back by itself.
    pub absent_for: Duration,
    /// Whether a recent report shows the worker; the runs on another one may have ended.
    pub reports_recent: bool,
    pub occupants: Vec<Occupant>,
    /// Tasks of the other runs that a report lists here. They occupy capacity until they end.
    pub unplaced: Vec<Task>,
    /// Job that keeps all others off the worker, because workers have crashed under a task of it.
    pub isolated_for: Option<JobId>,
    /// Jobs of the placed tasks under which workers have crashed, one for each task.
    pub suspect_jobs: Vec<JobId>,
}

/// Capacity that is reserved from a time on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reservation {
    /// Expected start of the waiting job, counted from now.
    pub start: Duration,
    /// Capacity that is free from then on next to that job.
    pub spare: Demand,
}

impl Node {
    /// Adds a run and subtracts its demand.
    pub fn occupy(&mut self, occupant: Occupant, estimate: Duration) {
        self.subtract(&occupant.demand, estimate);
        self.occupants.push(occupant);
    }

    /// Subtracts the demand of a run, which may have begun when there was more capacity.
    fn subtract(&mut self, demand: &Demand, estimate: Duration) {
        self.excess = self
            .excess
            .saturating_add(&demand.saturating_sub(&self.free));
        self.commit(&demand.component_min(&self.free), estimate);
    }

    /// Commits capacity for a task of the estimated duration.
    pub fn commit(&mut self, demand: &Demand, estimate: Duration) {
        self.committed = self
            .committed
            .saturating_add(&demand.saturating_sub(&self.free));
        self.free = self.free.saturating_sub(demand);
        if let Some(reservation) = &mut self.reservation
            && estimate > reservation.start
        {
            reservation.spare = reservation.spare.saturating_sub(demand);
        }
    }

    /// Returns the capacity that is free once the runs selected by `ends` have ended, without what
    /// is committed to other jobs.
    pub fn free_after(&self, ends: impl Fn(&Occupant) -> bool) -> Demand {
        let ending = self.occupants.iter().filter(|occupant| ends(occupant));
        let freed = Demand::sum(ending.map(|occupant| &occupant.demand));
        self.available(&self.free.saturating_add(&freed))
    }

    /// Returns the part of an amount of freed capacity that is not in excess nor committed to jobs; none until the whole
    /// excess has drained.
    pub fn available(&self, freed: &Demand) -> Demand {
        if !self.excess.fits(freed) {
            return Demand::default();
        }
        freed
            .saturating_sub(&self.excess)
            .saturating_sub(&self.committed)
    }

    /// Returns the capacity for a task of this duration. The task must end before the reserved job
    /// starts unless it fits next to that job.
    pub fn free_for(&self, estimate: Duration) -> Demand {
        if self.has_excess() {
            return Demand::default();
        }
        match &self.reservation {
            Some(reservation) if estimate > reservation.start => {
                self.free.component_min(&reservation.spare)
            }
            _ => self.free,
        }
    }

    /// Returns how many more runs the worker may have.
    pub fn unused_runs(&self) -> u64 {
        MAX_RUNS.saturating_sub(self.occupants.len() + self.unplaced.len()) as u64
    }

    /// Returns how many runs of a step are placed or listed here.
    pub fn count_runs(&self, job: JobId, step: u16) -> u64 {
        let placed = self.occupants.iter().map(|occupant| &occupant.task);
        let tasks = placed.chain(&self.unplaced);
        tasks
            .filter(|task| task.job == job && task.step == step)
            .count() as u64
    }

    /// Returns whether a job may place tasks here although another one may keep the worker to itself.
    pub fn admits(&self, job: JobId) -> bool {
        self.isolated_for.is_none_or(|isolated| isolated == job)
    }

    /// Returns the runs of other jobs than this one.
    pub fn others(&self, job: JobId) -> impl Iterator<Item = &Occupant> {
        let occupants = self.occupants.iter();
        occupants.filter(move |occupant| occupant.task.job != job)
    }

    /// Returns whether a task of another job than this one runs here and is not placed here.
    pub fn has_unplaced_others(&self, job: JobId) -> bool {
        self.unplaced.iter().any(|task| task.job != job)
    }

    /// Returns whether nothing occupies capacity here.
    pub fn is_empty(&self) -> bool {
        self.occupants.is_empty() && self.free == self.capacity && !self.has_excess()
    }

    fn has_excess(&self) -> bool {
        self.excess != Demand::default()
    }

    /// Returns whether the worker accepts tasks of a pool that need a label.
    pub fn serves(&self, pool: &str, label: Option<&Arc<str>>) -> bool {
        self.schedulable && self.suits(pool, label)
    }

    /// Returns whether the worker belongs to a pool and has a label.
    pub fn suits(&self, pool: &str, label: Option<&Arc<str>>) -> bool {
        &*self.pool == pool && label.is_none_or(|label| self.labels.contains(label))
    }

    /// Returns whether the worker accepts tasks, or has done so within a time and may again.
    pub fn may_return(&self, max_absence: Duration) -> bool {
        self.schedulable || self.absent_for <= max_absence
    }
}

/// All workers in the order of their hosts, without those that are lost.
#[derive(Debug)]
pub(super) struct Cluster {
    pub nodes: Vec<Node>,
    by_host: HashMap<Host, usize>,
    /// Tasks of late runs that may be active.
    active: HashSet<Task>,
    speed_classes: HashMap<Pool, SpeedClasses>,
}

impl Cluster {
    pub fn new(
        now: Duration,
        reports: &AgentReports,
        health: &Health,
        expectations: &Expectations,
        late: &LateRuns,
        draft: &Draft,
        view: &OperatorView,
    ) -> Self {
        let stall_times =
            health.worker_stalls(now, |task| expect::pace_of_task(expectations, draft, task));
        let nodes: Vec<Node> = reports
            .present_workers(now)
            .map(|(age, worker)| Node {
                full_capacity: reports.full_capacity(worker),
                log_slowdown: log_slowdown(reports, expectations, worker),
                ..build_node(now, age, worker, health, &stall_times, view)
            })
            .collect();
        let by_host = (0..)
            .zip(&nodes)
            .map(|(index, node)| (node.incarnation.host.clone(), index))
            .collect();
        let mut cluster = Self {
            nodes,
            by_host,
            active: late.tasks().collect(),
            speed_classes: HashMap::new(),
        };
        cluster.classify_speeds();
        cluster.count_placed(draft);
        cluster.count_listed(now, reports, draft);
        cluster.exclude_slow(health, expectations, draft);
        cluster.isolate_suspects(now, health, draft);
        cluster
    }

    /// Divides the workers of each pool into speed classes.
    fn classify_speeds(&mut self) {
        let mut log_slowdowns: HashMap<Pool, Vec<f64>> = HashMap::new();
        for node in &self.nodes {
            let pool = log_slowdowns.entry(node.pool.clone()).or_default();
            pool.push(node.log_slowdown);
        }
        let classes = |(pool, values): (Pool, Vec<f64>)| (pool, SpeedClasses::new(&values));
        self.speed_classes = log_slowdowns.into_iter().map(classes).collect();
        for node in &mut self.nodes {
            node.speed_class = self.speed_classes[&node.pool].class_of(node.log_slowdown);
        }
    }

    /// Returns the speed classes of a pool, or `None` if it has no workers.
    pub fn speed_classes(&self, pool: &str) -> Option<&SpeedClasses> {
        self.speed_classes.get(pool)
    }

    fn count_placed(&mut self, draft: &Draft) {
        for (job, job_state, progress) in draft.open() {
            for (step, index, placed, incarnation) in progress.placed() {
                let demand = job_state.job.steps[usize::from(step)].demand;
                let task = Task { job, step, index };
                if let Some(node) = self.node_by_name(incarnation) {
                    let occupant = Occupant {
                        task,
                        run: placed.run,
                        demand,
                    };
                    node.occupy(occupant, Duration::ZERO);
                }
            }
        }
    }

    /// Counts reported runs that the ledger does not place on that worker: remaining members of a
    /// completed gang and runs that are being stopped.
    fn count_listed(&mut self, now: Duration, reports: &AgentReports, draft: &Draft) {
        for (_, worker) in reports.present_workers(now) {
            if worker.reachability == Reachability::LeaseExpired {
                // The lists are those of its last answer; nothing runs there any more.
                continue;
            }
            let Some(node) = self.node_mut(&worker.info.incarnation) else {
                continue;
            };
            let counted: HashSet<(Task, Run)> = node
                .occupants
                .iter()
                .map(|occupant| (occupant.task, occupant.run))
                .collect();
            for listed_run in &worker.running {
                if counted.contains(&(listed_run.task, listed_run.run)) {
                    continue;
                }
                node.unplaced.push(listed_run.task);
                let demand = draft
                    .ledger()
                    .job(listed_run.task.job)
                    .and_then(|job_state| {
                        job_state.job.steps.get(usize::from(listed_run.task.step))
                    })
                    .map(|step| step.demand);
                match demand {
                    Some(demand) => node.subtract(&demand, Duration::ZERO),
                    // The demand of the run is unknown, so no free capacity can be assumed.
                    None => node.schedulable = false,
                }
            }
        }
    }

    /// Returns whether a run of a task is active although the ledger does not place it. It may have been started late
    /// and is being stopped; until then the task must not be placed.
    pub fn is_active(&self, task: Task) -> bool {
        self.active.contains(&task)
    }

    /// Excludes workers on which all runs are slow from placements, unless these are most workers of a pool: then the
    /// estimates are wrong rather than the workers.
    fn exclude_slow(&mut self, health: &Health, expectations: &Expectations, draft: &Draft) {
        let is_slow = |occupant: &Occupant| {
            let expectation = || expect::of_task(expectations, draft, occupant.task);
            let slow = health.is_slow(occupant.task, occupant.run, expectation)?;
            Some(slow && !self.is_spread(draft, occupant.task))
        };
        let mut slow_by_pool: HashMap<Pool, Vec<usize>> = HashMap::new();
        let mut workers_by_pool: HashMap<Pool, usize> = HashMap::new();
        for (index, node) in self.nodes.iter().enumerate() {
            *workers_by_pool.entry(node.pool.clone()).or_default() += 1;
            let slow: Vec<bool> = node.occupants.iter().filter_map(is_slow).collect();
            if !slow.is_empty() && slow.iter().all(|slow| *slow) {
                slow_by_pool
                    .entry(node.pool.clone())
                    .or_default()
                    .push(index);
            }
        }
        for (pool, slow) in slow_by_pool {
            if slow.len() * 2 > workers_by_pool[&pool] {
                continue;
            }
            for index in slow {
                self.nodes[index].schedulable = false;
            }
        }
    }

    /// Returns whether a task belongs to a gang that should run within one rack and runs on several, where it is slow on
    /// any worker.
    fn is_spread(&self, draft: &Draft, task: Task) -> bool {
        let job_state = draft.ledger().job(task.job);
        let steps = job_state.map(|job_state| &job_state.job.steps);
        let step = steps.and_then(|steps| steps.get(usize::from(task.step)));
        if !step.is_some_and(|step| step.gang && step.one_rack) {
            return false;
        }
        let of_gang =
            |occupant: &Occupant| (occupant.task.job, occupant.task.step) == (task.job, task.step);
        let nodes = self.nodes.iter();
        let mut members = nodes.filter(|node| node.occupants.iter().any(of_gang));
        let first = members.next().map(|node| &node.rack);
        first.is_some_and(|rack| members.any(|node| node.rack != *rack))
    }

    /// Returns the node of a worker, whichever its current incarnation is: it may still carry out a start that was sent to
    /// an earlier one under its name.
    fn node_by_name(&mut self, incarnation: &Incarnation) -> Option<&mut Node> {
        let index = *self.by_host.get(&incarnation.host)?;
        let node = self.nodes.get_mut(index)?;
        (node.incarnation.worker == incarnation.worker).then_some(node)
    }

    /// Returns the node of an incarnation of a worker.
    pub fn node_mut(&mut self, incarnation: &Incarnation) -> Option<&mut Node> {
        let index = *self.by_host.get(&incarnation.host)?;
        let node = self.nodes.get_mut(index)?;
        (node.incarnation == *incarnation).then_some(node)
    }
}

/// Returns what is known of the slowness of a worker's machine.
fn log_slowdown(reports: &AgentReports, expectations: &Expectations, worker: &Worker) -> f64 {
    let host = &worker.info.incarnation.host;
    expectations.log_slowdown(host, reports.hardware(host))
}

/// Returns the scheduling state of a worker that runs nothing.
fn build_node(
    now: Duration,
    age: Duration,
    worker: &Worker,
    health: &Health,
    stall_times: &StallTimes,
    view: &OperatorView,
) -> Node {
    let leaving = worker.info.draining || view.domains_out.contains(&worker.info.domain);
    let schedulable = AgentReports::is_fresh(age)
        && worker.reachability == Reachability::Reachable
        && !leaving
        && health.accepts_tasks(now, &worker.info.incarnation, stall_times);
    Node {
        incarnation: worker.info.incarnation.clone(),
        pool: worker.info.pool.clone(),
        rack: worker.info.rack.clone(),
        labels: worker.info.labels.clone(),
        capacity: worker.info.capacity,
        full_capacity: worker.info.capacity,
        free: worker.info.capacity,
        excess: Demand::default(),
        committed: Demand::default(),
        reservation: None,
        log_slowdown: 0.0,
        speed_class: 0,
        suspect: health.is_suspect(&worker.info.incarnation),
        schedulable,
        absent_for: if leaving {
            Duration::MAX
        } else {
            Duration::ZERO
        },
        reports_recent: AgentReports::is_fresh(age),
        occupants: Vec::new(),
        unplaced: Vec::new(),
        isolated_for: None,
        suspect_jobs: Vec::new(),
    }
}
