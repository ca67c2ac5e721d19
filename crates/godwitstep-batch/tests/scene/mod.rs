//! A planner, a ledger and agents without any network, driven by hand.

#![allow(dead_code)] // Each test file uses a part.

use godwitstep_batch::Bounds;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Domain, JobId, Life, Run, Task};
use godwitstep_batch::job::{Job, Step};
use godwitstep_batch::ledger::{Ledger, Status};
use godwitstep_batch::message::{
    About, Contact, Directive, Ended, How, Refusal, Refused, Report, Running, Worker,
};
use godwitstep_batch::planner::{Decision, Orders, Planner};
use godwitstep_batch::policy::{Policy, Queue, Workspace};
use godwitstep_batch::progress::Outcome;
use godwitstep_batch::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time between two rounds of the scene.
pub const STEP: Duration = Duration::from_millis(100);

/// Status of a job that is done.
pub const DONE: Option<Status> = Some(Status::Ended(Outcome::Completed));

pub const fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

/// A host with its agent and worker.
pub struct Host {
    pub worker: Worker,
    pub incarnation: u64,
    /// Whether its reports reach the decider.
    pub heard: bool,
    /// Whether it carries out start and stop orders.
    pub obeys: bool,
    /// Whether runs move; a worker that hangs does not.
    pub works: bool,
    /// Times the length that a run takes on a worker of the usual speed.
    pub slowness: f64,
    next_end: u64,
    sequence: u64,
}

pub struct Scene {
    pub now: Duration,
    pub planner: Planner,
    pub ledger: Ledger,
    pub policy: Policy,
    pub out: BTreeSet<Domain>,
    pub orders_age: Duration,
    pub hosts: BTreeMap<String, Host>,
    pub decisions: Vec<Decision>,
    pub directives: BTreeMap<String, Directive>,
    /// True length of each step's tasks, where it differs from the estimate.
    pub lengths: BTreeMap<JobId, Duration>,
    work: BTreeMap<(Task, Run), Duration>,
    offset: u64,
}

/// Room of a worker of the Windsock Works.
pub const ROOM: Demand = Demand {
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

impl Scene {
    /// Returns a floor of workers, `per_rack` in a rack.
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
        let mut scene = Self {
            now: seconds(100),
            planner: Planner::new(1 << 20, seconds(100), bounds),
            ledger: Ledger::default(),
            policy,
            out: BTreeSet::new(),
            orders_age: Duration::ZERO,
            hosts: BTreeMap::new(),
            decisions: Vec::new(),
            directives: BTreeMap::new(),
            lengths: BTreeMap::new(),
            work: BTreeMap::new(),
            offset: 0,
        };
        for number in 0..workers {
            scene.add_host(number, per_rack);
        }
        scene
    }

    fn add_host(&mut self, number: usize, per_rack: usize) {
        let name = format!("host-{number:02}");
        let about = About {
            life: Life {
                host: name.as_str().into(),
                worker: format!("worker-{number:02}").into(),
                born: 1,
            },
            pool: "floor".into(),
            domain: format!("domain-{}", number % 3).into(),
            room: ROOM,
            labels: vec!["a".into()],
            rack: Some(format!("rack-{}", number / per_rack).into()),
            draining: false,
        };
        let worker = Worker {
            about,
            contact: Contact::Answers,
            running: Vec::new(),
            ended: Vec::new(),
            refused: Vec::new(),
        };
        let host = Host {
            worker,
            incarnation: 1,
            heard: true,
            obeys: true,
            works: true,
            slowness: 1.0,
            next_end: 1,
            sequence: 0,
        };
        self.hosts.insert(name, host);
    }

    pub fn host(&mut self, number: usize) -> &mut Host {
        let name = format!("host-{number:02}");
        self.hosts.get_mut(&name).expect("the host exists")
    }

    pub fn submit(&mut self, id: JobId, queue: &str, workspace: &str, steps: Vec<Step>) {
        let queue = self.policy.queue(queue).expect("the queue exists").clone();
        let job = Job {
            id,
            workspace: Some(workspace.into()),
            queue,
            spec: "spec".into(),
            steps,
            accepted: 0,
        };
        self.write(Record::Submitted(job));
    }

    pub fn write(&mut self, record: Record) {
        self.offset += 1;
        self.ledger.apply(self.offset, record);
    }

    /// Lets all agents report, the planner decide and the agents obey, then time pass.
    pub fn round(&mut self) {
        self.report();
        self.decide();
        self.obey();
        self.pass(STEP);
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.round();
        }
    }

    /// Sends all reports.
    pub fn report(&mut self) {
        for (name, host) in &mut self.hosts {
            host.sequence += 1;
            if host.heard {
                let report = Report {
                    host: name.as_str().into(),
                    incarnation: host.incarnation,
                    sequence: host.sequence,
                    worker: Some(host.worker.clone()),
                    ..Report::default()
                };
                self.planner.report(self.now, report);
            }
        }
    }

    pub fn decide(&mut self) {
        let orders = Orders {
            policy: &self.policy,
            out: &self.out,
            age: self.orders_age,
        };
        let plan = self.planner.decide(self.now, 0, &self.ledger, &orders);
        self.decisions.extend(plan.decisions);
        for record in plan.records {
            self.write(record);
        }
        self.planner.assign(&self.ledger);
        let orders = Orders {
            policy: &self.policy,
            out: &self.out,
            age: self.orders_age,
        };
        self.directives = self
            .hosts
            .keys()
            .map(|name| {
                let directive = self
                    .planner
                    .directive(name, &self.ledger, &orders, Vec::new());
                (name.clone(), directive)
            })
            .collect();
    }

    /// Lets the agents carry out what they were told.
    pub fn obey(&mut self) {
        for (name, host) in &mut self.hosts {
            let directive = &self.directives[name];
            if !host.heard || !host.obeys {
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
                if !host.end(*task, *run, How::Stopped) {
                    host.worker.refused.push(Refused {
                        task: *task,
                        run: *run,
                        why: Refusal::Withdrawn,
                    });
                }
            }
        }
        self.break_gangs();
    }

    /// Ends members of gangs of which another one has ended.
    fn break_gangs(&mut self) {
        let ended: BTreeSet<(JobId, u16, Run)> = self
            .hosts
            .values()
            .flat_map(|host| &host.worker.ended)
            .map(|end| (end.task.job, end.task.step, end.run))
            .collect();
        for host in self.hosts.values_mut() {
            let broken: Vec<(Task, Run)> = host
                .worker
                .running
                .iter()
                .filter(|row| ended.contains(&(row.task.job, row.task.step, row.run)))
                .map(|row| (row.task, row.run))
                .collect();
            for (task, run) in broken {
                let gang = self
                    .ledger
                    .job(task.job)
                    .is_some_and(|entry| entry.job.steps[usize::from(task.step)].gang);
                if gang {
                    host.end(task, run, How::Broken);
                }
            }
        }
    }

    /// Lets runs work and end.
    pub fn pass(&mut self, time: Duration) {
        self.now += time;
        for host in self.hosts.values_mut().filter(|host| host.works) {
            let mut done = Vec::new();
            for row in &mut host.worker.running {
                let Some(entry) = self.ledger.job(row.task.job) else {
                    continue;
                };
                let step = &entry.job.steps[usize::from(row.task.step)];
                let length = self.lengths.get(&row.task.job).copied();
                let length = length.unwrap_or(step.estimate).mul_f64(host.slowness);
                let worked = self.work.entry((row.task, row.run)).or_default();
                *worked += time;
                if *worked >= length {
                    done.push((row.task, row.run));
                } else if step.saves {
                    let share = worked.as_secs_f64() / length.as_secs_f64();
                    row.percent = percent(share);
                }
            }
            for (task, run) in done {
                host.end(task, run, How::Done);
            }
        }
    }

    /// Tells whether something was decided.
    pub fn decided(&self, which: impl Fn(&Decision) -> bool) -> bool {
        self.decisions.iter().any(which)
    }

    pub fn status(&self, job: JobId) -> Option<Status> {
        self.ledger.status(job)
    }

    /// Returns the hosts on which tasks of a job are listed as running.
    pub fn places(&self, job: JobId) -> Vec<String> {
        self.hosts
            .iter()
            .flat_map(|(name, host)| {
                let rows = host.worker.running.iter();
                rows.filter(|row| row.task.job == job).map(|_| name.clone())
            })
            .collect()
    }

    pub fn started(&self, job: JobId) -> bool {
        self.ledger
            .job(job)
            .is_some_and(|entry| entry.status() != Status::Queued)
    }

    /// Panics if some worker lists more than it has room for.
    pub fn check_room(&self) {
        for (name, host) in &self.hosts {
            let used = host
                .worker
                .running
                .iter()
                .filter_map(|row| {
                    let entry = self.ledger.job(row.task.job)?;
                    Some(entry.job.steps[usize::from(row.task.step)].demand)
                })
                .fold(Demand::default(), |sum, demand| sum.plus(&demand));
            assert!(used.fits(&host.worker.about.room), "{name} runs {used:?}");
        }
    }
}

impl Host {
    /// Ends a run. Returns whether it was listed as running.
    pub fn end(&mut self, task: Task, run: Run, how: How) -> bool {
        let before = self.worker.running.len();
        self.worker
            .running
            .retain(|row| (row.task, row.run) != (task, run));
        if self.worker.running.len() == before {
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

    /// Replaces the worker by a new life that runs nothing.
    pub fn reborn(&mut self) {
        self.worker.about.life.born += 1;
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
