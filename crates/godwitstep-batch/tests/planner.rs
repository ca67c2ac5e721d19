//! Placement of tasks and orders to agents, in a simulation without network.

mod simulation;

use godwitstep_batch::bounds::{Bounds, MAX_START_JOBS_AGE};
use godwitstep_batch::demand::Demand;
use godwitstep_batch::job::Step;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::message::EndReason;
use godwitstep_batch::progress::Outcome;
use godwitstep_batch::record::Record;
use simulation::{COMPLETED, Simulation, gang, seconds, step};
use std::time::Duration;

/// Guards against a step that starts before the step on which it depends is done, or never.
#[test]
fn independent_tasks_and_dependent_steps_complete() {
    let mut sim = Simulation::new(3, 3);
    let second = Step {
        depends_on: vec![0],
        ..step(2, 1, seconds(1))
    };
    sim.submit(1, "normal", "north", vec![step(4, 1, seconds(1)), second]);
    sim.round();
    let running = sim.hosts_running(1).len();
    assert_eq!(running, 4, "the second step must wait for the first");
    sim.run_for(seconds(3));
    assert_eq!(sim.status(1), COMPLETED);
}

/// Guards against a start order that is sent before its record is in the log.
#[test]
fn orders_follow_only_from_the_ledger() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(1, "normal", "north", vec![step(1, 1, seconds(1))]);
    sim.deliver_reports();
    sim.decide();
    let placed = sim.ledger.job(1).unwrap().progress.placed().count();
    let ordered: usize = sim
        .directives
        .values()
        .map(|directive| directive.start.len())
        .sum();
    assert_eq!((placed, ordered), (1, 1));
}

/// Guards against a large gang that starves behind small jobs, which take each worker as it becomes
/// free.
#[test]
fn large_gang_starts_while_small_jobs_keep_arriving() {
    let mut sim = Simulation::new(4, 4);
    let mut next = 100;
    let mut submit_small = |sim: &mut Simulation| {
        next += 1;
        sim.submit(next, "normal", "south", vec![step(1, 8, seconds(4))]);
    };
    for _ in 0..4 {
        submit_small(&mut sim);
        sim.run_for(seconds(1));
    }
    sim.submit(1, "normal", "north", vec![gang(4, 8, seconds(3))]);
    for _ in 0..12 {
        submit_small(&mut sim);
        sim.run_for(seconds(1));
    }
    assert!(sim.started(1), "the gang has not started after 12 s");
}

/// Guards against a gang that is spread over several racks, where it is slow, although one rack can
/// hold it.
#[test]
fn one_rack_gang_waits_for_a_rack() {
    let mut sim = Simulation::new(6, 3);
    for job in 1..=4 {
        sim.submit(job, "normal", "south", vec![step(1, 8, seconds(3))]);
    }
    sim.run_for(seconds(1));
    let in_one_rack = Step {
        one_rack: true,
        ..gang(3, 8, seconds(9))
    };
    sim.submit(9, "normal", "north", vec![in_one_rack]);
    sim.run_for(seconds(4));
    let hosts = sim.hosts_running(9);
    assert_eq!(hosts.len(), 3);
    let racks: std::collections::BTreeSet<_> = hosts
        .iter()
        .map(|host| sim.hosts[host].worker.info.rack.clone())
        .collect();
    assert_eq!(racks.len(), 1, "{hosts:?}");
}

/// Guards against new work in a failure domain that is out of service or on a draining worker.
#[test]
fn unavailable_workers_get_no_tasks_and_unstarted_runs_are_stopped() {
    let mut sim = Simulation::new(3, 3);
    sim.domains_out.insert("domain-0".into());
    sim.host(1).worker.info.draining = true;
    for job in 1..=3 {
        sim.submit(job, "normal", "north", vec![step(1, 8, seconds(60))]);
    }
    sim.run_for(seconds(1));
    let placed: Vec<String> = (1..=3).flat_map(|job| sim.hosts_running(job)).collect();
    assert_eq!(placed, ["host-02"]);
    sim.host(2).executes_orders = false;
    sim.host(2).worker.running.clear();
    sim.domains_out.insert("domain-2".into());
    sim.deliver_reports();
    sim.decide();
    let directive = &sim.directives["host-02"];
    assert!(directive.start.is_empty());
    assert_eq!(directive.stop.len(), 1);
}

/// Guards against starts by a decider whose information on failure domains out of service is outdated.
#[test]
fn nothing_starts_on_an_outdated_operator_view() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(1, "normal", "north", vec![step(1, 1, seconds(1))]);
    sim.view_age = seconds(3);
    sim.run_for(seconds(1));
    assert!(!sim.started(1));
    sim.view_age = Duration::ZERO;
    sim.run_for(seconds(2));
    assert_eq!(sim.status(1), COMPLETED);
}

/// Guards against starts by a decider that may not have read a cancellation yet.
#[test]
fn nothing_starts_on_an_outdated_view_of_the_jobs() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(1, "normal", "north", vec![step(1, 1, seconds(1))]);
    sim.submit(2, "normal", "north", vec![step(1, 1, seconds(30))]);
    sim.round();
    assert_eq!(sim.hosts_running(2).len(), 1);
    sim.submit(3, "normal", "north", vec![step(1, 1, seconds(1))]);
    sim.deliver_reports();
    sim.decide();
    assert!(
        sim.started(3),
        "placed, but its start order is not executed yet"
    );

    sim.jobs_age = MAX_START_JOBS_AGE;
    sim.submit(4, "normal", "north", vec![step(1, 1, seconds(1))]);
    sim.append(Record::Cancelled { job: 2 });
    sim.run_for(seconds(2));
    assert_eq!(sim.hosts_running(3).len(), 0);
    assert!(!sim.started(4));
    assert_eq!(sim.status(1), COMPLETED);
    assert_eq!(sim.hosts_running(2).len(), 0);

    sim.jobs_age = Duration::ZERO;
    sim.run_for(seconds(2));
    assert_eq!((sim.status(3), sim.status(4)), (COMPLETED, COMPLETED));
}

/// Guards against tasks of cancelled jobs that continue or start.
#[test]
fn cancellation_stops_all_tasks_of_many_jobs() {
    let mut sim = Simulation::new(3, 3);
    for job in 1..=20 {
        sim.submit(job, "normal", "north", vec![step(2, 2, seconds(30))]);
    }
    sim.run_for(seconds(1));
    for job in 1..=20 {
        sim.append(Record::Cancelled { job });
    }
    sim.run_for(seconds(1));
    for job in 1..=20 {
        assert_eq!(sim.status(job), Some(Status::Ended(Outcome::Cancelled)));
        assert!(sim.hosts_running(job).is_empty());
    }
}

/// Guards against a step's label, its limit per worker or its data rack being ignored.
#[test]
fn step_constraints_hold() {
    let mut sim = Simulation::new(4, 2);
    sim.host(3).worker.info.labels.push("b".into());
    let labelled = Step {
        label: Some("b".into()),
        ..step(1, 1, seconds(30))
    };
    let spread_out = Step {
        per_worker: 1,
        ..step(4, 1, seconds(30))
    };
    let near_data = Step {
        data_rack: Some("rack-1".into()),
        ..step(1, 1, seconds(30))
    };
    sim.submit(1, "normal", "north", vec![labelled]);
    sim.submit(2, "normal", "north", vec![spread_out]);
    sim.submit(3, "normal", "north", vec![near_data]);
    sim.run_for(seconds(1));
    assert_eq!(sim.hosts_running(1), ["host-03"]);
    assert_eq!(
        sim.hosts_running(2),
        ["host-00", "host-01", "host-02", "host-03"]
    );
    let near_data = sim.hosts_running(3);
    assert!(
        near_data == ["host-02"] || near_data == ["host-03"],
        "{near_data:?}"
    );
}

/// Guards against more tasks of a step on a worker than its limit: a run that is being stopped there does not count.
#[test]
fn a_run_that_the_ledger_does_not_place_counts_for_the_limit_per_worker() {
    let mut sim = Simulation::new(1, 1);
    let spread_out = Step {
        per_worker: 1,
        ..step(2, 1, seconds(60))
    };
    sim.submit(1, "normal", "north", vec![spread_out]);
    sim.run_for(seconds(1));
    let host = sim.host(0);
    let late = host.worker.running[0].clone();
    host.end_run(late.task, late.run, EndReason::LeaseExpired);
    // A late start has begun the run again; its stop is not executed yet.
    host.worker.running.push(late.clone());
    host.executes_orders = false;
    sim.deliver_reports();
    sim.decide();
    sim.host(0).worker.ended.clear();
    sim.run_for(seconds(1));
    let placed = |sim: &Simulation| sim.ledger.job(1).unwrap().progress.placed().count();
    assert_eq!(placed(&sim), 0, "placed beside a run of the same step");
    let host = sim.host(0);
    host.executes_orders = true;
    host.end_run(late.task, late.run, EndReason::Stopped);
    sim.run_for(seconds(1));
    assert_eq!(placed(&sim), 1, "not placed after the stop");
}

/// Guards against a job that fits no worker and blocks other jobs or the planner.
#[test]
fn task_that_fits_no_worker_waits_without_blocking_others() {
    let mut sim = Simulation::new(2, 2);
    let oversized = Step {
        demand: Demand {
            cpu: 1_000_000,
            ..Demand::default()
        },
        ..step(1, 0, seconds(1))
    };
    sim.submit(1, "normal", "north", vec![oversized]);
    sim.submit(2, "normal", "north", vec![step(1, 1, seconds(1))]);
    sim.run_for(seconds(3));
    assert_eq!(sim.status(1), Some(Status::Queued));
    assert_eq!(sim.status(2), COMPLETED);
}

/// Guards against jobs whose result has become worthless blocking those whose result has not.
#[test]
fn worthless_jobs_come_last() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(1, "normal", "south", vec![step(1, 8, seconds(30))]);
    sim.run_for(seconds(1));
    sim.submit(
        2,
        "urgent",
        "north",
        vec![step(3, 8, Duration::from_millis(200))],
    );
    sim.policy.workspaces.clear();
    sim.run_for(seconds(28));
    sim.submit(3, "normal", "north", vec![step(1, 8, seconds(2))]);
    sim.run_for(seconds(4));
    assert!(sim.started(3));
}

/// Guards against cancellations of jobs that do not exist that stay in the log for good, and against one that is deleted
/// while the job's submission may still be stored.
#[test]
fn a_cancellation_without_a_job_is_kept_as_long_as_an_ended_job() {
    let mut sim = Simulation::new(1, 1);
    sim.append(Record::Cancelled { job: 1 });
    sim.append(Record::Cancelled { job: 2 });
    sim.run_for(Bounds::default().status_retention);
    sim.submit(1, "normal", "north", vec![step(1, 1, seconds(1))]);
    assert_eq!(sim.status(1), Some(Status::Ended(Outcome::Cancelled)));
    assert!(sim.ledger.is_cancelled(2));
    sim.run_for(seconds(20));
    assert!(!sim.ledger.is_cancelled(2));
    assert_eq!(sim.ledger.orphans().count(), 0);
    assert_eq!(
        sim.status(1),
        Some(Status::Ended(Outcome::Cancelled)),
        "its own retention has begun with its submission"
    );
}
