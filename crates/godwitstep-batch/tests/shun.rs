//! Jobs that meet a worker that fails everything.

mod scene;

use godwitstep_batch::ledger::Status;
use godwitstep_batch::message::How;
use godwitstep_batch::progress::Outcome;
use scene::{DONE, Scene, gang, seconds, step};

/// Returns the number of a host.
fn number(host: &str) -> usize {
    host.trim_start_matches("host-")
        .parse()
        .expect("a number after the name")
}

/// Lets some hosts fail all that they run, for a number of rounds.
fn fail_on(scene: &mut Scene, hosts: &[usize], rounds: usize) {
    for _ in 0..rounds {
        scene.round();
        for &number in hosts {
            let rows = scene.host(number).worker.running.clone();
            for row in rows {
                scene.host(number).end(row.task, row.run, How::Failed);
            }
        }
    }
}

/// Guards against a gang that is started again on the worker that failed it until its attempts are used up,
/// while others are free (klokwerk-hosted, trouble-1).
#[test]
fn a_gang_does_not_go_back_to_the_worker_that_failed_it() {
    let mut scene = Scene::new(6, 3);
    scene.submit(1, "urgent", "north", vec![gang(4, 2, seconds(1))]);
    scene.round();
    let number = number(&scene.places(1)[0]);
    fail_on(&mut scene, &[number], 20);
    assert_eq!(scene.status(1), DONE);
}

/// Guards against the same with independent tasks, which fill the worker that is empty again at once.
#[test]
fn tasks_do_not_go_back_to_the_worker_that_failed_them() {
    let mut scene = Scene::new(3, 3);
    scene.submit(1, "normal", "north", vec![step(9, 1, seconds(1))]);
    fail_on(&mut scene, &[0], 30);
    assert_eq!(scene.status(1), DONE);
}

/// Guards against a job that waits for good because all workers that could run it have failed it.
#[test]
fn a_job_that_failed_everywhere_uses_its_attempts_up() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![gang(2, 4, seconds(1))]);
    fail_on(&mut scene, &[0, 1], 60);
    assert_eq!(scene.status(1), Some(Status::Ended(Outcome::Failed)));
}

/// Guards against jobs that go first to a worker that has just failed another one.
#[test]
fn a_worker_that_failed_a_job_comes_after_the_others() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 1, seconds(9))]);
    scene.round();
    let failing = scene.places(1)[0].clone();
    fail_on(&mut scene, &[number(&failing)], 2);
    scene.submit(2, "normal", "north", vec![step(1, 1, seconds(9))]);
    scene.submit(3, "urgent", "north", vec![gang(2, 1, seconds(9))]);
    scene.round();
    assert!(!scene.places(2).contains(&failing));
    assert!(!scene.places(3).contains(&failing));
}
