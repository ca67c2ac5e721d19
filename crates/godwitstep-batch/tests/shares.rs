//! Jobs of several workspaces that compete for the same capacity.

mod simulation;

use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::planner::Planner;
use simulation::{Simulation, gang, seconds, step};
use std::time::Duration;

/// Run times of jobs of priority 0 that have 0.75 s and 0.85 s of slack when they are submitted.
const LEAST_SLACK: Duration = seconds(1);
const LITTLE_SLACK: Duration = Duration::from_millis(1_200);
/// Time for which a worker is still busy when these jobs are submitted.
const BUSY_FOR: Duration = Duration::from_millis(500);
/// Time after which one of them runs.
const SOON: Duration = Duration::from_millis(800);

/// Returns a worker that will be free in [`BUSY_FOR`] and has been used by a workspace without a guarantee, and on which a
/// job of the same workspace with the least slack waits.
fn used_by_west() -> Simulation {
    let mut sim = Simulation::new(1, 1);
    sim.submit(1, "urgent", "west", vec![step(1, 8, seconds(10))]);
    sim.run_for(seconds(10).saturating_sub(BUSY_FOR));
    sim.submit(2, "urgent", "west", vec![step(1, 8, LEAST_SLACK)]);
    sim
}

/// Guards against a burst of one workspace that takes the capacity of the others.
#[test]
fn workspace_that_has_used_less_comes_first() {
    let mut sim = used_by_west();
    sim.submit(3, "urgent", "coast", vec![step(1, 8, LITTLE_SLACK)]);
    sim.run_for(SOON);
    assert_eq!(sim.hosts_running(3).len(), 1);
    sim.run_for(seconds(5));
    assert_eq!(sim.status(2), simulation::COMPLETED, "the other runs next");
}

/// Guards against a successor that ranks all workspaces the same until it has seen them run for a while.
#[test]
fn new_decider_knows_use_from_the_ledger() {
    let mut sim = used_by_west();
    sim.submit(3, "urgent", "coast", vec![step(1, 8, LITTLE_SLACK)]);
    sim.round();
    let epoch = sim.planner.epoch() + (1 << 20);
    sim.planner = Planner::new(epoch, sim.now, Bounds::default());
    sim.run_for(SOON);
    assert_eq!(sim.hosts_running(3).len(), 1);
}

/// Guards against an order of one workspace's jobs that depends on its use.
#[test]
fn least_slack_decides_within_a_workspace() {
    let mut sim = used_by_west();
    sim.submit(3, "urgent", "west", vec![step(1, 8, LITTLE_SLACK)]);
    sim.run_for(SOON);
    assert_eq!(sim.hosts_running(2).len(), 1);
}

/// Guards against jobs that are put behind for small differences in use.
#[test]
fn least_slack_decides_at_about_equal_use() {
    for (tight, loose) in [("west", "coast"), ("coast", "west")] {
        let mut sim = Simulation::new(2, 2);
        sim.submit(1, "urgent", "west", vec![step(1, 8, seconds(10))]);
        let longer = Duration::from_millis(11_500);
        sim.submit(2, "urgent", "coast", vec![step(1, 8, longer)]);
        sim.run_for(seconds(10).saturating_sub(BUSY_FOR));
        sim.submit(3, "urgent", tight, vec![step(1, 8, LEAST_SLACK)]);
        sim.submit(4, "urgent", loose, vec![step(1, 8, LITTLE_SLACK)]);
        sim.run_for(SOON);
        assert_eq!(sim.hosts_running(3).len(), 1, "{tight} has less slack");
        assert!(sim.hosts_running(4).is_empty());
    }
}

/// Guards against a job that becomes late for the sake of one that is late anyway.
#[test]
fn late_job_does_not_displace_one_that_can_be_on_time() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(1, "urgent", "west", vec![step(1, 8, seconds(10))]);
    sim.run_for(seconds(9));
    let short = Duration::from_millis(400);
    sim.submit(3, "urgent", "coast", vec![step(1, 8, short)]);
    sim.run_for(seconds(1).saturating_sub(BUSY_FOR));
    sim.submit(2, "urgent", "west", vec![step(1, 8, LEAST_SLACK)]);
    sim.run_for(SOON);
    assert!(sim.hosts_running(3).is_empty());
    assert_eq!(sim.hosts_running(2).len(), 1);
}

/// Guards against a job that becomes late for the sake of one that could have waited.
#[test]
fn job_that_can_wait_does_not_displace_one_that_cannot() {
    let mut sim = used_by_west();
    sim.submit(3, "urgent", "coast", vec![step(1, 8, seconds(9))]);
    sim.run_for(SOON);
    assert!(sim.hosts_running(3).is_empty());
    assert_eq!(sim.hosts_running(2).len(), 1);
}

/// Guards against a workspace that comes last because it uses what is guaranteed to it.
#[test]
fn use_within_the_guarantee_does_not_count() {
    let mut sim = Simulation::new(5, 5);
    sim.submit(1, "urgent", "north", vec![step(3, 8, seconds(30))]);
    sim.submit(2, "urgent", "west", vec![step(1, 8, seconds(30))]);
    sim.submit(3, "urgent", "west", vec![step(1, 8, seconds(10))]);
    sim.run_for(seconds(10).saturating_sub(BUSY_FOR));
    sim.submit(4, "urgent", "west", vec![step(1, 8, LEAST_SLACK)]);
    sim.submit(5, "urgent", "north", vec![step(1, 8, LITTLE_SLACK)]);
    sim.run_for(SOON);
    assert_eq!(sim.hosts_running(5).len(), 1, "8 beyond its guarantee");
    assert!(sim.hosts_running(4).is_empty(), "16 beyond its guarantee");
}

/// Guards against capacity that counts as short for good because of a job that no worker can run.
#[test]
fn job_that_fits_no_worker_does_not_make_capacity_short() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(1, "urgent", "west", vec![step(1, 8, seconds(10))]);
    sim.submit(2, "urgent", "coast", vec![step(1, 16, seconds(60))]);
    sim.run_for(seconds(11));
    assert!(sim.hosts_running(1).is_empty());
    sim.submit(3, "urgent", "west", vec![step(1, 8, LEAST_SLACK)]);
    sim.submit(4, "urgent", "coast", vec![step(1, 8, LITTLE_SLACK)]);
    sim.round();
    assert_eq!(sim.hosts_running(3).len(), 1, "it has less slack");
}

/// Guards against a metric that shows a share of which nothing is left.
#[test]
fn shares_are_reported_until_nothing_is_left() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "south", vec![gang(1, 8, seconds(30))]);
    sim.run_for(seconds(30));
    let last = sim.shares.last().expect("the share has changed").share;
    assert!((0.4..0.51).contains(&last), "{last} instead of a half");
    sim.run_for(seconds(200));
    let last = sim.shares.last().expect("the share has changed");
    assert!(last.share.abs() < f64::EPSILON, "{last:?}");
}
