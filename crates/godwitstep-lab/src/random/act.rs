//! What the driver of a random run does at a planned time.

use super::Run;
use crate::world::Item;
use godwitstep_core::Standing;
use godwitstep_core::planner::Event;
use std::time::Duration;

/// Something planned.
#[derive(Debug, Clone, Copy)]
pub(super) enum Act {
    /// More jobs arrive.
    Load,
    /// Jobs are cancelled.
    Cancel,
    /// A fault begins.
    Fault,
    /// Operators change something.
    Operate,
    /// A claim on an unused guarantee is submitted if nothing disturbs the region.
    Claim,
    /// A claim must have started.
    ClaimDue(usize),
    Link(usize),
    Resume(usize),
    Revive(usize),
    Mend(usize),
    DomainIn(usize),
    LogUp,
    /// Deciders take a silent log for down.
    Coast,
    AppendsWell,
    LinksWell,
    ResumeDecider(u64, Duration),
    /// A decider that is cut off from the log knows it.
    Halt(u64),
    TakeOver,
    DropDecider(u64),
}

impl Run {
    /// Plans something.
    pub(super) fn plan(&mut self, after: Duration, act: Act) {
        let code = u32::try_from(self.acts.len()).unwrap_or(u32::MAX);
        self.acts.push(act);
        let at = self.world.now + after;
        self.world.queue.push(at, Item::Driver(code));
    }

    /// Plans something after a random time between bounds in milliseconds.
    pub(super) fn later(&mut self, low: u64, high: u64, act: Act) {
        let after = Duration::from_millis(self.world.rng.u64(low..=high));
        self.plan(after, act);
    }

    pub(super) fn act(&mut self, code: u32) {
        let world = &mut self.world;
        let act = self.acts[code as usize];
        let calm = matches!(
            act,
            Act::Load | Act::Cancel | Act::Claim | Act::ClaimDue(_) | Act::Fault | Act::Operate
        );
        if !calm {
            world.disturbed = world.now;
        }
        match act {
            Act::Load => self.load(),
            Act::Cancel => self.cancel_wave(),
            Act::Fault => self.fault(),
            Act::Operate => self.operate(),
            Act::Claim => self.claim(),
            Act::ClaimDue(number) => self.claim_due(number),
            Act::Link(at) => world.link(at),
            Act::Resume(at) => world.resume_agent(at),
            Act::Revive(at) => world.revive_worker(at),
            Act::Mend(at) => world.agents[at].fails = false,
            Act::DomainIn(number) => {
                if world.log.up {
                    world.set_domain(number, true);
                } else {
                    self.later(500, 2_000, act);
                }
            }
            Act::LogUp => {
                world.log.up = true;
                self.stand(Standing::Fresh);
            }
            Act::Coast => {
                if !world.log.up {
                    self.stand(Standing::Coasting);
                }
            }
            Act::AppendsWell => {
                world.log.append_ms = 5;
                world.log.lose_reply = 0.0;
            }
            Act::LinksWell => {
                world.net.loss = 0.0;
                world.net.delay_ms = 2;
                world.net.reorder = false;
            }
            Act::ResumeDecider(epoch, pause) => world.resume_decider(epoch, pause),
            Act::Halt(epoch) => world.tell(epoch, Event::Standing(Standing::Halted)),
            Act::TakeOver => {
                if world.log.up {
                    world.take_over();
                } else {
                    self.later(6_000, 8_000, act);
                }
            }
            Act::DropDecider(epoch) => self.drop_decider(epoch),
        }
    }

    /// Ends a decider that was replaced. One whose successor has not come yet stays until then.
    fn drop_decider(&mut self, epoch: u64) {
        if self.world.epoch == epoch {
            self.later(1_000, 10_000, Act::DropDecider(epoch));
        } else {
            self.world.drop_decider(epoch);
        }
    }

    fn stand(&mut self, standing: Standing) {
        let world = &mut self.world;
        let able = world.deciders.iter().filter(|decider| !decider.cut);
        let epochs: Vec<u64> = able.map(|decider| decider.epoch).collect();
        for epoch in epochs {
            world.tell(epoch, Event::Standing(standing));
        }
    }
}
