//! Measures the latency of decisions with 32,004 workers. Latencies are asserted in release builds
//! only, the numbers of started and ended jobs in all builds.

use godwitstep_core::fleet::Fleet;
use godwitstep_core::planner::{Action, End, Event, Planner, Settings, Worker};
use godwitstep_core::record::Event as Record;
use godwitstep_core::resource::{Adjacency, Guarantee, Job, Shape, Workspace};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Debug builds are about 30 times slower and use one domain and fewer jobs.
const REDUCED: bool = cfg!(debug_assertions);
const DOMAINS: u32 = if REDUCED { 1 } else { 12 };
const JOBS: u32 = if REDUCED { 2_000 } else { 30_000 };
const WORKERS_PER_DOMAIN: u32 = 2_667;
const WORKERS_PER_RACK: u32 = 16;

fn workers() -> impl Iterator<Item = Worker> {
    (0..DOMAINS * WORKERS_PER_DOMAIN).map(|number| Worker {
        id: format!("w{number:05}").into(),
        incarnation: 1,
        domain: format!("d{:02}", number / WORKERS_PER_DOMAIN).into(),
        rack: format!("r{}", number % WORKERS_PER_DOMAIN / WORKERS_PER_RACK).into(),
        accelerators: 8,
    })
}

/// A planner with the latencies of its events. Agents and the log reply at once.
struct TimedPlanner {
    inner: Planner,
    now: Duration,
    latencies: Vec<Duration>,
    /// Worker, job and attempt of each started part.
    running: Vec<(
        godwitstep_core::id::WorkerId,
        godwitstep_core::id::JobId,
        u32,
    )>,
    starts: usize,
    ends: usize,
}

impl TimedPlanner {
    fn new() -> Self {
        let mut planner = Self {
            inner: Planner::new(Settings::default(), 1),
            now: Duration::from_secs(1),
            latencies: Vec::new(),
            running: Vec::new(),
            starts: 0,
            ends: 0,
        };
        planner.handle_event(Event::Epoch(1));
        planner
    }

    fn handle_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            let start = Instant::now();
            self.inner.handle(self.now, event, &mut actions);
            self.latencies.push(start.elapsed());
            for action in actions.drain(..) {
                events.extend(self.reply(action));
            }
        }
    }

    /// Returns the reply of the agent or the log to an action.
    fn reply(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Reserve {
                worker,
                job,
                attempt,
                ..
            } => Some(Event::Held {
                worker,
                job,
                attempt,
            }),
            Action::Record(Record::Start { job, attempt, .. }) => {
                self.starts += 1;
                Some(Event::Recorded { job, attempt })
            }
            Action::Record(Record::End { .. }) => {
                self.ends += 1;
                None
            }
            Action::Commit {
                worker,
                job,
                attempt,
                ..
            } => {
                self.running.push((worker.clone(), job.clone(), attempt));
                Some(Event::Started {
                    worker,
                    job,
                    attempt,
                })
            }
            Action::Stop {
                worker,
                job,
                attempt,
                ..
            } => Some(Event::Ended {
                worker,
                job,
                attempt,
                end: End::Stopped,
            }),
            _ => None,
        }
    }

    /// Prints the latencies since the last call and asserts the limit in release builds.
    fn check_latencies(&mut self, phase: &str, p99_limit: Duration) {
        self.latencies.sort_unstable();
        let p99 = self.latencies[self.latencies.len() * 99 / 100];
        let max = self.latencies[self.latencies.len() - 1];
        let sum: Duration = self.latencies.iter().sum();
        let count = self.latencies.len();
        println!("{phase}: {count} events in {sum:?}, p99 {p99:?}, max {max:?}");
        if !cfg!(debug_assertions) {
            assert!(p99 < p99_limit, "{phase}: p99 {p99:?}");
        }
        self.latencies.clear();
    }
}

fn job(number: u32) -> Job {
    let spec = match number % 20 {
        0 => Job::new("owner", "kind", 64, 1).adjacency(Adjacency::Rack),
        1 => Job::new("guest", "kind", 512, 1).adjacency(Adjacency::Domain),
        2 => Job::new("guest", "kind", 32, 8),
        3..=8 => Job::new("guest", "kind", 1, 8),
        _ => Job::new("guest", "kind", 2, 1 + number % 4).adjacency(Adjacency::Worker),
    };
    spec.checkpointable(true)
        .preemptible(number.is_multiple_of(3))
}

/// Guards against decisions whose cost grows with the number of workers or jobs.
#[test]
fn decision_latency_stays_bounded_with_32000_workers() {
    let p99_limit = Duration::from_millis(1);
    let mut planner = TimedPlanner::new();
    let mut owner = Workspace::new(Vec::new());
    owner.guarantees = vec![Guarantee {
        shape: Shape::new(64, 1).adjacency(Adjacency::Rack),
        count: DOMAINS * 40,
    }];
    let id = "owner".into();
    let spec = Some(owner);
    planner.handle_event(Event::Workspace { id, spec });
    for worker in workers() {
        let inventory = Vec::new();
        planner.handle_event(Event::WorkerUp { worker, inventory });
    }
    planner.check_latencies("announce", p99_limit);
    for number in 0..JOBS {
        planner.handle_event(Event::Submit {
            job: format!("j{number}").into(),
            spec: job(number),
            attempt: 0,
            age: Duration::ZERO,
        });
    }
    planner.check_latencies("submit", p99_limit);
    assert!(planner.starts > JOBS as usize / 20, "{}", planner.starts);
    for (worker, job, attempt) in planner.running.split_off(planner.running.len() / 2) {
        planner.now += Duration::from_millis(1);
        let end = End::Done;
        planner.handle_event(Event::Ended {
            worker,
            job,
            attempt,
            end,
        });
    }
    planner.check_latencies("end", p99_limit);
    for _ in 0..600 {
        planner.now += Duration::from_millis(100);
        planner.handle_event(Event::Tick);
    }
    planner.check_latencies("tick", p99_limit);
    for number in 0..JOBS {
        let job = format!("j{number}").into();
        planner.handle_event(Event::Cancel { job });
    }
    planner.check_latencies("cancel", p99_limit);
    assert_eq!(planner.ends, JOBS as usize);
    planner.now += Duration::from_secs(60);
    planner.handle_event(Event::Tick);
    planner.latencies.clear();
    for _ in 0..600 {
        planner.now += Duration::from_millis(100);
        planner.handle_event(Event::Tick);
    }
    planner.check_latencies("idle tick", Duration::from_micros(20));
    assert_eq!(planner.inner.violation(), None);
}

/// Guards against placements whose cost grows with the number of workers.
#[test]
fn placements_are_found_through_the_index() {
    let mut fleet = Fleet::default();
    for worker in workers() {
        fleet.announce(worker);
    }
    let shapes = [
        Shape::new(1, 8),
        Shape::new(8, 1).adjacency(Adjacency::Worker),
        Shape::new(128, 1).adjacency(Adjacency::Rack),
        Shape::new(512, 8).adjacency(Adjacency::Domain),
        Shape::new(512, 1),
        Shape::new(129, 1).adjacency(Adjacency::Rack),
    ];
    for shape in shapes {
        let mut latencies = Vec::new();
        for _ in 0..100 {
            let start = Instant::now();
            let found = fleet.find_free_unassigned(shape, &[]);
            latencies.push(start.elapsed());
            assert_eq!(found.is_some(), shape.tasks != 129);
        }
        latencies.sort_unstable();
        println!(
            "{shape:?}: median {:?}, max {:?}",
            latencies[50], latencies[99]
        );
        if !cfg!(debug_assertions) {
            assert!(latencies[50] < Duration::from_micros(500), "{shape:?}");
        }
    }
}
