//! Workers and workspaces of a random run, and changes by operators.

use super::Run;
use super::driver::DriverAction;
use godwitstep_core::id::WorkspaceId;
use godwitstep_core::planner::Worker;
use godwitstep_core::resource::{Adjacency, Guarantee, Kind, Priority, Shape, Workspace};
use std::time::Duration;

/// Number of workspaces that submit jobs of all kinds. One more submits only claims, so that its
/// guarantee is unused between them.
pub(super) const BUSY_WORKSPACES: usize = 4;
/// Kinds of work that each workspace declares.
pub(super) const KINDS: [(&str, Priority); 3] = [
    ("urgent", Priority::Urgent),
    ("normal", Priority::Normal),
    ("patient", Priority::Patient),
];

impl Run {
    /// Creates random workers and workspaces and schedules the first actions.
    pub(super) fn set_up(&mut self) {
        let world = &mut self.world;
        let (domains, racks) = (world.rng.usize(2..=4), world.rng.usize(1..=3));
        let workers_per_rack = world.rng.usize(2..=4);
        let accelerators = if world.rng.bool() { 8 } else { 4 };
        for domain in 0..domains {
            for rack in 0..racks {
                for number in 0..workers_per_rack {
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
        for number in 0..=BUSY_WORKSPACES {
            let spec = self.random_workspace(number == BUSY_WORKSPACES);
            self.world.declare(&workspace_id(number), spec);
        }
        self.world.checkpoint_ms = 15_000;
        self.world.start();
        self.schedule(Duration::from_secs(1), DriverAction::SubmitJobs);
        self.schedule_within(1_000, 60_000, DriverAction::CancelJobs);
        self.schedule_within(1_000, 60_000, DriverAction::InjectFaults);
        self.schedule_within(1_000, 60_000, DriverAction::ChangeWorkspace);
        self.schedule_within(60_000, 90_000, DriverAction::SubmitClaim);
    }

    /// Returns a random declaration. A workspace that submits only claims has exactly one guarantee.
    fn random_workspace(&mut self, claims_only: bool) -> Workspace {
        let rng = &mut self.world.rng;
        let worker_size = self.world.agents[0].worker.accelerators;
        let kind = |(name, priority): (&str, Priority)| Kind {
            name: name.into(),
            priority,
            objective_ms: 60_000,
            refund: 1.0,
        };
        let mut spec = Workspace::new(KINDS.into_iter().map(kind).collect());
        spec.rank = rng.u32(0..4);
        if claims_only || rng.u8(0..2) == 0 {
            let adjacency = [Adjacency::Worker, Adjacency::Rack, Adjacency::Any][rng.usize(0..3)];
            let tasks = match adjacency {
                Adjacency::Worker => 1,
                _ => rng.u32(1..=2),
            };
            let shape = Shape::new(tasks, rng.u32(1..=worker_size)).adjacency(adjacency);
            let count = if claims_only { 1 } else { rng.u32(1..=2) };
            spec.guarantees = vec![Guarantee { shape, count }];
        }
        spec
    }

    /// Lets two operators change the same workspace based on the same version; the second change
    /// conflicts if the first took effect.
    pub(super) fn change_workspace(&mut self) {
        if !self.generating {
            return;
        }
        self.schedule_within(5_000, 120_000, DriverAction::ChangeWorkspace);
        if !self.world.log.available || !self.faults_active {
            return;
        }
        self.world.last_disturbance = self.world.now;
        let number = self.world.rng.usize(0..=BUSY_WORKSPACES);
        let (id, claims_only) = (workspace_id(number), number == BUSY_WORKSPACES);
        let base_version = self.world.version;
        for _ in 0..2 {
            let spec = self.random_workspace(claims_only);
            let world = &mut self.world;
            if world.version != base_version {
                world.increment_count("operator_conflict");
            } else if !claims_only && world.rng.u8(0..8) == 0 {
                world.remove(&id);
                world.increment_count("workspace_removed");
            } else if world.declare(&id, spec) {
                world.increment_count("workspace_changed");
            } else {
                world.increment_count("guarantee_refused");
            }
        }
    }
}

/// Returns the name of the workspace with the given number.
pub(super) fn workspace_id(number: usize) -> WorkspaceId {
    format!("ws{number}").into()
}
