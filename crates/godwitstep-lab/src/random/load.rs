//! Random jobs, cancellation waves, and claims on a guarantee that is kept unused.

use super::Run;
use super::act::Act;
use super::region::{BUSY, KINDS, name};
use godwitstep_core::Reason;
use godwitstep_core::resource::{Adjacency, Job, Shape};
use std::time::Duration;

/// Jobs that may be active at the same time.
const MOST_ACTIVE: usize = 200;
/// Time without a disturbance before a claim whose start is bounded. Longer than the lease, the
/// paced return of a failure domain and the reclaim together.
const CALM: Duration = Duration::from_secs(75);
/// Bound of a claim's start: 30 s of reclaim, and 5 s for the last stop, the reservation, the
/// append and the delays of messages.
const CLAIM_LIMIT: Duration = Duration::from_secs(35);

impl Run {
    pub(super) fn load(&mut self) {
        if !self.open {
            return;
        }
        self.later(1_000, 60_000, Act::Load);
        let burst = self.world.rng.u8(0..10) == 0;
        let most = if burst { 60 } else { 6 };
        for _ in 0..self.world.rng.usize(1..=most) {
            if !self.world.log.up {
                self.world.count("submit_refused");
            } else if self.world.load() < MOST_ACTIVE {
                self.submit();
            }
        }
    }

    fn submit(&mut self) {
        let shape = self.shape();
        let rng = &mut self.world.rng;
        let kind = KINDS[rng.usize(0..KINDS.len())].0;
        let mut spec = Job::new(name(rng.usize(0..BUSY)), kind, 1, 1);
        spec.shape = shape;
        spec.checkpointable = rng.bool();
        spec.preemptible = rng.bool();
        spec.idempotent = rng.bool();
        // Run times are spread evenly over orders of magnitude, from 1 to about 500 s.
        let run = Duration::from_millis((1_000 << rng.u32(0..9)) + rng.u64(0..999));
        let lie = [0, 1, 10, 1_000, 100_000][rng.usize(0..5)];
        spec.run_s = match lie {
            0 => None,
            per_mille => Some((run.as_secs() * per_mille / 1_000).max(1)),
        };
        if rng.u8(0..3) == 0 {
            spec.deadline_s = Some(rng.u64(5..600));
        }
        let fails = rng.u8(0..40) == 0;
        let number = self.world.submit(spec, run);
        self.world.jobs[number].fails = fails;
        if fails {
            self.world.count("job_fails_everywhere");
        }
        if lie != 1_000 {
            self.world.count("job_declares_wrong_run_time");
        }
    }

    fn shape(&mut self) -> Shape {
        let sizes = self.world.agents.iter();
        let total: u32 = sizes.map(|agent| agent.worker.accelerators).sum();
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
            self.world.count("job_can_never_run");
        }
        Shape::new(tasks, accelerators).adjacency(adjacency)
    }

    pub(super) fn cancel_wave(&mut self) {
        if !self.open {
            return;
        }
        self.later(10_000, 300_000, Act::Cancel);
        if !self.world.log.up {
            return;
        }
        self.world.count("cancel_wave");
        let share = self.world.rng.u8(0..100);
        for number in self.world.active() {
            if self.world.rng.u8(0..100) < share {
                self.world.cancel(number);
                self.world.count("cancel");
            }
        }
    }

    pub(super) fn claim(&mut self) {
        if !self.open {
            return;
        }
        self.later(40_000, 90_000, Act::Claim);
        let id = name(BUSY);
        let world = &mut self.world;
        let declared = world.workspaces.get(&id);
        let Some(entry) = declared.and_then(|spec| spec.guarantees.first()) else {
            return;
        };
        let shape = entry.shape;
        let calm = world.log.up && world.now > world.disturbed + CALM;
        let own = |number: &usize| world.jobs[*number].spec.workspace == id;
        if !calm || world.active().iter().any(own) {
            return;
        }
        let mut spec = Job::new(id, "normal", 1, 1);
        spec.shape = shape;
        let number = world.submit(spec, Duration::from_secs(20));
        world.count("claim");
        self.plan(CLAIM_LIMIT, Act::ClaimDue(number));
    }

    pub(super) fn claim_due(&mut self, number: usize) {
        let world = &mut self.world;
        let job = &world.jobs[number];
        let suspended = matches!(job.reason, Reason::GuaranteeSuspended { .. });
        if job.cancelled.is_some() || suspended || world.disturbed > job.accepted {
            world.count("claim_excused");
        } else if job.runs.iter().all(|seen| seen.started == 0) {
            let what = format!(
                "guaranteed claim {} of {:?} has not started after {CLAIM_LIMIT:?}: {:?}",
                job.id, job.spec.shape, job.reason
            );
            world.fail("late_claim", what);
        }
    }
}
