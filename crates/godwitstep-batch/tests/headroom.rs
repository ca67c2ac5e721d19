//! Urgent jobs that keep arriving at a cluster with a backlog of lower-priority jobs.

mod simulation;

use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::JobId;
use godwitstep_batch::job::Step;
use godwitstep_batch::planner::Decision;
use simulation::{Simulation, WORKER_CAPACITY, gang, seconds, step};
use std::time::Duration;

const WORKERS: usize = 8;

/// Lower-priority jobs: one minute of work for the whole cluster.
const LOW_PRIORITY_JOBS: std::ops::RangeInclusive<JobId> = 1..=80;

fn submit_backlog(sim: &mut Simulation) {
    for job in LOW_PRIORITY_JOBS {
        sim.submit(job, "patient", "south", vec![step(12, 1, seconds(4))]);
    }
}

fn accelerators_in_use(sim: &Simulation) -> u64 {
    LOW_PRIORITY_JOBS
        .map(|id| sim.hosts_running(id).len() as u64)
        .sum()
}

/// Returns how long the job waited for its first placement.
fn wait_time(sim: &Simulation, job: JobId) -> Option<Duration> {
    sim.decisions.iter().find_map(|decision| match decision {
        Decision::Placed { task, age, .. } if task.job == job => Some(*age),
        _ => None,
    })
}

/// Submits an urgent gang every 1.5 s. Returns the number of gangs that started at once.
fn submit_urgent(sim: &mut Simulation, jobs: std::ops::Range<JobId>) -> usize {
    for job in jobs.clone() {
        sim.submit(job, "urgent", "north", vec![gang(4, 2, seconds(1))]);
        sim.run_for(Duration::from_millis(1_500));
    }
    jobs.filter(|job| wait_time(sim, *job) == Some(Duration::ZERO))
        .count()
}

/// Guards against urgent jobs that each have to wait for the preemption of lower-priority tasks.
#[test]
fn urgent_jobs_find_free_capacity() {
    let mut sim = Simulation::new(WORKERS, 4);
    submit_backlog(&mut sim);
    sim.run_for(seconds(1));
    submit_urgent(&mut sim, 100..106);
    let started_at_once = submit_urgent(&mut sim, 106..126);
    assert!(
        started_at_once >= 16,
        "{started_at_once} of 20 started at once"
    );
    let accelerators = WORKER_CAPACITY.accelerators * WORKERS as u64;
    assert!(
        accelerators_in_use(&sim) >= accelerators / 2,
        "lower-priority work uses {} of {accelerators} accelerators",
        accelerators_in_use(&sim)
    );
}

/// Guards against lower-priority tasks spread over all workers, which make urgent jobs whose tasks
/// need whole workers preempt others first.
#[test]
fn urgent_jobs_find_empty_workers() {
    let mut sim = Simulation::new(WORKERS, 4);
    let mut low_priority = 1;
    let mut started_at_once = 0;
    for urgent in 100..120 {
        // Work for two thirds of the cluster, with uneven run times.
        for _ in 0..4 {
            let run_time = seconds(4 + low_priority * 3 % 7);
            sim.submit(low_priority, "patient", "south", vec![step(4, 1, run_time)]);
            low_priority += 1;
        }
        sim.run_for(Duration::from_millis(1_200));
        sim.submit(urgent, "urgent", "north", vec![step(2, 8, seconds(1))]);
        sim.run_for(Duration::from_millis(1_200));
        let placed_at_once = |decision: &&Decision| matches!(decision, Decision::Placed { task, age, .. } if task.job == urgent && age.is_zero());
        let placed = sim.decisions.iter().filter(placed_at_once).count();
        // The first jobs are not counted: the headroom is derived from their arrivals.
        started_at_once += usize::from(urgent >= 104 && placed == 2);
    }
    assert!(
        started_at_once >= 14,
        "{started_at_once} of 16 started at once"
    );
    let preempted = sim.decisions.iter();
    let preempted = preempted.filter(|decision| matches!(decision, Decision::Preempted { .. }));
    assert!(
        preempted.count() <= 4,
        "too many lower-priority tasks were preempted"
    );
}

/// Guards against accepted work that waits next to idle workers because urgent jobs might arrive.
#[test]
fn low_priority_jobs_do_not_wait_long_next_to_idle_workers() {
    let mut sim = Simulation::new(4, 4);
    for job in 100..104 {
        sim.submit(job, "urgent", "north", vec![step(4, 8, seconds(1))]);
        sim.run_for(seconds(2));
    }
    sim.submit(1, "patient", "south", vec![gang(4, 8, seconds(30))]);
    sim.run_for(seconds(3));
    assert_eq!(sim.hosts_running(1).len(), 4);
}

/// Guards against capacity that stays empty although urgent jobs no longer arrive.
#[test]
fn low_priority_jobs_use_the_whole_cluster_without_urgent_jobs() {
    let mut sim = Simulation::new(WORKERS, 4);
    submit_backlog(&mut sim);
    sim.run_for(seconds(1));
    assert_eq!(
        accelerators_in_use(&sim),
        WORKER_CAPACITY.accelerators * WORKERS as u64
    );
    submit_urgent(&mut sim, 100..106);
    sim.run_for(seconds(25));
    assert_eq!(
        accelerators_in_use(&sim),
        WORKER_CAPACITY.accelerators * WORKERS as u64
    );
}

/// Guards against a lower-priority gang that never starts because small tasks take all capacity
/// except the headroom for urgent jobs.
#[test]
fn low_priority_gang_starts_among_small_tasks_and_urgent_jobs() {
    let mut sim = Simulation::new(WORKERS, 4);
    for job in LOW_PRIORITY_JOBS {
        sim.submit(job, "patient", "south", vec![step(4, 1, seconds(1))]);
    }
    submit_urgent(&mut sim, 100..104);
    sim.submit(99, "patient", "south", vec![gang(24, 1, seconds(1))]);
    for job in 201..=300 {
        sim.submit(job, "patient", "south", vec![step(4, 1, seconds(1))]);
    }
    submit_urgent(&mut sim, 104..112);
    assert!(sim.started(99), "the gang has not started");
}

/// Guards against lower-priority jobs that wait although less than half of the cluster is in use.
#[test]
fn low_priority_jobs_start_while_half_of_the_cluster_is_free() {
    let mut sim = Simulation::new(WORKERS, 4);
    submit_urgent(&mut sim, 100..110);
    for number in 0..4 {
        sim.host(number).worker.info.draining = true;
    }
    for job in LOW_PRIORITY_JOBS {
        sim.submit(job, "patient", "south", vec![step(2, 1, seconds(30))]);
    }
    sim.run_for(seconds(1));
    let available = WORKER_CAPACITY.accelerators * WORKERS as u64 / 2;
    assert!(
        accelerators_in_use(&sim) >= available / 2,
        "{} of {available} accelerators in use",
        accelerators_in_use(&sim)
    );
}

/// Guards against demands too large for the number type, which crashed the decider or created
/// capacity that does not exist.
#[test]
fn excessive_demands_neither_start_nor_preempt() {
    let mut sim = Simulation::new(WORKERS, 4);
    sim.submit(1, "patient", "south", vec![step(8, 8, seconds(4))]);
    sim.run_for(seconds(1));
    let excessive = Demand {
        cpu: u64::MAX,
        memory: u64::MAX / 2 + 1,
        accelerators: u64::MAX,
    };
    for (job, queue) in [(100, "urgent"), (101, "normal"), (102, "patient")] {
        let independent = Step {
            demand: excessive,
            ..step(2, 0, seconds(1))
        };
        let gang = Step {
            gang: true,
            ..independent.clone()
        };
        sim.submit(job, queue, "north", vec![independent, gang]);
    }
    sim.run_for(seconds(2));
    assert_eq!(
        sim.hosts_running(1).len(),
        8,
        "other runs were preempted for them"
    );
    assert!((100..103).all(|job| sim.hosts_running(job).is_empty()));
    sim.submit(103, "urgent", "north", vec![step(1, 8, seconds(1))]);
    sim.run_for(seconds(8));
    assert_eq!(sim.status(103), simulation::COMPLETED);
}
