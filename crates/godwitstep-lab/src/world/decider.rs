//! A simulated decider: a policy, its epoch, and a writer that appends its records in order.

use super::World;
use super::item::Item;
use crate::policy::Policy;
use godwitstep_core::OperatingMode;
use godwitstep_core::hold::{Command, CommandHeader};
use godwitstep_core::id::{Attempt, JobId, WorkerId};
use godwitstep_core::planner::{Action, Event};
use godwitstep_core::record;
use godwitstep_core::resource::Phase;
use std::collections::VecDeque;
use std::time::Duration;

/// Time between ticks of a decider.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A process that acts as the decider, possibly after a newer one has taken over.
pub struct Decider {
    pub epoch: u64,
    pub policy: Box<dyn Policy>,
    /// Records that wait for the next append.
    pub pending_records: VecDeque<record::Event>,
    /// Whether an append is scheduled or in flight.
    pub append_in_flight: bool,
    pub paused: bool,
    /// Whether it can't reach the log.
    pub log_unreachable: bool,
    /// Events that arrived while it was paused.
    pub pending_events: Vec<Event>,
    /// Arrival time of the last event scheduled to be read from the log; keeps events in order.
    pub last_read_arrival: Duration,
}

impl World {
    pub(super) fn decider(&mut self, epoch: u64) -> Option<&mut Decider> {
        self.deciders
            .iter_mut()
            .find(|decider| decider.epoch == epoch)
    }

    /// Lets the policy of a decider handle an event and executes the resulting actions. A paused
    /// decider handles it when it resumes.
    pub fn deliver_event(&mut self, epoch: u64, event: Event) {
        let (now, alter_actions) = (self.now, self.injected_bug.alter_actions);
        let Some(decider) = self.decider(epoch) else {
            return;
        };
        if decider.paused {
            return decider.pending_events.push(event);
        }
        let mut actions = std::mem::take(&mut self.action_buffer);
        let Some(decider) = self.decider(epoch) else {
            return;
        };
        decider.policy.handle(now, event, &mut actions);
        alter_actions(&mut actions);
        if let Some(violation) = decider.policy.violation() {
            let what = format!("violation in epoch {epoch}: {violation}");
            self.record_violation("planner_violation", what);
        }
        for action in actions.drain(..) {
            self.hash_action(&action);
            self.print_watched("action", &action);
            self.execute_action(epoch, action);
        }
        self.action_buffer = actions;
    }

    /// Schedules a decider to read an event from the log, after all events scheduled before.
    pub fn schedule_read(&mut self, epoch: u64, event: Event) {
        let delay = Duration::from_millis(5 + self.rng.u64(0..=self.net.max_read_delay_ms));
        let now = self.now;
        let Some(decider) = self
            .decider(epoch)
            .filter(|decider| !decider.log_unreachable)
        else {
            return;
        };
        let arrival = decider.last_read_arrival.max(now + delay);
        decider.last_read_arrival = arrival;
        self.queue.push(arrival, Item::Read { epoch, event });
    }

    /// Schedules all deciders that can reach the log to read a folded event.
    pub fn publish(&mut self, event: &Event) {
        let epochs: Vec<u64> = self.deciders.iter().map(|decider| decider.epoch).collect();
        for epoch in epochs {
            self.schedule_read(epoch, event.clone());
        }
    }

    pub(super) fn handle_tick(&mut self, epoch: u64) {
        if self.decider(epoch).is_none() {
            return;
        }
        let paused = self.decider(epoch).is_some_and(|decider| decider.paused);
        if !paused {
            self.deliver_event(epoch, Event::Tick);
        }
        self.queue
            .push(self.now + TICK_INTERVAL, Item::Tick { epoch });
    }

    fn execute_action(&mut self, epoch: u64, action: Action) {
        match action {
            Action::Record(event) => self.queue_record(epoch, event),
            Action::Explain { job, reason } => {
                let number = self.job_number(&job);
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
                self.send_command(epoch, &worker, job, attempt, command);
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
                self.send_command(epoch, &worker, job, attempt, command);
            }
            Action::Settle {
                worker,
                job,
                attempt,
            } => {
                self.check_settle(epoch, &job, attempt);
                self.send_command(epoch, &worker, job, attempt, Command::Settle);
            }
            Action::Release {
                worker,
                job,
                attempt,
            } => self.send_command(epoch, &worker, job, attempt, Command::Release),
            Action::Stop {
                worker,
                job,
                attempt,
                checkpoint,
            } => self.send_command(epoch, &worker, job, attempt, Command::Stop { checkpoint }),
        }
    }

    fn send_command(
        &mut self,
        epoch: u64,
        worker: &WorkerId,
        job: JobId,
        attempt: Attempt,
        command: Command,
    ) {
        let agent_index = self.agent_index(worker);
        if !self.agents[agent_index].linked || self.draw_message_loss() {
            return;
        }
        let header = CommandHeader {
            epoch,
            job,
            attempt,
        };
        let link_generation = self.agents[agent_index].link_generation;
        let item = Item::Command {
            agent: agent_index,
            link_generation,
            header,
            command,
        };
        let arrival = self.arrival_time(2 * agent_index);
        self.queue.push(arrival, item);
    }

    /// Sends an agent's report to the decider of the epoch `recipient`, or to all deciders if there is
    /// none.
    pub(super) fn send_report(
        &mut self,
        agent_index: usize,
        event: &Event,
        recipient: Option<u64>,
    ) {
        if !self.agents[agent_index].linked || !self.agents[agent_index].alive {
            return;
        }
        let epochs: Vec<u64> = match recipient {
            Some(epoch) => vec![epoch],
            None => self.deciders.iter().map(|decider| decider.epoch).collect(),
        };
        for epoch in epochs {
            if self.draw_message_loss() {
                continue;
            }
            let event = event.clone();
            let arrival = self.arrival_time(2 * agent_index + 1);
            self.queue.push(arrival, Item::Report { epoch, event });
        }
    }

    /// Delivers an agent's report to a decider. The end of a part is acknowledged at once if the log
    /// already records that its run is over.
    pub(super) fn receive_report(&mut self, epoch: u64, event: Event) {
        if let Event::Ended {
            worker,
            job,
            attempt,
            ..
        } = &event
        {
            let number = self.job_number(job);
            let state = &self.jobs[number];
            let run_is_over = state.phase != Phase::Running || state.attempt > *attempt;
            if run_is_over && state.attempt >= *attempt {
                let agent_index = self.agent_index(worker);
                self.acknowledge(agent_index, job, *attempt);
            }
        }
        self.deliver_event(epoch, event);
    }

    /// Sends an agent the acknowledgement that the end of a run is recorded.
    pub(super) fn acknowledge(&mut self, agent_index: usize, job: &JobId, attempt: Attempt) {
        if !self.agents[agent_index].linked || self.draw_message_loss() {
            return;
        }
        let arrival = self.arrival_time(2 * agent_index);
        let item = Item::Acknowledge {
            agent: agent_index,
            link_generation: self.agents[agent_index].link_generation,
            job: job.clone(),
            attempt,
        };
        self.queue.push(arrival, item);
    }

    /// Announces an agent to a decider, after all ends of parts that are not acknowledged.
    pub(super) fn announce(&mut self, agent_index: usize, epoch: u64) {
        let agent = &self.agents[agent_index];
        if !agent.linked || !agent.responds() {
            return;
        }
        let worker = agent.worker.clone();
        let unacknowledged = agent.table.unacknowledged();
        let inventory = self.inventory(agent_index);
        for action in unacknowledged {
            if let godwitstep_core::hold::Action::Ended { job, attempt, end } = action {
                let worker = worker.id.clone();
                let event = Event::Ended {
                    worker,
                    job,
                    attempt,
                    end,
                };
                let arrival = self.arrival_time(2 * agent_index + 1);
                self.queue.push(arrival, Item::Report { epoch, event });
            }
        }
        let event = Event::WorkerUp { worker, inventory };
        let arrival = self.arrival_time(2 * agent_index + 1);
        self.queue.push(arrival, Item::Report { epoch, event });
    }

    /// Announces an agent to all deciders.
    pub fn announce_to_all(&mut self, agent_index: usize) {
        let epochs: Vec<u64> = self.deciders.iter().map(|decider| decider.epoch).collect();
        for epoch in epochs {
            self.announce(agent_index, epoch);
        }
    }

    /// Starts a decider under a new epoch with the state that the log records.
    pub fn take_over(&mut self) {
        self.epoch += 1 + self.rng.u64(0..20);
        let (epoch, now) = (self.epoch, self.now);
        let seed = self.rng.u64(..);
        self.deciders.push(Decider {
            epoch,
            policy: (self.factory)(seed),
            pending_records: VecDeque::new(),
            append_in_flight: false,
            paused: false,
            log_unreachable: false,
            pending_events: Vec::new(),
            last_read_arrival: now,
        });
        self.queue.push(now, Item::Tick { epoch });
        self.deliver_event(epoch, Event::Epoch(epoch));
        let operating_mode = if self.log.available {
            OperatingMode::Normal
        } else {
            OperatingMode::Degraded
        };
        self.deliver_event(epoch, Event::OperatingMode(operating_mode));
        for (id, spec) in self.workspaces.clone() {
            let spec = Some(spec);
            self.deliver_event(epoch, Event::Workspace { id, spec });
        }
        for (id, in_service) in self.domain_states() {
            self.deliver_event(epoch, Event::Domain { id, in_service });
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
            self.deliver_event(epoch, event);
            if cancelled {
                self.deliver_event(epoch, Event::Cancel { job });
            }
        }
    }
}
