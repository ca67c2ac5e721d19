//! Placing tasks, and what agents are told, without network. Each test names the load or fault.

mod scene;

use godwitstep_batch::demand::Demand;
use godwitstep_batch::job::Step;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::progress::Outcome;
use godwitstep_batch::record::Record;
use scene::{DONE, Scene, gang, seconds, step};
use std::time::Duration;

#[test]
fn independent_tasks_and_dependent_steps_complete() {
    let mut scene = Scene::new(3, 3);
    let second = Step {
        after: vec![0],
        ..step(2, 1, seconds(1))
    };
    scene.submit(1, "normal", "north", vec![step(4, 1, seconds(1)), second]);
    scene.round();
    let listed = scene.places(1).len();
    assert_eq!(listed, 4, "the second step waits for the first");
    scene.run(seconds(3));
    assert_eq!(scene.status(1), DONE);
}

/// Guards against a start order before its record is in the log.
#[test]
fn nothing_is_ordered_that_the_ledger_does_not_show() {
    let mut scene = Scene::new(1, 1);
    scene.submit(1, "normal", "north", vec![step(1, 1, seconds(1))]);
    scene.report();
    scene.decide();
    let placed = scene.ledger.job(1).unwrap().progress.placed().count();
    let ordered: usize = scene.directives.values().map(|own| own.start.len()).sum();
    assert_eq!((placed, ordered), (1, 1));
}

/// Guards against a large gang that starves behind small jobs which take each worker as it becomes
/// free.
#[test]
fn a_gang_of_all_workers_starts_although_small_jobs_keep_coming() {
    let mut scene = Scene::new(4, 4);
    let mut next = 100;
    let mut small = |scene: &mut Scene| {
        next += 1;
        scene.submit(next, "normal", "south", vec![step(1, 8, seconds(4))]);
    };
    for _ in 0..4 {
        small(&mut scene);
        scene.run(seconds(1));
    }
    scene.submit(1, "normal", "north", vec![gang(4, 8, seconds(3))]);
    for _ in 0..12 {
        small(&mut scene);
        scene.run(seconds(1));
    }
    assert!(scene.started(1), "the gang waits after 12 s");
}

/// Guards against a gang that is spread over racks, where it is slow, though a rack can hold it.
#[test]
fn a_gang_of_one_rack_waits_for_a_rack() {
    let mut scene = Scene::new(6, 3);
    for job in 1..=4 {
        scene.submit(job, "normal", "south", vec![step(1, 8, seconds(3))]);
    }
    scene.run(seconds(1));
    let tight = Step {
        one_rack: true,
        ..gang(3, 8, seconds(9))
    };
    scene.submit(9, "normal", "north", vec![tight]);
    scene.run(seconds(4));
    let places = scene.places(9);
    assert_eq!(places.len(), 3);
    let racks: std::collections::BTreeSet<_> = places
        .iter()
        .map(|host| scene.hosts[host].worker.about.rack.clone())
        .collect();
    assert_eq!(racks.len(), 1, "{places:?}");
}

/// Guards against new work in a failure domain that is out of service, or on a worker that leaves.
#[test]
fn closed_workers_get_nothing_and_what_has_not_begun_there_is_withdrawn() {
    let mut scene = Scene::new(3, 3);
    scene.out.insert("domain-0".into());
    scene.host(1).worker.about.draining = true;
    for job in 1..=3 {
        scene.submit(job, "normal", "north", vec![step(1, 8, seconds(60))]);
    }
    scene.run(seconds(1));
    let placed: Vec<String> = (1..=3).flat_map(|job| scene.places(job)).collect();
    assert_eq!(placed, ["host-02"]);
    scene.host(2).obeys = false;
    scene.host(2).worker.running.clear();
    scene.out.insert("domain-2".into());
    scene.report();
    scene.decide();
    let directive = &scene.directives["host-02"];
    assert!(directive.start.is_empty());
    assert_eq!(directive.stop.len(), 1);
}

/// Guards against starts by a decider that no longer knows which failure domains are in service.
#[test]
fn nothing_starts_on_an_old_view_of_the_operators_orders() {
    let mut scene = Scene::new(1, 1);
    scene.submit(1, "normal", "north", vec![step(1, 1, seconds(1))]);
    scene.orders_age = seconds(3);
    scene.run(seconds(1));
    assert!(!scene.started(1));
    scene.orders_age = Duration::ZERO;
    scene.run(seconds(2));
    assert_eq!(scene.status(1), DONE);
}

/// Guards against tasks of a cancelled job that go on or begin.
#[test]
fn a_wave_of_cancellations_stops_everything_of_those_jobs() {
    let mut scene = Scene::new(3, 3);
    for job in 1..=20 {
        scene.submit(job, "normal", "north", vec![step(2, 2, seconds(30))]);
    }
    scene.run(seconds(1));
    for job in 1..=20 {
        scene.write(Record::Cancelled { job });
    }
    scene.run(seconds(1));
    for job in 1..=20 {
        assert_eq!(scene.status(job), Some(Status::Ended(Outcome::Cancelled)));
        assert!(scene.places(job).is_empty());
    }
}

/// Guards against a label, a limit per worker or the place of data that is ignored.
#[test]
fn constraints_of_a_step_hold() {
    let mut scene = Scene::new(4, 2);
    scene.host(3).worker.about.labels.push("b".into());
    let labelled = Step {
        label: Some("b".into()),
        ..step(1, 1, seconds(30))
    };
    let apart = Step {
        per_worker: 1,
        ..step(4, 1, seconds(30))
    };
    let near = Step {
        data_rack: Some("rack-1".into()),
        ..step(1, 1, seconds(30))
    };
    scene.submit(1, "normal", "north", vec![labelled]);
    scene.submit(2, "normal", "north", vec![apart]);
    scene.submit(3, "normal", "north", vec![near]);
    scene.run(seconds(1));
    assert_eq!(scene.places(1), ["host-03"]);
    assert_eq!(
        scene.places(2),
        ["host-00", "host-01", "host-02", "host-03"]
    );
    let near = scene.places(3);
    assert!(near == ["host-02"] || near == ["host-03"], "{near:?}");
}

/// Guards against a job that fits no worker and stops the others or the planner.
#[test]
fn a_task_that_fits_no_worker_waits_and_holds_nobody_up() {
    let mut scene = Scene::new(2, 2);
    let huge = Step {
        demand: Demand {
            cpu: 1_000_000,
            ..Demand::default()
        },
        ..step(1, 0, seconds(1))
    };
    scene.submit(1, "normal", "north", vec![huge]);
    scene.submit(2, "normal", "north", vec![step(1, 1, seconds(1))]);
    scene.run(seconds(3));
    assert_eq!(scene.status(1), Some(Status::Queued));
    assert_eq!(scene.status(2), DONE);
}

/// Guards against jobs that have become worthless and hold up those that have not.
#[test]
fn hopeless_jobs_come_last() {
    let mut scene = Scene::new(1, 1);
    scene.submit(1, "normal", "south", vec![step(1, 8, seconds(30))]);
    scene.run(seconds(1));
    scene.submit(
        2,
        "urgent",
        "north",
        vec![step(3, 8, Duration::from_millis(200))],
    );
    scene.policy.workspaces.clear();
    scene.run(seconds(28));
    scene.submit(3, "normal", "north", vec![step(1, 8, seconds(2))]);
    scene.run(seconds(4));
    assert!(scene.started(3));
}
