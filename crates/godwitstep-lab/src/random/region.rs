//! The region of a random run and its operators.

use super::Run;
use super::act::Act;
use godwitstep_core::id::WorkspaceId;
use godwitstep_core::planner::Worker;
use godwitstep_core::resource::{Adjacency, Guarantee, Kind, Priority, Shape, Workspace};
use std::time::Duration;

/// Workspaces that submit jobs of all kinds. One more keeps its guarantee unused between claims.
pub(super) const BUSY: usize = 4;
/// Kinds of work that each workspace declares.
pub(super) const KINDS: [(&str, Priority); 3] = [
    ("urgent", Priority::Urgent),
    ("normal", Priority::Normal),
    ("patient", Priority::Patient),
];

impl Run {
    pub(super) fn set_up(&mut self) {
        let world = &mut self.world;
        let (domains, racks) = (world.rng.usize(2..=4), world.rng.usize(1..=3));
        let per_rack = world.rng.usize(2..=4);
        let accelerators = if world.rng.bool() { 8 } else { 4 };
        for domain in 0..domains {
            for rack in 0..racks {
                for number in 0..per_rack {
                    world.add(Worker {
                        id: format!("w{domain}-{rack}-{number}").into(),
                        incarnation: 1,
                        domain: format!("d{domain}").into(),
                        rack: format!("r{rack}").into(),
                        accelerators,
                    });
                }
            }
        }
        for number in 0..=BUSY {
            let spec = self.workspace(number == BUSY);
            self.world.declare(&name(number), spec);
        }
        self.world.checkpoint_ms = 15_000;
        self.world.start();
        self.plan(Duration::from_secs(1), Act::Load);
        self.later(1_000, 60_000, Act::Cancel);
        self.later(1_000, 60_000, Act::Fault);
        self.later(1_000, 60_000, Act::Operate);
        self.later(60_000, 90_000, Act::Claim);
    }

    fn workspace(&mut self, keeper: bool) -> Workspace {
        let rng = &mut self.world.rng;
        let most = self.world.agents[0].worker.accelerators;
        let kind = |(name, priority): (&str, Priority)| Kind {
            name: name.into(),
            priority,
            objective_ms: 60_000,
            refund: 1.0,
        };
        let mut spec = Workspace::new(KINDS.into_iter().map(kind).collect());
        spec.rank = rng.u32(0..4);
        if keeper || rng.u8(0..2) == 0 {
            let adjacency = [Adjacency::Worker, Adjacency::Rack, Adjacency::Any][rng.usize(0..3)];
            let tasks = match adjacency {
                Adjacency::Worker => 1,
                _ => rng.u32(1..=2),
            };
            let shape = Shape::new(tasks, rng.u32(1..=most)).adjacency(adjacency);
            let count = if keeper { 1 } else { rng.u32(1..=2) };
            spec.guarantees = vec![Guarantee { shape, count }];
        }
        spec
    }

    /// Two operators change the same workspace from the same version: the first one wins.
    pub(super) fn operate(&mut self) {
        if !self.open {
            return;
        }
        self.later(5_000, 120_000, Act::Operate);
        if !self.world.log.up || !self.storm {
            return;
        }
        self.world.disturbed = self.world.now;
        let number = self.world.rng.usize(0..=BUSY);
        let (id, keeper) = (name(number), number == BUSY);
        let seen = self.world.version;
        for _ in 0..2 {
            let spec = self.workspace(keeper);
            let world = &mut self.world;
            if world.version != seen {
                world.count("operator_conflict");
            } else if !keeper && world.rng.u8(0..8) == 0 {
                world.remove(&id);
                world.count("workspace_removed");
            } else if world.declare(&id, spec) {
                world.count("workspace_changed");
            } else {
                world.count("guarantee_refused");
            }
        }
    }
}

pub(super) fn name(number: usize) -> WorkspaceId {
    format!("ws{number}").into()
}
