//! Simulation of a region: a planner, agents with the real hold tables, a log and lossy links.
//!
//! The simulation asserts the invariants at every step: runs of a job never overlap, a run that
//! must not be repeated starts only once, and a job is recorded as done only if all its tasks
//! completed.
// Each test binary uses only some of the helpers.
#![allow(dead_code, clippy::cast_possible_truncation)]

use godwitstep_core::hold::{self, Command, CommandHeader, Table};
use godwitstep_core::planner::{Action, End, Event, Planner, Running, Settings, Worker};
use godwitstep_core::record::{Event as Record, Part};
use godwitstep_core::resource::{Guarantee, Job, Kind, Phase, Priority, Shape, Workspace};
use godwitstep_core::{OperatingMode, Reason};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

pub const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub const fn s(value: u64) -> Duration {
    Duration::from_secs(value)
}

pub fn worker(id: &str, domain: &str, rack: &str, accelerators: u32) -> Worker {
    Worker {
        id: id.into(),
        incarnation: 1,
        domain: domain.into(),
        rack: rack.into(),
        accelerators,
    }
}

pub fn workspace(rank: u32, guarantees: &[(Shape, u32)]) -> Workspace {
    let kind = |name: &str, priority| Kind {
        name: name.into(),
        priority,
        objective_ms: 60_000,
        refund: 1.0,
    };
    let mut spec = Workspace::new(vec![
        kind("normal", Priority::Normal),
        kind("urgent", Priority::Urgent),
        kind("patient", Priority::Patient),
    ]);
    spec.rank = rank;
    let guarantees = guarantees.iter().map(|(shape, count)| Guarantee {
        shape: *shape,
        count: *count,
    });
    spec.guarantees = guarantees.collect();
    spec
}

/// Faults injected into the messages between planner, agents and log.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// Probability that a message is lost, from 0 to 1. The log loses no records.
    pub loss_probability: f64,
    /// Upper bound of the random delay added to each message, in milliseconds.
    pub max_delay_ms: u64,
    /// Whether messages on one link may arrive out of order.
    pub reorder: bool,
}

/// A simulated agent and its worker.
pub struct Agent {
    pub worker: Worker,
    pub table: Table,
    /// Running parts by job and attempt, with the time and kind of their end.
    pub running_parts: BTreeMap<(String, u32), (Duration, End)>,
    pub linked: bool,
    /// Whether the worker has not crashed.
    pub alive: bool,
    /// Whether every part on this worker fails.
    pub fails_parts: bool,
    pub disconnected_at: Duration,
}

/// A job as recorded in the log, and the progress of its runs.
pub struct JobState {
    pub spec: Job,
    pub phase: Phase,
    pub attempt: u32,
    pub parts: Vec<Part>,
    pub reason: Reason,
    /// Time from the start of a part to its end, if the part completes.
    pub run_time: Duration,
    /// Whether every run of the job fails.
    pub fails: bool,
    pub accepted_at: Duration,
    /// Attempts of which an agent started at least one part.
    pub started_attempts: BTreeSet<u32>,
    pub first_start: Option<Duration>,
    /// Number of completed parts by attempt.
    pub completed_parts: BTreeMap<u32, u32>,
}

/// Message in flight, with the epoch of the planner that sends or receives it.
enum Message {
    ToAgent(String, CommandHeader, Command),
    ToPlanner(u64, Event),
    ToLog(u64, Record),
    /// Whether the failure domain of an agent's worker is in service.
    InService(String, bool),
}

pub struct Simulation {
    pub planner: Planner,
    pub epoch: u64,
    pub now: Duration,
    pub agents: BTreeMap<String, Agent>,
    pub jobs: BTreeMap<String, JobState>,
    pub workspaces: BTreeMap<String, Workspace>,
    /// Whether each failure domain is in service.
    pub domains: BTreeMap<String, bool>,
    pub faults: Faults,
    pub rng: fastrand::Rng,
    /// Time, job and worker of each part that was started.
    pub starts: Vec<(Duration, String, String)>,
    pub log_available: bool,
    /// Time at which each domain last entered or left service.
    service_changed_at: BTreeMap<String, Duration>,
    /// Last reason that the current planner reported for each job.
    reported_reasons: BTreeMap<String, Reason>,
    /// Records that are appended once the log is available, with the epochs of their deciders.
    pending_appends: VecDeque<(u64, Record)>,
    /// Messages in flight by arrival time and number.
    messages: BTreeMap<(Duration, u64), Message>,
    /// Arrival time of the last message on each link. Later messages do not arrive before it,
    /// unless [`Faults::reorder`] is set.
    last_arrivals: BTreeMap<String, Duration>,
    last_message_number: u64,
    last_tick: Duration,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut simulation = Self {
            planner: Planner::new(Settings::default(), seed),
            epoch: 1,
            now: s(1),
            agents: BTreeMap::new(),
            jobs: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            domains: BTreeMap::new(),
            faults: Faults::default(),
            rng: fastrand::Rng::with_seed(seed),
            starts: Vec::new(),
            log_available: true,
            pending_appends: VecDeque::new(),
            service_changed_at: BTreeMap::new(),
            reported_reasons: BTreeMap::new(),
            messages: BTreeMap::new(),
            last_arrivals: BTreeMap::new(),
            last_message_number: 0,
            last_tick: Duration::ZERO,
        };
        simulation.handle_event(Event::Epoch(1));
        simulation
    }

    pub fn add_worker(&mut self, worker: Worker) {
        let id = worker.id.to_string();
        let agent = Agent {
            table: Table::new(worker.domain.clone(), worker.accelerators),
            worker,
            running_parts: BTreeMap::new(),
            linked: true,
            alive: true,
            fails_parts: false,
            disconnected_at: Duration::ZERO,
        };
        self.agents.insert(id.clone(), agent);
        self.announce(&id);
    }

    pub fn declare_workspace(&mut self, name: &str, spec: Workspace) {
        self.workspaces.insert(name.into(), spec.clone());
        let id = name.into();
        self.handle_event(Event::Workspace {
            id,
            spec: Some(spec),
        });
    }

    /// Takes a failure domain out of service or returns it to service.
    pub fn set_in_service(&mut self, name: &str, in_service: bool) {
        self.domains.insert(name.into(), in_service);
        let id = name.into();
        self.handle_event(Event::Domain { id, in_service });
        self.service_changed_at.insert(name.into(), self.now);
        let members = self
            .agents
            .iter()
            .filter(|(_, agent)| &*agent.worker.domain == name);
        for id in members.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.last_message_number += 1;
            // Agents receive the change a second later than the decider.
            let key = (self.now + s(1), self.last_message_number);
            self.messages
                .insert(key, Message::InService(id, in_service));
        }
    }

    pub fn submit(&mut self, name: &str, spec: Job, run_time: Duration) {
        let state = JobState {
            spec: spec.clone(),
            phase: Phase::Queued,
            attempt: 0,
            parts: Vec::new(),
            reason: Reason::Accepted,
            run_time,
            fails: false,
            accepted_at: self.now,
            started_attempts: BTreeSet::new(),
            first_start: None,
            completed_parts: BTreeMap::new(),
        };
        self.jobs.insert(name.into(), state);
        self.handle_event(Event::Submit {
            job: name.into(),
            spec,
            attempt: 0,
            age: Duration::ZERO,
        });
    }

    pub fn cancel(&mut self, name: &str) {
        self.handle_event(Event::Cancel { job: name.into() });
    }

    /// Cuts the link of an agent; its tasks continue to run.
    pub fn disconnect(&mut self, id: &str) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.linked = false;
            agent.disconnected_at = self.now;
        }
        self.handle_event(Event::WorkerLost { id: id.into() });
    }

    /// Crashes a worker together with all its tasks.
    pub fn crash_worker(&mut self, id: &str) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.alive = false;
            agent.running_parts.clear();
        }
        self.disconnect(id);
    }

    /// Restores the link of a worker, or restarts a crashed worker with an empty table.
    pub fn restore_worker(&mut self, id: &str) {
        if let Some(agent) = self.agents.get_mut(id) {
            if !agent.alive {
                agent.worker.incarnation += 1;
                let worker = &agent.worker;
                agent.table = Table::new(worker.domain.clone(), worker.accelerators);
            }
            agent.alive = true;
            agent.linked = true;
            let in_service = self
                .domains
                .get(&*agent.worker.domain)
                .copied()
                .unwrap_or(true);
            let event = hold::Event::InService(in_service);
            agent.table.handle(self.now, event, &mut Vec::new());
        }
        self.announce(id);
    }

    /// Sends the ends that are not acknowledged and the inventory of a worker to the planner.
    fn announce(&mut self, id: &str) {
        let Some(agent) = self.agents.get(id) else {
            return;
        };
        let worker = agent.worker.clone();
        let ended = agent.table.unacknowledged();
        let inventory: Vec<Running> = agent.table.inventory();
        for action in ended {
            if let hold::Action::Ended { job, attempt, end } = action {
                let worker = worker.id.clone();
                self.handle_event(Event::Ended {
                    worker,
                    job,
                    attempt,
                    end,
                });
            }
        }
        self.handle_event(Event::WorkerUp { worker, inventory });
    }

    /// Replaces the decider by one with the next epoch. Messages that the old one has already sent
    /// still arrive.
    pub fn replace_decider(&mut self) {
        self.epoch += 1;
        self.reported_reasons.clear();
        self.planner = Planner::new(Settings::default(), self.epoch);
        self.handle_event(Event::Epoch(self.epoch));
        for (name, spec) in self.workspaces.clone() {
            self.handle_event(Event::Workspace {
                id: name.as_str().into(),
                spec: Some(spec),
            });
        }
        for (name, in_service) in self.domains.clone() {
            let id = name.as_str().into();
            self.handle_event(Event::Domain { id, in_service });
        }
        let active = self
            .jobs
            .iter()
            .filter(|(_, state)| !state.phase.is_final());
        let events: Vec<Event> = active
            .map(|(name, state)| {
                let (job, spec) = (name.as_str().into(), state.spec.clone());
                let (attempt, age) = (state.attempt, self.now.saturating_sub(state.accepted_at));
                match state.phase {
                    Phase::Running => Event::Adopt {
                        job,
                        spec,
                        attempt,
                        parts: state.parts.clone(),
                        age,
                    },
                    _ => Event::Submit {
                        job,
                        spec,
                        attempt,
                        age,
                    },
                }
            })
            .collect();
        for event in events {
            self.handle_event(event);
        }
        let linked = self.agents.iter().filter(|(_, agent)| agent.linked);
        for id in linked.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.announce(&id);
        }
    }

    pub fn set_operating_mode(&mut self, operating_mode: OperatingMode) {
        self.handle_event(Event::OperatingMode(operating_mode));
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let next_arrival = self.messages.first_key_value().map(|((at, _), _)| *at);
            let next_tick = self.last_tick + ms(100);
            let next = next_arrival
                .map_or(next_tick, |arrival| arrival.min(next_tick))
                .min(end);
            self.now = self.now.max(next);
            while let Some((arrival, _)) = self.messages.first_key_value().map(|(key, _)| *key)
                && arrival <= self.now
            {
                let (_, message) = self.messages.pop_first().unwrap();
                self.deliver(message);
            }
            if self.now >= next_tick {
                self.last_tick = self.now;
                self.tick();
            }
        }
    }

    /// Runs until the condition holds, but no longer than `limit`. Returns whether it holds.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.run_for(ms(100));
        }
        condition(self)
    }

    pub fn phase(&self, job: &str) -> Phase {
        self.jobs[job].phase
    }

    pub fn all_final(&self) -> bool {
        self.jobs.values().all(|state| state.phase.is_final())
    }

    /// Workers on which the job has running tasks.
    pub fn workers_running(&self, job: &str) -> Vec<String> {
        let runs_job = |agent: &Agent| agent.running_parts.keys().any(|(name, _)| name == job);
        let agents = self.agents.iter().filter(|(_, agent)| runs_job(agent));
        agents.map(|(id, _)| id.clone()).collect()
    }

    fn tick(&mut self) {
        self.append_pending();
        self.handle_event(Event::Tick);
        let ids: Vec<String> = self.agents.keys().cloned().collect();
        for id in ids {
            let agent = self.agents.get_mut(&id).unwrap();
            if !agent.alive {
                continue;
            }
            // The lease of an agent without a link to any entry expires after 9 s.
            if !agent.linked && self.now >= agent.disconnected_at + s(9) {
                agent.running_parts.clear();
                self.handle_agent_event(&id, hold::Event::Lapsed);
                continue;
            }
            let due = agent
                .running_parts
                .iter()
                .filter(|(_, (ends_at, _))| *ends_at <= self.now);
            let due: Vec<_> = due.map(|(key, (_, end))| (key.clone(), *end)).collect();
            self.handle_agent_event(&id, hold::Event::Tick);
            for ((job, attempt), end) in due {
                let agent = self.agents.get_mut(&id).unwrap();
                if agent
                    .running_parts
                    .remove(&(job.clone(), attempt))
                    .is_none()
                {
                    continue;
                }
                if end == End::Done {
                    let state = self.jobs.get_mut(&job).unwrap();
                    *state.completed_parts.entry(attempt).or_default() += 1;
                }
                let job = job.as_str().into();
                self.handle_agent_event(&id, hold::Event::Ended { job, attempt, end });
            }
        }
    }

    /// Passes an event to an agent's table and executes the actions it returns.
    fn handle_agent_event(&mut self, id: &str, event: hold::Event) {
        let mut actions = Vec::new();
        let now = self.now;
        let agent = self.agents.get_mut(id).unwrap();
        agent.table.handle(now, event, &mut actions);
        for action in actions {
            self.execute_agent_action(id, action);
        }
    }

    fn execute_agent_action(&mut self, id: &str, action: hold::Action) {
        let worker = id.into();
        let event = match action {
            hold::Action::Start { job, attempt, .. } => return self.start_part(id, &job, attempt),
            hold::Action::Stop {
                job,
                attempt,
                checkpoint,
            } => {
                let agent = self.agents.get_mut(id).unwrap();
                let end = if checkpoint {
                    End::Checkpointed
                } else {
                    End::Stopped
                };
                let stop_delay = if checkpoint { s(3) } else { ms(200) };
                if let Some(part) = agent.running_parts.get_mut(&(job.to_string(), attempt))
                    && part.0 > self.now + stop_delay
                {
                    *part = (self.now + stop_delay, end);
                }
                return;
            }
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
        };
        // Ends are stored until they are acknowledged, and resent with each announcement, so they
        // are not lost. Other messages may be.
        let reliable = matches!(event, Event::Ended { .. });
        if self.agents[id].linked && (reliable || self.rng.f64() >= self.faults.loss_probability) {
            self.send(Message::ToPlanner(self.epoch, event));
        }
    }

    fn start_part(&mut self, id: &str, job: &str, attempt: u32) {
        for (other, agent) in &self.agents {
            let overlapping = agent
                .running_parts
                .keys()
                .any(|(name, running_attempt)| name == job && *running_attempt != attempt);
            assert!(!overlapping, "two runs of {job} overlap on {other}");
        }
        let state = self.jobs.get_mut(job).unwrap();
        state.started_attempts.insert(attempt);
        state.first_start.get_or_insert(self.now);
        let repeatable = state.spec.idempotent || state.spec.checkpointable;
        let single_attempt = state.started_attempts.len() == 1;
        assert!(
            repeatable || single_attempt,
            "{job} ran more than once: {:?}",
            state.started_attempts
        );
        let agent = self.agents.get_mut(id).unwrap();
        let (fails, run_time) = (agent.fails_parts || state.fails, state.run_time);
        let end = if fails { End::Failed } else { End::Done };
        let ends_at = self.now + if fails { ms(300) } else { run_time };
        agent
            .running_parts
            .insert((job.to_string(), attempt), (ends_at, end));
        let domain = agent.worker.domain.to_string();
        let agents_notified = self
            .service_changed_at
            .get(&domain)
            .is_some_and(|at| self.now > *at + s(2));
        assert!(
            self.domains.get(&domain).copied().unwrap_or(true) || !agents_notified,
            "{job} started in {domain}, which is out of service"
        );
        self.starts
            .push((self.now, job.to_string(), id.to_string()));
        let job = job.into();
        self.handle_agent_event(id, hold::Event::Launched { job, attempt });
    }

    /// Passes an event to the planner and executes the actions it returns.
    pub fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.planner.handle(self.now, event, &mut actions);
        assert_eq!(self.planner.violation(), None);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        let epoch = self.epoch;
        let header = |job, attempt| CommandHeader {
            epoch,
            job,
            attempt,
        };
        let (worker, header, command) = match action {
            Action::Record(record) => return self.send(Message::ToLog(epoch, record)),
            Action::Explain { job, reason } => {
                if let Some(state) = self.jobs.get_mut(&*job) {
                    let previous = self
                        .reported_reasons
                        .insert(job.to_string(), reason.clone());
                    assert_ne!(previous.as_ref(), Some(&reason), "reason reported twice");
                    state.reason = reason;
                }
                return;
            }
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
                (worker, header(job, attempt), command)
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
                (worker, header(job, attempt), command)
            }
            Action::Settle {
                worker,
                job,
                attempt,
            } => (worker, header(job, attempt), Command::Settle),
            Action::Release {
                worker,
                job,
                attempt,
            } => (worker, header(job, attempt), Command::Release),
            Action::Stop {
                worker,
                job,
                attempt,
                checkpoint,
            } => (worker, header(job, attempt), Command::Stop { checkpoint }),
        };
        if self.rng.f64() >= self.faults.loss_probability {
            self.send(Message::ToAgent(worker.to_string(), header, command));
        }
    }

    fn send(&mut self, message: Message) {
        let delay_ms = self.rng.u64(0..=self.faults.max_delay_ms);
        self.last_message_number += 1;
        let mut at = self.now + ms(1 + delay_ms);
        let link = match &message {
            Message::ToAgent(id, header, _) => format!("{id} {}", header.epoch),
            Message::ToPlanner(..) => String::from("planner"),
            Message::ToLog(..) | Message::InService(..) => String::from("log"),
        };
        let last = self.last_arrivals.entry(link.clone()).or_default();
        if !self.faults.reorder || link == "log" {
            at = at.max(*last);
        }
        *last = at;
        self.messages
            .insert((at, self.last_message_number), message);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToAgent(id, header, command) => {
                if self.agents.get(&id).is_some_and(|agent| agent.linked) {
                    self.handle_agent_event(&id, hold::Event::Command(header, command));
                }
            }
            Message::ToPlanner(epoch, event) if epoch == self.epoch => self.handle_event(event),
            Message::ToPlanner(..) => {}
            Message::InService(id, in_service) => {
                self.handle_agent_event(&id, hold::Event::InService(in_service));
            }
            Message::ToLog(epoch, record) => {
                self.pending_appends.push_back((epoch, record));
                self.append_pending();
            }
        }
    }

    /// Applies pending records in order while the log is available.
    fn append_pending(&mut self) {
        while self.log_available
            && let Some((epoch, record)) = self.pending_appends.pop_front()
        {
            self.apply_record(epoch, record);
        }
    }

    /// Applies a record to the jobs. Records of a replaced decider have no effect.
    fn apply_record(&mut self, epoch: u64, record: Record) {
        let current = epoch == self.epoch;
        match record {
            Record::Start {
                job,
                attempt,
                parts,
                reason,
                ..
            } => {
                let state = self.jobs.get_mut(&*job).unwrap();
                let valid = current && state.phase == Phase::Queued && attempt == state.attempt + 1;
                if valid {
                    state.phase = Phase::Running;
                    state.attempt = attempt;
                    state.parts = parts;
                    state.reason = reason;
                }
                if current {
                    self.handle_event(if valid {
                        Event::Recorded { job, attempt }
                    } else {
                        Event::NotRecorded { job, attempt }
                    });
                }
            }
            Record::Requeue {
                job,
                attempt,
                reason,
                ..
            } if current => {
                let state = self.jobs.get_mut(&*job).unwrap();
                assert_eq!((state.phase, state.attempt), (Phase::Running, attempt));
                state.phase = Phase::Queued;
                state.reason = reason;
                self.acknowledge_end(&job, attempt);
            }
            Record::End {
                job,
                attempt,
                phase,
                reason,
                ..
            } if current => {
                let state = self.jobs.get_mut(&*job).unwrap();
                assert!(!state.phase.is_final(), "{job} ended twice");
                if phase == Phase::Done {
                    let completed = state.completed_parts.get(&attempt).copied().unwrap_or(0);
                    assert_eq!(
                        completed as usize,
                        state.parts.len(),
                        "{job} is recorded as done, but not all its parts completed"
                    );
                }
                state.phase = phase;
                state.reason = reason;
                self.acknowledge_end(&job, attempt);
            }
            _ => {}
        }
    }

    /// Reports to all agents that the end of a run is recorded.
    fn acknowledge_end(&mut self, job: &str, attempt: u32) {
        let ids: Vec<String> = self.agents.keys().cloned().collect();
        for id in ids {
            let job = job.into();
            self.handle_agent_event(&id, hold::Event::Acknowledged { job, attempt });
        }
    }
}
