//! Simulated region of any size that drives the planner. Its agents and its log reply immediately.

use godwitstep_core::id::{Attempt, JobId, WorkerId};
use godwitstep_core::planner::{Action, End, Event, Planner, Running, Settings, Worker};
use godwitstep_core::record::{self, Part};
use godwitstep_core::resource::{Adjacency, Job, Kind, Priority, Workspace};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Number of accelerators of a worker. The 820,000 tasks on 32,000 workers of the design page need
/// at least 26.
pub(super) const ACCELERATORS_PER_WORKER: u32 = 32;
const WORKERS_PER_RACK: usize = 32;
/// Number of workers of a failure domain at full size.
pub(super) const WORKERS_PER_DOMAIN: usize = 2_667;
/// Numbers of tasks of successive jobs, repeated. The mean is 82, as with 68,000 tasks in 830 jobs.
const TASKS_PER_JOB: [u32; 20] = [
    512, 8, 32, 8, 128, 8, 32, 8, 128, 8, 512, 8, 32, 8, 128, 8, 32, 8, 32, 8,
];
/// Simulated time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(1);

/// A running job.
pub(super) struct RunningJob {
    pub job: JobId,
    pub spec: Job,
    pub attempt: Attempt,
    pub parts: Vec<Part>,
}

/// A region with one planner. See the [module](self) page.
pub(super) struct Region {
    pub planner: Planner,
    pub workers: Vec<Worker>,
    pub running: Vec<RunningJob>,
    /// Number of tasks of all running jobs.
    pub tasks: u64,
    now: Duration,
    next_job: usize,
    specs: HashMap<JobId, Job>,
    actions: Vec<Action>,
    /// Replies of agents and log that the planner has not handled.
    pending_events: VecDeque<Event>,
    /// Time that the planner has spent on the job that is being started or ended.
    pub planner_time: Duration,
}

impl Region {
    pub fn new(workers: usize) -> Self {
        let workers = (0..workers).map(|number| Worker {
            id: format!("w{number:05}").into(),
            incarnation: 1,
            domain: format!("d{:02}", number / WORKERS_PER_DOMAIN).into(),
            rack: format!("r{}", number % WORKERS_PER_DOMAIN / WORKERS_PER_RACK).into(),
            accelerators: ACCELERATORS_PER_WORKER,
        });
        let mut region = Self {
            planner: Planner::new(Settings::default(), 1),
            workers: workers.collect(),
            running: Vec::new(),
            tasks: 0,
            now: Duration::from_secs(1),
            next_job: 0,
            specs: HashMap::new(),
            actions: Vec::new(),
            pending_events: VecDeque::new(),
            planner_time: Duration::ZERO,
        };
        region.configure();
        for worker in region.workers.clone() {
            let inventory = Vec::new();
            region.handle_event(Event::WorkerUp { worker, inventory });
        }
        region
    }

    /// Sets the epoch and declares the only workspace.
    fn configure(&mut self) {
        self.handle_event(Event::Epoch(1));
        let kind = Kind {
            name: "normal".into(),
            priority: Priority::Normal,
            objective_ms: 60_000,
            refund: 1.0,
        };
        let id = "ws".into();
        let spec = Some(Workspace::new(vec![kind]));
        self.handle_event(Event::Workspace { id, spec });
    }

    /// Submits the next job and starts it, or cancels it if it does not fit. Returns the planner's
    /// time for the submission alone and for all events until the gang is settled.
    pub fn submit(&mut self) -> (Duration, Duration) {
        let number = self.next_job;
        self.next_job += 1;
        let tasks = TASKS_PER_JOB[number % TASKS_PER_JOB.len()];
        let adjacency = match number % 3 {
            0 if tasks <= ACCELERATORS_PER_WORKER => Adjacency::Worker,
            1 => Adjacency::Domain,
            _ => Adjacency::Any,
        };
        let spec = Job::new("ws", "normal", tasks, 1)
            .adjacency(adjacency)
            .run(Duration::from_secs(3600))
            .idempotent(true);
        let job: JobId = format!("job-{number:08}").into();
        self.specs.insert(job.clone(), spec.clone());
        self.planner_time = Duration::ZERO;
        let decision = self.handle_event(Event::Submit {
            job: job.clone(),
            spec,
            attempt: 0,
            age: Duration::ZERO,
        });
        self.handle_pending();
        let planner_time = self.planner_time;
        if self.running.last().is_none_or(|running| running.job != job) {
            self.specs.remove(&job);
            self.handle_event(Event::Cancel { job });
            self.handle_pending();
        }
        (decision, planner_time)
    }

    /// Ends the running job at an index. Returns the planner's time for all events of the end.
    pub fn end(&mut self, index: usize) -> Duration {
        let running = self.running.swap_remove(index);
        self.tasks -= u64::from(running.spec.shape.tasks);
        self.planner_time = Duration::ZERO;
        for part in &running.parts {
            self.handle_event(Event::Ended {
                worker: part.worker.clone(),
                job: running.job.clone(),
                attempt: running.attempt,
                end: End::Done,
            });
        }
        self.specs.remove(&running.job);
        self.handle_pending();
        self.planner_time
    }

    /// Lets simulated time pass with regular ticks of the planner.
    pub fn advance_time(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(99);
            self.handle_event(Event::Tick);
            self.handle_pending();
        }
    }

    /// Passes an event to the planner and queues the replies to the planner's actions. Returns the
    /// planner's time.
    fn handle_event(&mut self, event: Event) -> Duration {
        self.now += EVENT_INTERVAL;
        let start = Instant::now();
        self.planner.handle(self.now, event, &mut self.actions);
        let elapsed = start.elapsed();
        self.planner_time += elapsed;
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.reply(action);
        }
        self.actions = actions;
        elapsed
    }

    fn handle_pending(&mut self) {
        while let Some(event) = self.pending_events.pop_front() {
            self.handle_event(event);
        }
    }

    /// Queues the reply of an agent or the log to an action, if there is one.
    fn reply(&mut self, action: Action) {
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
                    self.running.push(RunningJob {
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
        self.pending_events.push_back(event);
    }

    /// Starts a new planner from the running jobs of the log and the inventories of the agents.
    /// Returns the time until it has adopted them and the number of its actions, 0 if it leaves all
    /// jobs as they run.
    pub fn recover(&self) -> (Duration, usize) {
        let mut inventories: HashMap<WorkerId, Vec<Running>> = HashMap::new();
        for running in &self.running {
            for part in &running.parts {
                let inventory = inventories.entry(part.worker.clone()).or_default();
                inventory.push(Running {
                    job: running.job.clone(),
                    attempt: running.attempt,
                    tasks: part.tasks,
                    accelerators: part.accelerators,
                    settled: true,
                });
            }
        }
        let mut events = vec![Event::Epoch(2)];
        events.extend(self.running.iter().map(|running| Event::Adopt {
            job: running.job.clone(),
            spec: running.spec.clone(),
            attempt: running.attempt,
            parts: running.parts.clone(),
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
