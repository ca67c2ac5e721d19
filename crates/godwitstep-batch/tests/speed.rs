//! Workers of the same kind that differ in speed.

mod simulation;

use simulation::{Simulation, gang, seconds, step};
use std::time::Duration;

const WORKERS: usize = 8;

/// Returns a cluster in which every other worker takes 1.4 times as long, after lower-priority
/// tasks have run on all workers.
fn uneven_cluster() -> Simulation {
    let mut sim = Simulation::new(WORKERS, 4);
    for number in (0..WORKERS).step_by(2) {
        sim.host(number).slowdown = 1.4;
    }
    for job in 1..=3 {
        sim.submit(job, "patient", "south", vec![step(64, 1, seconds(2))]);
    }
    sim.run_for(seconds(12));
    sim
}

fn is_slow(name: &str) -> bool {
    let number: usize = name.trim_start_matches("host-").parse().unwrap();
    number.is_multiple_of(2)
}

/// Guards against urgent gangs that are late because one member runs on a slow worker while fast
/// ones are free.
#[test]
fn urgent_gangs_run_on_fast_workers() {
    let mut sim = uneven_cluster();
    for job in 10..14 {
        sim.submit(job, "urgent", "north", vec![gang(3, 4, seconds(2))]);
        sim.round();
        let hosts = sim.hosts_running(job);
        assert_eq!(hosts.len(), 3);
        assert!(!hosts.iter().any(|host| is_slow(host)), "{hosts:?}");
        sim.run_for(seconds(4));
    }
}

/// Guards against an urgent gang that waits for fast workers although there is capacity on slow
/// ones.
#[test]
fn urgent_gang_uses_slow_workers_rather_than_waiting() {
    let mut sim = uneven_cluster();
    sim.submit(10, "urgent", "north", vec![gang(7, 8, seconds(2))]);
    sim.round();
    assert_eq!(sim.hosts_running(10).len(), 7);
}

/// Guards against lower-priority tasks that take the fast workers that urgent ones will need.
#[test]
fn low_priority_tasks_use_slow_workers_first() {
    let mut sim = uneven_cluster();
    sim.submit(10, "patient", "south", vec![step(20, 1, seconds(2))]);
    sim.run_for(Duration::from_millis(200));
    let hosts = sim.hosts_running(10);
    assert_eq!(hosts.len(), 20);
    assert!(hosts.iter().all(|host| is_slow(host)), "{hosts:?}");
}

/// Guards against machines whose speed is forgotten when their workers restart, so that urgent gangs run on slow ones.
#[test]
fn a_restarted_worker_keeps_the_speed_of_its_machine() {
    let mut sim = uneven_cluster();
    for number in 0..WORKERS {
        sim.host(number).rename_worker();
    }
    sim.run_for(seconds(20));
    sim.submit(10, "urgent", "north", vec![gang(3, 4, seconds(2))]);
    sim.run_for(Duration::from_millis(200));
    let hosts = sim.hosts_running(10);
    assert_eq!(hosts.len(), 3);
    assert!(!hosts.iter().any(|host| is_slow(host)), "{hosts:?}");
}
