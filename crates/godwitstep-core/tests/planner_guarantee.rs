//! Tests of guarantees: feasibility, reclaim from borrowers, and suspension when capacity is lost.

mod planner_simulation;

use godwitstep_core::Reason;
use godwitstep_core::guarantee;
use godwitstep_core::planner::{Event, Worker};
use godwitstep_core::resource::{Adjacency, Job, Phase, Shape};
use planner_simulation::{Simulation, s, worker, workspace};

/// Three domains with two racks of two workers with 8 accelerators each, 96 in total.
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

fn region(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    for worker in workers() {
        simulation.add_worker(worker);
    }
    simulation
}

fn rack16() -> Shape {
    Shape::new(16, 1).adjacency(Adjacency::Rack)
}

fn borrower(tasks: u32) -> Job {
    Job::new("guest", "normal", tasks, 1)
        .preemptible(true)
        .checkpointable(true)
}

/// Guards against infeasible sets of guarantees that are accepted, and against refusals without
/// accelerator counts.
#[test]
fn an_infeasible_set_of_guarantees_is_refused_with_counts() {
    let workers = workers();
    let fits = workspace(0, &[(rack16(), 6)]);
    assert!(guarantee::find_shortfalls(&workers, [(&"a".into(), &fits)]).is_empty());
    let excess = workspace(1, &[(Shape::new(2, 4), 1)]);
    let shortfalls =
        guarantee::find_shortfalls(&workers, [(&"a".into(), &fits), (&"b".into(), &excess)]);
    assert_eq!(shortfalls.len(), 1);
    assert_eq!((&*shortfalls[0].workspace, shortfalls[0].needed), ("b", 8));
    assert_eq!(shortfalls[0].available, 0);
    // The 96 accelerators would be enough for 4 shapes of 24, but no rack has 24.
    let too_wide = workspace(0, &[(Shape::new(24, 1).adjacency(Adjacency::Rack), 4)]);
    assert_eq!(
        guarantee::find_shortfalls(&workers, [(&"a".into(), &too_wide)]).len(),
        1
    );
}

/// Guards against small guarantees that fragment the racks that larger ones need.
#[test]
fn small_guarantees_do_not_fragment_large_ones() {
    let small = workspace(0, &[(Shape::new(1, 4), 8)]);
    let large = workspace(1, &[(rack16(), 4)]);
    let set = [(&"small".into(), &small), (&"large".into(), &large)];
    assert!(guarantee::find_shortfalls(&workers(), set).is_empty());
    let mut simulation = region(1);
    simulation.declare_workspace("small", small.clone());
    simulation.declare_workspace("large", large.clone());
    let summary = simulation.planner.summary();
    assert!(
        summary
            .workspaces
            .iter()
            .all(|workspace| workspace.suspended == 0)
    );
}

/// Guards against guarantees that can't be reclaimed from borrowers in time (R1).
#[test]
fn a_rack_shape_is_reclaimed_within_30_seconds() {
    let mut simulation = region(2);
    simulation.declare_workspace("owner", workspace(0, &[(rack16(), 3)]));
    simulation.declare_workspace("guest", workspace(1, &[]));
    for number in 0..32 {
        simulation.submit(&format!("guest{number}"), borrower(3), s(3_600));
    }
    simulation.run_for(s(5));
    let domains = simulation.planner.summary().domains;
    let borrowed: u64 = domains.iter().map(|domain| domain.borrowed).sum();
    assert!(borrowed >= 40, "{borrowed} accelerators are borrowed");
    for number in 0..3 {
        let spec = Job::new("owner", "normal", 16, 1).adjacency(Adjacency::Rack);
        simulation.submit(&format!("owner{number}"), spec, s(60));
    }
    let claimed_at = simulation.now;
    assert!(matches!(
        simulation.planner.reason("owner0"),
        Some(Reason::WaitingForPreemption { .. })
    ));
    simulation.run_for(s(30));
    for number in 0..3 {
        let state = &simulation.jobs[&format!("owner{number}")];
        assert_eq!(state.phase, Phase::Running, "owner{number}");
        assert!(state.first_start.unwrap() <= claimed_at + s(30));
    }
    let queued = simulation
        .jobs
        .values()
        .filter(|state| state.phase == Phase::Queued);
    assert!(queued.count() >= 10, "preempted borrowers are queued again");
}

/// Guards against jobs that can't be preempted and run on accelerators guaranteed to others.
#[test]
fn only_preemptible_jobs_borrow() {
    let mut simulation = region(3);
    simulation.declare_workspace("owner", workspace(0, &[(rack16(), 5)]));
    let not_preemptible = Job::new("guest", "normal", 8, 1);
    for number in 0..4 {
        simulation.submit(&format!("fixed{number}"), not_preemptible.clone(), s(3_600));
    }
    // Declared preemptible, but neither idempotent nor checkpointable, so it can't be restarted.
    let not_restartable = Job::new("guest", "normal", 8, 1).preemptible(true);
    simulation.submit("not_restartable", not_restartable, s(3_600));
    simulation.run_for(s(5));
    let running = simulation
        .jobs
        .values()
        .filter(|state| state.phase == Phase::Running);
    assert_eq!(running.count(), 2, "16 accelerators are not guaranteed");
    for number in 0..5 {
        let spec = Job::new("owner", "normal", 16, 1).adjacency(Adjacency::Rack);
        simulation.submit(&format!("owner{number}"), spec, s(60));
    }
    simulation.run_for(s(5));
    let running = simulation
        .jobs
        .values()
        .filter(|state| state.phase == Phase::Running);
    assert_eq!(running.count(), 7);
}

/// Guards against suspensions of guarantees that ignore the rank, report no counts or never end.
#[test]
fn guarantees_are_suspended_by_rank_and_restored() {
    let mut simulation = region(4);
    simulation.declare_workspace("first", workspace(0, &[(rack16(), 2)]));
    simulation.declare_workspace("second", workspace(1, &[(rack16(), 2)]));
    simulation.declare_workspace("third", workspace(1, &[(rack16(), 2)]));
    let suspended = |simulation: &Simulation| -> Vec<u64> {
        let summary = simulation.planner.summary();
        summary
            .workspaces
            .iter()
            .map(|workspace| workspace.suspended)
            .collect()
    };
    assert_eq!(suspended(&simulation), [0, 0, 0]);
    simulation.set_in_service("a", false);
    assert_eq!(suspended(&simulation), [0, 0, 32]);
    simulation.set_in_service("b", false);
    assert_eq!(suspended(&simulation), [0, 32, 32]);
    let spec = Job::new("third", "normal", 16, 1).adjacency(Adjacency::Rack);
    simulation.submit("j", spec, s(10));
    simulation.run_for(s(1));
    assert_eq!(
        simulation.planner.reason("j"),
        Some(&Reason::GuaranteeSuspended {
            workspace: "third".into(),
            needed: 32,
            available: 0
        })
    );
    simulation.set_in_service("a", true);
    simulation.set_in_service("b", true);
    assert_eq!(suspended(&simulation), [0, 0, 0]);
    assert!(simulation.run_until(s(30), Simulation::all_final));
}

/// Guards against a guarantee that is lost on a change of decider because its owner's jobs already
/// run on the assigned workers.
#[test]
fn a_new_decider_restores_a_guarantee() {
    let mut simulation = region(5);
    simulation.declare_workspace("owner", workspace(0, &[(rack16(), 6)]));
    for number in 0..3 {
        let spec = Job::new("owner", "normal", 16, 1).adjacency(Adjacency::Rack);
        simulation.submit(&format!("owner{number}"), spec, s(600));
    }
    simulation.run_for(s(5));
    simulation.replace_decider();
    simulation.run_for(s(5));
    assert_eq!(simulation.planner.summary().workspaces[0].suspended, 0);
    for number in 3..6 {
        let spec = Job::new("owner", "normal", 16, 1).adjacency(Adjacency::Rack);
        simulation.submit(&format!("owner{number}"), spec, s(600));
    }
    simulation.run_for(s(5));
    let running = simulation
        .jobs
        .values()
        .filter(|state| state.phase == Phase::Running);
    assert_eq!(running.count(), 6);
}

/// Guards against a guarantee that can no longer be claimed after one of its workers was
/// disconnected while the others left: the accounting missed the capacity of the worker that
/// returned.
#[test]
fn a_guarantee_returns_to_a_worker_that_was_disconnected_when_it_moved() {
    let mut simulation = Simulation::new(6);
    for (id, domain) in [("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b")] {
        simulation.add_worker(worker(id, domain, "r0", 8));
    }
    let shape = Shape::new(2, 8).adjacency(Adjacency::Rack);
    simulation.set_in_service("b", false);
    simulation.declare_workspace("owner", workspace(0, &[(shape, 1)]));
    simulation.set_in_service("b", true);
    simulation.run_for(s(1));
    simulation.disconnect("a0");
    let leaving = Event::WorkerLeaving { id: "a1".into() };
    simulation.handle_event(leaving);
    simulation.run_for(s(2));
    assert_eq!(simulation.planner.summary().workspaces[0].suspended, 0);
    simulation.restore_worker("a0");
    simulation.restore_worker("a1");
    simulation.set_in_service("b", false);
    simulation.run_for(s(5));
    assert_eq!(simulation.planner.summary().workspaces[0].suspended, 0);
    let claim = Job::new("owner", "normal", 2, 8).adjacency(Adjacency::Rack);
    simulation.submit("claim", claim, s(60));
    simulation.run_for(s(30));
    assert_eq!(simulation.phase("claim"), Phase::Running);
}
