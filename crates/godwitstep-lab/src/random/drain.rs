//! The end of a random run: faults stop, and every accepted job must reach its end.

use super::Run;
use super::act::Act;
use godwitstep_core::Standing;
use godwitstep_core::planner::Event;
use std::time::Duration;

/// Time in which all jobs must end once the faults have stopped.
const LIMIT: Duration = Duration::from_secs(8 * 3600);

impl Run {
    /// Ends all faults and runs until all jobs are final.
    pub(super) fn drain(&mut self, events: u64, keep_going: bool) {
        self.open = false;
        self.storm = false;
        self.mend();
        let end = self.world.now + LIMIT;
        let more = |run: &Self| run.world.now < end && run.world.events < events;
        while self.world.load() > 0 && more(self) && (keep_going || self.world.broken.is_none()) {
            self.step();
        }
        if keep_going || self.world.broken.is_none() {
            self.world.check_end();
        }
    }

    fn mend(&mut self) {
        let world = &mut self.world;
        world.log.up = true;
        world.log.append_ms = 5;
        world.log.lose_reply = 0.0;
        for number in 0..world.domains.len() {
            world.set_domain(number, true);
        }
        // A job that may not borrow can't run while guarantees take up the region.
        for (id, mut spec) in world.workspaces.clone() {
            spec.guarantees.clear();
            world.declare(&id, spec);
        }
        for at in 0..world.agents.len() {
            world.agents[at].fails = false;
            world.resume_agent(at);
            world.revive_worker(at);
            world.link(at);
        }
        let epoch = world.epoch;
        world.deciders.retain(|decider| decider.epoch == epoch);
        world.resume_decider(epoch, Duration::from_secs(2));
        if world.deciders.first().is_none_or(|decider| decider.cut) {
            world.deciders.clear();
            world.take_over();
        }
        let epoch = world.epoch;
        world.tell(epoch, Event::Standing(Standing::Fresh));
        self.plan(Duration::ZERO, Act::LinksWell);
    }
}
