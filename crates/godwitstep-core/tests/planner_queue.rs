//! Order, packing, reservations, failing workers and jobs, cancellations.

mod driver;

use driver::{World, s, worker, workspace};
use godwitstep_core::Reason;
use godwitstep_core::resource::{Adjacency, Job, Phase, Shape};

fn region(seed: u64) -> World {
    let mut world = World::new(seed);
    for number in 0..4 {
        let rack = format!("r{}", number / 2);
        world.add(worker(&format!("w{number}"), "a", &rack, 8));
    }
    world.declare("ws", workspace(0, &[]));
    world
}

/// Guards against urgent work that waits behind other work.
#[test]
fn urgent_work_goes_first_by_deadline() {
    let mut world = region(1);
    world.submit("running", Job::new("ws", "normal", 4, 8), s(10));
    world.run(s(1));
    let job = |kind| Job::new("ws", kind, 4, 8);
    world.submit("normal", job("normal"), s(5));
    world.submit("later", job("urgent").deadline(s(600)), s(5));
    world.submit("sooner", job("urgent").deadline(s(60)), s(5));
    assert!(world.run_until(s(120), World::all_final));
    let order: Vec<_> = world.starts.iter().map(|(_, job, _)| job.clone()).collect();
    let mut first: Vec<String> = Vec::new();
    for job in order {
        if !first.contains(&job) {
            first.push(job);
        }
    }
    assert_eq!(first, ["running", "sooner", "later", "normal"]);
}

/// Guards against small jobs that break up whole workers and racks.
#[test]
fn small_jobs_are_packed_together() {
    let mut world = region(2);
    for number in 0..8 {
        world.submit(
            &format!("j{number}"),
            Job::new("ws", "normal", 1, 2),
            s(100),
        );
    }
    world.run(s(2));
    let fragmentation = world.planner.fragmentation();
    assert_eq!(
        (fragmentation.free, fragmentation.on_whole_workers),
        (16, 16)
    );
    let domains = world.planner.summary().domains;
    assert_eq!(
        (domains[0].largest_worker, domains[0].largest_rack),
        (8, 16)
    );
}

/// Guards against large jobs that are overtaken for ever by small ones.
#[test]
fn a_large_job_is_not_starved_by_small_ones() {
    let mut world = region(3);
    for number in 0..16 {
        let run = s(20 + number);
        world.submit(&format!("old{number}"), Job::new("ws", "normal", 1, 2), run);
    }
    world.run(s(1));
    let large = Job::new("ws", "normal", 16, 1).adjacency(Adjacency::Rack);
    world.submit("large", large, s(10));
    for number in 0..200 {
        world.run(s(1));
        let spec = Job::new("ws", "patient", 1, 2);
        world.submit(&format!("new{number}"), spec, s(30));
        if world.phase("large") == Phase::Done {
            break;
        }
    }
    let start = world.jobs["large"].first_start.expect("it started");
    assert!(start < s(50), "it started at {start:?}");
}

/// Guards against accelerators that stay idle for a reservation although short jobs fit before it.
#[test]
fn short_jobs_run_in_the_shadow_of_a_reservation() {
    let mut world = region(4);
    for number in 0..3 {
        let spec = Job::new("ws", "patient", 1, 8).run(s(300));
        world.submit(&format!("old{number}"), spec, s(300));
    }
    world.run(s(1));
    let large = Job::new("ws", "normal", 4, 8);
    world.submit("large", large, s(10));
    world.run(s(1));
    // It declares 1 s, but jobs of its kind were seen to take 300 s.
    world.submit("long", Job::new("ws", "patient", 1, 4).run(s(900)), s(900));
    world.submit("short", Job::new("ws", "normal", 1, 4).run(s(20)), s(20));
    world.run(s(5));
    assert_eq!(world.phase("short"), Phase::Running);
    assert_eq!(world.phase("long"), Phase::Queued);
    assert!(matches!(
        world.planner.reason("long"),
        Some(Reason::WaitingBehind { .. })
    ));
    assert!(world.run_until(s(400), |world| world.phase("large") == Phase::Done));
    assert!(world.jobs["large"].first_start.unwrap() < s(310));
}

/// Guards against jobs in the shadow of a reservation that do not give way when it is due.
#[test]
fn preemptible_jobs_in_a_shadow_give_way() {
    let mut world = region(5);
    for number in 0..3 {
        let spec = Job::new("ws", "patient", 1, 8).run(s(60));
        world.submit(&format!("old{number}"), spec, s(60));
    }
    world.run(s(1));
    world.submit("large", Job::new("ws", "normal", 4, 8), s(10));
    world.run(s(1));
    let soft = Job::new("ws", "patient", 1, 8)
        .preemptible(true)
        .checkpointable(true);
    world.submit("soft", soft, s(900));
    world.run(s(5));
    assert_eq!(world.phase("soft"), Phase::Running);
    assert!(world.run_until(s(120), |world| world.phase("large") == Phase::Done));
    assert!(world.run_until(s(10), |world| world.phase("soft") == Phase::Running));
}

/// Guards against one bad worker that fails every job, and against blaming workers for a bad job.
#[test]
fn a_worker_that_fails_everything_is_quarantined() {
    let mut world = region(6);
    world.agents.get_mut("w0").unwrap().fails = true;
    for number in 0..40 {
        let spec = Job::new("ws", "normal", 1, 1).idempotent(true);
        world.submit(&format!("j{number}"), spec, s(2));
    }
    assert!(world.run_until(s(50), World::all_final));
    assert!(world.jobs.values().all(|entry| entry.phase == Phase::Done));
    let on_bad = world
        .starts
        .iter()
        .filter(|(_, _, worker)| worker == "w0")
        .count();
    // It takes 8 at a time, and 2 more in place of the first 2 that fail.
    assert!(on_bad <= 10, "{on_bad} jobs were started on it");
}

/// Guards against a bad job that takes every worker out.
#[test]
fn jobs_that_fail_everywhere_end_and_leave_workers_in_service() {
    let mut world = region(7);
    for number in 0..6 {
        let name = format!("bad{number}");
        let spec = Job::new("ws", "normal", 1, 8).idempotent(true);
        world.submit(&name, spec, s(2));
        world.jobs.get_mut(&name).unwrap().fails = true;
        world.run(s(10));
    }
    assert!(world.run_until(s(60), World::all_final));
    for entry in world.jobs.values() {
        assert_eq!(entry.phase, Phase::Failed);
        assert!(matches!(entry.reason, Reason::FailedEverywhere { .. }));
    }
    assert_eq!(world.planner.summary().domains[0].usable, 32);
}

/// Guards against jobs that wait for ever for a form that the region does not have.
#[test]
fn a_job_that_can_never_run_is_refused() {
    let mut world = region(8);
    world.submit("wide", Job::new("ws", "normal", 2, 16), s(2));
    world.submit("large", Job::new("ws", "normal", 33, 1), s(2));
    assert!(world.run_until(s(65), World::all_final));
    let shape = Shape::new(33, 1);
    assert_eq!(world.jobs["large"].reason, Reason::CanNeverRun { shape });
    assert_eq!(world.phase("wide"), Phase::Failed);
}

/// Guards against cancelled jobs that run on, hold accelerators or stay in the queue.
#[test]
fn cancelled_jobs_end_at_every_stage() {
    for pause in 0..60 {
        let mut world = region(pause);
        world.faults.delay = 20;
        world.submit("first", Job::new("ws", "normal", 4, 8), s(60));
        world.submit("second", Job::new("ws", "normal", 4, 8), s(60));
        world.run(driver::ms(pause * 5));
        world.cancel("first");
        world.cancel("second");
        assert!(world.run_until(s(10), World::all_final), "after {pause}");
        assert!(
            world
                .jobs
                .values()
                .all(|entry| entry.phase == Phase::Cancelled)
        );
        assert_eq!(world.planner.fragmentation().free, 32);
    }
}

/// Guards against waiting jobs without a reason.
#[test]
fn every_waiting_job_has_a_reason() {
    let mut world = region(9);
    for number in 0..20 {
        world.submit(
            &format!("j{number}"),
            Job::new("ws", "normal", 1, 8),
            s(600),
        );
    }
    world.run(s(2));
    for (name, entry) in &world.jobs {
        if entry.phase == Phase::Queued {
            let reason = world.planner.reason(name).unwrap();
            assert_eq!(*reason, entry.reason);
            assert_ne!(*reason, Reason::Accepted, "{name}");
        }
    }
}
