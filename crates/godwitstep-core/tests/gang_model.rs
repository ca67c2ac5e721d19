//! Explores every order of messages of the gang protocol on 2 workers, with losses, delays beyond
//! the protocol's limits and crashes of the decider. It runs the real planner and hold tables.

use godwitstep_core::hold::{self, Command, Order, Table};
use godwitstep_core::planner::{Action, End, Event, Planner, Settings, Worker};
use godwitstep_core::record::{Event as Record, Part};
use godwitstep_core::resource::{Job, Phase};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::fmt::Write as _;
use std::hash::Hasher;
use std::time::Duration;

const WORKERS: [&str; 2] = ["w1", "w2"];
const STEP: Duration = Duration::from_secs(1);
const JUMP: Duration = Duration::from_secs(6);
const RUN: Duration = Duration::from_secs(2);
/// All jobs are final long before this, whatever was lost.
const LIMIT: Duration = Duration::from_secs(90);

#[derive(Clone, Debug)]
struct Entry {
    spec: Job,
    phase: Phase,
    attempt: u32,
    parts: Vec<Part>,
    started: BTreeSet<u32>,
    done: BTreeMap<u32, usize>,
}

#[derive(Clone, Debug)]
struct Agent {
    table: Table,
    tasks: BTreeMap<(String, u32), (Duration, End)>,
}

/// Faults that may still happen.
#[derive(Clone, Copy, Debug)]
struct Budget {
    losses: u32,
    crashes: u32,
    jumps: u32,
}

#[derive(Clone, Debug)]
struct Model {
    planner: Planner,
    epoch: u64,
    now: Duration,
    agents: [Agent; 2],
    jobs: BTreeMap<String, Entry>,
    /// Commands by worker and epoch: those of a decider that crashed may still arrive.
    commands: BTreeMap<(usize, u64), VecDeque<(Order, Command)>>,
    events: [VecDeque<Event>; 2],
    log: VecDeque<(u64, Record)>,
    budget: Budget,
}

#[derive(Clone, Copy, Debug)]
enum Choice {
    Command(usize, u64),
    LoseCommand(usize, u64),
    Event(usize),
    LoseEvent(usize),
    Append,
    Crash,
    Jump,
    Wait,
}

impl Model {
    fn new(gangs: u32, repeatable: bool, budget: Budget) -> Self {
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
            let entry = Entry {
                spec: Job::new("ws", "kind", 2, 1).idempotent(repeatable),
                phase: Phase::Queued,
                attempt: 0,
                parts: Vec::new(),
                started: BTreeSet::new(),
                done: BTreeMap::new(),
            };
            model.jobs.insert(format!("j{gang}"), entry);
        }
        model.elect();
        model
    }

    fn elect(&mut self) {
        self.epoch += 1;
        self.planner = Planner::new(Settings::default(), 1);
        self.tell(Event::Epoch(self.epoch));
        for (name, entry) in self.jobs.clone() {
            let (job, spec) = (name.as_str().into(), entry.spec);
            let (attempt, age) = (entry.attempt, Duration::ZERO);
            match entry.phase {
                Phase::Queued => self.tell(Event::Submit {
                    job,
                    spec,
                    attempt,
                    age,
                }),
                Phase::Running => self.tell(Event::Adopt {
                    job,
                    spec,
                    attempt,
                    parts: entry.parts,
                    age,
                }),
                _ => {}
            }
        }
        for (at, id) in WORKERS.into_iter().enumerate() {
            self.events[at].clear();
            for action in self.agents[at].table.unacknowledged() {
                self.reply(at, action);
            }
            let worker = Worker {
                id: id.into(),
                incarnation: 1,
                domain: "a".into(),
                rack: "r".into(),
                accelerators: 1,
            };
            let inventory = self.agents[at].table.inventory();
            self.events[at].push_back(Event::WorkerUp { worker, inventory });
        }
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.planner.handle(self.now, event, &mut actions);
        assert_eq!(self.planner.violation(), None);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
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
        let at = WORKERS.iter().position(|id| *id == &*worker).unwrap();
        let epoch = self.epoch;
        let order = Order {
            epoch,
            job,
            attempt,
        };
        let link = self.commands.entry((at, epoch)).or_default();
        link.push_back((order, command));
    }

    fn agent(&mut self, at: usize, event: hold::Event) {
        let mut actions = Vec::new();
        self.agents[at].table.handle(self.now, event, &mut actions);
        for action in actions {
            self.agent_action(at, action);
        }
    }

    fn agent_action(&mut self, at: usize, action: hold::Action) {
        match action {
            hold::Action::Start { job, attempt, .. } => {
                self.start(&job, attempt);
                let task = (self.now + RUN, End::Done);
                self.agents[at]
                    .tasks
                    .insert((job.to_string(), attempt), task);
                self.agent(at, hold::Event::Launched { job, attempt });
            }
            hold::Action::Stop { job, attempt, .. } => {
                if self.agents[at]
                    .tasks
                    .remove(&(job.to_string(), attempt))
                    .is_some()
                {
                    let end = End::Stopped;
                    self.agent(at, hold::Event::Ended { job, attempt, end });
                }
            }
            other => self.reply(at, other),
        }
    }

    fn start(&mut self, job: &str, attempt: u32) {
        let running = self.agents.iter().flat_map(|agent| agent.tasks.keys());
        let other = running
            .clone()
            .find(|(name, run)| name == job && *run != attempt);
        assert_eq!(other, None, "two runs of {job} overlap");
        let entry = self.jobs.get_mut(job).unwrap();
        entry.started.insert(attempt);
        assert!(
            entry.spec.idempotent || entry.started.len() == 1,
            "{job} is repeated: {:?}",
            entry.started
        );
        assert!(attempt <= entry.attempt, "{job} starts without a record");
    }

    fn reply(&mut self, at: usize, action: hold::Action) {
        let worker = WORKERS[at].into();
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
        self.events[at].push_back(event);
    }

    fn fold(&mut self, epoch: u64, record: Record) {
        // A record of a decider that was replaced has no effect.
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
                assert_eq!(tasks, 2, "a gang starts whole");
                entry.phase = Phase::Running;
                entry.attempt = attempt;
                entry.parts = parts;
                self.tell(Event::Recorded { job, attempt });
            }
            Record::Requeue { job, attempt, .. } => self.close(&job, attempt, Phase::Queued),
            Record::End {
                job,
                attempt,
                phase,
                ..
            } => {
                let entry = &self.jobs[&*job];
                let done = entry.done.get(&attempt) == Some(&2);
                assert_eq!(phase == Phase::Done, done, "{job} ends as {phase:?}");
                self.close(&job, attempt, phase);
            }
            _ => {}
        }
    }

    fn close(&mut self, job: &str, attempt: u32, phase: Phase) {
        let entry = self.jobs.get_mut(job).unwrap();
        assert_eq!((entry.phase, entry.attempt), (Phase::Running, attempt));
        entry.phase = phase;
        for at in 0..2 {
            let job = job.into();
            self.agent(at, hold::Event::Acknowledged { job, attempt });
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        for at in 0..2 {
            self.agent(at, hold::Event::Tick);
            let due = self.agents[at]
                .tasks
                .iter()
                .filter(|(_, (end, _))| *end <= self.now);
            let due: Vec<_> = due.map(|(id, (_, end))| (id.clone(), *end)).collect();
            for ((job, attempt), end) in due {
                self.agents[at].tasks.remove(&(job.clone(), attempt));
                *self
                    .jobs
                    .get_mut(&job)
                    .unwrap()
                    .done
                    .entry(attempt)
                    .or_default() += 1;
                let job = job.as_str().into();
                self.agent(at, hold::Event::Ended { job, attempt, end });
            }
        }
        self.tell(Event::Tick);
    }

    fn choices(&self) -> Vec<Choice> {
        let mut choices = Vec::new();
        let lossy = self.budget.losses > 0;
        for ((at, epoch), link) in &self.commands {
            if !link.is_empty() {
                choices.push(Choice::Command(*at, *epoch));
                if lossy {
                    choices.push(Choice::LoseCommand(*at, *epoch));
                }
            }
        }
        for at in 0..2 {
            match self.events[at].front() {
                None => {}
                // An announcement is not lost without its link, and ends are sent with the next.
                Some(Event::WorkerUp { .. } | Event::Ended { .. }) => {
                    choices.push(Choice::Event(at));
                }
                Some(_) => {
                    choices.push(Choice::Event(at));
                    if lossy {
                        choices.push(Choice::LoseEvent(at));
                    }
                }
            }
        }
        if !self.log.is_empty() {
            choices.push(Choice::Append);
        }
        let settled = self.jobs.values().all(|entry| entry.phase.is_final());
        if choices.is_empty() && !settled {
            choices.push(Choice::Wait);
        } else if self.budget.jumps > 0 && !settled {
            choices.push(Choice::Jump);
        }
        if self.budget.crashes > 0 && !settled {
            choices.push(Choice::Crash);
        }
        choices
    }

    fn apply(&mut self, choice: Choice) {
        match choice {
            Choice::Command(at, epoch) => {
                let link = self.commands.get_mut(&(at, epoch)).unwrap();
                let (order, command) = link.pop_front().unwrap();
                self.agent(at, hold::Event::Command(order, command));
            }
            Choice::LoseCommand(at, epoch) => {
                self.budget.losses -= 1;
                self.commands.get_mut(&(at, epoch)).unwrap().pop_front();
            }
            Choice::Event(at) => {
                let event = self.events[at].pop_front().unwrap();
                self.tell(event);
            }
            Choice::LoseEvent(at) => {
                self.budget.losses -= 1;
                self.events[at].pop_front();
            }
            Choice::Append => {
                let (epoch, record) = self.log.pop_front().unwrap();
                self.fold(epoch, record);
            }
            Choice::Crash => {
                self.budget.crashes -= 1;
                self.elect();
            }
            Choice::Jump => {
                self.budget.jumps -= 1;
                self.advance(JUMP);
            }
            Choice::Wait => self.advance(STEP),
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
            assert!(agent.tasks.is_empty(), "a part runs on: {:?}", agent.tasks);
        }
    }
}

/// Visits every reachable state once. Returns their number.
fn explore(start: Model) -> usize {
    let mut seen = HashSet::new();
    let mut open = vec![start];
    let mut text = String::new();
    while let Some(model) = open.pop() {
        let choices = model.choices();
        if choices.is_empty() {
            model.check_final();
        }
        assert!(model.now < LIMIT, "no end: {:#?}", model.jobs);
        for choice in choices {
            let mut next = model.clone();
            next.apply(choice);
            if seen.insert(next.fingerprint(&mut text)) {
                open.push(next);
            }
        }
    }
    seen.len()
}

fn budget(losses: u32, crashes: u32, jumps: u32) -> Budget {
    Budget {
        losses,
        crashes,
        jumps,
    }
}

/// Guards against any loss of one message that leaves half a gang or repeats a run.
#[test]
fn one_gang_survives_a_loss_at_any_step() {
    for repeatable in [false, true] {
        let states = explore(Model::new(1, repeatable, budget(2, 0, 0)));
        println!("{states} states");
        assert!(states > 100);
    }
}

/// Guards against messages that arrive after the limits of the protocol have passed.
#[test]
fn one_gang_survives_long_delays_at_any_step() {
    for repeatable in [false, true] {
        let states = explore(Model::new(1, repeatable, budget(0, 0, 2)));
        println!("{states} states");
        assert!(states > 100);
    }
}

/// Guards against a new decider that meets commands of the old one in any order.
#[test]
fn one_gang_survives_a_crash_of_the_decider_at_any_step() {
    for repeatable in [false, true] {
        let states = explore(Model::new(1, repeatable, budget(0, 1, 0)));
        println!("{states} states");
        assert!(states > 100);
    }
}

/// Guards against faults that only do harm together.
#[test]
fn one_gang_survives_a_loss_a_crash_and_a_delay_together() {
    for faults in [budget(1, 1, 0), budget(0, 1, 1), budget(1, 0, 1)] {
        let states = explore(Model::new(1, false, faults));
        println!("{faults:?} {states} states");
        assert!(states > 1_000);
    }
}

/// Guards against two gangs that hold each other's accelerators.
#[test]
fn two_gangs_do_not_wait_for_each_other() {
    for faults in [budget(1, 0, 0), budget(0, 1, 0), budget(0, 0, 1)] {
        let states = explore(Model::new(2, false, faults));
        println!("{states} states");
        assert!(states > 100);
    }
}
