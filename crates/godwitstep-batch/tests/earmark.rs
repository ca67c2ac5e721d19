//! Urgent jobs that compete for the same freed capacity.

mod simulation;

use godwitstep_batch::planner::Decision;
use simulation::{Simulation, gang, seconds, step};

/// Returns a full cluster in which runs are being preempted for a gang, job 10, while one of the
/// two agents does not execute its stop orders, and a smaller urgent job, 11, has just arrived.
fn partly_preempted_cluster() -> Simulation {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "patient", "south", vec![step(16, 1, seconds(9))]);
    sim.run_for(seconds(1));
    sim.host(1).executes_orders = false;
    sim.submit(10, "urgent", "north", vec![gang(2, 8, seconds(3))]);
    sim.round();
    sim.submit(11, "urgent", "north", vec![gang(1, 8, seconds(1))]);
    sim
}

/// Guards against a gang that preempts runs again and again because a smaller urgent job that
/// arrived later takes the capacity that is already free (incident 48a2).
#[test]
fn gang_keeps_capacity_that_was_freed_for_it() {
    let mut sim = partly_preempted_cluster();
    for _ in 0..3 {
        sim.round();
    }
    assert!(!sim.started(11), "the later job took the capacity");
    sim.host(1).executes_orders = true;
    for _ in 0..3 {
        sim.round();
        sim.assert_capacity();
    }
    assert!(sim.started(10), "the gang has not started");
    let preempted_for_gang =
        |decision: &&Decision| matches!(decision, Decision::Preempted { by: 10, .. });
    let preemptions = sim.decisions.iter().filter(preempted_for_gang).count();
    assert_eq!(preemptions, 16, "each lower-priority task is stopped once");
}

/// Guards against capacity that stays empty for a gang whose remaining capacity is not freed.
#[test]
fn earmarked_capacity_is_released_after_the_stop_time() {
    let mut sim = partly_preempted_cluster();
    sim.run_for(seconds(2));
    assert!(sim.started(11), "the capacity is still empty");
}
