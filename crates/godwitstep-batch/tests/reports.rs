//! Reports of several processes of an agent, of several deciders' times and in any order.

mod simulation;

use godwitstep_batch::agent::{Agent, Answer, Contact, Operation, Registration, RunLists};
use godwitstep_batch::bounds::{Bounds, DECIDER_LEASE};
use godwitstep_batch::id::{Epoch, Run, Task};
use godwitstep_batch::job::Step;
use godwitstep_batch::ledger::Ledger;
use godwitstep_batch::message::{Directive, Reachability, Refusal, Refused, Report, Running};
use godwitstep_batch::planner::{Decision, OperatorView, Planner};
use godwitstep_batch::policy::Policy;
use simulation::{Simulation, seconds, step};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Simulated time between two exchanges of an agent with the decider and its worker.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// A worker that kills its runs when its lease ends.
struct LeasedWorker {
    registration: Registration,
    running: BTreeSet<(Task, Run)>,
    lease_end: Duration,
}

/// A host with an agent's state machine and a worker.
struct LeasedHost {
    agent: Agent,
    worker: LeasedWorker,
}

impl LeasedHost {
    fn new(now: Duration, host: &str, incarnation: u64, registration: Registration) -> Self {
        let worker = LeasedWorker {
            registration,
            running: BTreeSet::new(),
            lease_end: Duration::ZERO,
        };
        let mut leased = Self {
            agent: Agent::new(now, host.into(), incarnation, Bounds::default()),
            worker,
        };
        leased.register(now);
        leased
    }

    fn register(&mut self, now: Duration) {
        let registration = self.worker.registration.clone();
        let address = "10.0.0.1:8080".parse().unwrap();
        self.agent.register(now, registration, address);
    }

    /// Replaces the agent's process.
    fn restart_agent(&mut self, now: Duration, incarnation: u64) {
        let host = &self.worker.registration.info.incarnation.host;
        self.agent = Agent::new(now, host.clone(), incarnation, Bounds::default());
        self.register(now);
    }

    /// Polls the worker and executes the calls that are due.
    fn serve_worker(&mut self, now: Duration) {
        if self.worker.lease_end < now {
            self.worker.running.clear();
        }
        if let Some(probe) = self.agent.due_probe(now) {
            let contact = Contact::Lists(self.worker.lists(now));
            self.agent.probe_answered(now, now, &probe, contact);
        }
        if let Some(request) = self.agent.lease_request(now) {
            let deadline = request.deadline.map(Duration::from_millis);
            self.worker.extend_lease(deadline);
            let lists = self.worker.lists(now);
            self.agent
                .poll_answered(now, now, &request.incarnation, lists);
        }
        for call in self.agent.due_calls(now) {
            match call.operation {
                Operation::Start(_) => {
                    let deadline = Duration::from_millis(call.deadline);
                    self.worker.extend_lease(Some(deadline));
                    self.worker.running.insert(call.key);
                }
                Operation::Stop(_) => {
                    self.worker.running.remove(&call.key);
                }
            }
            self.agent.call_answered(now, &call, Answer::Accepted);
        }
    }
}

impl LeasedWorker {
    fn extend_lease(&mut self, deadline: Option<Duration>) {
        self.lease_end = self.lease_end.max(deadline.unwrap_or_default());
    }

    fn lists(&self, now: Duration) -> RunLists {
        RunLists {
            clock: u64::try_from(now.as_millis()).unwrap(),
            running: self
                .running
                .iter()
                .map(|(task, run)| Running {
                    task: *task,
                    run: *run,
                    saved: "".into(),
                    percent: 0,
                })
                .collect(),
            ..RunLists::default()
        }
    }
}

/// A decider with agents whose workers hold leases.
struct LeasedCluster {
    now: Duration,
    planner: Planner,
    ledger: Ledger,
    policy: Policy,
    hosts: BTreeMap<String, LeasedHost>,
    offset: u64,
}

impl LeasedCluster {
    /// Creates a cluster with one job of one long task.
    fn new(workers: usize) -> Self {
        let mut sim = Simulation::new(workers, workers);
        sim.submit(1, "normal", "north", vec![step(1, 8, seconds(600))]);
        let registration = |sim: &mut Simulation, number| Registration {
            info: sim.host(number).worker.info.clone(),
            sequence: 1,
        };
        let hosts = (0..workers)
            .map(|number| {
                let name = format!("host-{number:02}");
                let registration = registration(&mut sim, number);
                let host = LeasedHost::new(sim.now, &name, 1_000_000, registration);
                (name, host)
            })
            .collect();
        Self {
            now: sim.now,
            planner: sim.planner,
            ledger: sim.ledger,
            policy: sim.policy,
            hosts,
            offset: 1,
        }
    }

    fn directive(&mut self, report: &Report) -> Directive {
        self.planner.report(self.now, report.clone());
        let domains_out = BTreeSet::new();
        let view = OperatorView {
            policy: &self.policy,
            domains_out: &domains_out,
            age: Duration::ZERO,
            jobs_age: Duration::ZERO,
        };
        self.planner
            .directive(report, &self.ledger, &view, Vec::new())
    }

    fn decide(&mut self) {
        let domains_out = BTreeSet::new();
        let view = OperatorView {
            policy: &self.policy,
            domains_out: &domains_out,
            age: Duration::ZERO,
            jobs_age: Duration::ZERO,
        };
        let plan = self.planner.decide(self.now, 0, &self.ledger, &view);
        for record in plan.records {
            self.offset += 1;
            self.ledger.apply(self.offset, record);
        }
        self.planner.refresh_assignments(&self.ledger);
    }

    /// All agents exchange a report with the decider and serve their worker; then the decider runs a round.
    fn exchange(&mut self) {
        let names: Vec<String> = self.hosts.keys().cloned().collect();
        for name in names {
            let now = self.now;
            let report = self.hosts.get_mut(&name).unwrap().agent.report(now, false);
            let directive = self.directive(&report);
            let host = self.hosts.get_mut(&name).unwrap();
            host.agent.apply_directive(now, directive);
            host.serve_worker(now);
        }
        self.decide();
        self.now += EXCHANGE_INTERVAL;
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.exchange();
            let active = self.active_runs();
            assert!(active.len() < 2, "at {:?}: {active:?}", self.now);
        }
    }

    fn active_runs(&self) -> Vec<(String, Task, Run)> {
        self.hosts
            .iter()
            .flat_map(|(name, host)| {
                let running = host.worker.running.iter();
                running.map(|(task, run)| (name.clone(), *task, *run))
            })
            .collect()
    }
}

/// Guards against a second run of a task after an agent restarted while the time of day was set back.
#[test]
fn agent_restarted_after_the_clock_was_set_back_keeps_its_runs() {
    let mut cluster = LeasedCluster::new(2);
    cluster.run_for(seconds(5));
    let active = cluster.active_runs();
    let (name, ..) = active.first().expect("the task runs").clone();
    let now = cluster.now;
    let host = cluster.hosts.get_mut(&name).unwrap();
    host.restart_agent(now, 990_000);
    cluster.run_for(seconds(30));
    assert_eq!(cluster.active_runs(), active);
}

/// Returns a report of a process of the agent of the first host.
fn report(sim: &mut Simulation, incarnation: u64, sequence: u64, epoch: Epoch) -> Report {
    Report {
        host: "host-00".into(),
        incarnation,
        sequence,
        epoch,
        worker: Some(sim.host(0).worker.clone()),
        ..Report::default()
    }
}

fn directive(sim: &Simulation, report: &Report) -> Directive {
    let view = OperatorView {
        policy: &sim.policy,
        domains_out: &sim.domains_out,
        age: Duration::ZERO,
        jobs_age: Duration::ZERO,
    };
    sim.planner
        .directive(report, &sim.ledger, &view, Vec::new())
}

/// Guards against a restarted agent that has to report more than twice before its reports are used.
#[test]
fn second_report_of_a_restarted_agent_is_used() {
    let mut sim = Simulation::new(1, 1);
    let (now, epoch) = (sim.now, sim.planner.epoch());
    let former = report(&mut sim, 1_000, 70, epoch);
    assert!(sim.planner.report(now, former.clone()));
    let first = report(&mut sim, 990, 1, 0);
    assert!(!sim.planner.report(now, first.clone()));
    let reply = directive(&sim, &first);
    assert_eq!((reply.epoch, reply.sequence), (epoch, 0));
    let second = report(&mut sim, 990, 2, epoch);
    assert!(sim.planner.report(now, second.clone()));
    assert_eq!(directive(&sim, &second).sequence, 2);
    assert_eq!(
        directive(&sim, &former).sequence,
        0,
        "a replaced process is answered"
    );
}

/// Guards against a delayed report of a replaced agent that takes the place of its successor's.
#[test]
fn delayed_reports_of_earlier_agents_are_not_used() {
    let mut sim = Simulation::new(1, 1);
    let (now, epoch) = (sim.now, sim.planner.epoch());
    for (incarnation, sequence, carried) in [
        (1_000, 1, 0),
        (1_000, 2, epoch),
        // This process is replaced before its second report arrives.
        (990, 1, 0),
        (2_000, 1, 0),
        (2_000, 2, epoch),
    ] {
        let report = report(&mut sim, incarnation, sequence, carried);
        sim.planner.report(now, report);
    }
    for (incarnation, sequence) in [(1_000, 3), (990, 2), (2_000, 1)] {
        let delayed = report(&mut sim, incarnation, sequence, epoch);
        assert!(!sim.planner.report(now, delayed), "process {incarnation}");
    }
}

/// Returns a simulation with one job of one task that runs on the first of two hosts, after the take-over of a
/// new decider.
fn taken_over() -> Simulation {
    let mut sim = Simulation::new(2, 2);
    sim.host(1).reachable = false;
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(1));
    assert_eq!(sim.hosts_running(1), ["host-00"]);
    sim.planner = Planner::new(2 << 20, sim.now, Bounds::default());
    sim
}

/// Guards against a report from before a take-over that ends a run which is active: the worker was out of reach then.
#[test]
fn lease_expiry_from_before_a_takeover_ends_no_run() {
    let mut sim = taken_over();
    let mut delayed = report(&mut sim, 1, 5, 1 << 20);
    let worker = delayed.worker.as_mut().unwrap();
    worker.reachability = Reachability::LeaseExpired;
    worker.running.clear();
    sim.planner.report(sim.now, delayed);
    sim.decide();
    assert!(sim.decisions.iter().all(|decision| !ended(decision)));
}

/// Guards against a report from before a take-over that ends runs of a worker which has registered since.
#[test]
fn former_worker_from_before_a_takeover_ends_no_run() {
    let mut sim = taken_over();
    let mut delayed = report(&mut sim, 1, 5, 1 << 20);
    let worker = delayed.worker.as_mut().unwrap();
    worker.info.incarnation.worker = "worker-of-before".into();
    worker.info.incarnation.started_ms = 9;
    worker.running.clear();
    sim.planner.report(sim.now, delayed);
    sim.decide();
    assert!(sim.decisions.iter().all(|decision| !ended(decision)));
}

/// Guards against an old report of a refusal that ends a run which the agent's next process started.
#[test]
fn refusal_from_before_a_takeover_ends_no_run() {
    let mut sim = taken_over();
    let mut delayed = report(&mut sim, 1, 5, 1 << 20);
    let worker = delayed.worker.as_mut().unwrap();
    let run = worker.running.remove(0);
    worker.refused.push(Refused {
        task: run.task,
        run: run.run,
        reason: Refusal::Unhealthy,
    });
    sim.planner.report(sim.now, delayed);
    sim.decide();
    assert!(sim.decisions.iter().all(|decision| !ended(decision)));
}

/// Guards against tasks on a worker that was free before a take-over and has been given another task since.
#[test]
fn free_worker_from_before_a_takeover_gets_no_task() {
    let mut sim = Simulation::new(1, 1);
    let delayed = report(&mut sim, 1, 5, 1 << 10);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.planner.report(sim.now, delayed);
    sim.decide();
    assert!(!sim.started(1));
    let epoch = sim.planner.epoch();
    let current = report(&mut sim, 1, 6, epoch);
    sim.planner.report(sim.now, current);
    sim.decide();
    assert!(sim.started(1), "the next report is not used");
}

const fn ended(decision: &Decision) -> bool {
    matches!(decision, Decision::Ended { .. })
}

/// Guards against a take-over after which agents need more than one exchange until their reports are used.
#[test]
fn second_reports_after_a_takeover_are_used() {
    let mut cluster = LeasedCluster::new(2);
    cluster.run_for(seconds(1));
    cluster.planner = Planner::new(2 << 20, cluster.now, Bounds::default());
    cluster.exchange();
    cluster.exchange();
    for (name, host) in &mut cluster.hosts {
        let silence = host.agent.time_since_answer(cluster.now);
        assert_eq!(silence, Some(EXCHANGE_INTERVAL), "{name}");
        assert_eq!(host.agent.epoch(), 2 << 20);
    }
}

/// Guards against a checkpoint that a delayed report sets back to an earlier one.
#[test]
fn outdated_report_brings_back_no_earlier_checkpoint() {
    let mut sim = Simulation::new(1, 1);
    let long = Step {
        checkpointable: true,
        ..step(1, 8, seconds(60))
    };
    sim.submit(1, "normal", "north", vec![long]);
    sim.run_for(seconds(1));
    let epoch = sim.planner.epoch();
    for (sequence, saved) in [(1_002, "second"), (1_001, "first")] {
        sim.host(0).worker.running[0].saved = saved.into();
        let report = report(&mut sim, 1, sequence, epoch);
        sim.planner.report(sim.now, report);
    }
    let mut lost = report(&mut sim, 1, 1_003, epoch);
    let worker = lost.worker.as_mut().unwrap();
    worker.running.clear();
    worker.reachability = Reachability::LeaseExpired;
    sim.planner.report(sim.now, lost);
    sim.decide();
    let task = &sim.ledger.job(1).unwrap().progress.steps[0].tasks[0];
    assert_eq!(&*task.saved, "second");
}

/// Guards against a second run of a task whose restarted agent the former decider answered.
#[test]
fn silence_after_a_takeover_counts_from_the_end_of_the_former_deciders_lease() {
    let mut sim = taken_over();
    let taken_over_at = sim.now;
    sim.round();
    sim.host(0).reachable = false;
    sim.host(1).reachable = true;
    let restart = DECIDER_LEASE + Bounds::default().agent_timeout();
    while sim.now < taken_over_at + restart {
        sim.round();
        assert_eq!(sim.hosts_running(1), ["host-00"], "at {:?}", sim.now);
    }
    sim.run_for(seconds(1));
    assert_eq!(sim.hosts_running(1).len(), 2, "not restarted");
}

/// Guards against a lease that a restarted agent takes for over because it did not request it itself.
#[test]
fn restarted_agent_assumes_a_lease_that_its_former_process_requested() {
    let mut sim = Simulation::new(1, 1);
    let registration = Registration {
        info: sim.host(0).worker.info.clone(),
        sequence: 1,
    };
    let mut agent = Agent::new(Duration::ZERO, "host-00".into(), 2, Bounds::default());
    let address = "10.0.0.1:8080".parse().unwrap();
    agent.register(Duration::ZERO, registration.clone(), address);
    agent.report(Duration::ZERO, false);
    let taught = Directive {
        epoch: 1 << 20,
        ..Directive::default()
    };
    assert!(!agent.apply_directive(Duration::ZERO, taught));
    let probe = agent.due_probe(Duration::ZERO).unwrap();
    let contact = Contact::Lists(RunLists::default());
    agent.probe_answered(Duration::ZERO, Duration::ZERO, &probe, contact);
    let incarnation = registration.info.incarnation;
    for _ in 0..2 {
        agent.poll_failed(Duration::ZERO, &incarnation, &Contact::Unanswered);
    }
    let reachability =
        |agent: &mut Agent, now| agent.report(now, false).worker.unwrap().reachability;
    let lease = Bounds::default().max_lease;
    assert_eq!(reachability(&mut agent, lease), Reachability::Unreachable);
    let later = lease + Duration::from_millis(500);
    assert_eq!(reachability(&mut agent, later), Reachability::LeaseExpired);
}
