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
/// Time by which the clock advances when no message is in flight.
const CLOCK_STEP: Duration = Duration::from_secs(1);
/// Longer than `HOLD_TIMEOUT` and the planner's limits for reservations and commits, 5 s each.
const LONG_DELAY: Duration = Duration::from_secs(6);
const TASK_DURATION: Duration = Duration::from_secs(2);
/// Upper bound on simulated time. Jobs become final long before it in every state.
const MAX_DURATION: Duration = Duration::from_secs(90);

/// A job as recorded in the log, and the progress of its runs.
#[derive(Clone, Debug)]
struct JobState {
    spec: Job,
    phase: Phase,
    attempt: u32,
    parts: Vec<Part>,
    /// Attempts of which an agent started at least one part.
    started_attempts: BTreeSet<u32>,
    /// Number of completed parts by attempt.
    completed_parts: BTreeMap<u32, usize>,
}

#[derive(Clone, Debug)]
struct Agent {
    table: Table,
    /// Running parts by job and attempt, with the time and kind of their end.
    running_parts: BTreeMap<(String, u32), (Duration, End)>,
}

/// Number of faults of each kind that may still be injected.
#[derive(Clone, Copy, Debug)]
struct FaultBudget {
    losses: u32,
    crashes: u32,
    long_delays: u32,
}

/// State of the model: the components, the messages in flight and the remaining faults.
#[derive(Clone, Debug)]
struct Model {
    planner: Planner,
    epoch: u64,
    now: Duration,
    agents: [Agent; 2],
    jobs: BTreeMap<String, JobState>,
    /// Commands in flight by worker and epoch; those of a crashed decider may still arrive.
    commands: BTreeMap<(usize, u64), VecDeque<(CommandHeader, Command)>>,
    /// Events in flight to the planner by worker.
    events: [VecDeque<Event>; 2],
    /// Records on their way to the log, with the epochs of their deciders.
    log: VecDeque<(u64, Record)>,
    budget: FaultBudget,
}

/// Transition from one state of the model to another.
#[derive(Clone, Copy, Debug)]
enum Transition {
    DeliverCommand(usize, u64),
    LoseCommand(usize, u64),
    DeliverEvent(usize),
    LoseEvent(usize),
    AppendRecord,
    CrashDecider,
    LongDelay,
    AdvanceClock,
}

impl Model {
    fn new(gangs: u32, repeatable: bool, budget: FaultBudget) -> Self {
        let agent = || Agent {
            table: Table::new("a", 1),
            running_parts: BTreeMap::new(),
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
            let state = JobState {
                spec: Job::new("ws", "kind", 2, 1).idempotent(repeatable),
                phase: Phase::Queued,
                attempt: 0,
                parts: Vec::new(),
                started_attempts: BTreeSet::new(),
                completed_parts: BTreeMap::new(),
            };
            model.jobs.insert(format!("j{gang}"), state);
        }
        model.start_decider();
        model
    }

    /// Replaces the decider by one with the next epoch, to which all agents announce themselves.
    fn start_decider(&mut self) {
        self.epoch += 1;
        self.planner = Planner::new(Settings::default(), 1);
        self.handle_event(Event::Epoch(self.epoch));
        for (name, state) in self.jobs.clone() {
            let (job, spec) = (name.as_str().into(), state.spec);
            let (attempt, age) = (state.attempt, Duration::ZERO);
            match state.phase {
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
                    parts: state.parts,
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
        let header = CommandHeader {
            epoch,
            job,
            attempt,
        };
        let link = self.commands.entry((index, epoch)).or_default();
        link.push_back((header, command));
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
                self.register_start(&job, attempt);
                let part = (self.now + TASK_DURATION, End::Done);
                self.agents[index]
                    .running_parts
                    .insert((job.to_string(), attempt), part);
                self.handle_agent_event(index, hold::Event::Launched { job, attempt });
            }
            hold::Action::Stop { job, attempt, .. } => {
                if self.agents[index]
                    .running_parts
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

    /// Registers the start of a part and asserts that it is allowed.
    fn register_start(&mut self, job: &str, attempt: u32) {
        let running = self
            .agents
            .iter()
            .flat_map(|agent| agent.running_parts.keys());
        let overlapping = running
            .clone()
            .find(|(name, running_attempt)| name == job && *running_attempt != attempt);
        assert_eq!(overlapping, None, "two runs of {job} overlap");
        let state = self.jobs.get_mut(job).unwrap();
        state.started_attempts.insert(attempt);
        assert!(
            state.spec.idempotent || state.started_attempts.len() == 1,
            "{job} ran more than once: {:?}",
            state.started_attempts
        );
        assert!(
            attempt <= state.attempt,
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
                let state = self.jobs.get_mut(&*job).unwrap();
                assert_eq!((state.phase, state.attempt + 1), (Phase::Queued, attempt));
                let tasks: u32 = parts.iter().map(|part| part.tasks).sum();
                assert_eq!(tasks, 2, "the gang starts with all its tasks");
                state.phase = Phase::Running;
                state.attempt = attempt;
                state.parts = parts;
                self.handle_event(Event::Recorded { job, attempt });
            }
            Record::Requeue { job, attempt, .. } => self.end_run(&job, attempt, Phase::Queued),
            Record::End {
                job,
                attempt,
                phase,
                ..
            } => {
                let state = &self.jobs[&*job];
                let completed = state.completed_parts.get(&attempt) == Some(&2);
                assert_eq!(phase == Phase::Done, completed, "{job} ends as {phase:?}");
                self.end_run(&job, attempt, phase);
            }
            _ => {}
        }
    }

    fn end_run(&mut self, job: &str, attempt: u32, phase: Phase) {
        let state = self.jobs.get_mut(job).unwrap();
        assert_eq!((state.phase, state.attempt), (Phase::Running, attempt));
        state.phase = phase;
        for index in 0..2 {
            let job = job.into();
            self.handle_agent_event(index, hold::Event::Acknowledged { job, attempt });
        }
    }

    /// Advances the clock and ends the parts that are due.
    fn advance(&mut self, time: Duration) {
        self.now += time;
        for index in 0..2 {
            self.handle_agent_event(index, hold::Event::Tick);
            let due = self.agents[index]
                .running_parts
                .iter()
                .filter(|(_, (end, _))| *end <= self.now);
            let due: Vec<_> = due.map(|(id, (_, end))| (id.clone(), *end)).collect();
            for ((job, attempt), end) in due {
                self.agents[index]
                    .running_parts
                    .remove(&(job.clone(), attempt));
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

    fn enabled_transitions(&self) -> Vec<Transition> {
        let mut transitions = Vec::new();
        let may_lose = self.budget.losses > 0;
        for ((index, epoch), link) in &self.commands {
            if !link.is_empty() {
                transitions.push(Transition::DeliverCommand(*index, *epoch));
                if may_lose {
                    transitions.push(Transition::LoseCommand(*index, *epoch));
                }
            }
        }
        for index in 0..2 {
            match self.events[index].front() {
                None => {}
                // Losing an announcement would mean losing the link, and ends are resent with the
                // next announcement, so neither is lost here.
                Some(Event::WorkerUp { .. } | Event::Ended { .. }) => {
                    transitions.push(Transition::DeliverEvent(index));
                }
                Some(_) => {
                    transitions.push(Transition::DeliverEvent(index));
                    if may_lose {
                        transitions.push(Transition::LoseEvent(index));
                    }
                }
            }
        }
        if !self.log.is_empty() {
            transitions.push(Transition::AppendRecord);
        }
        let all_final = self.jobs.values().all(|state| state.phase.is_final());
        if transitions.is_empty() && !all_final {
            transitions.push(Transition::AdvanceClock);
        } else if self.budget.long_delays > 0 && !all_final {
            transitions.push(Transition::LongDelay);
        }
        if self.budget.crashes > 0 && !all_final {
            transitions.push(Transition::CrashDecider);
        }
        transitions
    }

    fn apply(&mut self, transition: Transition) {
        match transition {
            Transition::DeliverCommand(index, epoch) => {
                let link = self.commands.get_mut(&(index, epoch)).unwrap();
                let (header, command) = link.pop_front().unwrap();
                self.handle_agent_event(index, hold::Event::Command(header, command));
            }
            Transition::LoseCommand(index, epoch) => {
                self.budget.losses -= 1;
                self.commands.get_mut(&(index, epoch)).unwrap().pop_front();
            }
            Transition::DeliverEvent(index) => {
                let event = self.events[index].pop_front().unwrap();
                self.handle_event(event);
            }
            Transition::LoseEvent(index) => {
                self.budget.losses -= 1;
                self.events[index].pop_front();
            }
            Transition::AppendRecord => {
                let (epoch, record) = self.log.pop_front().unwrap();
                self.apply_record(epoch, record);
            }
            Transition::CrashDecider => {
                self.budget.crashes -= 1;
                self.start_decider();
            }
            Transition::LongDelay => {
                self.budget.long_delays -= 1;
                self.advance(LONG_DELAY);
            }
            Transition::AdvanceClock => self.advance(CLOCK_STEP),
        }
    }

    /// Returns a hash of the state, which identifies visited states. `text` is a reused buffer.
    fn fingerprint(&self, text: &mut String) -> u64 {
        text.clear();
        write!(text, "{self:?}").unwrap();
        let mut hasher = DefaultHasher::new();
        hasher.write(text.as_bytes());
        hasher.finish()
    }

    /// Asserts that all jobs have ended and no part still runs.
    fn check_final(&self) {
        for (name, state) in &self.jobs {
            assert!(state.phase.is_final(), "{name} is {:?}", state.phase);
            if state.spec.idempotent {
                assert_eq!(state.phase, Phase::Done, "{name}");
            }
        }
        for agent in &self.agents {
            assert!(
                agent.running_parts.is_empty(),
                "a part still runs: {:?}",
                agent.running_parts
            );
        }
    }
}

/// Visits every state that is reachable from the initial one and returns the number of states.
fn explore(initial: Model) -> usize {
    let mut visited = HashSet::new();
    let mut frontier = vec![initial];
    let mut text = String::new();
    while let Some(model) = frontier.pop() {
        let transitions = model.enabled_transitions();
        if transitions.is_empty() {
            model.check_final();
        }
        assert!(
            model.now < MAX_DURATION,
            "jobs not final in time: {:#?}",
            model.jobs
        );
        for transition in transitions {
            let mut next = model.clone();
            next.apply(transition);
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
fn one_gang_tolerates_a_loss_at_any_step() {
    for repeatable in [false, true] {
        let states = explore(Model::new(1, repeatable, fault_budget(2, 0, 0)));
        println!("{states} states");
        assert!(states > 100);
    }
}

/// Guards against messages that arrive after the protocol's time limits.
#[test]
fn one_gang_tolerates_long_delays_at_any_step() {
    for repeatable in [false, true] {
        let states = explore(Model::new(1, repeatable, fault_budget(0, 0, 2)));
        println!("{states} states");
        assert!(states > 100);
    }
}

/// Guards against a new decider that mishandles commands of the old one, in any order of arrival.
#[test]
fn one_gang_tolerates_a_crash_of_the_decider_at_any_step() {
    for repeatable in [false, true] {
        let states = explore(Model::new(1, repeatable, fault_budget(0, 1, 0)));
        println!("{states} states");
        assert!(states > 100);
    }
}

/// Guards against combinations of faults that are harmless one by one.
#[test]
fn one_gang_tolerates_a_loss_a_crash_and_a_delay_together() {
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
fn two_gangs_do_not_deadlock() {
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
