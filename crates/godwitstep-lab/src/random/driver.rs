//! Scheduled actions of the driver of a random run.

use super::Run;
use crate::world::Item;
use godwitstep_core::OperatingMode;
use godwitstep_core::planner::Event;
use std::time::Duration;

/// An action at a scheduled time.
#[derive(Debug, Clone, Copy)]
pub(super) enum DriverAction {
    /// Submits new jobs.
    SubmitJobs,
    /// Cancels a random share of the active jobs.
    CancelJobs,
    /// Injects one or more faults, unless the region is in the fault-free part of the period.
    InjectFaults,
    /// Lets two operators change a workspace.
    ChangeWorkspace,
    /// Submits a claim on an unused guarantee if the region has not been disturbed.
    SubmitClaim,
    /// Checks that a claim has started.
    CheckClaim(usize),
    ReconnectAgent(usize),
    ResumeAgent(usize),
    RestartWorker(usize),
    /// Announces a leaving worker, so that it gets work again.
    AnnounceWorker(usize),
    /// Ends the failure of all tasks on a worker.
    RepairWorker(usize),
    /// Puts a failure domain back in service.
    ReturnDomain(usize),
    RestoreLog,
    /// Lets deciders consider the log down if it still is.
    StartCoasting,
    RestoreAppends,
    RestoreLinks,
    ResumeDecider(u64, Duration),
    /// Lets a decider that is cut off from the log detect this.
    HaltDecider(u64),
    TakeOver,
    /// Removes a decider once a newer one has taken over.
    RemoveDecider(u64),
}

impl Run {
    /// Schedules an action.
    pub(super) fn schedule(&mut self, delay: Duration, action: DriverAction) {
        let code = u32::try_from(self.actions.len()).unwrap_or(u32::MAX);
        self.actions.push(action);
        let due = self.world.now + delay;
        self.world.queue.push(due, Item::Driver(code));
    }

    /// Schedules an action after a random time between two bounds in milliseconds.
    pub(super) fn schedule_within(&mut self, min_ms: u64, max_ms: u64, action: DriverAction) {
        let delay = Duration::from_millis(self.world.rng.u64(min_ms..=max_ms));
        self.schedule(delay, action);
    }

    /// Executes the action with the given code. Actions that end a fault count as a disturbance.
    pub(super) fn execute_action(&mut self, code: u32) {
        let world = &mut self.world;
        let action = self.actions[code as usize];
        let is_routine = matches!(
            action,
            DriverAction::SubmitJobs
                | DriverAction::CancelJobs
                | DriverAction::SubmitClaim
                | DriverAction::CheckClaim(_)
                | DriverAction::InjectFaults
                | DriverAction::ChangeWorkspace
        );
        if !is_routine {
            world.last_disturbance = world.now;
        }
        match action {
            DriverAction::SubmitJobs => self.submit_jobs(),
            DriverAction::CancelJobs => self.cancel_jobs(),
            DriverAction::InjectFaults => self.inject_faults(),
            DriverAction::ChangeWorkspace => self.change_workspace(),
            DriverAction::SubmitClaim => self.submit_claim(),
            DriverAction::CheckClaim(number) => self.check_claim(number),
            DriverAction::ReconnectAgent(agent_index) => world.reconnect_agent(agent_index),
            DriverAction::ResumeAgent(agent_index) => world.resume_agent(agent_index),
            DriverAction::RestartWorker(agent_index) => world.restart_worker(agent_index),
            DriverAction::AnnounceWorker(agent_index) => world.announce_to_all(agent_index),
            DriverAction::RepairWorker(agent_index) => {
                world.agents[agent_index].fails_tasks = false;
            }
            DriverAction::ReturnDomain(domain_index) => {
                if world.log.available {
                    world.set_domain(domain_index, true);
                } else {
                    self.schedule_within(500, 2_000, action);
                }
            }
            DriverAction::RestoreLog => {
                world.log.available = true;
                self.set_operating_mode(OperatingMode::Normal);
            }
            DriverAction::StartCoasting => {
                if !world.log.available {
                    self.set_operating_mode(OperatingMode::Degraded);
                }
            }
            DriverAction::RestoreAppends => {
                world.log.append_ms = 5;
                world.log.reply_loss_probability = 0.0;
            }
            DriverAction::RestoreLinks => {
                world.net.loss_probability = 0.0;
                world.net.delay_ms = 2;
                world.net.reorder = false;
            }
            DriverAction::ResumeDecider(epoch, pause) => world.resume_decider(epoch, pause),
            DriverAction::HaltDecider(epoch) => {
                world.deliver_event(epoch, Event::OperatingMode(OperatingMode::Halted));
            }
            DriverAction::TakeOver => {
                if world.log.available {
                    world.take_over();
                } else {
                    self.schedule_within(6_000, 8_000, action);
                }
            }
            DriverAction::RemoveDecider(epoch) => self.remove_decider(epoch),
        }
    }

    /// Removes a decider that was replaced. If no newer one has taken over yet, this is tried again
    /// later.
    fn remove_decider(&mut self, epoch: u64) {
        if self.world.epoch == epoch {
            self.schedule_within(1_000, 10_000, DriverAction::RemoveDecider(epoch));
        } else {
            self.world.remove_decider(epoch);
        }
    }

    /// Sets the operating mode of all deciders that can reach the log.
    fn set_operating_mode(&mut self, operating_mode: OperatingMode) {
        let world = &mut self.world;
        let reachable = world
            .deciders
            .iter()
            .filter(|decider| !decider.log_unreachable);
        let epochs: Vec<u64> = reachable.map(|decider| decider.epoch).collect();
        for epoch in epochs {
            world.deliver_event(epoch, Event::OperatingMode(operating_mode));
        }
    }
}
