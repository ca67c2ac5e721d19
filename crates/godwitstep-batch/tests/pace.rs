//! Workers of one kind that differ in speed.

mod scene;

use scene::{Scene, gang, seconds, step};
use std::time::Duration;

const WORKERS: usize = 8;

/// Returns a floor on which every other worker takes 1.4 times as long, after patient tasks have run on all.
fn uneven() -> Scene {
    let mut scene = Scene::new(WORKERS, 4);
    for number in (0..WORKERS).step_by(2) {
        scene.host(number).slowness = 1.4;
    }
    for job in 1..=3 {
        scene.submit(job, "patient", "south", vec![step(64, 1, seconds(2))]);
    }
    scene.run(seconds(12));
    scene
}

fn slow(name: &str) -> bool {
    let number: usize = name.trim_start_matches("host-").parse().unwrap();
    number.is_multiple_of(2)
}

/// Guards against urgent gangs that are late because one member runs on a slow worker, while fast ones are
/// free.
#[test]
fn urgent_gangs_run_on_fast_workers() {
    let mut scene = uneven();
    for job in 10..14 {
        scene.submit(job, "urgent", "north", vec![gang(3, 4, seconds(2))]);
        scene.round();
        let places = scene.places(job);
        assert_eq!(places.len(), 3);
        assert!(!places.iter().any(|place| slow(place)), "{places:?}");
        scene.run(seconds(4));
    }
}

/// Guards against an urgent gang that waits for fast workers although there is room.
#[test]
fn an_urgent_gang_takes_slow_workers_rather_than_wait() {
    let mut scene = uneven();
    scene.submit(10, "urgent", "north", vec![gang(7, 8, seconds(2))]);
    scene.round();
    assert_eq!(scene.places(10).len(), 7);
}

/// Guards against patient tasks that take the fast workers, which urgent ones will need.
#[test]
fn patient_tasks_take_slow_workers_first() {
    let mut scene = uneven();
    scene.submit(10, "patient", "south", vec![step(20, 1, seconds(2))]);
    scene.run(Duration::from_millis(200));
    let places = scene.places(10);
    assert_eq!(places.len(), 20);
    assert!(places.iter().all(|place| slow(place)), "{places:?}");
}
