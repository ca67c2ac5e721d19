//! A region of any size around the real planner, with agents that answer at once.

use godwitstep_core::id::{Attempt, JobId, WorkerId};
use godwitstep_core::planner::{Action, End, Event, Planner, Running, Settings, Worker};
use godwitstep_core::record::{self, Part};
use godwitstep_core::resource::{Adjacency, Job, Kind, Priority, Workspace};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Accelerators of a worker. The 820,000 tasks on 32,000 workers of the design page need at least 26.
pub(super) const ACCELERATORS: u32 = 32;
const RACK: usize = 32;
/// Workers of one failure domain at full size.
pub(super) const DOMAIN: usize = 2_667;
/// Tasks of a job, by turns. The mean is 82, as 68,000 tasks in 830 jobs are.
const SIZES: [u32; 20] = [
    512, 8, 32, 8, 128, 8, 32, 8, 128, 8, 512, 8, 32, 8, 128, 8, 32, 8, 32, 8,
];
const STEP: Duration = Duration::from_millis(1);

/// A job that runs.
pub(super) struct Placed {
    pub job: JobId,
    pub spec: Job,
    pub attempt: Attempt,
    pub parts: Vec<Part>,
}

/// The region.
pub(super) struct Region {
    pub planner: Planner,
    pub workers: Vec<Worker>,
    pub placed: Vec<Placed>,
    pub tasks: u64,
    now: Duration,
    next: usize,
    specs: HashMap<JobId, Job>,
    actions: Vec<Action>,
    waiting: VecDeque<Event>,
    /// Time of the planner for the job that is being started.
    pub spent: Duration,
}

impl Region {
    pub fn new(workers: usize) -> Self {
        let list = (0..workers).map(|number| Worker {
            id: format!("w{number:05}").into(),
            incarnation: 1,
            domain: format!("d{:02}", number / DOMAIN).into(),
            rack: format!("r{}", number % DOMAIN / RACK).into(),
            accelerators: ACCELERATORS,
        });
        let mut region = Self {
            planner: Planner::new(Settings::default(), 1),
            workers: list.collect(),
            placed: Vec::new(),
            tasks: 0,
            now: Duration::from_secs(1),
            next: 0,
            specs: HashMap::new(),
            actions: Vec::new(),
            waiting: VecDeque::new(),
            spent: Duration::ZERO,
        };
        region.declare();
        for worker in region.workers.clone() {
            let inventory = Vec::new();
            region.tell(Event::WorkerUp { worker, inventory });
        }
        region
    }

    fn declare(&mut self) {
        self.tell(Event::Epoch(1));
        let kind = Kind {
            name: "normal".into(),
            priority: Priority::Normal,
            objective_ms: 60_000,
            refund: 1.0,
        };
        let id = "ws".into();
        let spec = Some(Workspace::new(vec![kind]));
        self.tell(Event::Workspace { id, spec });
    }

    /// Submits the next job and carries it through to its start, or cancels it if it must wait.
    /// Returns the time that the planner took to decide, and to start it in all.
    pub fn submit(&mut self) -> (Duration, Duration) {
        let number = self.next;
        self.next += 1;
        let size = SIZES[number % SIZES.len()];
        let adjacency = match number % 3 {
            0 if size <= ACCELERATORS => Adjacency::Worker,
            1 => Adjacency::Domain,
            _ => Adjacency::Any,
        };
        let spec = Job::new("ws", "normal", size, 1)
            .adjacency(adjacency)
            .run(Duration::from_secs(3600))
            .idempotent(true);
        let job: JobId = format!("job-{number:08}").into();
        self.specs.insert(job.clone(), spec.clone());
        self.spent = Duration::ZERO;
        let decision = self.tell(Event::Submit {
            job: job.clone(),
            spec,
            attempt: 0,
            age: Duration::ZERO,
        });
        self.settle();
        let spent = self.spent;
        if self.placed.last().is_none_or(|placed| placed.job != job) {
            self.specs.remove(&job);
            self.tell(Event::Cancel { job });
            self.settle();
        }
        (decision, spent)
    }

    /// Ends a running job.
    pub fn end(&mut self, number: usize) -> Duration {
        let placed = self.placed.swap_remove(number);
        self.tasks -= u64::from(placed.spec.shape.tasks);
        self.spent = Duration::ZERO;
        for part in &placed.parts {
            self.tell(Event::Ended {
                worker: part.worker.clone(),
                job: placed.job.clone(),
                attempt: placed.attempt,
                end: End::Done,
            });
        }
        self.specs.remove(&placed.job);
        self.settle();
        self.spent
    }

    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(99);
            self.tell(Event::Tick);
            self.settle();
        }
    }

    /// Gives the planner an event and notes how its agents and the log answer.
    fn tell(&mut self, event: Event) -> Duration {
        self.now += STEP;
        let start = Instant::now();
        self.planner.handle(self.now, event, &mut self.actions);
        let took = start.elapsed();
        self.spent += took;
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.answer(action);
        }
        self.actions = actions;
        took
    }

    fn settle(&mut self) {
        while let Some(event) = self.waiting.pop_front() {
            self.tell(event);
        }
    }

    fn answer(&mut self, action: Action) {
        let event = match action {
            Action::Reserve {
                worker,
                job,
                attempt,
                ..
            } => Event::Held {
                worker,
                job,
                attempt,
            },
            Action::Commit {
                worker,
                job,
                attempt,
                ..
            } => Event::Started {
                worker,
                job,
                attempt,
            },
            Action::Record(record::Event::Start {
                job,
                attempt,
                parts,
                ..
            }) => {
                if let Some(spec) = self.specs.get(&job).cloned() {
                    self.tasks += u64::from(spec.shape.tasks);
                    let job = job.clone();
                    self.placed.push(Placed {
                        job,
                        spec,
                        attempt,
                        parts,
                    });
                }
                Event::Recorded { job, attempt }
            }
            _ => return,
        };
        self.waiting.push_back(event);
    }

    /// Starts a new planner from the log's jobs and the agents' inventories. Returns the time that
    /// it took and the number of jobs that it did not take over as they run.
    pub fn recover(&self) -> (Duration, usize) {
        let mut inventories: HashMap<WorkerId, Vec<Running>> = HashMap::new();
        for placed in &self.placed {
            for part in &placed.parts {
                let list = inventories.entry(part.worker.clone()).or_default();
                list.push(Running {
                    job: placed.job.clone(),
                    attempt: placed.attempt,
                    tasks: part.tasks,
                    accelerators: part.accelerators,
                    settled: true,
                });
            }
        }
        let mut events = vec![Event::Epoch(2)];
        events.extend(self.placed.iter().map(|placed| Event::Adopt {
            job: placed.job.clone(),
            spec: placed.spec.clone(),
            attempt: placed.attempt,
            parts: placed.parts.clone(),
            age: Duration::from_secs(60),
        }));
        events.extend(self.workers.iter().map(|worker| Event::WorkerUp {
            worker: worker.clone(),
            inventory: inventories.remove(&worker.id).unwrap_or_default(),
        }));
        let mut planner = Planner::new(Settings::default(), 2);
        let mut actions = Vec::new();
        let start = Instant::now();
        for event in events {
            planner.handle(Duration::from_secs(1), event, &mut actions);
        }
        (start.elapsed(), actions.len())
    }
}
