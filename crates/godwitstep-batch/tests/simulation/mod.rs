//! Simulation of a planner, a ledger and agents without network; tests advance it explicitly.

#![allow(dead_code)] // Each test file uses only a part.

use godwitstep_batch::Bounds;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Domain, Epoch, Incarnation, JobId, Run, Task};
use godwitstep_batch::job::{Job, Step};
use godwitstep_batch::ledger::{Ledger, Status};
use godwitstep_batch::message::{
    Crash, CrashedRun, Directive, EndReason, Ended, Reachability, Refusal, Refused, Report,
    Running, Worker, WorkerInfo,
};
use godwitstep_batch::planner::{Decision, OperatorView, Planner, WorkspaceShare};
use godwitstep_batch::policy::{Policy, Queue, Workspace};
use godwitstep_batch::progress::Outcome;
use godwitstep_batch::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Simulated time between two scheduling rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Status of a completed job.
pub const COMPLETED: Option<Status> = Some(Status::Ended(Outcome::Completed));

pub const fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

/// A host with its agent and worker.
pub struct SimulatedHost {
    pub worker: Worker,
    pub incarnation: u64,
    /// Highest epoch that the agent has received.
    pub epoch: Epoch,
    /// Whether the agent's reports reach the decider.
    pub reachable: bool,
    /// Whether the agent executes start and stop orders.
    pub executes_orders: bool,
    /// Whether runs make progress; on a hung worker they do not.
    pub makes_progress: bool,
    /// Run time of tasks here as a multiple of that on a worker of normal speed.
    pub slowdown: f64,
    /// Crashes that the agent reports.
    pub crashed: Vec<Crash>,
    next_end: u64,
    sequence: u64,
}

pub struct Simulation {
    pub now: Duration,
    pub planner: Planner,
    pub ledger: Ledger,
    pub policy: Policy,
    pub domains_out: BTreeSet<Domain>,
    pub view_age: Duration,
    pub jobs_age: Duration,
    pub hosts: BTreeMap<String, SimulatedHost>,
    /// Hosts whose workers are cut off from the others: members of gangs learn of no end across the cut.
    pub cut_off: BTreeSet<String>,
    pub decisions: Vec<Decision>,
    /// All changes of shares so far.
    pub shares: Vec<WorkspaceShare>,
    pub directives: BTreeMap<String, Directive>,
    /// True run time of each job's tasks where it differs from the estimate.
    pub run_times: BTreeMap<JobId, Duration>,
    /// Specification of the jobs that are submitted from now on.
    pub spec: Arc<str>,
    work_done: BTreeMap<(Task, Run), Duration>,
    offset: u64,
}

/// Capacity of a worker, as at the Windsock Works.
pub const WORKER_CAPACITY: Demand = Demand {
    cpu: 64_000,
    memory: 262_144,
    accelerators: 8,
};

pub fn queue(name: &str, priority: u8) -> Queue {
    Queue {
        name: name.into(),
        host: "jobs.example".into(),
        prefix: format!("/{name}/").into(),
        pool: "floor".into(),
        priority,
        attempts: 3,
        objective: Duration::from_millis(250),
        stretch: if priority == 0 { 1.5 } else { 3.0 },
        ..Queue::default()
    }
}

pub fn step(tasks: u16, accelerators: u64, estimate: Duration) -> Step {
    Step {
        tasks,
        demand: Demand {
            cpu: 7_500,
            memory: 22_000,
            accelerators,
        },
        estimate,
        ..Step::default()
    }
}

pub fn gang(tasks: u16, accelerators: u64, estimate: Duration) -> Step {
    Step {
        gang: true,
        ..step(tasks, accelerators, estimate)
    }
}

impl Simulation {
    /// Creates a cluster of workers with `per_rack` workers in each rack.
    pub fn new(workers: usize, per_rack: usize) -> Self {
        let bounds = Bounds::default();
        let policy = Policy {
            version: 1,
            queues: vec![queue("urgent", 0), queue("normal", 1), queue("patient", 2)],
            workspaces: ["north", "south"]
                .map(|name| Workspace {
                    name: name.into(),
                    keys: vec![format!("key-{name}").into()],
                    guaranteed: 16,
                })
                .into(),
            ..Policy::default()
        };
        let mut sim = Self {
            now: seconds(100),
            // The lease of the former decider is over.
            planner: Planner::new(1 << 20, seconds(90), bounds),
            ledger: Ledger::default(),
            policy,
            domains_out: BTreeSet::new(),
            view_age: Duration::ZERO,
            jobs_age: Duration::ZERO,
            hosts: BTreeMap::new(),
            cut_off: BTreeSet::new(),
            decisions: Vec::new(),
            shares: Vec::new(),
            directives: BTreeMap::new(),
            run_times: BTreeMap::new(),
            spec: "spec".into(),
            work_done: BTreeMap::new(),
            offset: 0,
        };
        for number in 0..workers {
            sim.add_host(number, per_rack);
        }
        sim
    }

    fn add_host(&mut self, number: usize, per_rack: usize) {
        let name = format!("host-{number:02}");
        let info = WorkerInfo {
            incarnation: Incarnation {
                host: name.as_str().into(),
                worker: format!("worker-{number:02}").into(),
                started_ms: 1,
            },
            pool: "floor".into(),
            domain: format!("domain-{}", number % 3).into(),
            capacity: WORKER_CAPACITY,
            labels: vec!["a".into()],
            rack: Some(format!("rack-{}", number / per_rack).into()),
            draining: false,
        };
        let worker = Worker {
            info,
            reachability: Reachability::Reachable,
            running: Vec::new(),
            ended: Vec::new(),
            refused: Vec::new(),
        };
        let host = SimulatedHost {
            worker,
            incarnation: 1,
            epoch: 0,
            reachable: true,
            executes_orders: true,
            makes_progress: true,
            slowdown: 1.0,
            crashed: Vec::new(),
            next_end: 1,
            sequence: 0,
        };
        self.hosts.insert(name, host);
    }

    pub fn host(&mut self, number: usize) -> &mut SimulatedHost {
        let name = format!("host-{number:02}");
        self.hosts.get_mut(&name).expect("the host exists")
    }

    pub fn submit(&mut self, id: JobId, queue: &str, workspace: &str, steps: Vec<Step>) {
        let queue = self.policy.queue(queue).expect("the queue exists").clone();
        let job = Job {
            id,
            workspace: Some(workspace.into()),
            queue,
            spec: self.spec.clone(),
            steps,
            accepted: self.wall(),
        };
        self.append(Record::Submitted(job));
    }

    pub fn append(&mut self, record: Record) {
        self.offset += 1;
        self.ledger.apply(self.offset, record);
    }

    /// Runs one round: all agents report, the planner decides, the agents execute their orders, and
    /// time advances by one round.
    pub fn round(&mut self) {
        self.deliver_reports();
        self.decide();
        self.execute_orders();
        self.advance(ROUND_INTERVAL);
    }

    /// Returns the wall clock in Unix milliseconds.
    fn wall(&self) -> u64 {
        u64::try_from(self.now.as_millis()).expect("the time is short")
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.round();
        }
    }

    /// Delivers the reports of all reachable agents.
    pub fn deliver_reports(&mut self) {
        for (name, host) in &mut self.hosts {
            host.sequence += 1;
            if host.reachable {
                let report = Report {
                    worker: Some(host.worker.clone()),
                    ..host.empty_report(name, self.planner.epoch())
                };
                self.planner.report(self.now, report);
            }
        }
    }

    pub fn decide(&mut self) {
        let view = OperatorView {
            policy: &self.policy,
            domains_out: &self.domains_out,
            age: self.view_age,
            jobs_age: self.jobs_age,
        };
        let plan = self
            .planner
            .decide(self.now, self.wall(), &self.ledger, &view);
        self.decisions.extend(plan.decisions);
        self.shares.extend(plan.shares);
        for record in plan.records {
            self.append(record);
        }
        self.planner.refresh_assignments(&self.ledger);
        let view = OperatorView {
            policy: &self.policy,
            domains_out: &self.domains_out,
            age: self.view_age,
            jobs_age: self.jobs_age,
        };
        self.directives = self
            .hosts
            .iter()
            .map(|(name, host)| {
                let report = host.empty_report(name, self.planner.epoch());
                let directive = self
                    .planner
                    .directive(&report, &self.ledger, &view, Vec::new());
                (name.clone(), directive)
            })
            .collect();
    }

    /// Executes the directives of all reachable agents.
    pub fn execute_orders(&mut self) {
        for (name, host) in &mut self.hosts {
            let directive = &self.directives[name];
            if !host.reachable {
                continue;
            }
            host.epoch = host.epoch.max(directive.epoch);
            if !host.executes_orders {
                continue;
            }
            host.worker
                .ended
                .retain(|end| end.number > directive.recorded);
            for start in &directive.start {
                host.worker.running.push(Running {
                    task: start.task,
                    run: start.run,
                    saved: start.saved.clone(),
                    percent: 0,
                });
            }
            for (task, run) in &directive.stop {
                if !host.end_run(*task, *run, EndReason::Stopped) {
                    host.worker.refused.push(Refused {
                        task: *task,
                        run: *run,
                        reason: Refusal::Withdrawn,
                    });
                }
            }
        }
        self.end_broken_gangs();
    }

    /// Ends the remaining members of gangs of which one has ended, as far as they reach it.
    fn end_broken_gangs(&mut self) {
        let mut connected: Vec<&mut SimulatedHost> = self
            .hosts
            .iter_mut()
            .filter(|(name, _)| !self.cut_off.contains(*name))
            .map(|(_, host)| host)
            .collect();
        let ended: BTreeSet<(JobId, u16, Run)> = connected
            .iter()
            .flat_map(|host| &host.worker.ended)
            .map(|end| (end.task.job, end.task.step, end.run))
            .collect();
        for host in &mut connected {
            let broken: Vec<(Task, Run)> = host
                .worker
                .running
                .iter()
                .filter(|listed_run| {
                    ended.contains(&(listed_run.task.job, listed_run.task.step, listed_run.run))
                })
                .map(|listed_run| (listed_run.task, listed_run.run))
                .collect();
            for (task, run) in broken {
                let gang = self
                    .ledger
                    .job(task.job)
                    .is_some_and(|job_state| job_state.job.steps[usize::from(task.step)].gang);
                if gang {
                    host.end_run(task, run, EndReason::GangEnded);
                }
            }
        }
    }

    /// Advances time: runs make progress and end when their work is done.
    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        for host in self.hosts.values_mut().filter(|host| host.makes_progress) {
            let mut done = Vec::new();
            for listed_run in &mut host.worker.running {
                let Some(job_state) = self.ledger.job(listed_run.task.job) else {
                    continue;
                };
                let step = &job_state.job.steps[usize::from(listed_run.task.step)];
                let run_time = self.run_times.get(&listed_run.task.job).copied();
                let run_time = run_time.unwrap_or(step.estimate).mul_f64(host.slowdown);
                let done_work = self
                    .work_done
                    .entry((listed_run.task, listed_run.run))
                    .or_default();
                *done_work += time;
                if *done_work >= run_time {
                    done.push((listed_run.task, listed_run.run));
                } else if step.checkpointable {
                    let share = done_work.as_secs_f64() / run_time.as_secs_f64();
                    listed_run.percent = percent(share);
                }
            }
            for (task, run) in done {
                host.end_run(task, run, EndReason::Done);
            }
        }
    }

    /// Returns whether any decision so far matches.
    pub fn has_decision(&self, matches: impl Fn(&Decision) -> bool) -> bool {
        self.decisions.iter().any(matches)
    }

    pub fn status(&self, job: JobId) -> Option<Status> {
        self.ledger.status(job)
    }

    /// Returns the hosts on which tasks of a job are running, one entry per task.
    pub fn hosts_running(&self, job: JobId) -> Vec<String> {
        self.hosts
            .iter()
            .flat_map(|(name, host)| {
                let listed_runs = host.worker.running.iter();
                listed_runs
                    .filter(|listed_run| listed_run.task.job == job)
                    .map(|_| name.clone())
            })
            .collect()
    }

    pub fn started(&self, job: JobId) -> bool {
        self.ledger.job(job).is_some_and(|job_state| {
            job_state.progress.started() || job_state.progress.outcome.is_some()
        })
    }

    /// Panics if the runs of some worker exceed its capacity.
    pub fn assert_capacity(&self) {
        for (name, host) in &self.hosts {
            let used = host
                .worker
                .running
                .iter()
                .filter_map(|listed_run| {
                    let job_state = self.ledger.job(listed_run.task.job)?;
                    Some(job_state.job.steps[usize::from(listed_run.task.step)].demand)
                })
                .fold(Demand::default(), |sum, demand| sum.saturating_add(&demand));
            assert!(
                used.fits(&host.worker.info.capacity),
                "{name} exceeds its capacity: its runs use {used:?}"
            );
        }
    }
}

impl SimulatedHost {
    /// Returns the agent's newest report without its worker.
    fn empty_report(&self, name: &str, epoch: Epoch) -> Report {
        Report {
            host: name.into(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            epoch,
            crashed: self.crashed.clone(),
            ..Report::default()
        }
    }

    /// Ends a run. Returns whether it was listed as running.
    pub fn end_run(&mut self, task: Task, run: Run, how: EndReason) -> bool {
        let count_before = self.worker.running.len();
        self.worker
            .running
            .retain(|listed_run| (listed_run.task, listed_run.run) != (task, run));
        if self.worker.running.len() == count_before {
            return false;
        }
        self.worker.ended.push(Ended {
            number: self.next_end,
            task,
            run,
            how,
            saved: "".into(),
        });
        self.next_end += 1;
        true
    }

    /// Replaces the worker, which crashes, by one with another name. The agent reports that the runs had this age.
    pub fn crash_worker(&mut self, age: Duration) {
        let age_ms = u64::try_from(age.as_millis()).expect("the age is short");
        let runs = self.worker.running.iter().map(|listed_run| CrashedRun {
            task: listed_run.task,
            run: listed_run.run,
            age_ms,
        });
        let crash = Crash {
            incarnation: self.worker.info.incarnation.clone(),
            runs: runs.collect(),
        };
        self.crashed.push(crash);
        self.rename_worker();
    }

    /// Replaces the worker by one with another name that runs nothing.
    pub fn rename_worker(&mut self) {
        let incarnation = &mut self.worker.info.incarnation;
        incarnation.worker = format!("{}+", incarnation.worker).into();
        self.restart_worker();
    }

    /// Replaces the worker by a new incarnation that runs nothing.
    pub fn restart_worker(&mut self) {
        self.worker.info.incarnation.started_ms += 1;
        self.worker.running.clear();
        self.worker.ended.clear();
        self.worker.refused.clear();
        self.next_end = 1;
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn percent(share: f64) -> u8 {
    (share * 100.0).clamp(0.0, 100.0) as u8
}
