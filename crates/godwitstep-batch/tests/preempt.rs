//! Urgent jobs on a cluster that is full of other work.

mod simulation;

use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::planner::Decision;
use simulation::{Simulation, gang, seconds, step};

/// Guards against a worker that gets more runs than it has capacity for while runs that are being
/// stopped still occupy it.
#[test]
fn capacity_is_never_exceeded_on_a_full_cluster() {
    let mut sim = Simulation::new(4, 2);
    for job in 1..=4 {
        sim.submit(job, "patient", "south", vec![step(10, 1, seconds(9))]);
    }
    sim.run_for(seconds(1));
    for job in 11..=13 {
        sim.submit(job, "urgent", "north", vec![gang(2, 2, seconds(2))]);
        for _ in 0..8 {
            sim.round();
            sim.assert_capacity();
        }
    }
}

/// Guards against a job within its workspace's guarantee that waits behind lower-priority work.
#[test]
fn guaranteed_job_starts_within_its_bound_on_a_full_cluster() {
    let mut sim = Simulation::new(4, 4);
    for job in 1..=4 {
        sim.submit(job, "patient", "south", vec![step(8, 1, seconds(30))]);
    }
    sim.run_for(seconds(2));
    sim.submit(9, "urgent", "north", vec![gang(2, 8, seconds(9))]);
    sim.run_for(Bounds::default().guaranteed_start_time);
    assert_eq!(
        sim.hosts_running(9).len(),
        2,
        "both members of the gang run"
    );
}

/// Guards against a workspace that exceeds its guarantee at the cost of others' work.
#[test]
fn job_over_its_guarantee_preempts_no_more_work_than_its_own() {
    let mut sim = Simulation::new(4, 4);
    for job in 1..=4 {
        sim.submit(job, "normal", "south", vec![step(1, 8, seconds(30))]);
    }
    sim.run_for(seconds(8));
    sim.submit(9, "urgent", "north", vec![gang(3, 8, seconds(1))]);
    sim.run_for(seconds(3));
    assert!(sim.hosts_running(9).is_empty());
    assert!(!sim.has_decision(|decision| matches!(decision, Decision::Preempted { .. })));
}

/// Guards against preemption of a run with much work to lose where one with little would do.
#[test]
fn runs_with_the_least_lost_work_are_preempted() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "patient", "south", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(10));
    sim.submit(2, "patient", "south", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(1));
    sim.submit(9, "urgent", "north", vec![step(1, 8, seconds(5))]);
    sim.run_for(seconds(3));
    let stopped: Vec<u64> = sim
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Preempted { task, .. } => Some(task.job),
            _ => None,
        })
        .collect();
    assert_eq!(stopped, [2]);
}
