//! Which runs are stopped for urgent jobs beyond their guarantees.

mod simulation;

use godwitstep_batch::id::JobId;
use godwitstep_batch::job::Step;
use godwitstep_batch::planner::Decision;
use godwitstep_batch::record::Record;
use simulation::{Simulation, seconds, step};
use std::time::Duration;

fn stopped(sim: &Simulation) -> Vec<JobId> {
    let decisions = sim.decisions.iter();
    let preempted = decisions.filter_map(|decision| match decision {
        Decision::Preempted { task, .. } => Some(task.job),
        _ => None,
    });
    preempted.collect()
}

fn saving(estimate: Duration) -> Step {
    Step {
        checkpointable: true,
        ..step(1, 8, estimate)
    }
}

/// Guards against work without checkpoints that is stopped in place of work that resumes: it loses everything each time.
#[test]
fn work_that_saves_is_stopped_first() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "patient", "south", vec![step(1, 8, seconds(30))]);
    sim.submit(2, "patient", "south", vec![saving(seconds(30))]);
    sim.run_for(Duration::from_millis(1_500));
    // A restart and 1.5 s are lost with either, or 2 s of each later on.
    sim.submit(9, "urgent", "west", vec![step(1, 8, seconds(9))]);
    sim.run_for(seconds(3));
    assert_eq!(stopped(&sim), [2]);
    assert_eq!(sim.hosts_running(9).len(), 1);
}

/// Guards against work that is lost for a job whose result will be late in any case.
#[test]
fn job_that_is_late_anyway_stops_only_what_a_late_result_is_worth() {
    for (wait, stops) in [(seconds(0), 1), (seconds(7), 0)] {
        let mut sim = Simulation::new(1, 1);
        sim.submit(2, "patient", "south", vec![saving(seconds(60))]);
        sim.run_for(seconds(3));
        let labelled = Step {
            label: Some("b".into()),
            ..step(1, 8, seconds(3))
        };
        sim.submit(9, "urgent", "west", vec![labelled]);
        // Until the worker has the label, the job can only wait.
        sim.run_for(wait);
        sim.host(0).worker.info.labels.push("b".into());
        sim.run_for(seconds(2));
        assert_eq!(stopped(&sim).len(), stops, "after {wait:?}");
    }
}

/// Guards against a claim on a guarantee that is held to what its result is worth.
#[test]
fn late_claim_stops_what_it_needs() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(2, "patient", "south", vec![saving(seconds(60))]);
    sim.run_for(seconds(3));
    let labelled = Step {
        label: Some("b".into()),
        ..step(1, 8, seconds(3))
    };
    sim.submit(9, "urgent", "north", vec![labelled]);
    sim.run_for(seconds(7));
    sim.host(0).worker.info.labels.push("b".into());
    sim.run_for(seconds(1));
    assert_eq!(sim.hosts_running(9).len(), 1);
}

/// Guards against work that is stopped although that of a cancelled job, which ends anyway, makes room.
#[test]
fn nothing_is_stopped_beside_the_runs_of_a_cancelled_job() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "patient", "south", vec![step(1, 8, seconds(60))]);
    sim.submit(2, "patient", "south", vec![saving(seconds(60))]);
    sim.run_for(seconds(3));
    sim.append(Record::Cancelled { job: 1 });
    sim.submit(9, "urgent", "west", vec![step(1, 8, seconds(9))]);
    sim.run_for(seconds(1));
    assert!(stopped(&sim).is_empty());
    assert_eq!(sim.hosts_running(9).len(), 1);
    assert_eq!(sim.hosts_running(2).len(), 1);
}

/// Guards against a job that waits for the run of a cancelled job that does not end, beside others that could be stopped.
#[test]
fn run_of_a_cancelled_job_that_hangs_is_not_waited_for() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "patient", "south", vec![step(1, 8, seconds(60))]);
    sim.submit(2, "patient", "south", vec![saving(seconds(60))]);
    sim.run_for(seconds(3));
    let hung = sim.hosts_running(1)[0].clone();
    sim.hosts.get_mut(&hung).unwrap().executes_orders = false;
    sim.append(Record::Cancelled { job: 1 });
    sim.submit(9, "urgent", "north", vec![step(1, 8, seconds(9))]);
    sim.run_for(seconds(3));
    assert_eq!(sim.hosts_running(9).len(), 1);
}
