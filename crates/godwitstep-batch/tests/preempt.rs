//! Urgent jobs on a floor full of other work.

mod scene;

use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::planner::Decision;
use scene::{Scene, gang, seconds, step};

/// Guards against a worker that gets more than it has, while what is being stopped still counts.
#[test]
fn room_is_never_exceeded_when_urgent_jobs_come_on_a_full_floor() {
    let mut scene = Scene::new(4, 2);
    for job in 1..=4 {
        scene.submit(job, "patient", "south", vec![step(10, 1, seconds(9))]);
    }
    scene.run(seconds(1));
    for job in 11..=13 {
        scene.submit(job, "urgent", "north", vec![gang(2, 2, seconds(2))]);
        for _ in 0..8 {
            scene.round();
            scene.check_room();
        }
    }
}

/// Guards against a guaranteed claim that waits behind patient work.
#[test]
fn a_claim_within_the_guarantee_begins_within_its_bound_on_a_full_floor() {
    let mut scene = Scene::new(4, 4);
    for job in 1..=4 {
        scene.submit(job, "patient", "south", vec![step(8, 1, seconds(30))]);
    }
    scene.run(seconds(2));
    scene.submit(9, "urgent", "north", vec![gang(2, 8, seconds(9))]);
    scene.run(Bounds::default().reclaim);
    assert_eq!(scene.places(9).len(), 2, "both members of the gang run");
}

/// Guards against a workspace that takes more than its guarantee at the price of others' work.
#[test]
fn a_job_beyond_the_guarantee_does_not_stop_more_work_than_its_own() {
    let mut scene = Scene::new(4, 4);
    for job in 1..=4 {
        scene.submit(job, "normal", "south", vec![step(1, 8, seconds(30))]);
    }
    scene.run(seconds(8));
    scene.submit(9, "urgent", "north", vec![gang(3, 8, seconds(1))]);
    scene.run(seconds(3));
    assert!(scene.places(9).is_empty());
    assert!(!scene.decided(|own| matches!(own, Decision::Preempted { .. })));
}

/// Guards against stopping long work where short work would do.
#[test]
fn the_runs_that_lose_least_are_stopped() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "patient", "south", vec![step(1, 8, seconds(60))]);
    scene.run(seconds(10));
    scene.submit(2, "patient", "south", vec![step(1, 8, seconds(60))]);
    scene.run(seconds(1));
    scene.submit(9, "urgent", "north", vec![step(1, 8, seconds(5))]);
    scene.run(seconds(3));
    let stopped: Vec<u64> = scene
        .decisions
        .iter()
        .filter_map(|own| match own {
            Decision::Preempted { task, .. } => Some(task.job),
            _ => None,
        })
        .collect();
    assert_eq!(stopped, [2]);
}
