//! Guarantees: feasibility, reclaim from borrowers, suspension when capacity leaves.

mod driver;

use driver::{World, s, worker, workspace};
use godwitstep_core::Reason;
use godwitstep_core::guarantee;
use godwitstep_core::planner::{Event, Worker};
use godwitstep_core::resource::{Adjacency, Job, Phase, Shape};

/// Three domains with two racks of two workers with 8 accelerators each: 96 in all.
fn workers() -> Vec<Worker> {
    let mut workers = Vec::new();
    for domain in ["a", "b", "c"] {
        for number in 0..4 {
            let id = format!("{domain}{number}");
            workers.push(worker(&id, domain, &format!("r{}", number / 2), 8));
        }
    }
    workers
}

fn region(seed: u64) -> World {
    let mut world = World::new(seed);
    for worker in workers() {
        world.add(worker);
    }
    world
}

fn rack16() -> Shape {
    Shape::new(16, 1).adjacency(Adjacency::Rack)
}

fn borrower(tasks: u32) -> Job {
    Job::new("guest", "normal", tasks, 1)
        .preemptible(true)
        .checkpointable(true)
}

/// Guards against refusals without numbers, and against sets that are accepted but do not fit.
#[test]
fn a_set_that_does_not_fit_is_refused_with_numbers() {
    let workers = workers();
    let fits = workspace(0, &[(rack16(), 6)]);
    assert!(guarantee::check(&workers, [(&"a".into(), &fits)]).is_empty());
    let more = workspace(1, &[(Shape::new(2, 4), 1)]);
    let lacking = guarantee::check(&workers, [(&"a".into(), &fits), (&"b".into(), &more)]);
    assert_eq!(lacking.len(), 1);
    assert_eq!((&*lacking[0].workspace, lacking[0].needed), ("b", 8));
    assert_eq!(lacking[0].available, 0);
    // 96 accelerators are enough for 4 shapes of 24, but no rack has 24.
    let wide = workspace(0, &[(Shape::new(24, 1).adjacency(Adjacency::Rack), 4)]);
    assert_eq!(guarantee::check(&workers, [(&"a".into(), &wide)]).len(), 1);
}

/// Guards against small guarantees that break the racks that larger ones need.
#[test]
fn small_guarantees_do_not_break_up_large_ones() {
    let small = workspace(0, &[(Shape::new(1, 4), 8)]);
    let large = workspace(1, &[(rack16(), 4)]);
    let set = [(&"small".into(), &small), (&"large".into(), &large)];
    assert!(guarantee::check(&workers(), set).is_empty());
    let mut world = region(1);
    world.declare("small", small.clone());
    world.declare("large", large.clone());
    let summary = world.planner.summary();
    assert!(
        summary
            .workspaces
            .iter()
            .all(|workspace| workspace.suspended == 0)
    );
}

/// Guards against guarantees that borrowers can hold on to (R1).
#[test]
fn a_contiguous_shape_is_reclaimed_within_30_seconds() {
    let mut world = region(2);
    world.declare("owner", workspace(0, &[(rack16(), 3)]));
    world.declare("guest", workspace(1, &[]));
    for number in 0..32 {
        world.submit(&format!("guest{number}"), borrower(3), s(3_600));
    }
    world.run(s(5));
    let domains = world.planner.summary().domains;
    let borrowed: u64 = domains.iter().map(|domain| domain.borrowed).sum();
    assert!(borrowed >= 40, "{borrowed} are borrowed");
    for number in 0..3 {
        let spec = Job::new("owner", "normal", 16, 1).adjacency(Adjacency::Rack);
        world.submit(&format!("owner{number}"), spec, s(60));
    }
    let claimed = world.now;
    assert!(matches!(
        world.planner.reason("owner0"),
        Some(Reason::WaitingForPreemption { .. })
    ));
    world.run(s(30));
    for number in 0..3 {
        let entry = &world.jobs[&format!("owner{number}")];
        assert_eq!(entry.phase, Phase::Running, "owner{number}");
        assert!(entry.first_start.unwrap() <= claimed + s(30));
    }
    let waiting = world
        .jobs
        .values()
        .filter(|entry| entry.phase == Phase::Queued);
    assert!(waiting.count() >= 10, "borrowers wait again");
}

/// Guards against firm jobs on accelerators that are guaranteed to others.
#[test]
fn only_jobs_that_give_way_borrow() {
    let mut world = region(3);
    world.declare("owner", workspace(0, &[(rack16(), 5)]));
    let firm = Job::new("guest", "normal", 8, 1);
    for number in 0..4 {
        world.submit(&format!("firm{number}"), firm.clone(), s(3_600));
    }
    // It declares that it gives way, but could not be started again afterwards.
    let lost = Job::new("guest", "normal", 8, 1).preemptible(true);
    world.submit("lost", lost, s(3_600));
    world.run(s(5));
    let running = world
        .jobs
        .values()
        .filter(|entry| entry.phase == Phase::Running);
    assert_eq!(running.count(), 2, "16 accelerators are not guaranteed");
    for number in 0..5 {
        let spec = Job::new("owner", "normal", 16, 1).adjacency(Adjacency::Rack);
        world.submit(&format!("owner{number}"), spec, s(60));
    }
    world.run(s(5));
    let running = world
        .jobs
        .values()
        .filter(|entry| entry.phase == Phase::Running);
    assert_eq!(running.count(), 7);
}

/// Guards against a suspension out of order, without numbers, or that does not end.
#[test]
fn guarantees_are_suspended_by_rank_and_come_back() {
    let mut world = region(4);
    world.declare("first", workspace(0, &[(rack16(), 2)]));
    world.declare("second", workspace(1, &[(rack16(), 2)]));
    world.declare("third", workspace(1, &[(rack16(), 2)]));
    let suspended = |world: &World| -> Vec<u64> {
        let summary = world.planner.summary();
        summary
            .workspaces
            .iter()
            .map(|workspace| workspace.suspended)
            .collect()
    };
    assert_eq!(suspended(&world), [0, 0, 0]);
    world.domain("a", false);
    assert_eq!(suspended(&world), [0, 0, 32]);
    world.domain("b", false);
    assert_eq!(suspended(&world), [0, 32, 32]);
    let spec = Job::new("third", "normal", 16, 1).adjacency(Adjacency::Rack);
    world.submit("j", spec, s(10));
    world.run(s(1));
    assert_eq!(
        world.planner.reason("j"),
        Some(&Reason::GuaranteeSuspended {
            workspace: "third".into(),
            needed: 32,
            available: 0
        })
    );
    world.domain("a", true);
    world.domain("b", true);
    assert_eq!(suspended(&world), [0, 0, 0]);
    assert!(world.run_until(s(30), World::all_final));
}

/// Guards against a guarantee that is lost because its own jobs run in it when the decider changes.
#[test]
fn a_guarantee_is_found_again_by_a_new_decider() {
    let mut world = region(5);
    world.declare("owner", workspace(0, &[(rack16(), 6)]));
    for number in 0..3 {
        let spec = Job::new("owner", "normal", 16, 1).adjacency(Adjacency::Rack);
        world.submit(&format!("owner{number}"), spec, s(600));
    }
    world.run(s(5));
    world.take_over();
    world.run(s(5));
    assert_eq!(world.planner.summary().workspaces[0].suspended, 0);
    for number in 3..6 {
        let spec = Job::new("owner", "normal", 16, 1).adjacency(Adjacency::Rack);
        world.submit(&format!("owner{number}"), spec, s(600));
    }
    world.run(s(5));
    let running = world
        .jobs
        .values()
        .filter(|entry| entry.phase == Phase::Running);
    assert_eq!(running.count(), 6);
}

/// Guards against a guarantee that can't be claimed any more after one of its workers was away while the
/// others left: the room on the worker that came back stayed out of the account.
#[test]
fn a_guarantee_returns_to_a_worker_that_was_away_when_it_moved() {
    let mut world = World::new(6);
    for (id, domain) in [("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b")] {
        world.add(worker(id, domain, "r0", 8));
    }
    let shape = Shape::new(2, 8).adjacency(Adjacency::Rack);
    world.domain("b", false);
    world.declare("owner", workspace(0, &[(shape, 1)]));
    world.domain("b", true);
    world.run(s(1));
    world.cut("a0");
    let leaving = Event::WorkerLeaving { id: "a1".into() };
    world.tell(leaving);
    world.run(s(2));
    assert_eq!(world.planner.summary().workspaces[0].suspended, 0);
    world.revive("a0");
    world.revive("a1");
    world.domain("b", false);
    world.run(s(5));
    assert_eq!(world.planner.summary().workspaces[0].suspended, 0);
    let claim = Job::new("owner", "normal", 2, 8).adjacency(Adjacency::Rack);
    world.submit("claim", claim, s(60));
    world.run(s(30));
    assert_eq!(world.phase("claim"), Phase::Running);
}
