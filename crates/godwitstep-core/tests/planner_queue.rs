//! Tests of queue order, packing, reservations, failing workers and jobs, and cancellations.

mod planner_simulation;

use godwitstep_core::Reason;
use godwitstep_core::resource::{Adjacency, Job, Phase, Shape};
use planner_simulation::{Simulation, s, worker, workspace};

fn region(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    for number in 0..4 {
        let rack = format!("r{}", number / 2);
        simulation.add_worker(worker(&format!("w{number}"), "a", &rack, 8));
    }
    simulation.declare_workspace("ws", workspace(0, &[]));
    simulation
}

/// Guards against urgent jobs that wait behind jobs of lower priority.
#[test]
fn urgent_jobs_start_first_ordered_by_deadline() {
    let mut simulation = region(1);
    simulation.submit("running", Job::new("ws", "normal", 4, 8), s(10));
    simulation.run_for(s(1));
    let job = |kind| Job::new("ws", kind, 4, 8);
    simulation.submit("normal", job("normal"), s(5));
    simulation.submit("later", job("urgent").deadline(s(600)), s(5));
    simulation.submit("sooner", job("urgent").deadline(s(60)), s(5));
    assert!(simulation.run_until(s(120), Simulation::all_final));
    let started_parts: Vec<_> = simulation
        .starts
        .iter()
        .map(|(_, job, _)| job.clone())
        .collect();
    let mut start_order: Vec<String> = Vec::new();
    for job in started_parts {
        if !start_order.contains(&job) {
            start_order.push(job);
        }
    }
    assert_eq!(start_order, ["running", "sooner", "later", "normal"]);
}

/// Guards against small jobs that fragment whole workers and racks.
#[test]
fn small_jobs_are_packed_together() {
    let mut simulation = region(2);
    for number in 0..8 {
        simulation.submit(
            &format!("j{number}"),
            Job::new("ws", "normal", 1, 2),
            s(100),
        );
    }
    simulation.run_for(s(2));
    let fragmentation = simulation.planner.fragmentation();
    assert_eq!(
        (fragmentation.free, fragmentation.on_whole_workers),
        (16, 16)
    );
    let domains = simulation.planner.summary().domains;
    assert_eq!(
        (domains[0].largest_worker, domains[0].largest_rack),
        (8, 16)
    );
}

/// Guards against starvation of a large job by a stream of small ones.
#[test]
fn a_large_job_is_not_starved_by_small_ones() {
    let mut simulation = region(3);
    for number in 0..16 {
        let (name, run_time) = (format!("running{number}"), s(20 + number));
        simulation.submit(&name, Job::new("ws", "normal", 1, 2), run_time);
    }
    simulation.run_for(s(1));
    let large = Job::new("ws", "normal", 16, 1).adjacency(Adjacency::Rack);
    simulation.submit("large", large, s(10));
    for number in 0..200 {
        simulation.run_for(s(1));
        let spec = Job::new("ws", "patient", 1, 2);
        simulation.submit(&format!("new{number}"), spec, s(30));
        if simulation.phase("large") == Phase::Done {
            break;
        }
    }
    let start = simulation.jobs["large"]
        .first_start
        .expect("the large job started");
    assert!(start < s(50), "the large job started at {start:?}");
}

/// Guards against accelerators that stay idle for a reservation although short jobs would end
/// before it starts.
#[test]
fn short_jobs_backfill_a_reservation() {
    let mut simulation = region(4);
    for number in 0..3 {
        let spec = Job::new("ws", "patient", 1, 8).run(s(300));
        simulation.submit(&format!("running{number}"), spec, s(300));
    }
    simulation.run_for(s(1));
    let large = Job::new("ws", "normal", 4, 8);
    simulation.submit("large", large, s(10));
    simulation.run_for(s(1));
    // "long" would run past the start of the reservation: the running jobs end after 300 s.
    simulation.submit("long", Job::new("ws", "patient", 1, 4).run(s(900)), s(900));
    simulation.submit("short", Job::new("ws", "normal", 1, 4).run(s(20)), s(20));
    simulation.run_for(s(5));
    assert_eq!(simulation.phase("short"), Phase::Running);
    assert_eq!(simulation.phase("long"), Phase::Queued);
    assert!(matches!(
        simulation.planner.reason("long"),
        Some(Reason::WaitingBehind { .. })
    ));
    assert!(
        simulation.run_until(s(400), |simulation| simulation.phase("large")
            == Phase::Done)
    );
    assert!(simulation.jobs["large"].first_start.unwrap() < s(310));
}

/// Guards against preemptible backfill jobs that delay the job with the reservation.
#[test]
fn preemptible_backfill_jobs_are_preempted() {
    let mut simulation = region(5);
    for number in 0..3 {
        let spec = Job::new("ws", "patient", 1, 8).run(s(60));
        simulation.submit(&format!("running{number}"), spec, s(60));
    }
    simulation.run_for(s(1));
    simulation.submit("large", Job::new("ws", "normal", 4, 8), s(10));
    simulation.run_for(s(1));
    let preemptible = Job::new("ws", "patient", 1, 8)
        .preemptible(true)
        .checkpointable(true);
    simulation.submit("preemptible", preemptible, s(900));
    simulation.run_for(s(5));
    assert_eq!(simulation.phase("preemptible"), Phase::Running);
    assert!(
        simulation.run_until(s(120), |simulation| simulation.phase("large")
            == Phase::Done)
    );
    assert!(
        simulation.run_until(s(10), |simulation| simulation.phase("preemptible")
            == Phase::Running)
    );
}

/// Guards against one faulty worker on which every job fails.
#[test]
fn a_worker_on_which_every_job_fails_is_quarantined() {
    let mut simulation = region(6);
    simulation.agents.get_mut("w0").unwrap().fails_parts = true;
    for number in 0..40 {
        let spec = Job::new("ws", "normal", 1, 1).idempotent(true);
        simulation.submit(&format!("j{number}"), spec, s(2));
    }
    assert!(simulation.run_until(s(50), Simulation::all_final));
    assert!(
        simulation
            .jobs
            .values()
            .all(|state| state.phase == Phase::Done)
    );
    let on_failing_worker = simulation
        .starts
        .iter()
        .filter(|(_, _, worker)| worker == "w0")
        .count();
    // It runs 8 jobs at a time, and 2 more replace the first 2 that fail.
    assert!(
        on_failing_worker <= 10,
        "{on_failing_worker} jobs started on the failing worker"
    );
}

/// Guards against jobs that always fail and cause every worker to be quarantined.
#[test]
fn jobs_that_fail_everywhere_end_and_leave_workers_in_service() {
    let mut simulation = region(7);
    for number in 0..6 {
        let name = format!("failing{number}");
        let spec = Job::new("ws", "normal", 1, 8).idempotent(true);
        simulation.submit(&name, spec, s(2));
        simulation.jobs.get_mut(&name).unwrap().fails = true;
        simulation.run_for(s(10));
    }
    assert!(simulation.run_until(s(60), Simulation::all_final));
    for state in simulation.jobs.values() {
        assert_eq!(state.phase, Phase::Failed);
        assert!(matches!(state.reason, Reason::FailedEverywhere { .. }));
    }
    assert_eq!(simulation.planner.summary().domains[0].usable, 32);
}

/// Guards against jobs that wait forever for a shape that no worker or rack in the region offers.
#[test]
fn a_job_that_can_never_run_is_refused() {
    let mut simulation = region(8);
    simulation.submit("wide", Job::new("ws", "normal", 2, 16), s(2));
    simulation.submit("large", Job::new("ws", "normal", 33, 1), s(2));
    assert!(simulation.run_until(s(65), Simulation::all_final));
    let shape = Shape::new(33, 1);
    assert_eq!(
        simulation.jobs["large"].reason,
        Reason::CanNeverRun { shape }
    );
    assert_eq!(simulation.phase("wide"), Phase::Failed);
}

/// Guards against cancelled jobs that continue to run, hold accelerators or stay queued.
#[test]
fn cancelled_jobs_end_at_every_stage() {
    for delay_steps in 0..60 {
        let mut simulation = region(delay_steps);
        simulation.faults.max_delay_ms = 20;
        simulation.submit("first", Job::new("ws", "normal", 4, 8), s(60));
        simulation.submit("second", Job::new("ws", "normal", 4, 8), s(60));
        simulation.run_for(planner_simulation::ms(delay_steps * 5));
        simulation.cancel("first");
        simulation.cancel("second");
        assert!(
            simulation.run_until(s(10), Simulation::all_final),
            "after {delay_steps} steps of 5 ms"
        );
        assert!(
            simulation
                .jobs
                .values()
                .all(|state| state.phase == Phase::Cancelled)
        );
        assert_eq!(simulation.planner.fragmentation().free, 32);
    }
}

/// Guards against queued jobs for which no reason for waiting is reported.
#[test]
fn every_waiting_job_has_a_reason() {
    let mut simulation = region(9);
    for number in 0..20 {
        simulation.submit(
            &format!("j{number}"),
            Job::new("ws", "normal", 1, 8),
            s(600),
        );
    }
    simulation.run_for(s(2));
    for (name, state) in &simulation.jobs {
        if state.phase == Phase::Queued {
            let reason = simulation.planner.reason(name).unwrap();
            assert_eq!(*reason, state.reason);
            assert_ne!(*reason, Reason::Accepted, "{name}");
        }
    }
}
