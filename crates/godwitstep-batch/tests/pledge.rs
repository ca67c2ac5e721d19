//! Urgent jobs that wait for the same room.

mod scene;

use godwitstep_batch::planner::Decision;
use scene::{Scene, gang, seconds, step};

/// Returns a full floor on which room is made for a gang, job 10, while one of its two workers does not obey,
/// and a smaller urgent job, 11, has just come.
fn half_made() -> Scene {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "patient", "south", vec![step(16, 1, seconds(9))]);
    scene.run(seconds(1));
    scene.host(1).obeys = false;
    scene.submit(10, "urgent", "north", vec![gang(2, 8, seconds(3))]);
    scene.round();
    scene.submit(11, "urgent", "north", vec![gang(1, 8, seconds(1))]);
    scene
}

/// Guards against a gang that has others stopped again and again, because a smaller urgent job that came
/// later takes what is free already (incident 48a2).
#[test]
fn a_gang_that_others_are_stopped_for_is_not_overtaken() {
    let mut scene = half_made();
    for _ in 0..3 {
        scene.round();
    }
    assert!(!scene.started(11), "the later job takes the room");
    scene.host(1).obeys = true;
    for _ in 0..3 {
        scene.round();
        scene.check_room();
    }
    assert!(scene.started(10), "the gang waits still");
    let stopped = |decision: &&Decision| matches!(decision, Decision::Preempted { by: 10, .. });
    let stops = scene.decisions.iter().filter(stopped).count();
    assert_eq!(stops, 16, "each patient task is stopped once");
}

/// Guards against room that stays empty for a gang whose other room does not come free.
#[test]
fn room_is_kept_no_longer_than_stops_take() {
    let mut scene = half_made();
    scene.run(seconds(2));
    assert!(scene.started(11), "the room is empty still");
}
