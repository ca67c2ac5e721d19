//! Claims on a guarantee while jobs of equal priority use the capacity.

mod simulation;

use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::JobId;
use godwitstep_batch::job::Step;
use godwitstep_batch::message::EndReason;
use godwitstep_batch::planner::{Decision, Planner, PreemptionReason};
use godwitstep_batch::policy::Workspace;
use simulation::{ROUND_INTERVAL, Simulation, gang, seconds, step};
use std::time::Duration;

/// Number of workers in the day on which a claim was first seen to wait.
const WORKERS: usize = 11;
/// Time that a stop and a start take at real workers and not in the simulation, where both take one round each.
const STOP_AND_START: Duration = Duration::from_millis(1_100);

fn reclaimed_from(sim: &Simulation) -> Vec<JobId> {
    let reclaimed = |decision: &Decision| match decision {
        Decision::Preempted {
            task,
            reason: PreemptionReason::Guarantee,
            ..
        } => Some(task.job),
        _ => None,
    };
    sim.decisions.iter().filter_map(reclaimed).collect()
}

/// Returns a cluster on which one workspace uses everything, far beyond its guarantee.
fn borrowed_cluster(steps: Vec<Step>) -> Simulation {
    let mut sim = Simulation::new(WORKERS, 4);
    sim.submit(1, "urgent", "south", steps);
    sim.run_for(seconds(2));
    sim
}

fn run_until_bound(sim: &mut Simulation) {
    sim.run_for(Bounds::default().guaranteed_start_time);
    sim.assert_capacity();
}

/// Guards against a claim that waits until a task of another workspace ends by itself (pcmww-godwit quiet-1, 4.15 s).
#[test]
fn claim_starts_although_equals_use_all_workers() {
    let mut sim = borrowed_cluster(vec![step(11, 8, seconds(30))]);
    sim.submit(9, "urgent", "north", vec![step(1, 8, seconds(9))]);
    run_until_bound(&mut sim);
    assert_eq!(sim.hosts_running(9).len(), 1);
    assert_eq!(reclaimed_from(&sim), [1], "one run is enough");
}

/// Guards against a claim that needs several workers at once and gets only some of them.
#[test]
fn gang_claims_its_whole_guarantee() {
    let mut sim = borrowed_cluster(vec![step(88, 1, seconds(30))]);
    sim.submit(9, "urgent", "north", vec![gang(2, 8, seconds(9))]);
    run_until_bound(&mut sim);
    assert_eq!(sim.hosts_running(9).len(), 2);
    assert_eq!(reclaimed_from(&sim).len(), 16);
}

/// Guards against a guarantee that is broken to keep another one.
#[test]
fn only_the_part_beyond_the_guarantee_is_stopped() {
    let mut sim = Simulation::new(3, 3);
    sim.submit(1, "urgent", "south", vec![step(3, 8, seconds(30))]);
    sim.run_for(seconds(1));
    sim.submit(9, "urgent", "north", vec![step(2, 8, seconds(20))]);
    sim.run_for(seconds(4));
    assert_eq!(reclaimed_from(&sim).len(), 1);
    assert_eq!(sim.hosts_running(1).len(), 2, "the guarantee of the other");
    assert_eq!(sim.hosts_running(9).len(), 1);
}

/// Guards against a gang that is taken for its member on one worker: it ends as a whole.
#[test]
fn gang_that_is_partly_within_the_guarantee_is_not_stopped() {
    let mut sim = Simulation::new(3, 3);
    sim.submit(1, "urgent", "south", vec![gang(3, 8, seconds(30))]);
    sim.run_for(seconds(1));
    sim.submit(9, "urgent", "north", vec![step(1, 8, seconds(20))]);
    sim.run_for(seconds(4));
    assert!(reclaimed_from(&sim).is_empty());
    assert_eq!(sim.hosts_running(1).len(), 3);
}

/// Guards against members that keep their workers occupied after their gang was stopped, and against stops of further runs
/// where the other members of a stopped gang free enough.
#[test]
fn gangs_are_stopped_as_a_whole() {
    let mut sim = Simulation::new(6, 3);
    sim.submit(1, "urgent", "south", vec![gang(2, 8, seconds(30))]);
    sim.submit(2, "urgent", "south", vec![gang(2, 8, seconds(30))]);
    sim.submit(3, "urgent", "south", vec![gang(2, 8, seconds(30))]);
    sim.run_for(seconds(2));
    sim.submit(9, "urgent", "north", vec![step(2, 8, seconds(20))]);
    run_until_bound(&mut sim);
    assert_eq!(sim.hosts_running(9).len(), 2);
    let stopped = reclaimed_from(&sim);
    assert_eq!(stopped.len(), 2);
    assert_eq!(stopped[0], stopped[1], "the members of one gang");
}

/// Guards against runs that two workspaces stop in turn.
#[test]
fn stopped_job_does_not_stop_the_claim_in_turn() {
    let mut sim = borrowed_cluster(vec![step(11, 8, seconds(15))]);
    sim.submit(9, "urgent", "north", vec![step(2, 8, seconds(60))]);
    sim.run_for(seconds(12));
    assert_eq!(sim.hosts_running(9).len(), 2);
    assert_eq!(reclaimed_from(&sim), [1, 1]);
}

/// Guards against equals that are stopped while stopping lower priorities is enough.
#[test]
fn lower_priorities_are_stopped_first() {
    let mut sim = Simulation::new(4, 4);
    sim.submit(1, "urgent", "south", vec![step(3, 8, seconds(30))]);
    sim.submit(2, "patient", "south", vec![step(1, 8, seconds(30))]);
    sim.run_for(seconds(1));
    sim.submit(9, "urgent", "north", vec![step(1, 8, seconds(9))]);
    run_until_bound(&mut sim);
    assert_eq!(sim.hosts_running(9).len(), 1);
    assert!(reclaimed_from(&sim).is_empty());
}

/// Guards against a decision that is made too late: a long job could wait, but its guarantee does not.
#[test]
fn long_claim_does_not_wait_for_a_run_that_ends_after_its_bound() {
    let mut sim = Simulation::new(WORKERS, 4);
    // The runs look as if they ended within the bound.
    sim.run_times.insert(1, seconds(40));
    let estimate = Duration::from_millis(2_100);
    sim.submit(1, "urgent", "south", vec![step(11, 8, estimate)]);
    sim.run_for(seconds(2));
    sim.submit(9, "urgent", "north", vec![step(1, 8, seconds(60))]);
    let bound = Bounds::default().guaranteed_start_time;
    sim.run_for(bound.saturating_sub(STOP_AND_START));
    assert_eq!(sim.hosts_running(9).len(), 1);
}

/// Guards against a gang beyond any guarantee that takes the capacity which a claim has taken back, because runs are being
/// stopped for the gang too and one of them does not end.
#[test]
fn reclaimed_capacity_stays_with_the_claim() {
    let mut sim = Simulation::new(5, 5);
    sim.submit(2, "patient", "south", vec![step(2, 8, seconds(30))]);
    sim.round();
    sim.submit(1, "urgent", "south", vec![step(3, 8, seconds(30))]);
    sim.run_for(seconds(1));
    let hung = sim.hosts_running(2)[0].clone();
    sim.hosts.get_mut(&hung).unwrap().executes_orders = false;
    sim.submit(5, "urgent", "west", vec![gang(2, 8, seconds(9))]);
    sim.round();
    sim.submit(9, "urgent", "north", vec![step(1, 8, seconds(9))]);
    sim.run_for(Duration::from_millis(500));
    assert_eq!(sim.hosts_running(9).len(), 1);
    assert!(sim.hosts_running(5).is_empty());
    assert_eq!(reclaimed_from(&sim), [1]);
}

/// Guards against a successor that lacks what the former decider knew about use and running times.
#[test]
fn new_decider_reclaims_by_the_ledger() {
    let mut sim = borrowed_cluster(vec![step(11, 8, seconds(30))]);
    sim.submit(9, "urgent", "north", vec![step(1, 8, seconds(9))]);
    let epoch = sim.planner.epoch() + (1 << 20);
    sim.planner = Planner::new(epoch, sim.now, Bounds::default());
    run_until_bound(&mut sim);
    assert_eq!(sim.hosts_running(9).len(), 1);
    assert!(sim.hosts_running(1).len() >= 10);
}

/// Guards against jobs that need no accelerators and so are within any guarantee, also one of nothing.
#[test]
fn jobs_without_accelerators_reclaim_nothing() {
    let mut sim = borrowed_cluster(vec![step(88, 1, seconds(30))]);
    sim.policy.workspaces.push(Workspace {
        name: "west".into(),
        ..Workspace::default()
    });
    let demand = Demand {
        cpu: 64_000,
        memory: 1_000,
        accelerators: 0,
    };
    let large = Step {
        demand,
        ..step(1, 0, seconds(9))
    };
    sim.submit(9, "urgent", "west", vec![large]);
    sim.run_for(seconds(4));
    assert!(reclaimed_from(&sim).is_empty());
}

/// Guards against a claim that waits for a stopped run on a worker that hangs, while others could be stopped.
#[test]
fn claim_takes_another_run_if_the_stopped_one_does_not_end() {
    let mut sim = borrowed_cluster(vec![step(11, 8, seconds(30))]);
    sim.submit(9, "urgent", "north", vec![step(1, 8, seconds(2))]);
    sim.deliver_reports();
    sim.decide();
    let stops = |sim: &Simulation, host: &str| !sim.directives[host].stop.is_empty();
    let hung = sim.hosts.keys().find(|host| stops(&sim, host));
    let hung = hung.expect("a run is stopped at once").clone();
    sim.hosts.get_mut(&hung).unwrap().executes_orders = false;
    run_until_bound(&mut sim);
    assert_eq!(sim.hosts_running(9).len(), 1);
    assert_eq!(reclaimed_from(&sim).len(), 2);
}

/// Guards against parallel steps that use more than a guarantee and do not count as borrowed.
#[test]
fn parallel_steps_return_what_they_use_beyond_the_guarantee() {
    let mut sim = Simulation::new(4, 4);
    let part = step(2, 8, seconds(30));
    sim.submit(1, "urgent", "south", vec![part.clone(), part]);
    sim.run_for(seconds(2));
    assert_eq!(sim.hosts_running(1).len(), 4);
    sim.submit(9, "urgent", "north", vec![step(2, 8, seconds(40))]);
    run_until_bound(&mut sim);
    assert_eq!(sim.hosts_running(9).len(), 2);
    sim.run_for(seconds(10));
    assert_eq!(reclaimed_from(&sim), [1, 1], "neither takes more");
}

/// Guards against a claim whose parallel steps take back more than its guarantee.
#[test]
fn parallel_steps_claim_no_more_than_the_guarantee() {
    let mut sim = Simulation::new(6, 3);
    sim.submit(1, "urgent", "south", vec![step(6, 8, seconds(30))]);
    sim.run_for(seconds(2));
    let part = step(1, 8, seconds(20));
    sim.submit(9, "urgent", "north", vec![part; 6]);
    run_until_bound(&mut sim);
    assert_eq!(sim.hosts_running(9).len(), 2);
    assert_eq!(reclaimed_from(&sim), [1, 1]);
}

/// Guards against a claim that waits on after a failed search although a run has ended meanwhile.
#[test]
fn blocked_claim_is_searched_for_again_when_a_run_ends() {
    let mut sim = Simulation::new(6, 6);
    sim.policy.workspaces.push(Workspace {
        name: "east".into(),
        guaranteed: 8,
        ..Workspace::default()
    });
    sim.submit(1, "urgent", "south", vec![gang(4, 8, seconds(60))]);
    sim.submit(2, "urgent", "south", vec![step(1, 8, seconds(60))]);
    sim.submit(3, "urgent", "east", vec![step(1, 8, seconds(60))]);
    // Between two searches that are due anyway.
    sim.run_times.insert(3, Duration::from_millis(5_200));
    sim.run_for(seconds(2));
    sim.submit(9, "urgent", "north", vec![gang(2, 8, seconds(60))]);
    while !sim.hosts_running(3).is_empty() {
        sim.round();
        assert!(reclaimed_from(&sim).is_empty(), "one worker is too few");
    }
    sim.run_for(ROUND_INTERVAL);
    assert_eq!(reclaimed_from(&sim), [2]);
    sim.run_for(ROUND_INTERVAL * 3);
    assert_eq!(sim.hosts_running(9).len(), 2);
}

/// Guards against a successor that stops another run while one that the former decider has stopped is ending.
#[test]
fn new_decider_waits_for_stops_that_were_ordered_before() {
    let mut sim = Simulation::new(3, 3);
    sim.submit(1, "urgent", "south", vec![step(2, 8, seconds(60))]);
    sim.run_for(seconds(5));
    sim.submit(2, "urgent", "south", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(1));
    sim.submit(9, "urgent", "north", vec![step(1, 8, seconds(60))]);
    sim.host(2).executes_orders = false;
    sim.run_for(ROUND_INTERVAL);
    assert_eq!(reclaimed_from(&sim), [2], "loses least");
    let epoch = sim.planner.epoch() + (1 << 20);
    sim.planner = Planner::new(epoch, sim.now, Bounds::default());
    sim.run_for(Bounds::default().max_stop_time);
    let host = sim.host(2);
    let run = host.worker.running[0].clone();
    host.end_run(run.task, run.run, EndReason::Stopped);
    host.executes_orders = true;
    sim.run_for(seconds(3));
    assert_eq!(sim.hosts_running(9).len(), 1);
    assert_eq!(reclaimed_from(&sim), [2]);
    assert_eq!(sim.hosts_running(1).len(), 2, "the guarantee of the other");
}

/// Guards against stops that use up what a workspace can return for a part of a claim, while others suffice for all of it.
#[test]
fn all_tasks_of_a_claim_come_before_the_least_loss() {
    let mut sim = Simulation::new(4, 4);
    sim.host(3).worker.info.labels.clear();
    let labelled = |base: Step| Step {
        label: Some("a".into()),
        ..base
    };
    let long = labelled(step(2, 8, seconds(60)));
    sim.submit(1, "urgent", "south", vec![long]);
    sim.run_for(seconds(10));
    // Its stop loses least, but takes back 16 accelerators for one worker with the label.
    sim.submit(2, "urgent", "south", vec![gang(2, 8, seconds(60))]);
    sim.run_for(seconds(1));
    sim.submit(9, "urgent", "north", vec![labelled(step(2, 8, seconds(9)))]);
    run_until_bound(&mut sim);
    assert_eq!(sim.hosts_running(9).len(), 2);
    assert_eq!(reclaimed_from(&sim), [1, 1]);
}
