//! Workers that hang, fail or leave, and runs that stand still.

mod scene;

use godwitstep_batch::job::Step;
use godwitstep_batch::message::How;
use godwitstep_batch::planner::Decision;
use scene::{DONE, STEP, Scene, gang, seconds, step};

/// Guards against runs that are stopped as stuck although the members of a gang that are done only
/// wait for the slowest one.
#[test]
fn members_that_wait_for_the_slowest_are_not_stopped() {
    let mut scene = Scene::new(3, 3);
    let saving = Step {
        saves: true,
        ..gang(3, 8, seconds(6))
    };
    scene.submit(1, "normal", "north", vec![saving]);
    scene.run(seconds(1));
    for _ in 0..30 {
        for number in 0..2 {
            let rows = &mut scene.host(number).worker.running;
            for row in rows {
                row.percent = 100;
            }
        }
        scene.report();
        scene.decide();
        scene.now += STEP;
        let slowest = &mut scene.host(2).worker.running[0];
        slowest.percent = (slowest.percent + 2).min(98);
    }
    assert!(!scene.decided(|own| matches!(own, Decision::Stuck { .. })));
}

/// Guards against work that stands still for good on a worker whose heartbeats are fine.
#[test]
fn a_run_that_stands_still_is_moved_to_another_worker() {
    let mut scene = Scene::new(2, 2);
    let saving = Step {
        saves: true,
        ..step(1, 8, seconds(4))
    };
    scene.submit(1, "normal", "north", vec![saving]);
    scene.run(seconds(1));
    let first = scene.places(1);
    scene.hosts.get_mut(&first[0]).unwrap().works = false;
    scene.run(seconds(6));
    assert_ne!(scene.places(1), first);
    scene.run(seconds(4));
    assert_eq!(scene.status(1), DONE);
}

/// Guards against runs that are stopped for showing no progress, where none is shown at all.
#[test]
fn a_run_whose_progress_is_not_shown_is_left_alone() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 8, seconds(4))]);
    scene.lengths.insert(1, seconds(20));
    scene.run(seconds(21));
    assert_eq!(scene.status(1), DONE);
    assert!(!scene.decided(|own| matches!(own, Decision::Stuck { .. })));
}

/// Guards against work that lands again and again on a worker that fails everything.
#[test]
fn a_worker_that_fails_tasks_of_several_jobs_gets_no_new_ones() {
    let mut scene = Scene::new(2, 2);
    for job in 1..=6 {
        scene.submit(job, "normal", "north", vec![step(1, 2, seconds(2))]);
    }
    let mut starts_after = 0;
    for round in 0..25 {
        scene.round();
        let rows: Vec<_> = scene.host(0).worker.running.clone();
        if round > 6 {
            starts_after += rows.len();
        }
        for row in rows {
            scene.host(0).end(row.task, row.run, How::Failed);
        }
    }
    assert_eq!(starts_after, 0, "starts on the failing worker");
    let told = |own: &Decision| matches!(own, Decision::Quarantined { .. });
    assert!(scene.decisions.iter().any(told), "nobody is told why");
}

/// Guards against long work that is lost with a worker that has said that it leaves.
#[test]
fn long_runs_move_off_a_leaving_worker_and_short_ones_end_there() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 4, seconds(9))]);
    scene.submit(2, "normal", "north", vec![step(1, 4, seconds(2))]);
    scene.round();
    let leaving = scene.places(1)[0].clone();
    assert_eq!(scene.places(2), std::slice::from_ref(&leaving));
    scene.hosts.get_mut(&leaving).unwrap().worker.about.draining = true;
    scene.run(seconds(1));
    assert_ne!(scene.places(1), std::slice::from_ref(&leaving));
    assert_eq!(scene.places(2), [leaving]);
}
