//! Last phase of a random run: all faults end, and every accepted job must become final.

use super::Run;
use super::driver::DriverAction;
use godwitstep_core::OperatingMode;
use godwitstep_core::planner::Event;
use std::time::Duration;

/// Virtual time within which all jobs must become final once the faults have ended.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(8 * 3600);

impl Run {
    /// Ends all faults and continues until all jobs are final, up to `max_events` events of the run.
    pub(super) fn drain(&mut self, max_events: u64, keep_going: bool) {
        self.generating = false;
        self.faults_active = false;
        self.end_faults();
        let end = self.world.now + DRAIN_TIMEOUT;
        let within_limits = |run: &Self| run.world.now < end && run.world.events < max_events;
        while self.world.load() > 0
            && within_limits(self)
            && (keep_going || self.world.broken.is_none())
        {
            self.step();
        }
        if keep_going || self.world.broken.is_none() {
            self.world.check_end();
        }
    }

    fn end_faults(&mut self) {
        let world = &mut self.world;
        world.log.available = true;
        world.log.append_ms = 5;
        world.log.reply_loss_probability = 0.0;
        for number in 0..world.domains.len() {
            world.set_domain(number, true);
        }
        // Jobs that may not borrow guaranteed capacity can't run while guarantees cover the region.
        for (id, mut spec) in world.workspaces.clone() {
            spec.guarantees.clear();
            world.declare(&id, spec);
        }
        for agent_index in 0..world.agents.len() {
            world.agents[agent_index].fails_tasks = false;
            world.resume_agent(agent_index);
            world.restart_worker(agent_index);
            world.reconnect_agent(agent_index);
            world.announce_to_all(agent_index);
        }
        let epoch = world.epoch;
        world.deciders.retain(|decider| decider.epoch == epoch);
        world.resume_decider(epoch, Duration::from_secs(2));
        if world
            .deciders
            .first()
            .is_none_or(|decider| decider.log_unreachable)
        {
            world.deciders.clear();
            world.take_over();
        }
        let epoch = world.epoch;
        world.deliver_event(epoch, Event::OperatingMode(OperatingMode::Normal));
        self.schedule(Duration::ZERO, DriverAction::RestoreLinks);
    }
}
