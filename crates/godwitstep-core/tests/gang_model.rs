//! Model checker for the gang protocol on 2 workers. It explores every message order, with lost
//! messages, delays beyond the protocol's limits and decider crashes, and runs the real planner
//! and hold tables.

use godwitstep_core::hold::{self, Command, CommandHeader, Table};
use godwitstep_core::planner::{Action, End, Event, Planner, Settings, Worker};
use godwitstep_core::record::{Event as Record, Part};
use godwitstep_core::resource::{Job, Phase};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::fmt::Write as _;
use std::hash::Hasher;
use std::time::Duration;

const WORKERS: [&str; 2] = ["w1", "w2"];
const CLOCK_STEP: Duration = Duration::from_secs(1);
const LONG_DELAY: Duration = Duration::from_secs(6);
const TASK_DURATION: Duration = Duration::from_secs(2);
/// Upper bound on simulated time. Jobs become final long before it in every state.
const MAX_DURATION: Duration = Duration::from_secs(90);

#[derive(Clone, Debug)]
struct JobState {
    spec: Job,
    phase: Phase,
    attempt: u32,
    parts: Vec<Part>,
    started_attempts: BTreeSet<u32>,
    completed_parts: BTreeMap<u32, usize>,
}

#[derive(Clone, Debug)]
struct Agent {
    table: Table,
    tasks: BTreeMap<(String, u32), (Duration, End)>,
}

/// Number of faults of each kind that may still be injected.
#[derive(Clone, Copy, Debug)]
struct FaultBudget {
    losses: u32,
    crashes: u32,
    long_delays: u32,
}

#[derive(Clone, Debug)]
struct Model {
    planner: Planner,
    epoch: u64,
    now: Duration,
    agents: [Agent; 2],
    jobs: BTreeMap<String, JobState>,
    /// Commands in flight by worker and epoch; those of a crashed decider may still arrive.
    commands: BTreeMap<(usize, u64), VecDeque<(CommandHeader, Command)>>,
    events: [VecDeque<Event>; 2],
    log: VecDeque<(u64, Record)>,
    budget: FaultBudget,
}

#[derive(Clone, Copy, Debug)]
enum Choice {
    Command(usize, u64),
    LoseCommand(usize, u64),
    Event(usize),
    LoseEvent(usize),
    Append,
    Crash,
    LongDelay,
    AdvanceClock,
}

impl Model {
    fn new(gangs: u32, repeatable: bool, budget: FaultBudget) -> Self {
        let agent = || Agent {
            table: Table::new("a", 1),
            tasks: BTreeMap::new(),
        };
        let mut model = Self {
            planner: Planner::new(Settings::default(), 1),
            epoch: 0,
            now: Duration::from_secs(1),
            agents: [agent(), agent()],
            jobs: BTreeMap::new(),
            commands: BTreeMap::new(),
            events: [VecDeque::new(), VecDeque::new()],
            log: VecDeque::new(),
            budget,
        };
        for gang in 0..gangs {
            let entry = JobState {
                spec: Job::new("ws", "kind", 2, 1).idempotent(repeatable),
                phase: Phase::Queued,
                attempt: 0,
                parts: Vec::new(),
                started_attempts: BTreeSet::new(),
                completed_parts: BTreeMap::new(),
            };
            model.jobs.insert(format!("j{gang}"), entry);
        }
        model.start_decider();
        model
    }

    fn start_decider(&mut self) {
        self.epoch += 1;
        self.planner = Planner::new(Settings::default(), 1);
        self.handle_event(Event::Epoch(self.epoch));
        for (name, entry) in self.jobs.clone() {
            let (job, spec) = (name.as_str().into(), entry.spec);
            let (attempt, age) = (entry.attempt, Duration::ZERO);
            match entry.phase {
                Phase::Queued => self.handle_event(Event::Submit {
                    job,
                    spec,
                    attempt,
                    age,
                }),
                Phase::Running => self.handle_event(Event::Adopt {
                    job,
                    spec,
                    attempt,
                    parts: entry.parts,
                    age,
                }),
                _ => {}
            }
        }
        for (index, id) in WORKERS.into_iter().enumerate() {
            self.events[index].clear();
            for action in self.agents[index].table.unacknowledged() {
                self.send_to_planner(index, action);
            }
            let worker = Worker {
                id: id.into(),
                incarnation: 1,
                domain: "a".into(),
                rack: "r".into(),
                accelerators: 1,
            };
            let inventory = self.agents[index].table.inventory();
            self.events[index].push_back(Event::WorkerUp { worker, inventory });
        }
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.planner.handle(self.now, event, &mut actions);
        assert_eq!(self.planner.violation(), None);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        let (worker, job, attempt, command) = match action {
            Action::Record(record) => return self.log.push_back((self.epoch, record)),
            Action::Explain { .. } => return,
            Action::Reserve {
                worker,
                job,
                attempt,
                tasks,
                accelerators,
            } => {
                let command = Command::Reserve {
                    tasks,
                    accelerators,
                };
                (worker, job, attempt, command)
            }
            Action::Commit {
                worker,
                job,
                attempt,
                tasks,
                accelerators,
            } => {
                let command = Command::Commit {
                    tasks,
                    accelerators,
                };
                (worker, job, attempt, command)
            }
            Action::Settle {
                worker,
                job,
                attempt,
            } => (worker, job, attempt, Command::Settle),
            Action::Release {
                worker,
                job,
                attempt,
            } => (worker, job, attempt, Command::Release),
            Action::Stop {
                worker,
                job,
                attempt,
                checkpoint,
            } => (worker, job, attempt, Command::Stop { checkpoint }),
        };
        let index = WORKERS.iter().position(|id| *id == &*worker).unwrap();
        let epoch = self.epoch;
        let order = CommandHeader {
            epoch,
            job,
            attempt,
        };
        let link = self.commands.entry((index, epoch)).or_default();
        link.push_back((order, command));
    }

    fn handle_agent_event(&mut self, index: usize, event: hold::Event) {
        let mut actions = Vec::new();
        self.agents[index]
            .table
            .handle(self.now, event, &mut actions);
        for action in actions {
            self.execute_agent_action(index, action);
        }
    }

    fn execute_agent_action(&mut self, index: usize, action: hold::Action) {
        match action {
            hold::Action::Start { job, attempt, .. } => {
                self.record_start(&job, attempt);
                let task = (self.now + TASK_DURATION, End::Done);
                self.agents[index]
                    .tasks
                    .insert((job.to_string(), attempt), task);
                self.handle_agent_event(index, hold::Event::Launched { job, attempt });
            }
            hold::Action::Stop { job, attempt, .. } => {
                if self.agents[index]
                    .tasks
                    .remove(&(job.to_string(), attempt))
                    .is_some()
                {
                    let end = End::Stopped;
                    self.handle_agent_event(index, hold::Event::Ended { job, attempt, end });
                }
            }
            other => self.send_to_planner(index, other),
        }
    }

    fn record_start(&mut self, job: &str, attempt: u32) {
        let running = self.agents.iter().flat_map(|agent| agent.tasks.keys());
        let other = running
            .clone()
            .find(|(name, run)| name == job && *run != attempt);
        assert_eq!(other, None, "two runs of {job} overlap");
        let entry = self.jobs.get_mut(job).unwrap();
        entry.started_attempts.insert(attempt);
        assert!(
            entry.spec.idempotent || entry.started_attempts.len() == 1,
            "{job} ran more than once: {:?}",
            entry.started_attempts
        );
        assert!(
            attempt <= entry.attempt,
            "{job} starts before its start is recorded"
        );
    }

    fn send_to_planner(&mut self, index: usize, action: hold::Action) {
        let worker = WORKERS[index].into();
        let event = match action {
            hold::Action::Held { job, attempt } => Event::Held {
                worker,
                job,
                attempt,
            },
            hold::Action::Denied {
                job,
                attempt,
                reason,
            } => Event::Denied {
                worker,
                job,
                attempt,
                reason,
            },
            hold::Action::Started { job, attempt } => Event::Started {
                worker,
                job,
                attempt,
            },
            hold::Action::Ended { job, attempt, end } => Event::Ended {
                worker,
                job,
                attempt,
                end,
            },
            hold::Action::Start { .. } | hold::Action::Stop { .. } => unreachable!(),
        };
        self.events[index].push_back(event);
    }

    fn apply_record(&mut self, epoch: u64, record: Record) {
        // Records of a replaced decider have no effect.
        if epoch != self.epoch {
            return;
        }
        match record {
            Record::Start {
                job,
                attempt,
                parts,
                ..
            } => {
                let entry = self.jobs.get_mut(&*job).unwrap();
                assert_eq!((entry.phase, entry.attempt + 1), (Phase::Queued, attempt));
                let tasks: u32 = parts.iter().map(|part| part.tasks).sum();
                assert_eq!(tasks, 2, "the gang starts with all its tasks");
                entry.phase = Phase::Running;
                entry.attempt = attempt;
                entry.parts = parts;
                self.handle_event(Event::Recorded { job, attempt });
            }
            Record::Requeue { job, attempt, .. } => self.end_run(&job, attempt, Phase::Queued),
            Record::End {
                job,
                attempt,
                phase,
                ..
            } => {
                let entry = &self.jobs[&*job];
                let done = entry.completed_parts.get(&attempt) == Some(&2);
                assert_eq!(phase == Phase::Done, done, "{job} ends as {phase:?}");
                self.end_run(&job, attempt, phase);
            }
            _ => {}
        }
    }

    fn end_run(&mut self, job: &str, attempt: u32, phase: Phase) {
        let entry = self.jobs.get_mut(job).unwrap();
        assert_eq!((entry.phase, entry.attempt), (Phase::Running, attempt));
        entry.phase = phase;
        for index in 0..2 {
            let job = job.into();
            self.handle_agent_event(index, hold::Event::Acknowledged { job, attempt });
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        for index in 0..2 {
            self.handle_agent_event(index, hold::Event::Tick);
            let due = self.agents[index]
                .tasks
                .iter()
                .filter(|(_, (end, _))| *end <= self.now);
            let due: Vec<_> = due.map(|(id, (_, end))| (id.clone(), *end)).collect();
            for ((job, attempt), end) in due {
                self.agents[index].tasks.remove(&(job.clone(), attempt));
                *self
                    .jobs
                    .get_mut(&job)
                    .unwrap()
                    .completed_parts
                    .entry(attempt)
                    .or_default() += 1;
                let job = job.as_str().into();
                self.handle_agent_event(index, hold::Event::Ended { job, attempt, end });
            }
        }
        self.handle_event(Event::Tick);
    }

    fn choices(&self) -> Vec<Choice> {
        let mut choices = Vec::new();
        let may_lose = self.budget.losses > 0;
        for ((index, epoch), link) in &self.commands {
            if !link.is_empty() {
                choices.push(Choice::Command(*index, *epoch));
                if may_lose {
                    choices.push(Choice::LoseCommand(*index, *epoch));
                }
            }
        }
        for index in 0..2 {
            match self.events[index].front() {
                None => {}
                // Losing an announcement would mean losing the link, and ends are resent with the
                // next announcement, so neither is lost here.
                Some(Event::WorkerUp { .. } | Event::Ended { .. }) => {
                    choices.push(Choice::Event(index));
                }
                Some(_) => {
                    choices.push(Choice::Event(index));
                    if may_lose {
                        choices.push(Choice::LoseEvent(index));
                    }
                }
            }
        }
        if !self.log.is_empty() {
            choices.push(Choice::Append);
        }
        let all_final = self.jobs.values().all(|entry| entry.phase.is_final());
        if choices.is_empty() && !all_final {
            choices.push(Choice::AdvanceClock);
        } else if self.budget.long_delays > 0 && !all_final {
            choices.push(Choice::LongDelay);
        }
        if self.budget.crashes > 0 && !all_final {
            choices.push(Choice::Crash);
        }
        choices
    }

    fn apply(&mut self, choice: Choice) {
        match choice {
            Choice::Command(index, epoch) => {
                let link = self.commands.get_mut(&(index, epoch)).unwrap();
                let (order, command) = link.pop_front().unwrap();
                self.handle_agent_event(index, hold::Event::Command(order, command));
            }
            Choice::LoseCommand(index, epoch) => {
                self.budget.losses -= 1;
                self.commands.get_mut(&(index, epoch)).unwrap().pop_front();
            }
            Choice::Event(index) => {
                let event = self.events[index].pop_front().unwrap();
                self.handle_event(event);
            }
            Choice::LoseEvent(index) => {
                self.budget.losses -= 1;
                self.events[index].pop_front();
            }
            Choice::Append => {
                let (epoch, record) = self.log.pop_front().unwrap();
                self.apply_record(epoch, record);
            }
            Choice::Crash => {
                self.budget.crashes -= 1;
                self.start_decider();
            }
            Choice::LongDelay => {
                self.budget.long_delays -= 1;
                self.advance(LONG_DELAY);
            }
            Choice::AdvanceClock => self.advance(CLOCK_STEP),
        }
    }

    fn fingerprint(&self, text: &mut String) -> u64 {
        text.clear();
        write!(text, "{self:?}").unwrap();
        let mut hasher = DefaultHasher::new();
        hasher.write(text.as_bytes());
        hasher.finish()
    }

    fn check_final(&self) {
        for (name, entry) in &self.jobs {
            assert!(entry.phase.is_final(), "{name} is {:?}", entry.phase);
            if entry.spec.idempotent {
                assert_eq!(entry.phase, Phase::Done, "{name}");
            }
        }
        for agent in &self.agents {
            assert!(
                agent.tasks.is_empty(),
                "a part still runs: {:?}",
                agent.tasks
            );
        }
    }
}

/// Visits every reachable state once and returns the number of states.
fn explore(start: Model) -> usize {
    let mut visited = HashSet::new();
    let mut frontier = vec![start];
    let mut text = String::new();
    while let Some(model) = frontier.pop() {
        let choices = model.choices();
        if choices.is_empty() {
            model.check_final();
        }
        assert!(
            model.now < MAX_DURATION,
            "jobs not final in time: {:#?}",
            model.jobs
        );
        for choice in choices {
            let mut next = model.clone();
            next.apply(choice);
            if visited.insert(next.fingerprint(&mut text)) {
                frontier.push(next);
            }
        }
    }
    visited.len()
}

fn fault_budget(losses: u32, crashes: u32, long_delays: u32) -> FaultBudget {
    FaultBudget {
        losses,
        crashes,
        long_delays,
    }
}

/// Guards against lost messages that leave a partial gang or repeat a run.
#[test]
fn one_gang_survives_a_loss_at_any_step() {
    for repeatable in [false, true] {
        let states = explore(Model::new(1, repeatable, fault_budget(2, 0, 0)));
        println!("{states} states");
        assert!(states > 100);
    }
}

/// Guards against messages that arrive after the protocol's time limits.
#[test]
fn one_gang_survives_long_delays_at_any_step() {
    for repeatable in [false, true] {
        let states = explore(Model::new(1, repeatable, fault_budget(0, 0, 2)));
        println!("{states} states");
        assert!(states > 100);
    }
}

/// Guards against a new decider that mishandles commands of the old one, in any order of arrival.
#[test]
fn one_gang_survives_a_crash_of_the_decider_at_any_step() {
    for repeatable in [false, true] {
        let states = explore(Model::new(1, repeatable, fault_budget(0, 1, 0)));
        println!("{states} states");
        assert!(states > 100);
    }
}

/// Guards against combinations of faults that are harmless one by one.
#[test]
fn one_gang_survives_a_loss_a_crash_and_a_delay_together() {
    for faults in [
        fault_budget(1, 1, 0),
        fault_budget(0, 1, 1),
        fault_budget(1, 0, 1),
    ] {
        let states = explore(Model::new(1, false, faults));
        println!("{faults:?} {states} states");
        assert!(states > 1_000);
    }
}

/// Guards against deadlock between two gangs that each hold accelerators the other needs.
#[test]
fn two_gangs_do_not_wait_for_each_other() {
    for faults in [
        fault_budget(1, 0, 0),
        fault_budget(0, 1, 0),
        fault_budget(0, 0, 1),
    ] {
        let states = explore(Model::new(2, false, faults));
        println!("{states} states");
        assert!(states > 100);
    }
}
