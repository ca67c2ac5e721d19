//! The number of waiting jobs that callers get.

mod simulation;

use godwitstep_batch::Bounds;
use godwitstep_batch::id::Epoch;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::message::{EndReason, Refusal, Refused};
use godwitstep_batch::planner::Planner;
use godwitstep_batch::progress::{Progress, State};
use godwitstep_batch::record::Record;
use simulation::{ROUND_INTERVAL, Simulation, seconds, step};

const NEW_EPOCH: Epoch = 2 << 20;

/// Refuses all starts on a host in each round.
fn refuse_for(sim: &mut Simulation, host: usize, rounds: usize) {
    for _ in 0..rounds {
        sim.round();
        let name = format!("host-{host:02}");
        for start in sim.directives[&name].start.clone() {
            let refused = Refused {
                task: start.task,
                run: start.run,
                reason: Refusal::Unhealthy,
            };
            let worker = &mut sim.host(host).worker;
            if !worker.refused.contains(&refused) {
                worker.refused.push(refused);
            }
        }
        assert_eq!(sim.ledger.pending("normal"), 6);
    }
}

/// Guards against waiting jobs that are not counted because a worker has refused them.
#[test]
fn jobs_whose_start_is_refused_are_pending() {
    let mut sim = Simulation::new(1, 1);
    sim.host(0).executes_orders = false;
    for job in 1..=6 {
        sim.submit(job, "normal", "north", vec![step(1, 1, seconds(20))]);
    }
    refuse_for(&mut sim, 0, 30);
    assert!(sim.started(1), "the jobs were placed");
    sim.host(0).executes_orders = true;
    sim.run_for(seconds(15));
    assert_eq!(sim.ledger.pending("normal"), 0);
    assert_eq!(sim.status(1), Some(Status::Running));
}

/// Guards against waiting jobs that are not counted because they are placed on a worker whose agent is out of reach.
#[test]
fn jobs_on_a_host_out_of_reach_are_pending() {
    let mut sim = Simulation::new(1, 1);
    sim.round();
    sim.submit(1, "normal", "north", vec![step(1, 1, seconds(20))]);
    sim.deliver_reports();
    sim.decide();
    sim.host(0).reachable = false;
    assert!(sim.started(1), "the job is placed");
    sim.run_for(seconds(5));
    assert_eq!(sim.ledger.pending("normal"), 1);
}

/// Guards against jobs that run and count as pending: after a second, with a new decider, and after they were stopped.
#[test]
fn jobs_that_have_begun_are_not_pending_any_more() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(20))]);
    sim.run_for(seconds(1) + 3 * ROUND_INTERVAL);
    assert_eq!(sim.ledger.pending("normal"), 0);
    sim.planner = Planner::new(NEW_EPOCH, sim.now, Bounds::default());
    sim.run_for(seconds(1));
    assert_eq!(sim.ledger.pending("normal"), 0);
    let run = sim.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    let task = godwitstep_batch::id::Task {
        job: 1,
        step: 0,
        index: 0,
    };
    for host in 0..2 {
        sim.host(host).executes_orders = false;
        sim.host(host).end_run(task, run, EndReason::Stopped);
    }
    sim.run_for(seconds(1));
    assert_eq!(sim.ledger.pending("normal"), 0, "it has begun before");
}

/// Guards against jobs that count as pending although a task is done, because a decider of an earlier version has recorded
/// that, or a late result.
#[test]
fn a_job_with_a_done_task_is_not_pending() {
    let mut sim = Simulation::new(1, 1);
    let steps = vec![step(2, 1, seconds(20))];
    let mut progress = Progress::new(&steps);
    sim.submit(1, "normal", "north", steps);
    assert_eq!(sim.ledger.pending("normal"), 1);
    progress.steps[0].tasks[0].run = 1;
    progress.steps[0].tasks[0].state = State::Done;
    sim.append(Record::Progressed { job: 1, progress });
    assert_eq!(sim.ledger.pending("normal"), 0);
}
