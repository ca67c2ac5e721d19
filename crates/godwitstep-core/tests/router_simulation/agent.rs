//! A simulated agent with its key table and its target.

use super::{AGENTS, Command, ENTRIES, Simulation, ms};
use godwitstep_core::Reason;
use godwitstep_core::id::Key;
use godwitstep_core::key::{Admission, AdmissionRequest, End, Owner, Table};
use godwitstep_core::router::{Event, KeyState, Reply, Target};

/// Slots of each target.
const SLOTS: usize = 4;

pub struct Agent {
    pub incarnation: u64,
    pub target: Target,
    pub leaving: bool,
    /// Start in agent time, see `agent_time`.
    started_at: u64,
    table: Table,
    running: Vec<Run>,
    next_heartbeat: u64,
}

/// A request that runs at the target.
struct Run {
    ends_at: u64,
    owner: Owner,
    key: Key,
    idempotent: bool,
}

impl Agent {
    pub fn new(index: usize, now: u64) -> Self {
        let incarnation = 1_000_000 + now * 1_000;
        // Agents that exist from the start started 10 s before it, those added later start now. See
        // `agent_time`.
        let started_at = if now == 0 { 0 } else { now + 10_000 };
        Self {
            incarnation,
            target: Target {
                id: format!("t{index}").into(),
                incarnation,
                service: "s".into(),
                domain: ["a", "b"][index % 2].into(),
                slots: 4,
            },
            leaving: false,
            started_at,
            table: Table::new(ms(started_at)),
            running: Vec::new(),
            next_heartbeat: 0,
        }
    }
}

impl Simulation {
    pub fn tick_agents(&mut self) {
        for index in 0..AGENTS {
            let now = self.now;
            while let Some(position) = self.agents[index]
                .running
                .iter()
                .position(|run| run.ends_at <= now)
            {
                let run = self.agents[index].running.swap_remove(position);
                let end = match self.rng.u8(..40) {
                    0 => End::Failed,
                    1 if self.inject_faults => End::Unknown,
                    _ => End::Answered(run.key.as_bytes().to_vec().into()),
                };
                self.end_run(index, &run, &end);
            }
            if now >= self.agents[index].next_heartbeat {
                self.agents[index].next_heartbeat = now + 500;
                self.send_heartbeat(index);
            }
        }
    }

    fn send_heartbeat(&mut self, index: usize) {
        for entry in 0..ENTRIES {
            let incarnation = self.entries[entry].incarnation;
            let running = &self.agents[index].running;
            let count = |count: usize| u32::try_from(count).unwrap();
            let ours = running
                .iter()
                .filter(|run| run.owner.incarnation == incarnation)
                .count();
            let (busy, ours) = (count(running.len()), count(ours));
            let id = self.agents[index].target.id.clone();
            self.send_to_entry(index, entry, Event::Load { id, busy, ours }, None);
        }
    }

    /// Sends the result of a run to its owner and to the other requests that wait for it.
    fn end_run(&mut self, index: usize, run: &Run, end: &End) {
        let now = self.agent_time(index);
        let table = &mut self.agents[index].table;
        let mut owners = table.finish(now, run.owner, &run.key, end.clone());
        owners.push(run.owner);
        for owner in owners {
            let (reply, body) = match end {
                End::Answered(_) => (Reply::Answered, Some(run.key.clone())),
                End::Failed => (Reply::Failed, None),
                End::NotStarted => (Reply::NotStarted(Reason::TargetLost), None),
                End::Unknown => (Reply::Unknown, None),
            };
            self.send_reply(index, owner, reply, body);
        }
    }

    fn send_reply(&mut self, index: usize, owner: Owner, reply: Reply, body: Option<Key>) {
        let is_owner = |entry: &usize| self.entries[*entry].incarnation == owner.incarnation;
        let Some(entry) = (0..ENTRIES).find(is_owner) else {
            return;
        };
        let target = self.agents[index].target.id.clone();
        let event = Event::Reply {
            sequence: owner.sequence,
            target,
            reply,
        };
        if self.inject_faults && self.rng.u8(..10) == 0 {
            self.send_to_entry(index, entry, event.clone(), body.clone());
        }
        self.send_to_entry(index, entry, event, body);
    }

    /// Returns the time that is passed to an agent's key table.
    fn agent_time(&self, index: usize) -> std::time::Duration {
        // Agent time starts 10 s before the simulation, so that the first agents are old enough to
        // accept requests.
        ms(self.now + 10_000).max(ms(self.agents[index].started_at))
    }

    /// Handles a command that an entry sent to an agent.
    pub fn handle_command(&mut self, from: usize, index: usize, command: Command) {
        let now = self.agent_time(index);
        match command {
            Command::Run {
                owner,
                request,
                age,
            } => {
                let (key, idempotent) = (request.key.clone(), request.idempotent);
                let request = AdmissionRequest {
                    owner,
                    key,
                    idempotent,
                    age,
                };
                self.start_run(index, now, &request);
            }
            Command::Fence { owner, key } => {
                let (state, _) = self.agents[index].table.fence(now, owner, &key);
                let target = self.agents[index].target.id.clone();
                let event = Event::Fenced {
                    sequence: owner.sequence,
                    target,
                    state,
                };
                self.send_to_entry(index, from, event, None);
                if state == KeyState::Answered {
                    self.send_reply(index, owner, Reply::Answered, Some(key));
                }
            }
            Command::Cancel { owner } => {
                let running = &mut self.agents[index].running;
                let cancelled = |run: &Run| run.owner == owner && run.idempotent;
                if let Some(position) = running.iter().position(cancelled) {
                    let run = running.swap_remove(position);
                    self.end_run(index, &run, &End::Unknown);
                }
            }
        }
    }

    /// Starts a run if the key table admits the request; otherwise replies at once.
    fn start_run(&mut self, index: usize, now: std::time::Duration, request: &AdmissionRequest) {
        let owner = request.owner;
        let not_started = |reason| (Reply::NotStarted(reason), None);
        let agent = &mut self.agents[index];
        let (reply, body) = if agent.leaving {
            not_started(Reason::Stopping)
        } else if agent.running.len() >= SLOTS {
            not_started(Reason::LimitReached)
        } else {
            match agent.table.admit(now, request) {
                Admission::Run => {
                    let (key, idempotent) = (request.key.clone(), request.idempotent);
                    let ends_at = self.now + self.rng.u64(5..120);
                    let run = Run {
                        ends_at,
                        owner,
                        key,
                        idempotent,
                    };
                    if self.inject_faults && self.rng.u8(..30) == 0 {
                        self.end_run(index, &run, &End::NotStarted);
                    } else {
                        self.runs
                            .entry(request.key.clone())
                            .or_default()
                            .push(owner);
                        self.agents[index].running.push(run);
                    }
                    return;
                }
                Admission::Running => return,
                Admission::Answered(body) => {
                    assert_eq!(body, request.key.as_bytes());
                    (Reply::Answered, Some(request.key.clone()))
                }
                Admission::Failed => (Reply::Failed, None),
                Admission::Unknown => (Reply::Unknown, None),
                Admission::Refuse(reason) => not_started(reason),
            }
        };
        self.send_reply(index, owner, reply, body);
    }
}
