//! Workers whose runs take from 40 minutes to a day, and that seldom change their percentage.

mod simulation;

use godwitstep_batch::Bounds;
use godwitstep_batch::id::JobId;
use godwitstep_batch::job::Step;
use godwitstep_batch::planner::{Decision, Planner};
use simulation::{Simulation, seconds, step};
use std::time::Duration;

const MINUTE: u64 = 60;
const WORKERS: u16 = 3;
const LONG_JOB: JobId = 1;

/// Returns a cluster with one run of this duration on some workers, which reports its progress. The caller's estimate
/// may differ from it.
fn long_runs(runs: u16, run_time: Duration, estimate: Duration) -> Simulation {
    let mut sim = Simulation::new(usize::from(WORKERS), usize::from(WORKERS));
    let long = Step {
        checkpointable: true,
        per_worker: 1,
        ..step(runs, 1, estimate)
    };
    sim.run_times.insert(LONG_JOB, run_time);
    sim.submit(LONG_JOB, "normal", "north", vec![long]);
    sim.round();
    sim
}

fn is_stall(decision: &Decision) -> bool {
    matches!(decision, Decision::Stalled { .. })
}

/// Submits short tasks for all workers every 2.9 s and panics if they do not start at once.
fn assert_short_tasks_start(sim: &mut Simulation, jobs: std::ops::Range<JobId>) {
    for job in jobs {
        sim.submit(job, "normal", "north", vec![step(WORKERS, 5, seconds(1))]);
        sim.round();
        sim.round();
        assert_eq!(sim.hosts_running(job).len(), 3, "at {:?}", sim.now);
        sim.run_for(Duration::from_millis(2_700));
    }
    assert!(!sim.has_decision(is_stall), "a run is stopped as stalled");
}

/// Guards against sound workers that count as stalled, and against runs that are stopped as stalled, because a percent
/// of a run takes longer than a stall of a short one.
#[test]
fn workers_with_only_long_runs_get_tasks() {
    for minutes in [40, 60, 24 * 60] {
        let run_time = seconds(minutes * MINUTE);
        let mut sim = long_runs(1, run_time, run_time);
        sim.run_for(run_time / 90);
        assert_short_tasks_start(&mut sim, 10..50);
    }
}

/// Guards against workers that count as stalled or slow because the estimates of their runs are far too low.
#[test]
fn workers_whose_runs_outlast_their_estimates_get_tasks() {
    let mut sim = long_runs(WORKERS, seconds(40 * MINUTE), seconds(5 * MINUTE));
    sim.run_for(seconds(26));
    assert_short_tasks_start(&mut sim, 10..50);
}

/// Guards against a new decider that takes all long runs for stalled, as it has seen no progress of them.
#[test]
fn new_decider_leaves_long_runs_alone() {
    let mut sim = long_runs(1, seconds(40 * MINUTE), seconds(20 * MINUTE));
    // The next percent follows 1 s later.
    sim.run_for(seconds(47));
    sim.planner = Planner::new(
        2 << 20,
        sim.now.saturating_sub(seconds(15)),
        Bounds::default(),
    );
    assert_short_tasks_start(&mut sim, 10..50);
}

/// Guards against a hung worker that gets tasks because a long run there may still be sound, and against long runs that
/// stay on it for ever.
#[test]
fn hung_worker_with_a_long_run_is_found() {
    let mut sim = long_runs(WORKERS, seconds(40 * MINUTE), seconds(40 * MINUTE));
    let short = Step {
        checkpointable: true,
        ..step(3, 6, seconds(8))
    };
    sim.submit(2, "normal", "north", vec![short]);
    sim.run_for(seconds(26));
    sim.submit(
        3,
        "normal",
        "north",
        vec![Step {
            checkpointable: true,
            ..step(3, 6, seconds(8))
        }],
    );
    sim.run_for(seconds(2));
    sim.host(0).makes_progress = false;
    sim.run_for(Duration::from_millis(1_700));
    sim.submit(4, "normal", "north", vec![step(9, 1, seconds(1))]);
    sim.round();
    let hosts = sim.hosts_running(4);
    assert!(!hosts.iter().any(|host| host == "host-00"), "{hosts:?}");
    sim.run_for(seconds(100));
    assert!(sim.has_decision(
        |decision| matches!(decision, Decision::Stalled { task, .. } if task.job == LONG_JOB)
    ));
}

/// Guards against a hung run that a new decider never finds because its estimate is enormous, and against one of a day
/// that it stops.
#[test]
fn new_decider_goes_by_the_age_of_the_job() {
    let day = seconds(24 * 60 * MINUTE);
    for (run_time, hangs) in [(seconds(10), true), (day, false)] {
        let mut sim = long_runs(1, run_time, day);
        while sim
            .hosts
            .values()
            .all(|host| host.worker.running.iter().all(|run| run.percent < 50))
        {
            // A day of rounds would take minutes.
            sim.round();
            sim.advance(run_time / 100);
        }
        sim.planner = Planner::new(
            2 << 20,
            sim.now.saturating_sub(seconds(15)),
            Bounds::default(),
        );
        (0..usize::from(WORKERS)).for_each(|number| sim.host(number).makes_progress = !hangs);
        sim.run_for(seconds(60));
        assert_eq!(sim.has_decision(is_stall), hangs, "run of {run_time:?}");
    }
}
