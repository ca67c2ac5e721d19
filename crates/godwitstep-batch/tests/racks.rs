//! Gangs that should run within one rack: when they wait for one, and when they run on several.

mod simulation;

use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::id::JobId;
use godwitstep_batch::job::Step;
use godwitstep_batch::message::{EndReason, Reachability};
use godwitstep_batch::planner::Planner;
use simulation::{COMPLETED, Simulation, gang, seconds, step};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time for which an accepted job may have nothing running beside idle workers.
const IDLE_LIMIT: Duration = seconds(3);
const GANG: u64 = 9;

fn one_rack(gang: Step) -> Step {
    Step {
        one_rack: true,
        ..gang
    }
}

/// Returns a gang of three whole workers.
fn large_gang() -> Step {
    one_rack(gang(3, 8, seconds(3)))
}

fn submit(sim: &mut Simulation, step: Step) {
    sim.submit(GANG, "normal", "north", vec![step]);
}

/// Occupies workers as a whole for a time. The runs are urgent, so that none is stopped for a gang.
fn hold(sim: &mut Simulation, workers: &[usize], time: Duration) {
    for number in workers {
        let label: Arc<str> = format!("only-{number}").into();
        sim.host(*number).worker.info.labels.push(label.clone());
        let long = Step {
            label: Some(label),
            ..step(1, 8, time)
        };
        let job = 100 + *number as JobId;
        sim.submit(job, "urgent", "south", vec![long]);
    }
    sim.run_for(seconds(1));
    let held = workers.iter().map(|number| 100 + *number as JobId);
    assert!(held.into_iter().all(|job| sim.started(job)));
}

/// Returns the number of racks on which the gang runs.
fn racks(sim: &Simulation) -> usize {
    let hosts = sim.hosts_running(GANG);
    let racks = hosts.iter().map(|host| &sim.hosts[host].worker.info.rack);
    racks.collect::<BTreeSet<_>>().len()
}

/// Guards against a gang that waits for good for the rack of a worker that was lost (review/13).
#[test]
fn a_lost_worker_is_no_room_of_its_rack() {
    let lose: [fn(&mut Simulation); 2] = [
        // Its agent runs on and lists it as it was.
        |sim| sim.host(2).worker.reachability = Reachability::LeaseExpired,
        |sim| sim.host(2).reachable = false,
    ];
    for lose in lose {
        // One rack of three workers and one of two.
        let mut sim = Simulation::new(5, 3);
        sim.round();
        lose(&mut sim);
        sim.run_for(seconds(10));
        submit(&mut sim, large_gang());
        sim.run_for(seconds(1));
        assert_eq!(racks(&sim), 2);
        sim.run_for(seconds(3));
        assert_eq!(sim.status(GANG), COMPLETED);
    }
}

/// Guards against gangs that never start as no rack has enough workers for their limit of tasks on one (review/14).
#[test]
fn the_limit_of_tasks_on_a_worker_limits_what_a_rack_can_hold() {
    let mut sim = Simulation::new(9, 3);
    let limited = |tasks| Step {
        per_worker: 1,
        ..one_rack(gang(tasks, 1, seconds(3)))
    };
    sim.submit(1, "normal", "north", vec![limited(3)]);
    for job in 2..=4 {
        sim.submit(job, "normal", "north", vec![limited(4)]);
    }
    sim.run_for(seconds(1));
    let running = |job| sim.hosts_running(job).len();
    assert_eq!([1, 2, 3, 4].map(running), [3, 4, 4, 4]);
}

/// Guards against the same with the label that the workers of a rack need.
#[test]
fn workers_without_the_label_are_no_room_of_their_rack() {
    let mut sim = Simulation::new(6, 3);
    for number in [0, 3, 4] {
        sim.host(number).worker.info.labels.push("fast".into());
    }
    let labelled = Step {
        label: Some("fast".into()),
        ..large_gang()
    };
    submit(&mut sim, labelled);
    sim.run_for(seconds(1));
    assert_eq!(racks(&sim), 2);
}

/// Guards against a gang that waits for workers that are shut down or were taken out of service.
#[test]
fn leaving_workers_are_no_room_of_their_rack() {
    let leave: [fn(&mut Simulation); 2] = [
        |sim| sim.host(2).worker.info.draining = true,
        |sim| {
            sim.domains_out.insert("domain-2".into());
        },
    ];
    for leave in leave {
        let mut sim = Simulation::new(8, 3);
        sim.round();
        leave(&mut sim);
        // The second rack also has a worker in the domain.
        sim.host(5).worker.info.draining = true;
        sim.round();
        submit(&mut sim, large_gang());
        sim.run_for(seconds(1));
        assert_eq!(sim.hosts_running(GANG).len(), 3);
    }
}

/// Guards against a gang that is slow on several racks as a worker was out of reach for a moment, and against one that waits
/// for longer than that costs it.
#[test]
fn a_worker_that_returns_soon_is_waited_for() {
    for returns in [true, false] {
        let mut sim = Simulation::new(7, 3);
        sim.run_for(seconds(1));
        // Half of the workers in reach are in use, so the gang does not wait beside an idle cluster.
        hold(&mut sim, &[3, 4, 6], seconds(3_600));
        sim.host(2).worker.reachability = Reachability::Unreachable;
        submit(&mut sim, large_gang());
        sim.run_for(seconds(4));
        assert!(!sim.started(GANG), "waits for up to twice its run time");
        if returns {
            sim.host(2).worker.reachability = Reachability::Reachable;
        }
        sim.run_for(seconds(5));
        let expected = if returns { 1 } else { 2 };
        let finished = sim.status(GANG) == COMPLETED && returns;
        assert!(finished || racks(&sim) == expected, "returns: {returns}");
    }
}

/// Guards against a gang that waits on an idle cluster for racks in each of which a run never ends.
#[test]
fn racks_that_others_hold_for_good_are_given_up_while_the_cluster_is_idle() {
    for queue in ["urgent", "normal", "patient"] {
        let mut sim = Simulation::new(9, 3);
        sim.run_for(seconds(1));
        hold(&mut sim, &[0, 3, 6], seconds(3_600));
        sim.submit(GANG, queue, "north", vec![large_gang()]);
        sim.run_for(IDLE_LIMIT);
        assert_eq!(sim.hosts_running(GANG).len(), 3, "{queue}");
    }
}

/// Guards against a gang that starves on a busy cluster although it has room on several racks, as each rack is held for
/// longer than the gang takes there.
#[test]
fn racks_that_are_held_for_longer_than_several_racks_cost_are_given_up() {
    let mut sim = Simulation::new(9, 3);
    sim.run_for(seconds(1));
    hold(&mut sim, &[0, 1, 3, 4, 6, 7], seconds(3_600));
    submit(&mut sim, large_gang());
    sim.run_for(IDLE_LIMIT);
    assert_eq!(racks(&sim), 3);
}

/// Guards against a gang that fails again and again on the worker that failed it, as the others are on several racks.
#[test]
fn a_gang_rather_runs_on_several_racks_than_on_a_worker_that_failed_it() {
    let mut sim = Simulation::new(5, 3);
    sim.run_for(seconds(1));
    submit(&mut sim, one_rack(gang(3, 8, seconds(1))));
    for _ in 0..60 {
        sim.round();
        let failing = sim.host(0).worker.running.clone();
        for run in failing {
            sim.host(0).end_run(run.task, run.run, EndReason::Failed);
        }
    }
    assert_eq!(sim.status(GANG), COMPLETED);
}

/// Guards against workers that get no tasks because a gang on several racks, as slow as it has to be there, makes them look
/// slow.
#[test]
fn a_gang_on_several_racks_does_not_make_its_workers_slow() {
    let mut sim = Simulation::new(9, 3);
    sim.run_for(seconds(1));
    let saving = Step {
        per_worker: 1,
        checkpointable: true,
        ..one_rack(gang(4, 1, seconds(10)))
    };
    submit(&mut sim, saving);
    // Each factor within its tolerance: several racks, and an estimate that is too low.
    sim.run_times.insert(GANG, seconds(10 * 3 * 3 / 2));
    sim.run_for(seconds(10));
    assert_eq!(sim.hosts_running(GANG).len(), 4);
    sim.submit(1, "normal", "south", vec![step(9, 4, seconds(10))]);
    sim.run_for(seconds(1));
    let used: BTreeSet<String> = sim.hosts_running(1).into_iter().collect();
    let beside = sim.hosts_running(GANG);
    assert!(beside.iter().any(|host| used.contains(host)), "{used:?}");
}

/// Guards against a new decider that runs gangs on several racks because not all agents have reported to it yet.
#[test]
fn a_new_decider_waits_for_the_reports_of_the_workers() {
    let mut sim = Simulation::new(6, 3);
    sim.planner = Planner::new(2 << 20, sim.now, Bounds::default());
    for number in [2, 5] {
        sim.host(number).reachable = false;
    }
    submit(&mut sim, large_gang());
    sim.run_for(seconds(1));
    assert!(!sim.started(GANG));
    for number in [2, 5] {
        sim.host(number).reachable = true;
    }
    sim.run_for(seconds(1));
    assert_eq!(racks(&sim), 1);
}
