//! Jobs that are placed on a worker that fails every task.

mod simulation;

use godwitstep_batch::job::Step;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::message::EndReason;
use godwitstep_batch::progress::Outcome;
use simulation::{COMPLETED, Simulation, gang, seconds, step};

/// Returns the number of a host.
fn host_number(host: &str) -> usize {
    host.trim_start_matches("host-")
        .parse()
        .expect("a number after the name")
}

/// Runs a number of rounds in which some hosts fail every run.
fn run_with_failing_hosts(sim: &mut Simulation, hosts: &[usize], rounds: usize) {
    for _ in 0..rounds {
        sim.round();
        for &host_number in hosts {
            let listed_runs = sim.host(host_number).worker.running.clone();
            for listed_run in listed_runs {
                sim.host(host_number)
                    .end_run(listed_run.task, listed_run.run, EndReason::Failed);
            }
        }
    }
}

/// Guards against a gang that is restarted on the worker that failed it until its attempts are used
/// up although other workers are free (klokwerk-hosted, trouble-1).
#[test]
fn gang_avoids_the_worker_that_failed_it() {
    let mut sim = Simulation::new(6, 3);
    sim.submit(1, "urgent", "north", vec![gang(4, 2, seconds(1))]);
    sim.round();
    let host_number = host_number(&sim.hosts_running(1)[0]);
    run_with_failing_hosts(&mut sim, &[host_number], 20);
    assert_eq!(sim.status(1), COMPLETED);
}

/// Guards against the same failure with independent tasks, which fill the failing worker because it
/// is empty again at once.
#[test]
fn tasks_avoid_the_worker_that_failed_them() {
    let mut sim = Simulation::new(3, 3);
    sim.submit(1, "normal", "north", vec![step(9, 1, seconds(1))]);
    run_with_failing_hosts(&mut sim, &[0], 30);
    assert_eq!(sim.status(1), COMPLETED);
}

/// Guards against a job that waits forever because every worker that could run it has failed it.
#[test]
fn job_that_failed_on_all_workers_uses_up_its_attempts() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![gang(2, 4, seconds(1))]);
    run_with_failing_hosts(&mut sim, &[0, 1], 60);
    assert_eq!(sim.status(1), Some(Status::Ended(Outcome::Failed)));
}

/// Guards against jobs that are placed first on a worker that has just failed another job.
#[test]
fn worker_that_failed_a_job_ranks_last() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 1, seconds(9))]);
    sim.round();
    let failing = sim.hosts_running(1)[0].clone();
    run_with_failing_hosts(&mut sim, &[host_number(&failing)], 2);
    sim.submit(2, "normal", "north", vec![step(1, 1, seconds(9))]);
    sim.submit(3, "urgent", "north", vec![gang(2, 1, seconds(9))]);
    sim.round();
    assert!(!sim.hosts_running(2).contains(&failing));
    assert!(!sim.hosts_running(3).contains(&failing));
}

/// Guards against a job that waits on an idle cluster for workers that others occupy in part for a long time, because it
/// failed once on each of those with room.
#[test]
fn a_job_returns_to_workers_that_failed_it_while_the_cluster_is_idle() {
    let mut sim = Simulation::new(6, 6);
    sim.submit(1, "normal", "north", vec![step(2, 8, seconds(3))]);
    sim.round();
    let hosts: Vec<usize> = sim
        .hosts_running(1)
        .iter()
        .map(|host| host_number(host))
        .collect();
    let long = Step {
        per_worker: 1,
        ..step(4, 1, seconds(600))
    };
    sim.submit(2, "urgent", "south", vec![long]);
    sim.round();
    assert_eq!(sim.hosts_running(2).len(), 4);
    run_with_failing_hosts(&mut sim, &hosts, 1);
    sim.run_for(seconds(2));
    assert_eq!(sim.hosts_running(1).len(), 2);
    sim.run_for(seconds(4));
    assert_eq!(sim.status(1), COMPLETED);
}
