//! Workers that hang, fail or drain, and runs that stall.

mod simulation;

use godwitstep_batch::job::Step;
use godwitstep_batch::message::EndReason;
use godwitstep_batch::planner::Decision;
use simulation::{COMPLETED, ROUND_INTERVAL, Simulation, gang, seconds, step};

/// Guards against members of a gang being stopped as stalled although they have finished and only
/// wait for the slowest member.
#[test]
fn finished_gang_members_are_not_stopped_as_stalled() {
    let mut sim = Simulation::new(3, 3);
    let checkpointed = Step {
        checkpointable: true,
        ..gang(3, 8, seconds(6))
    };
    sim.submit(1, "normal", "north", vec![checkpointed]);
    sim.run_for(seconds(1));
    for _ in 0..30 {
        for number in 0..2 {
            let listed_runs = &mut sim.host(number).worker.running;
            for listed_run in listed_runs {
                listed_run.percent = 100;
            }
        }
        sim.deliver_reports();
        sim.decide();
        sim.now += ROUND_INTERVAL;
        let slowest = &mut sim.host(2).worker.running[0];
        slowest.percent = (slowest.percent + 2).min(98);
    }
    assert!(!sim.has_decision(|decision| matches!(decision, Decision::Stalled { .. })));
}

/// Guards against work that stays stalled on a worker whose heartbeats are fine.
#[test]
fn stalled_run_moves_to_another_worker() {
    let mut sim = Simulation::new(2, 2);
    let checkpointed = Step {
        checkpointable: true,
        ..step(1, 8, seconds(4))
    };
    sim.submit(1, "normal", "north", vec![checkpointed]);
    sim.run_for(seconds(1));
    let first = sim.hosts_running(1);
    sim.hosts.get_mut(&first[0]).unwrap().makes_progress = false;
    sim.run_for(seconds(6));
    assert_ne!(sim.hosts_running(1), first);
    sim.run_for(seconds(4));
    assert_eq!(sim.status(1), COMPLETED);
}

/// Guards against runs being stopped for lack of progress where no progress is reported at all.
#[test]
fn run_without_reported_progress_is_not_stopped() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(4))]);
    sim.run_times.insert(1, seconds(20));
    sim.run_for(seconds(21));
    assert_eq!(sim.status(1), COMPLETED);
    assert!(!sim.has_decision(|decision| matches!(decision, Decision::Stalled { .. })));
}

/// Guards against work that is placed again and again on a worker that fails every task.
#[test]
fn worker_that_fails_several_jobs_is_quarantined() {
    let mut sim = Simulation::new(2, 2);
    for job in 1..=6 {
        sim.submit(job, "normal", "north", vec![step(1, 2, seconds(2))]);
    }
    let mut late_starts = 0;
    for round in 0..25 {
        sim.round();
        let listed_runs: Vec<_> = sim.host(0).worker.running.clone();
        if round > 6 {
            late_starts += listed_runs.len();
        }
        for listed_run in listed_runs {
            sim.host(0)
                .end_run(listed_run.task, listed_run.run, EndReason::Failed);
        }
    }
    assert_eq!(late_starts, 0, "starts on the failing worker");
    let quarantined = |decision: &Decision| matches!(decision, Decision::Quarantined { .. });
    assert!(
        sim.decisions.iter().any(quarantined),
        "the quarantine is not reported"
    );
}

/// Guards against long runs whose work is lost when their draining worker stops.
#[test]
fn long_runs_leave_a_draining_worker_and_short_ones_finish() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 4, seconds(9))]);
    sim.submit(2, "normal", "north", vec![step(1, 4, seconds(2))]);
    sim.round();
    let leaving = sim.hosts_running(1)[0].clone();
    assert_eq!(sim.hosts_running(2), std::slice::from_ref(&leaving));
    sim.hosts.get_mut(&leaving).unwrap().worker.info.draining = true;
    sim.run_for(seconds(1));
    assert_ne!(sim.hosts_running(1), std::slice::from_ref(&leaving));
    assert_eq!(sim.hosts_running(2), [leaving]);
}
