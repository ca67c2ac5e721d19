//! Random faults, alone, together and twice.

use super::Run;
use super::act::Act;
use std::time::Duration;

/// Faults come in storms of this period, the first part of which is calm.
const PERIOD_S: u64 = 900;
const CALM_S: u64 = 300;

impl Run {
    /// Begins one or more faults, unless the present part of the period is calm.
    pub(super) fn fault(&mut self) {
        if !self.open {
            return;
        }
        let into = self.world.now.as_secs() % PERIOD_S;
        if into < CALM_S {
            self.storm = false;
            let wait = Duration::from_secs(CALM_S - into);
            return self.plan(wait, Act::Fault);
        }
        self.storm = true;
        self.world.disturbed = self.world.now;
        self.later(200, 40_000, Act::Fault);
        for _ in 0..self.world.rng.usize(1..=3) {
            let kind = self.world.rng.u8(0..14);
            if let Some(name) = self.begin(kind) {
                self.world.count(name);
            }
        }
    }

    /// Begins a fault and plans its end. Returns its name.
    fn begin(&mut self, kind: u8) -> Option<&'static str> {
        let agents = self.world.agents.len();
        let at = self.world.rng.usize(0..agents);
        let name = match kind {
            0 => {
                self.world.kill_worker(at);
                self.later(500, 60_000, Act::Revive(at));
                "worker_death"
            }
            1 => {
                self.world.restart_agent(at);
                "agent_restart"
            }
            2 => {
                self.world.cut_agent(at);
                self.later(100, 30_000, Act::Link(at));
                "link_cut"
            }
            3 => {
                self.world.pause_agent(at);
                self.later(100, 1_400, Act::Resume(at));
                "agent_pause_short"
            }
            4 => {
                self.world.pause_agent(at);
                self.later(1_500, 40_000, Act::Resume(at));
                "agent_pause_long"
            }
            5 => {
                self.world.agents[at].fails = true;
                self.later(5_000, 300_000, Act::Mend(at));
                "worker_fails_all"
            }
            6 => return self.domain_out(),
            7 => return self.log_outage(),
            8 => {
                self.world.log.append_ms = self.world.rng.u64(100..5_000);
                self.world.log.lose_reply = 0.3;
                self.later(1_000, 60_000, Act::AppendsWell);
                "slow_and_lost_appends"
            }
            9 | 10 => {
                let net = &mut self.world.net;
                net.loss = 0.02 * f64::from(self.world.rng.u8(0..15));
                net.delay_ms = self.world.rng.u64(2..400);
                net.reorder = self.world.rng.bool();
                self.later(1_000, 60_000, Act::LinksWell);
                "bad_links"
            }
            11 => {
                for number in 0..agents {
                    if self.world.rng.bool() {
                        self.world.cut_agent(number);
                        self.later(100, 20_000, Act::Link(number));
                    }
                }
                "many_links_cut"
            }
            12 => return self.decider_fault(),
            _ => {
                self.world.kill_worker(at);
                self.later(50, 1_400, Act::Revive(at));
                "worker_restart"
            }
        };
        Some(name)
    }

    fn domain_out(&mut self) -> Option<&'static str> {
        let number = self.world.rng.usize(0..self.world.domains.len());
        if !self.world.log.up || self.world.domains[number].out.is_some() {
            return None;
        }
        self.world.set_domain(number, false);
        self.later(1_000, 300_000, Act::DomainIn(number));
        Some("domain_out")
    }

    fn log_outage(&mut self) -> Option<&'static str> {
        if !self.world.log.up {
            return None;
        }
        self.world.log.up = false;
        self.plan(Duration::from_secs(2), Act::Coast);
        self.later(500, 200_000, Act::LogUp);
        Some("log_outage")
    }

    /// Pauses, kills or cuts off the decider. Another one takes over if it is gone for long, and
    /// the old one goes on for a while if it can.
    fn decider_fault(&mut self) -> Option<&'static str> {
        let deciders = &self.world.deciders;
        if deciders.len() != 1 || deciders[0].paused || deciders[0].cut {
            return None;
        }
        let epoch = self.world.epoch;
        let name = match self.world.rng.u8(0..5) {
            0 => {
                self.world.pause_decider();
                let pause = Duration::from_millis(self.world.rng.u64(100..5_000));
                self.plan(pause, Act::ResumeDecider(epoch, pause));
                "decider_pause"
            }
            1 => {
                self.world.pause_decider();
                self.later(6_000, 8_000, Act::TakeOver);
                let pause = Duration::from_millis(self.world.rng.u64(5_900..20_000));
                self.plan(pause, Act::ResumeDecider(epoch, pause));
                let rest = Duration::from_millis(self.world.rng.u64(500..10_000));
                self.plan(pause + rest, Act::DropDecider(epoch));
                "decider_pause_and_take_over"
            }
            2 => {
                self.world.drop_decider(epoch);
                self.later(6_000, 8_000, Act::TakeOver);
                "decider_death"
            }
            3 => {
                self.world.deciders[0].cut = true;
                self.plan(Duration::from_secs(2), Act::Halt(epoch));
                self.later(6_000, 8_000, Act::TakeOver);
                self.later(7_000, 30_000, Act::DropDecider(epoch));
                "decider_cut_off"
            }
            _ => {
                // A claim by an entry that read no renewals, while the holder goes on.
                self.later(0, 100, Act::TakeOver);
                self.later(500, 10_000, Act::DropDecider(epoch));
                "decider_replaced"
            }
        };
        Some(name)
    }
}
