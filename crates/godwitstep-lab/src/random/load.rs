//! Random jobs and cancellations, and claims on a guarantee that is unused between claims.

use super::Run;
use super::driver::DriverAction;
use super::region::{BUSY_WORKSPACES, KINDS, workspace_id};
use godwitstep_core::Reason;
use godwitstep_core::resource::{Adjacency, Job, Shape};
use std::time::Duration;

/// Maximum number of jobs that are not final.
const MAX_ACTIVE_JOBS: usize = 200;
/// Time without a disturbance before a claim is submitted, so that its start is bounded. Longer than
/// the lease, the ramp-up of a returned failure domain and the reclaim together.
const MIN_UNDISTURBED: Duration = Duration::from_secs(75);
/// Time within which a claim must start: 30 s to reclaim its capacity, and 5 s for the last stop, the
/// reservation, the append and message delays.
const CLAIM_START_TIMEOUT: Duration = Duration::from_secs(35);

impl Run {
    /// Submits a few jobs or, in one of ten cases, a burst, and schedules the next submission.
    pub(super) fn submit_jobs(&mut self) {
        if !self.generating {
            return;
        }
        self.schedule_within(1_000, 60_000, DriverAction::SubmitJobs);
        let burst = self.world.rng.u8(0..10) == 0;
        let max_jobs = if burst { 60 } else { 6 };
        for _ in 0..self.world.rng.usize(1..=max_jobs) {
            if !self.world.log.available {
                self.world.increment_count("submit_refused");
            } else if self.world.load() < MAX_ACTIVE_JOBS {
                self.submit_job();
            }
        }
    }

    fn submit_job(&mut self) {
        let shape = self.random_shape();
        let rng = &mut self.world.rng;
        let kind = KINDS[rng.usize(0..KINDS.len())].0;
        let mut spec = Job::new(workspace_id(rng.usize(0..BUSY_WORKSPACES)), kind, 1, 1);
        spec.shape = shape;
        spec.checkpointable = rng.bool();
        spec.preemptible = rng.bool();
        spec.idempotent = rng.bool();
        // Run times are distributed evenly over orders of magnitude, from 1 to about 500 s.
        let run_time = Duration::from_millis((1_000 << rng.u32(0..9)) + rng.u64(0..999));
        let declared_per_mille = [0, 1, 10, 1_000, 100_000][rng.usize(0..5)];
        spec.run_s = match declared_per_mille {
            0 => None,
            per_mille => Some((run_time.as_secs() * per_mille / 1_000).max(1)),
        };
        if rng.u8(0..3) == 0 {
            spec.deadline_s = Some(rng.u64(5..600));
        }
        let always_fails = rng.u8(0..40) == 0;
        let number = self.world.submit(spec, run_time);
        self.world.jobs[number].always_fails = always_fails;
        if always_fails {
            self.world.increment_count("job_fails_everywhere");
        }
        if declared_per_mille != 1_000 {
            self.world.increment_count("job_declares_wrong_run_time");
        }
    }

    /// Returns a random shape; one in 30 is larger than the region or a worker.
    fn random_shape(&mut self) -> Shape {
        let agents = self.world.agents.iter();
        let total: u32 = agents.map(|agent| agent.worker.accelerators).sum();
        let rng = &mut self.world.rng;
        let (tasks, accelerators) = match rng.u8(0..60) {
            0 => (total.min(511) + 1, 1),
            1 => (1, 64),
            2..=5 => (rng.u32(1..=total / 2), 1),
            6..=15 => (rng.u32(1..=6), rng.u32(1..=4)),
            _ => (rng.u32(1..=3), rng.u32(1..=2)),
        };
        let adjacency = match rng.u8(0..10) {
            0 => Adjacency::Worker,
            1 | 2 => Adjacency::Rack,
            3 | 4 => Adjacency::Domain,
            _ => Adjacency::Any,
        };
        if tasks > total || accelerators > 8 {
            self.world.increment_count("job_can_never_run");
        }
        Shape::new(tasks, accelerators).adjacency(adjacency)
    }

    /// Cancels a random share of the active jobs.
    pub(super) fn cancel_jobs(&mut self) {
        if !self.generating {
            return;
        }
        self.schedule_within(10_000, 300_000, DriverAction::CancelJobs);
        if !self.world.log.available {
            return;
        }
        self.world.increment_count("cancel_wave");
        let percent = self.world.rng.u8(0..100);
        for number in self.world.active() {
            if self.world.rng.u8(0..100) < percent {
                self.world.cancel(number);
                self.world.increment_count("cancel");
            }
        }
    }

    /// Submits a job that claims an unused guarantee, and schedules the check of its start.
    pub(super) fn submit_claim(&mut self) {
        if !self.generating {
            return;
        }
        self.schedule_within(40_000, 90_000, DriverAction::SubmitClaim);
        let id = workspace_id(BUSY_WORKSPACES);
        let world = &mut self.world;
        let declared = world.workspaces.get(&id);
        let Some(guarantee) = declared.and_then(|spec| spec.guarantees.first()) else {
            return;
        };
        let shape = guarantee.shape;
        let undisturbed =
            world.log.available && world.now > world.last_disturbance + MIN_UNDISTURBED;
        let is_same_workspace = |number: &usize| world.jobs[*number].spec.workspace == id;
        if !undisturbed || world.active().iter().any(is_same_workspace) {
            return;
        }
        let mut spec = Job::new(id, "normal", 1, 1);
        spec.shape = shape;
        let number = world.submit(spec, Duration::from_secs(20));
        world.increment_count("claim");
        self.schedule(CLAIM_START_TIMEOUT, DriverAction::CheckClaim(number));
    }

    /// Checks that a claim has started, unless the region was disturbed since or the guarantee is
    /// suspended.
    pub(super) fn check_claim(&mut self, number: usize) {
        let world = &mut self.world;
        let job = &world.jobs[number];
        let suspended = matches!(job.reason, Reason::GuaranteeSuspended { .. });
        if job.cancelled.is_some() || suspended || world.last_disturbance > job.accepted {
            world.increment_count("claim_excused");
        } else if job.runs.iter().all(|run| run.started == 0) {
            let what = format!(
                "guaranteed claim {} of {:?} has not started after {CLAIM_START_TIMEOUT:?}: {:?}",
                job.id, job.spec.shape, job.reason
            );
            world.record_violation("late_claim", what);
        }
    }
}
