//! The cost of decisions with 32,004 workers. Times are asserted in release builds only; debug
//! builds assert the number of actions.

use godwitstep_core::fleet::Fleet;
use godwitstep_core::planner::{Action, End, Event, Planner, Settings, Worker};
use godwitstep_core::record::Event as Record;
use godwitstep_core::resource::{Adjacency, Guarantee, Job, Shape, Workspace};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Debug builds, which are some 30 times slower, take one domain and fewer jobs.
const SMALL: bool = cfg!(debug_assertions);
const DOMAINS: u32 = if SMALL { 1 } else { 12 };
const JOBS: u32 = if SMALL { 2_000 } else { 30_000 };
const WORKERS: u32 = 2_667;
const RACK: u32 = 16;

fn workers() -> impl Iterator<Item = Worker> {
    (0..DOMAINS * WORKERS).map(|number| Worker {
        id: format!("w{number:05}").into(),
        incarnation: 1,
        domain: format!("d{:02}", number / WORKERS).into(),
        rack: format!("r{}", number % WORKERS / RACK).into(),
        accelerators: 8,
    })
}

struct Region {
    planner: Planner,
    now: Duration,
    times: Vec<Duration>,
    running: Vec<(
        godwitstep_core::id::WorkerId,
        godwitstep_core::id::JobId,
        u32,
    )>,
    starts: usize,
    ends: usize,
}

impl Region {
    fn new() -> Self {
        let mut region = Self {
            planner: Planner::new(Settings::default(), 1),
            now: Duration::from_secs(1),
            times: Vec::new(),
            running: Vec::new(),
            starts: 0,
            ends: 0,
        };
        region.tell(Event::Epoch(1));
        region
    }

    fn tell(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            let start = Instant::now();
            self.planner.handle(self.now, event, &mut actions);
            self.times.push(start.elapsed());
            for action in actions.drain(..) {
                events.extend(self.answer(action));
            }
        }
    }

    fn answer(&mut self, action: Action) -> Option<Event> {
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

    fn report(&mut self, step: &str, limit: Duration) {
        self.times.sort_unstable();
        let p99 = self.times[self.times.len() * 99 / 100];
        let most = self.times[self.times.len() - 1];
        let sum: Duration = self.times.iter().sum();
        let count = self.times.len();
        println!("{step}: {count} events in {sum:?}, p99 {p99:?}, most {most:?}");
        if !cfg!(debug_assertions) {
            assert!(p99 < limit, "{step}: p99 {p99:?}");
        }
        self.times.clear();
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

/// Guards against decisions that look at all workers or all jobs.
#[test]
fn decisions_stay_cheap_with_32000_workers() {
    let limit = Duration::from_millis(1);
    let mut region = Region::new();
    let mut owner = Workspace::new(Vec::new());
    owner.guarantees = vec![Guarantee {
        shape: Shape::new(64, 1).adjacency(Adjacency::Rack),
        count: DOMAINS * 40,
    }];
    let id = "owner".into();
    let spec = Some(owner);
    region.tell(Event::Workspace { id, spec });
    for worker in workers() {
        let inventory = Vec::new();
        region.tell(Event::WorkerUp { worker, inventory });
    }
    region.report("announce", limit);
    for number in 0..JOBS {
        region.tell(Event::Submit {
            job: format!("j{number}").into(),
            spec: job(number),
            attempt: 0,
            age: Duration::ZERO,
        });
    }
    region.report("submit", limit);
    assert!(region.starts > JOBS as usize / 20, "{}", region.starts);
    for (worker, job, attempt) in region.running.split_off(region.running.len() / 2) {
        region.now += Duration::from_millis(1);
        let end = End::Done;
        region.tell(Event::Ended {
            worker,
            job,
            attempt,
            end,
        });
    }
    region.report("end", limit);
    for _ in 0..600 {
        region.now += Duration::from_millis(100);
        region.tell(Event::Tick);
    }
    region.report("tick", limit);
    for number in 0..JOBS {
        let job = format!("j{number}").into();
        region.tell(Event::Cancel { job });
    }
    region.report("cancel", limit);
    assert_eq!(region.ends, JOBS as usize);
    region.now += Duration::from_secs(60);
    region.tell(Event::Tick);
    region.times.clear();
    for _ in 0..600 {
        region.now += Duration::from_millis(100);
        region.tell(Event::Tick);
    }
    region.report("idle tick", Duration::from_micros(20));
    assert_eq!(region.planner.violation(), None);
}

/// Guards against a placement that costs as much as there are workers.
#[test]
fn a_placement_is_found_by_index() {
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
        let mut times = Vec::new();
        for _ in 0..100 {
            let start = Instant::now();
            let found = fleet.find_open(shape, &[]);
            times.push(start.elapsed());
            assert_eq!(found.is_some(), shape.tasks != 129);
        }
        times.sort_unstable();
        println!("{shape:?}: median {:?}, most {:?}", times[50], times[99]);
        if !cfg!(debug_assertions) {
            assert!(times[50] < Duration::from_micros(500), "{shape:?}");
        }
    }
}
