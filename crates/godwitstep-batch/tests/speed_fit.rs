//! Urgent and patient work on racks with fast, usual and slow workers.

mod simulation;

use godwitstep_batch::id::JobId;
use godwitstep_batch::job::Step;
use godwitstep_batch::planner::Decision;
use simulation::{Simulation, gang, seconds, step};
use std::time::Duration;

const FAST: f64 = 0.55;
const USUAL: f64 = 1.2;

/// Returns an idle cluster whose workers have these relative run times, which independent tasks have shown.
fn cluster(per_rack: usize, slowdowns: &[f64]) -> Simulation {
    let mut sim = Simulation::new(slowdowns.len(), per_rack);
    for (number, slowdown) in slowdowns.iter().enumerate() {
        sim.host(number).slowdown = *slowdown;
    }
    let tasks = u16::try_from(8 * slowdowns.len()).unwrap();
    for job in 1..=4 {
        sim.submit(job, "patient", "south", vec![step(tasks, 1, seconds(4))]);
        sim.run_for(seconds(12));
    }
    sim
}

fn rack_gang(tasks: u16) -> Vec<Step> {
    vec![Step {
        one_rack: true,
        ..gang(tasks, 8, seconds(2))
    }]
}

/// Submits a job, lets it wait while no worker accepts tasks, and returns the numbers of the hosts it is placed on.
fn place(
    sim: &mut Simulation,
    job: JobId,
    queue: &str,
    steps: Vec<Step>,
    wait: Duration,
) -> Vec<usize> {
    set_draining(sim, !wait.is_zero());
    sim.submit(job, queue, "north", steps);
    sim.run_for(wait);
    set_draining(sim, false);
    sim.round();
    let hosts = sim.hosts_running(job);
    let number = |host: &String| host.trim_start_matches("host-").parse().unwrap();
    hosts.iter().map(number).collect()
}

/// Returns the slowness in a job's first decision.
fn slowdown(sim: &Simulation, job: JobId) -> f64 {
    let slowdown = sim.decisions.iter().find_map(|decision| match decision {
        Decision::Placed { task, slowdown, .. } if task.job == job => Some(*slowdown),
        _ => None,
    });
    slowdown.unwrap()
}

fn set_draining(sim: &mut Simulation, draining: bool) {
    for host in sim.hosts.values_mut() {
        host.worker.info.draining = draining;
    }
}

/// Load: a rack with one slow member. Guards against a gang that is as slow as that one while another rack has none,
/// although all of both racks are slower than average.
#[test]
fn urgent_gang_avoids_the_rack_with_a_slow_member() {
    let mut sim = cluster(3, &[1.2, 1.7, 1.2, 1.2, 1.2, 1.2, 1.0, 1.0]);
    let hosts = place(&mut sim, 10, "urgent", rack_gang(3), Duration::ZERO);
    assert_eq!(hosts, [3, 4, 5]);
}

/// Load: two fast workers in each rack. Guards against gangs that use fast workers beside usual ones, where they are
/// no faster.
#[test]
fn urgent_gang_is_not_mixed() {
    let mut slowdowns = [USUAL; 9];
    (slowdowns[0], slowdowns[5]) = (FAST, FAST);
    let mut sim = cluster(9, &slowdowns);
    let hosts = place(&mut sim, 10, "urgent", rack_gang(5), Duration::ZERO);
    assert_eq!(hosts, [1, 2, 3, 4, 6]);
}

/// Load: fast workers for one gang only. Guards against one that takes them without need, so that the next one, which
/// has waited, is late; and against one that waits for them.
#[test]
fn scarce_fast_workers_are_left_for_a_gang_that_has_waited() {
    let slowdowns = [FAST, FAST, USUAL, USUAL, USUAL, USUAL, USUAL, USUAL];
    let mut sim = cluster(8, &slowdowns);
    let prompt = place(&mut sim, 10, "urgent", rack_gang(2), Duration::ZERO);
    assert!(prompt.iter().all(|host| *host >= 2), "{prompt:?}");
    let waited = place(
        &mut sim,
        11,
        "urgent",
        rack_gang(2),
        Duration::from_millis(600),
    );
    assert_eq!(waited, [0, 1]);
    let last = place(
        &mut sim,
        12,
        "urgent",
        rack_gang(4),
        Duration::from_millis(600),
    );
    assert_eq!(last.len(), 4);
    assert!(
        slowdown(&sim, 11) < slowdown(&sim, 10) - 0.2,
        "the decisions do not show the speed"
    );
}

/// Load: patient work on an idle cluster. Guards against patient gangs on fast workers, and against patient tasks that
/// are late on slow workers while fast ones are free.
#[test]
fn patient_work_uses_fast_workers_only_to_be_in_time() {
    let slowdowns = [FAST, FAST, FAST, FAST, USUAL, USUAL, USUAL, USUAL];
    for steps in [rack_gang(3), vec![step(8, 1, seconds(2))]] {
        let mut sim = cluster(8, &slowdowns);
        let early = place(&mut sim, 10, "patient", steps.clone(), Duration::ZERO);
        assert!(early.iter().all(|host| *host >= 4), "{early:?}");
        let late = place(&mut sim, 11, "patient", steps, Duration::from_millis(3_700));
        assert!(late.iter().all(|host| *host < 4), "{late:?}");
    }
}

/// Load: all workers are full of equal patient tasks. Guards against urgent gangs that stop runs on slow workers where
/// stopping costs the same on fast ones.
#[test]
fn urgent_gang_preempts_on_fast_workers() {
    let mut sim = cluster(4, &[USUAL, USUAL, FAST, FAST]);
    sim.submit(9, "patient", "south", vec![step(4, 8, seconds(60))]);
    sim.run_for(seconds(1));
    sim.submit(10, "urgent", "north", rack_gang(2));
    sim.run_for(Duration::from_millis(500));
    assert_eq!(sim.hosts_running(10), ["host-02", "host-03"]);
}

/// Returns where urgent and patient tasks and gangs are placed.
fn placements(mut sim: Simulation) -> [Vec<String>; 3] {
    for (job, queue) in [(10, "urgent"), (11, "patient"), (12, "urgent")] {
        sim.submit(
            job,
            queue,
            "north",
            vec![step(3, 3, seconds(2)), gang(3, 3, seconds(2))],
        );
    }
    sim.round();
    [10, 11, 12].map(|job| sim.hosts_running(job))
}

/// Load: workers that differ by 4 %. Guards against placements that change with differences that are no larger than
/// the errors of the estimates.
#[test]
fn almost_equal_workers_are_used_as_equal_ones() {
    let different = [1.04, 1.0, 1.04, 1.0, 1.0, 1.04, 1.0, 1.04];
    let equal = placements(cluster(4, &[1.0; 8]));
    assert_eq!(placements(cluster(4, &different)), equal);
}

/// Returns a cluster of equal workers after jobs of one task on each worker, with this spread of the logarithm of run
/// times.
fn noisy_cluster(jobs: JobId, spread: f64, seed: u64) -> Simulation {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sim = Simulation::new(8, 8);
    for job in 1..=jobs {
        for number in 0..8 {
            let normal = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
            sim.host(number).slowdown = (spread * normal).exp();
        }
        sim.submit(job, "patient", "south", vec![step(8, 8, seconds(4))]);
        sim.run_for(seconds(10));
    }
    sim
}

/// Load: equal workers whose run times vary by 0.15. Guards against workers that count as unequal, and are avoided by
/// some of the work, for the differences of the few tasks that they have run.
#[test]
fn equal_workers_that_have_run_few_tasks_are_one_class() {
    for jobs in 1..=3 {
        let equal = placements(noisy_cluster(jobs, 0.0, 0));
        for seed in 0..20 {
            let noisy = placements(noisy_cluster(jobs, 0.15, seed));
            assert_eq!(noisy, equal, "{jobs} tasks on each worker, seed {seed}");
        }
    }
}
