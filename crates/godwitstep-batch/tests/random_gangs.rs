//! Random trials of gangs on machines that are cut off, lost or silent, beside failing members, crashing workers, cancelled
//! jobs and new deciders.

mod simulation;

use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::id::{Incarnation, JobId, Run, Task};
use godwitstep_batch::ledger::JobState;
use godwitstep_batch::message::EndReason;
use godwitstep_batch::planner::Planner;
use godwitstep_batch::record::Record;
use simulation::{ROUND_INTERVAL, Simulation, gang, seconds};
use std::collections::BTreeMap;
use std::time::Duration;

const HOSTS: usize = 12;
/// Attempts that the queue of the simulation allows.
const ATTEMPTS: usize = 3;
/// Time after which no machine is disturbed any more.
const CALM_AFTER: Duration = seconds(40);

/// A machine that is cut off or lost.
struct Outage {
    until: Duration,
    /// When the lease of the worker ends, if the machine is still out of reach.
    lease_end: Duration,
}

/// A failed run.
struct Failure {
    task: Task,
    at: Duration,
    host: String,
    incarnation: Incarnation,
    /// Number of the end in the worker's list.
    number: u64,
    /// Whether the decider has acknowledged the end before the worker's lease lapsed. Only such failures count.
    noted: bool,
    lapsed: bool,
}

struct Trial {
    sim: Simulation,
    random: fastrand::Rng,
    outages: BTreeMap<String, Outage>,
    failures: Vec<Failure>,
    /// When each run was first found to be active.
    starts: BTreeMap<(Task, Run), Duration>,
}

impl Trial {
    fn new(seed: u64) -> Self {
        Self {
            sim: Simulation::new(HOSTS, HOSTS),
            random: fastrand::Rng::with_seed(seed),
            outages: BTreeMap::new(),
            failures: Vec::new(),
            starts: BTreeMap::new(),
        }
    }

    fn duration(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.u64(range))
    }

    /// Returns a host that is in reach.
    fn host(&mut self) -> Option<String> {
        let hosts: Vec<String> = self.sim.hosts.keys().cloned().collect();
        let host = self.random.choice(hosts)?;
        (!self.outages.contains_key(&host)).then_some(host)
    }

    /// Fails a random run on a host.
    fn fail_run(&mut self, host: &str) {
        let worker = self.sim.hosts.get_mut(host).expect("the host exists");
        let Some(member) = self.random.choice(&worker.worker.running).cloned() else {
            return;
        };
        worker.end_run(member.task, member.run, EndReason::Failed);
        let end = worker.worker.ended.last().expect("the run has ended");
        self.failures.push(Failure {
            task: end.task,
            at: self.sim.now,
            host: host.to_owned(),
            incarnation: worker.worker.info.incarnation.clone(),
            number: end.number,
            noted: false,
            lapsed: false,
        });
    }

    fn disturb(&mut self) {
        let Some(host) = self.host() else {
            return;
        };
        match self.random.u32(..120) {
            0..3 => {
                // An agent renews the lease for 6.5 s, and it lasts for 6 s more; one that is frozen does not renew it.
                let outage = Outage {
                    until: self.sim.now + self.duration(500..20_000),
                    lease_end: self.sim.now + self.duration(5_500..12_500),
                };
                self.outages.insert(host.clone(), outage);
                self.sim.hosts.get_mut(&host).unwrap().reachable = false;
                let how = self.random.u32(..4);
                if how < 2 {
                    self.sim.cut_off.insert(host);
                } else if how == 2 {
                    self.lose(&host);
                }
            }
            3..5 => self.fail_run(&host),
            5 => {
                let age = self.duration(0..3_000);
                self.sim.hosts.get_mut(&host).unwrap().crash_worker(age);
                self.break_gangs();
            }
            6 => {
                let epoch = self.sim.planner.epoch() + (1 << 20);
                self.sim.planner = Planner::new(epoch, self.sim.now, Bounds::default());
            }
            7 if self.random.u32(..4) == 0 => {
                let job = self.random.u64(1..9);
                self.sim.append(Record::Cancelled { job });
            }
            8..12 => {
                // A machine out of reach fails a member.
                let silent = self.outages.keys().cloned();
                if let Some(host) = self.random.choice(silent.collect::<Vec<_>>()) {
                    self.fail_run(&host);
                }
            }
            _ => {}
        }
    }

    /// Ends a worker with all its runs; the next one has another name.
    fn lose(&mut self, host: &str) {
        self.sim.hosts.get_mut(host).unwrap().rename_worker();
        self.break_gangs();
    }

    /// Ends the members that reach one another of gangs that are not complete any more, because a worker is gone.
    fn break_gangs(&mut self) {
        let mut present: BTreeMap<(JobId, u16, Run), usize> = BTreeMap::new();
        for host in self.sim.hosts.values() {
            for run in &host.worker.running {
                *present
                    .entry((run.task.job, run.task.step, run.run))
                    .or_default() += 1;
            }
        }
        let ledger = &self.sim.ledger;
        let is_broken = |task: Task, run: Run| {
            let members = ledger.job(task.job).map(|job| job.job.steps[0].tasks);
            let present = present.get(&(task.job, task.step, run));
            present.copied() != members.map(usize::from)
        };
        for (name, host) in &mut self.sim.hosts {
            if self.sim.cut_off.contains(name) {
                continue;
            }
            for run in host.worker.running.clone() {
                if is_broken(run.task, run.run) {
                    host.end_run(run.task, run.run, EndReason::GangEnded);
                }
            }
        }
    }

    /// Ends leases and outages that are over.
    fn advance_outages(&mut self) {
        let now = self.sim.now;
        for (name, outage) in &self.outages {
            let host = self.sim.hosts.get_mut(name).expect("the host exists");
            if now >= outage.lease_end {
                for run in host.worker.running.clone() {
                    host.end_run(run.task, run.run, EndReason::LeaseExpired);
                }
                let failures = self.failures.iter_mut();
                for failure in failures.filter(|failure| failure.host == *name) {
                    failure.lapsed = true;
                }
            }
            if now >= outage.until {
                host.reachable = true;
                self.sim.cut_off.remove(name);
            }
        }
        self.outages.retain(|_, outage| now < outage.until);
    }

    /// Marks the failures that the newest directives acknowledge.
    fn note_failures(&mut self) {
        for failure in &mut self.failures {
            let directive = &self.sim.directives[&failure.host];
            let acknowledged = self.sim.hosts[&failure.host].reachable
                && directive.incarnation.as_ref() == Some(&failure.incarnation)
                && directive.recorded >= failure.number;
            failure.noted |= acknowledged && !failure.lapsed;
        }
    }

    /// Panics if two runs of a task are active.
    fn check_active(&mut self, seed: u64) {
        let mut active: BTreeMap<Task, Vec<Run>> = BTreeMap::new();
        for host in self.sim.hosts.values() {
            for run in &host.worker.running {
                active.entry(run.task).or_default().push(run.run);
                self.starts
                    .entry((run.task, run.run))
                    .or_insert(self.sim.now);
            }
        }
        for (task, runs) in active {
            assert!(runs.len() == 1, "seed {seed}: runs {runs:?} of {task}");
        }
    }

    /// Panics if a run has begun after its task had used up its attempts.
    fn check_attempts(&self, seed: u64) {
        for ((task, run), at) in &self.starts {
            let failures = self.failures.iter().filter(|failure| failure.noted);
            let earlier = failures.filter(|failure| failure.task == *task && failure.at < *at);
            let count = earlier.count();
            assert!(
                count < ATTEMPTS,
                "seed {seed}: run {run} of {task} after {count} failures"
            );
        }
    }

    fn run(&mut self, seed: u64) {
        let end = self.sim.now + seconds(100);
        let calm = self.sim.now + CALM_AFTER;
        let mut job = 0;
        while self.sim.now < end {
            if job < 8 && self.random.u32(..30) == 0 {
                job += 1;
                let members = self.random.u16(2..6);
                let work = self.duration(3_000..12_000);
                let step = gang(members, 8, work);
                self.sim.submit(job, "normal", "north", vec![step]);
            }
            if self.sim.now < calm {
                self.disturb();
            }
            self.advance_outages();
            self.sim.deliver_reports();
            self.sim.decide();
            self.note_failures();
            self.sim.execute_orders();
            self.check_active(seed);
            self.sim.advance(ROUND_INTERVAL);
        }
        self.check_attempts(seed);
        for job in 1..=job {
            let ended = self.sim.ledger.job(job).is_none_or(JobState::settled);
            assert!(ended, "seed {seed}: job {job:x} has not ended");
        }
    }
}

/// Guards against two runs of one task, more starts than attempts and jobs that never end, whatever ends some members of a
/// gang while the machines of others are out of reach (review/6, review/4).
#[test]
fn gangs_on_machines_that_come_and_go_run_once() {
    for seed in 0..100 {
        Trial::new(seed).run(seed);
    }
}
