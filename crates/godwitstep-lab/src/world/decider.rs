//! A fake decider: a policy, its epoch, and a writer that appends its records in order.

use super::World;
use super::item::Item;
use crate::policy::Policy;
use godwitstep_core::Standing;
use godwitstep_core::hold::{Command, CommandHeader};
use godwitstep_core::id::{Attempt, JobId, WorkerId};
use godwitstep_core::planner::{Action, Event};
use godwitstep_core::record;
use godwitstep_core::resource::Phase;
use std::collections::VecDeque;
use std::time::Duration;

/// Time between the ticks of a decider.
const TICK: Duration = Duration::from_millis(100);

/// A process that decides, or still believes that it does.
pub struct Decider {
    pub epoch: u64,
    pub policy: Box<dyn Policy>,
    /// Records that are not known to be appended.
    pub records: VecDeque<record::Event>,
    /// Whether an append is under way.
    pub appending: bool,
    pub paused: bool,
    /// Whether it can't reach the log.
    pub cut: bool,
    /// What arrived while it was paused.
    pub inbox: Vec<Event>,
    /// When the last event that it read from the log arrives.
    pub read_at: Duration,
}

impl World {
    pub(super) fn decider(&mut self, epoch: u64) -> Option<&mut Decider> {
        self.deciders
            .iter_mut()
            .find(|decider| decider.epoch == epoch)
    }

    /// Gives a decider an event and carries out what it asks for.
    pub fn tell(&mut self, epoch: u64, event: Event) {
        let (now, act) = (self.now, self.breakage.act);
        let Some(decider) = self.decider(epoch) else {
            return;
        };
        if decider.paused {
            return decider.inbox.push(event);
        }
        let mut actions = std::mem::take(&mut self.actions);
        let Some(decider) = self.decider(epoch) else {
            return;
        };
        decider.policy.handle(now, event, &mut actions);
        act(&mut actions);
        if let Some(violation) = decider.policy.violation() {
            let what = format!("violation in epoch {epoch}: {violation}");
            self.fail("planner_violation", what);
        }
        for action in actions.drain(..) {
            self.hash_action(&action);
            self.show("action", &action);
            self.carry_out(epoch, action);
        }
        self.actions = actions;
    }

    /// Tells an event to a decider after what it has read from the log before.
    pub fn read(&mut self, epoch: u64, event: Event) {
        let delay = Duration::from_millis(5 + self.rng.u64(0..=self.net.read_ms));
        let now = self.now;
        let Some(decider) = self.decider(epoch).filter(|decider| !decider.cut) else {
            return;
        };
        let at = decider.read_at.max(now + delay);
        decider.read_at = at;
        self.queue.push(at, Item::Read { epoch, event });
    }

    /// Tells an event that was folded to all deciders that read the log.
    pub fn publish(&mut self, event: &Event) {
        let epochs: Vec<u64> = self.deciders.iter().map(|decider| decider.epoch).collect();
        for epoch in epochs {
            self.read(epoch, event.clone());
        }
    }

    pub(super) fn tick(&mut self, epoch: u64) {
        if self.decider(epoch).is_none() {
            return;
        }
        let paused = self.decider(epoch).is_some_and(|decider| decider.paused);
        if !paused {
            self.tell(epoch, Event::Tick);
        }
        self.queue.push(self.now + TICK, Item::Tick { epoch });
    }

    fn carry_out(&mut self, epoch: u64, action: Action) {
        match action {
            Action::Record(event) => self.write(epoch, event),
            Action::Explain { job, reason } => {
                let number = self.number(&job);
                let state = &mut self.jobs[number];
                if !state.phase.is_final() {
                    state.reason = reason;
                }
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
                self.order(epoch, &worker, job, attempt, command);
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
                self.order(epoch, &worker, job, attempt, command);
            }
            Action::Settle {
                worker,
                job,
                attempt,
            } => {
                self.check_settle(epoch, &job, attempt);
                self.order(epoch, &worker, job, attempt, Command::Settle);
            }
            Action::Release {
                worker,
                job,
                attempt,
            } => self.order(epoch, &worker, job, attempt, Command::Release),
            Action::Stop {
                worker,
                job,
                attempt,
                checkpoint,
            } => self.order(epoch, &worker, job, attempt, Command::Stop { checkpoint }),
        }
    }

    fn order(
        &mut self,
        epoch: u64,
        worker: &WorkerId,
        job: JobId,
        attempt: Attempt,
        command: Command,
    ) {
        let at = self.agent_number(worker);
        if !self.agents[at].linked || self.lose() {
            return;
        }
        let order = CommandHeader {
            epoch,
            job,
            attempt,
        };
        let link = self.agents[at].link;
        let item = Item::Command {
            agent: at,
            link,
            order,
            command,
        };
        let when = self.arrival(2 * at);
        self.queue.push(when, item);
    }

    /// Sends an agent's message to the decider that asked, or to all.
    pub(super) fn report(&mut self, at: usize, event: &Event, to: Option<u64>) {
        if !self.agents[at].linked || !self.agents[at].alive {
            return;
        }
        let epochs: Vec<u64> = match to {
            Some(epoch) => vec![epoch],
            None => self.deciders.iter().map(|decider| decider.epoch).collect(),
        };
        for epoch in epochs {
            if self.lose() {
                continue;
            }
            let event = event.clone();
            let when = self.arrival(2 * at + 1);
            self.queue.push(when, Item::Report { epoch, event });
        }
    }

    /// Hands an agent's message to a decider. The end of a run that is recorded already is
    /// acknowledged at once.
    pub(super) fn receive(&mut self, epoch: u64, event: Event) {
        if let Event::Ended {
            worker,
            job,
            attempt,
            ..
        } = &event
        {
            let number = self.number(job);
            let state = &self.jobs[number];
            let over = state.phase != Phase::Running || state.attempt > *attempt;
            if over && state.attempt >= *attempt {
                let at = self.agent_number(worker);
                self.acknowledge(at, job, *attempt);
            }
        }
        self.tell(epoch, event);
    }

    pub(super) fn acknowledge(&mut self, at: usize, job: &JobId, attempt: Attempt) {
        if !self.agents[at].linked || self.lose() {
            return;
        }
        let when = self.arrival(2 * at);
        let item = Item::Acknowledge {
            agent: at,
            link: self.agents[at].link,
            job: job.clone(),
            attempt,
        };
        self.queue.push(when, item);
    }

    /// Announces an agent to a decider, with the ends that it has not been acknowledged.
    pub(super) fn announce(&mut self, at: usize, epoch: u64) {
        let agent = &self.agents[at];
        if !agent.linked || !agent.responds() {
            return;
        }
        let worker = agent.worker.clone();
        let ends = agent.table.unacknowledged();
        let inventory = self.inventory(at);
        for end in ends {
            if let godwitstep_core::hold::Action::Ended { job, attempt, end } = end {
                let worker = worker.id.clone();
                let event = Event::Ended {
                    worker,
                    job,
                    attempt,
                    end,
                };
                let when = self.arrival(2 * at + 1);
                self.queue.push(when, Item::Report { epoch, event });
            }
        }
        let event = Event::WorkerUp { worker, inventory };
        let when = self.arrival(2 * at + 1);
        self.queue.push(when, Item::Report { epoch, event });
    }

    /// Announces an agent to all deciders.
    pub fn announce_to_all(&mut self, at: usize) {
        let epochs: Vec<u64> = self.deciders.iter().map(|decider| decider.epoch).collect();
        for epoch in epochs {
            self.announce(at, epoch);
        }
    }

    /// Starts a decider under a new epoch from what the log holds.
    pub fn take_over(&mut self) {
        self.epoch += 1 + self.rng.u64(0..20);
        let (epoch, now) = (self.epoch, self.now);
        let seed = self.rng.u64(..);
        self.deciders.push(Decider {
            epoch,
            policy: (self.factory)(seed),
            records: VecDeque::new(),
            appending: false,
            paused: false,
            cut: false,
            inbox: Vec::new(),
            read_at: now,
        });
        self.queue.push(now, Item::Tick { epoch });
        self.tell(epoch, Event::Epoch(epoch));
        let standing = if self.log.up {
            Standing::Fresh
        } else {
            Standing::Coasting
        };
        self.tell(epoch, Event::Standing(standing));
        for (id, spec) in self.workspaces.clone() {
            let spec = Some(spec);
            self.tell(epoch, Event::Workspace { id, spec });
        }
        for (id, in_service) in self.domain_states() {
            self.tell(epoch, Event::Domain { id, in_service });
        }
        for number in self.active() {
            let state = &self.jobs[number];
            let (job, spec) = (state.id.clone(), state.spec.clone());
            let (attempt, age) = (state.attempt, now.saturating_sub(state.accepted));
            let cancelled = state.cancelled.is_some();
            let event = if state.phase == Phase::Running {
                Event::Adopt {
                    job: job.clone(),
                    spec,
                    attempt,
                    parts: state.parts.clone(),
                    age,
                }
            } else {
                Event::Submit {
                    job: job.clone(),
                    spec,
                    attempt,
                    age,
                }
            };
            self.tell(epoch, event);
            if cancelled {
                self.tell(epoch, Event::Cancel { job });
            }
        }
    }
}
