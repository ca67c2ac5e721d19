//! Random runs of a decider, its agents and their workers in which calls to the workers get no answer and are carried out
//! seconds later, messages are slow or lost, decisions are recorded late, another decider takes over, and agents restart or are suspended.

mod decider;
mod host;
#[path = "../simulation/mod.rs"]
mod simulation;
mod worker;

use decider::Decider;
use godwitstep_batch::agent::{Answer, Call, Contact, LeaseRequest, Registration, RunKey};
use godwitstep_batch::bounds::WORKER_CLOCK_DRIFT;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Incarnation, JobId};
use godwitstep_batch::job::Step;
use godwitstep_batch::message::{Directive, Report};
use godwitstep_batch::planner::OperatorView;
use godwitstep_batch::policy::Policy;
use godwitstep_batch::record::Record;
use host::Host;
use simulation::{Simulation, seconds, step};
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;
use worker::Worker;

const TICK: Duration = Duration::from_millis(10);
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Unit: milliseconds.
const CALL_TIMEOUT: u64 = 500;
/// Unit: milliseconds.
const POLL_TIMEOUT: u64 = 700;
const WORKERS: usize = 4;
const JOBS: JobId = 12;
/// Time from the last stored record of a decider to the claim of the next one. Unit: milliseconds.
const TAKEOVER_DELAY: Range<u64> = 1_200..2_400;
/// Chance that an agent restarts within a tick, while the network is disturbed.
const RESTART_CHANCE: f64 = 0.000_5;
/// Time within which all jobs end.
const MAX_DURATION: Duration = Duration::from_secs(180);
/// Period in which calls are carried out late and messages and appends are slow.
const DISTURBED: Range<Duration> = Duration::from_secs(3)..Duration::from_secs(35);

/// A call on its way to a worker.
enum Request {
    Call(Call),
    Poll(LeaseRequest),
}

/// Something that happens at a later time, on the host of this number.
enum Event {
    /// A report to the decider of this number.
    Report(usize, Report),
    Directive(u64, Directive),
    /// A call that got no answer is carried out.
    Late(Request),
    CallAnswered(u64, Call, Answer),
    PollAnswered(u64, LeaseRequest, Duration),
    PollFailed(u64, Incarnation),
    /// Decisions of the decider of this number are stored.
    Recorded(usize, Vec<Record>),
    /// Another entry takes over from a decider that the log does not answer.
    TakeOver,
    /// The agent learns of the newest decider.
    Referred,
}

impl Event {
    /// Returns whether the agent handles it.
    const fn is_for_agent(&self) -> bool {
        match self {
            Self::Directive(..)
            | Self::CallAnswered(..)
            | Self::PollAnswered(..)
            | Self::PollFailed(..)
            | Self::Referred => true,
            Self::Report(..) | Self::Late(_) | Self::Recorded(..) | Self::TakeOver => false,
        }
    }
}

/// A decider and hosts, with the messages between them.
struct Network {
    now: Duration,
    rng: fastrand::Rng,
    /// Share of the calls that are carried out late while the network is disturbed.
    late_share: f64,
    /// Shortest time that it takes to record decisions meanwhile. Unit: milliseconds.
    min_append: u64,
    /// Longest delay of a message between an agent and the decider meanwhile. Unit: milliseconds.
    max_delay: u64,
    /// All deciders so far; only the last one can write to the log.
    deciders: Vec<Decider>,
    /// All records of the deciders.
    log: Vec<Record>,
    jobs: Vec<(JobId, &'static str, Vec<Step>)>,
    policy: Policy,
    hosts: Vec<Host>,
    events: Vec<(Duration, usize, Event)>,
}

impl Network {
    fn new(seed: u64) -> Self {
        let mut jobs = Vec::new();
        let mut rng = fastrand::Rng::with_seed(seed);
        for job in 1..=JOBS {
            let tasks = rng.u16(1..=4);
            let accelerators = rng.u64(1..=8);
            let estimate = Duration::from_millis(rng.u64(2_000..9_000));
            let queue = ["urgent", "normal", "patient"][rng.usize(..3)];
            let steps: Vec<Step> = vec![step(tasks, accelerators, estimate)];
            jobs.push((job, queue, steps));
        }
        let mut sim = submitted(&jobs);
        let now = sim.now;
        let hosts = (0..WORKERS)
            .map(|number| {
                let info = sim.host(number).worker.info.clone();
                let drift = if number % 2 == 0 {
                    0.0
                } else {
                    WORKER_CLOCK_DRIFT
                };
                let worker = Worker::new(Registration { info, sequence: 1 }, 1.0 - drift);
                Host::new(now, worker)
            })
            .collect();
        Self {
            now,
            late_share: rng.choice([0.5, 0.65, 0.75]).unwrap_or_default(),
            min_append: rng.choice([4, 200, 300]).unwrap_or_default(),
            max_delay: rng.choice([60, 100, 400]).unwrap_or_default(),
            rng,
            policy: sim.policy.clone(),
            deciders: vec![Decider::new(sim, JOBS)],
            log: Vec::new(),
            jobs,
            hosts,
            events: Vec::new(),
        }
    }

    fn disturbed(&self) -> bool {
        let start = seconds(100);
        DISTURBED.contains(&self.now.saturating_sub(start))
    }

    fn after(&mut self, delay: Range<u64>, host: usize, event: Event) {
        let delay = Duration::from_millis(self.rng.u64(delay));
        self.events.push((self.now + delay, host, event));
    }

    /// Sends a message between an agent and the decider; it may be late or lost.
    fn send(&mut self, host: usize, event: Event) {
        if !self.disturbed() {
            self.after(1..20, host, event);
        } else if self.rng.f64() > 0.1 {
            self.after(1..self.max_delay, host, event);
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        let now = self.now;
        for host in &mut self.hosts {
            host.worker.advance(now);
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.events = later;
        for (_, host, event) in due {
            let resumes = self.hosts[host].resumes_at;
            if now < resumes && event.is_for_agent() {
                self.events.push((resumes, host, event));
            } else {
                self.handle(host, event);
            }
        }
        if self.disturbed() && !self.newest().is_stalled() && self.rng.f64() < 0.001 {
            self.stall();
        }
        let decider = self.newest();
        if now >= decider.next_round && !decider.recording {
            self.decide();
        }
        for host in 0..self.hosts.len() {
            if self.disturbed() {
                self.disturb(host);
            }
            if now >= self.hosts[host].resumes_at {
                self.serve(host);
            }
        }
    }

    /// Restarts or suspends a host's agent at times, or delivers a deregistration that its worker did not send.
    fn disturb(&mut self, number: usize) {
        let (now, chance) = (self.now, self.rng.f64());
        let host = &mut self.hosts[number];
        if chance < RESTART_CHANCE {
            host.restart_agent(now);
            // The new process may find the former decider first.
            host.decider = self.deciders.len().saturating_sub(self.rng.usize(1..=2));
            self.after(1..1_500, number, Event::Referred);
        } else if chance < RESTART_CHANCE + 0.000_5 {
            host.resumes_at = now + Duration::from_millis(self.rng.u64(300..9_000));
        } else if chance < RESTART_CHANCE + 0.001 {
            host.deregister(now);
        }
    }

    fn newest(&self) -> &Decider {
        self.deciders.last().expect("there is a decider")
    }

    /// Lets the log answer the decider no more. Records that are under way to it may be stored nevertheless.
    fn stall(&mut self) {
        let now = self.now;
        let number = self.deciders.len() - 1;
        self.deciders[number].stall(now);
        let stored = self.rng.bool();
        let log = &mut self.log;
        self.events.retain(|(_, _, event)| match event {
            Event::Recorded(_, records) => {
                if stored {
                    log.extend(records.iter().cloned());
                }
                false
            }
            _ => true,
        });
        self.after(TAKEOVER_DELAY, 0, Event::TakeOver);
    }

    fn take_over(&mut self) {
        let sim = submitted(&self.jobs);
        let next = self.newest().successor(self.now, sim, JOBS, &self.log);
        self.deciders.push(next);
        for host in 0..self.hosts.len() {
            self.after(1..1_500, host, Event::Referred);
        }
    }

    fn decide(&mut self) {
        let (now, number) = (self.now, self.deciders.len() - 1);
        let mut decider = self.deciders.pop().expect("there is a decider");
        decider.next_round = now + ROUND_INTERVAL;
        let plan = decider
            .planner
            .decide(now, 0, &decider.ledger, &view(&self.policy));
        if plan.records.is_empty() {
            decider.planner.refresh_assignments(&decider.ledger);
            self.deciders.push(decider);
            return;
        }
        decider.recording = true;
        self.deciders.push(decider);
        let delay = if self.disturbed() {
            self.min_append..600
        } else {
            4..15
        };
        self.after(delay, 0, Event::Recorded(number, plan.records));
    }

    /// Lets a host's agent do what is due.
    fn serve(&mut self, number: usize) {
        let now = self.now;
        let unanswered = self.disturbed() && self.rng.f64() < self.late_share;
        let host = &mut self.hosts[number];
        host.register(now);
        if let Some(probe) = host.agent.due_probe(now) {
            let contact = if unanswered {
                Contact::Unanswered
            } else {
                Contact::Lists(host.worker.lists(now))
            };
            host.agent.probe_answered(now, now, &probe, contact);
        }
        if now >= host.next_report {
            self.report(number);
        }
        let host = &mut self.hosts[number];
        if now >= host.next_poll
            && let Some(request) = host.agent.lease_request(now)
        {
            host.next_poll = Duration::MAX;
            self.call_worker(number, Request::Poll(request));
        }
        for call in self.hosts[number].agent.due_calls(now) {
            self.call_worker(number, Request::Call(call));
        }
    }

    fn report(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        host.next_report = self.now + REPORT_INTERVAL;
        let report = Report {
            nonce: host.process,
            ..host.agent.report(self.now, false)
        };
        let decider = host.decider;
        self.send(number, Event::Report(decider, report));
    }

    /// Calls a worker, which carries the call out at once or, without an answer, seconds later.
    fn call_worker(&mut self, number: usize, request: Request) {
        let process = self.hosts[number].process;
        let late = self.disturbed() && self.rng.f64() < self.late_share;
        match request {
            Request::Call(call) if late => {
                let timeout = CALL_TIMEOUT;
                let unanswered = Event::CallAnswered(process, call.clone(), Answer::Unanswered);
                self.after(timeout..timeout + 1, number, unanswered);
                self.after(2_000..12_000, number, Event::Late(Request::Call(call)));
            }
            Request::Call(call) => {
                let answer = self.execute(number, &call);
                self.after(1..30, number, Event::CallAnswered(process, call, answer));
            }
            Request::Poll(request) if late => {
                let timeout = POLL_TIMEOUT;
                let failed = Event::PollFailed(process, request.incarnation.clone());
                self.after(timeout..timeout + 1, number, failed);
                self.after(2_000..12_000, number, Event::Late(Request::Poll(request)));
            }
            Request::Poll(request) => {
                let now = self.now;
                self.hosts[number].worker.apply_poll(now, &request);
                let answered = Event::PollAnswered(process, request, now);
                self.after(1..300, number, answered);
            }
        }
    }

    fn handle(&mut self, number: usize, event: Event) {
        let now = self.now;
        match event {
            Event::Report(decider, report) => {
                let view = view(&self.policy);
                let reply = self.deciders[decider].reply(now, &report, &view);
                if let Some(directive) = reply {
                    self.send(number, Event::Directive(report.nonce, directive));
                }
            }
            Event::TakeOver => self.take_over(),
            Event::Referred => {
                self.hosts[number].decider = self.deciders.len() - 1;
                self.hosts[number].next_report = now;
            }
            Event::Directive(process, directive) => {
                let host = &mut self.hosts[number];
                if host.process == process {
                    let newer = directive.epoch > host.agent.epoch();
                    let applied = host.agent.apply_directive(now, directive);
                    if newer && !applied {
                        host.next_report = now;
                    }
                }
            }
            Event::Late(Request::Call(call)) => {
                self.execute(number, &call);
            }
            Event::Late(Request::Poll(request)) => {
                self.hosts[number].worker.apply_poll(now, &request);
            }
            Event::CallAnswered(process, call, answer) => {
                let host = &mut self.hosts[number];
                if host.process == process && host.agent.call_answered(now, &call, answer) {
                    self.report(number);
                }
            }
            Event::PollAnswered(process, request, sent) => {
                let host = &mut self.hosts[number];
                host.next_poll = now;
                let lists = host.worker.lists(now);
                if host.process == process
                    && host
                        .agent
                        .poll_answered(now, sent, &request.incarnation, lists)
                {
                    self.report(number);
                }
            }
            Event::PollFailed(process, incarnation) => {
                let host = &mut self.hosts[number];
                host.next_poll = now + Duration::from_millis(200);
                if host.process == process {
                    let contact = Contact::Unanswered;
                    host.agent.poll_failed(now, &incarnation, &contact);
                    self.report(number);
                }
            }
            Event::Recorded(decider, records) => {
                self.log.extend(records.iter().cloned());
                let decider = &mut self.deciders[decider];
                decider.apply(&records);
                decider.recording = false;
            }
        }
    }

    /// Carries out a call on a worker, and checks that a start breaks no rule.
    fn execute(&mut self, number: usize, call: &Call) -> Answer {
        let task = call.key.0;
        let run_time = self
            .newest()
            .ledger
            .job(task.job)
            .map_or(Duration::ZERO, |state| {
                state.job.steps[usize::from(task.step)].estimate
            });
        let worker = &mut self.hosts[number].worker;
        worker.advance(self.now);
        let was_active = worker.active.contains_key(&call.key);
        let answer = worker.execute(self.now, call, run_time);
        if !was_active && worker.active.contains_key(&call.key) {
            self.check_start(number, call.key);
        }
        answer
    }

    fn check_start(&mut self, number: usize, (task, run): RunKey) {
        let now = self.now;
        let others = self.hosts.iter().flat_map(|host| host.worker.active.keys());
        let runs = others.filter(|(other, _)| *other == task).count();
        assert!(
            runs < 2,
            "two runs of {task}, the later one is {run}, at {now:?}"
        );
        let done = self.hosts.iter_mut().flat_map(|host| &mut host.worker.done);
        for done in done.filter(|done| done.task == task) {
            done.restarted = true;
        }
        let worker = &self.hosts[number].worker;
        let demand = |(task, _): &RunKey| {
            let job_state = self.newest().ledger.job(task.job);
            job_state.map(|state| state.job.steps[usize::from(task.step)].demand)
        };
        let demands: Vec<Demand> = worker.active.keys().filter_map(demand).collect();
        let used = Demand::sum(demands.iter());
        let capacity = &worker.registration.info.capacity;
        assert!(
            used.fits(capacity),
            "host {number} runs {used:?} at {now:?}"
        );
    }

    /// Panics if a task was started again after a run of it was done, and that end was recorded.
    fn check_done(&self) {
        let done = self.hosts.iter().flat_map(|host| &host.worker.done);
        for run in done.filter(|run| run.recorded && !run.lapsed) {
            assert!(!run.restarted, "{} ran again after it was done", run.task);
        }
    }
}

fn view(policy: &Policy) -> OperatorView<'_> {
    static NONE: BTreeSet<godwitstep_batch::id::Domain> = BTreeSet::new();
    OperatorView {
        policy,
        domains_out: &NONE,
        age: Duration::ZERO,
        jobs_age: Duration::ZERO,
    }
}

/// Returns a simulation whose jobs are submitted.
fn submitted(jobs: &[(JobId, &'static str, Vec<Step>)]) -> Simulation {
    let mut sim = Simulation::new(WORKERS, WORKERS);
    for (job, queue, steps) in jobs {
        sim.submit(*job, queue, "north", steps.clone());
    }
    sim
}

/// Guards against two runs of a task, a run of a task that is done, and more runs than a worker has room for, when calls
/// are carried out seconds after their time and decisions are recorded late.
#[test]
fn late_orders_start_nothing_twice() {
    let seeds = std::env::var("GODWITSTEP_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(40);
    for seed in 1..=seeds {
        println!("seed {seed}");
        let mut network = Network::new(seed);
        let start = network.now;
        while network.now < start + DISTURBED.end || network.newest().ledger.open().count() > 0 {
            network.step();
            assert!(network.now < start + MAX_DURATION, "jobs do not end");
        }
        network.check_done();
    }
}
