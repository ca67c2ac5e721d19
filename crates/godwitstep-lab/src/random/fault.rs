//! Random faults: single, overlapping and repeated.

use super::Run;
use super::driver::DriverAction;
use std::time::Duration;

/// Period of the fault injection in seconds. Its first `FAULT_FREE_S` seconds are without new faults.
const FAULT_PERIOD_S: u64 = 900;
const FAULT_FREE_S: u64 = 300;

impl Run {
    /// Injects one or more faults, or waits for the end of the fault-free part of the period.
    pub(super) fn inject_faults(&mut self) {
        if !self.generating {
            return;
        }
        let elapsed_s = self.world.now.as_secs() % FAULT_PERIOD_S;
        if elapsed_s < FAULT_FREE_S {
            self.faults_active = false;
            let wait = Duration::from_secs(FAULT_FREE_S - elapsed_s);
            return self.schedule(wait, DriverAction::InjectFaults);
        }
        self.faults_active = true;
        self.world.last_disturbance = self.world.now;
        self.schedule_within(200, 40_000, DriverAction::InjectFaults);
        for _ in 0..self.world.rng.usize(1..=3) {
            let kind = self.world.rng.u8(0..15);
            if let Some(name) = self.inject_fault(kind) {
                self.world.increment_count(name);
            }
        }
    }

    /// Injects a fault and schedules its end. Returns its name, or `None` if it cannot be injected now.
    fn inject_fault(&mut self, kind: u8) -> Option<&'static str> {
        let agent_count = self.world.agents.len();
        let agent_index = self.world.rng.usize(0..agent_count);
        let name = match kind {
            0 => {
                self.world.kill_worker(agent_index);
                self.schedule_within(500, 60_000, DriverAction::RestartWorker(agent_index));
                "worker_death"
            }
            1 => {
                self.world.restart_agent(agent_index);
                "agent_restart"
            }
            2 => {
                self.world.disconnect_agent(agent_index);
                self.schedule_within(100, 30_000, DriverAction::ReconnectAgent(agent_index));
                "link_cut"
            }
            3 => {
                self.world.pause_agent(agent_index);
                self.schedule_within(100, 1_400, DriverAction::ResumeAgent(agent_index));
                "agent_pause_short"
            }
            4 => {
                self.world.pause_agent(agent_index);
                self.schedule_within(1_500, 40_000, DriverAction::ResumeAgent(agent_index));
                "agent_pause_long"
            }
            5 => {
                self.world.agents[agent_index].fails_tasks = true;
                self.schedule_within(5_000, 300_000, DriverAction::RepairWorker(agent_index));
                "worker_fails_all"
            }
            6 => return self.take_domain_out(),
            7 => return self.start_log_outage(),
            8 => {
                self.world.log.append_ms = self.world.rng.u64(100..5_000);
                self.world.log.reply_loss_probability = 0.3;
                self.schedule_within(1_000, 60_000, DriverAction::RestoreAppends);
                "slow_and_lost_appends"
            }
            9 | 10 => {
                let net = &mut self.world.net;
                net.loss_probability = 0.02 * f64::from(self.world.rng.u8(0..15));
                net.delay_ms = self.world.rng.u64(2..400);
                net.reorder = self.world.rng.bool();
                self.schedule_within(1_000, 60_000, DriverAction::RestoreLinks);
                "bad_links"
            }
            11 => {
                for other_index in 0..agent_count {
                    if self.world.rng.bool() {
                        self.world.disconnect_agent(other_index);
                        self.schedule_within(
                            100,
                            20_000,
                            DriverAction::ReconnectAgent(other_index),
                        );
                    }
                }
                "many_links_cut"
            }
            12 => return self.inject_decider_fault(),
            13 => {
                self.world.announce_worker_leaving(agent_index);
                self.schedule_within(1_000, 60_000, DriverAction::AnnounceWorker(agent_index));
                "worker_leaving"
            }
            _ => {
                self.world.kill_worker(agent_index);
                self.schedule_within(50, 1_400, DriverAction::RestartWorker(agent_index));
                "worker_restart"
            }
        };
        Some(name)
    }

    fn take_domain_out(&mut self) -> Option<&'static str> {
        let domain_index = self.world.rng.usize(0..self.world.domains.len());
        if !self.world.log.available || self.world.domains[domain_index].out.is_some() {
            return None;
        }
        self.world.set_domain(domain_index, false);
        self.schedule_within(1_000, 300_000, DriverAction::ReturnDomain(domain_index));
        Some("domain_out")
    }

    fn start_log_outage(&mut self) -> Option<&'static str> {
        if !self.world.log.available {
            return None;
        }
        self.world.log.available = false;
        self.schedule(Duration::from_secs(2), DriverAction::StartCoasting);
        self.schedule_within(500, 200_000, DriverAction::RestoreLog);
        Some("log_outage")
    }

    /// Pauses, kills, replaces or cuts off the decider. Except after a short pause, another one takes
    /// over, and the old one stays active for a while unless it was killed.
    fn inject_decider_fault(&mut self) -> Option<&'static str> {
        let deciders = &self.world.deciders;
        if deciders.len() != 1 || deciders[0].paused || deciders[0].log_unreachable {
            return None;
        }
        let epoch = self.world.epoch;
        let name = match self.world.rng.u8(0..5) {
            0 => {
                self.world.pause_decider();
                let pause = Duration::from_millis(self.world.rng.u64(100..5_000));
                self.schedule(pause, DriverAction::ResumeDecider(epoch, pause));
                "decider_pause"
            }
            1 => {
                self.world.pause_decider();
                self.schedule_within(6_000, 8_000, DriverAction::TakeOver);
                let pause = Duration::from_millis(self.world.rng.u64(5_900..20_000));
                self.schedule(pause, DriverAction::ResumeDecider(epoch, pause));
                let removal_delay = Duration::from_millis(self.world.rng.u64(500..10_000));
                self.schedule(pause + removal_delay, DriverAction::RemoveDecider(epoch));
                "decider_pause_and_take_over"
            }
            2 => {
                self.world.remove_decider(epoch);
                self.schedule_within(6_000, 8_000, DriverAction::TakeOver);
                "decider_death"
            }
            3 => {
                self.world.deciders[0].log_unreachable = true;
                self.schedule(Duration::from_secs(2), DriverAction::HaltDecider(epoch));
                self.schedule_within(6_000, 8_000, DriverAction::TakeOver);
                self.schedule_within(7_000, 30_000, DriverAction::RemoveDecider(epoch));
                "decider_cut_off"
            }
            _ => {
                // Another entry claims the decider role because it read no renewals, while the holder stays
                // active.
                self.schedule_within(0, 100, DriverAction::TakeOver);
                self.schedule_within(500, 10_000, DriverAction::RemoveDecider(epoch));
                "decider_replaced"
            }
        };
        Some(name)
    }
}
