//! Tests of failure domains that leave service and return, and of workers that are lost.

mod planner_simulation;

use godwitstep_core::Reason;
use godwitstep_core::resource::{Adjacency, Job, Phase, Shape};
use planner_simulation::{Simulation, ms, s, worker, workspace};

fn region(seed: u64, workers: u32) -> Simulation {
    let mut simulation = Simulation::new(seed);
    for domain in ["a", "b", "c"] {
        for number in 0..workers {
            simulation.add_worker(worker(&format!("{domain}{number}"), domain, "r", 8));
        }
    }
    simulation.declare_workspace("ws", workspace(0, &[]));
    simulation
}

/// Guards against starts in a domain that is out of service (R3), against jobs left running there,
/// and against a burst of restarts elsewhere.
#[test]
fn jobs_leave_a_domain_out_of_service_at_a_limited_rate() {
    let mut simulation = region(1, 10);
    let spec = Job::new("ws", "normal", 1, 1).checkpointable(true);
    for number in 0..120 {
        simulation.submit(&format!("j{number}"), spec.clone(), s(600));
    }
    simulation.run_for(s(5));
    let jobs_running_in = |simulation: &Simulation, domain: &str| {
        let jobs = simulation.jobs.keys().filter(|job| {
            let workers = simulation.workers_running(job);
            workers.iter().any(|worker| worker.starts_with(domain))
        });
        jobs.count()
    };
    let domain = ["a", "b", "c"]
        .into_iter()
        .max_by_key(|domain| jobs_running_in(&simulation, domain))
        .unwrap();
    let running_before = jobs_running_in(&simulation, domain);
    assert!(running_before > 32);
    let starts_before = simulation.starts.len();
    simulation.set_in_service(domain, false);
    simulation.run_for(s(1));
    let moved = simulation.starts.len() - starts_before;
    assert!(moved <= 18, "{moved} jobs moved in a second");
    simulation.run_for(s(20));
    assert_eq!(jobs_running_in(&simulation, domain), 0);
    let running = simulation
        .jobs
        .values()
        .filter(|state| state.phase == Phase::Running);
    assert_eq!(running.count(), 120);
}

/// Guards against stopping a job that can't be restarted when its domain leaves service.
#[test]
fn a_job_that_must_not_be_repeated_stays_until_it_ends() {
    let mut simulation = region(2, 1);
    simulation.submit("j", Job::new("ws", "normal", 1, 8), s(20));
    simulation.run_for(s(2));
    let worker = simulation.workers_running("j")[0].clone();
    simulation.set_in_service(&worker[..1], false);
    assert!(simulation.run_until(s(30), Simulation::all_final));
    assert_eq!(simulation.phase("j"), Phase::Done);
}

/// Guards against a burst of starts in a domain that has just returned to service.
#[test]
fn starts_are_rate_limited_when_a_domain_returns() {
    let mut simulation = region(3, 10);
    for domain in ["a", "b", "c"] {
        simulation.set_in_service(domain, false);
    }
    let spec = Job::new("ws", "normal", 1, 1);
    for number in 0..80 {
        simulation.submit(&format!("j{number}"), spec.clone(), s(600));
    }
    simulation.run_for(s(5));
    assert_eq!(simulation.starts.len(), 0);
    simulation.set_in_service("a", true);
    // Agents receive the change a second after the decider and deny reservations until then.
    simulation.run_for(s(3));
    let started = simulation.starts.len();
    assert!((16..=40).contains(&started), "{started} started in 2 s");
    simulation.run_for(s(10));
    assert_eq!(simulation.starts.len(), 80);
}

/// Guards against restarting a job while a lost worker may still run it.
#[test]
fn a_lost_worker_keeps_its_job_until_its_agent_has_stopped_it() {
    let mut simulation = region(4, 1);
    let spec = Job::new("ws", "normal", 4, 1).idempotent(true);
    simulation.submit("j", spec, s(60));
    simulation.run_for(s(2));
    let worker = simulation.workers_running("j")[0].clone();
    simulation.disconnect(&worker);
    // The agent's lease expires after 9 s without a link to an entry.
    simulation.run_for(s(8));
    assert_eq!(simulation.phase("j"), Phase::Running);
    simulation.restore_worker(&worker);
    simulation.run_for(s(5));
    assert_eq!(
        simulation.jobs["j"].attempt, 1,
        "the worker returned before its lease expired"
    );
    simulation.crash_worker(&worker);
    let lost_at = simulation.now;
    assert!(simulation.run_until(s(40), |simulation| simulation.jobs["j"].attempt == 2));
    // The agent may be alive but disconnected. It stops its parts within 20 s, and the planner
    // waits 30 s before it restarts the job (`Settings::silence_limit`).
    assert!(simulation.now >= lost_at + s(30));
}

/// Guards against repeating a run that may have taken effect (R6).
#[test]
fn a_cut_off_run_that_must_not_be_repeated_ends_as_unknown() {
    let mut simulation = region(5, 1);
    simulation.submit("j", Job::new("ws", "normal", 4, 1), s(60));
    simulation.run_for(s(2));
    let worker = simulation.workers_running("j")[0].clone();
    simulation.crash_worker(&worker);
    assert!(simulation.run_until(s(20), Simulation::all_final));
    assert_eq!(simulation.phase("j"), Phase::Unknown);
    assert_eq!(simulation.jobs["j"].reason, Reason::CutOff);
}

/// Guards against holds that expire while the log is slow to accept the start.
#[test]
fn a_start_waits_for_a_slow_log() {
    let mut simulation = region(6, 1);
    simulation.log_available = false;
    simulation.submit("j", Job::new("ws", "normal", 4, 1), s(5));
    simulation.run_for(s(30));
    assert_eq!(simulation.starts.len(), 0);
    simulation.log_available = true;
    assert!(simulation.run_until(s(20), Simulation::all_final));
    assert_eq!(simulation.phase("j"), Phase::Done);
    assert_eq!(simulation.jobs["j"].attempt, 1);
}

/// Guards against starts in a domain that leaves service between the record and the commit.
#[test]
fn no_job_starts_in_a_domain_that_leaves_during_the_start() {
    let mut simulation = region(7, 1);
    simulation.log_available = false;
    simulation.submit("j", Job::new("ws", "normal", 8, 1), s(5));
    simulation.run_for(ms(500));
    simulation.log_available = true;
    for domain in ["a", "b"] {
        simulation.set_in_service(domain, false);
    }
    assert!(simulation.run_until(s(20), Simulation::all_final));
    assert_eq!(simulation.phase("j"), Phase::Done);
    assert!(
        simulation
            .starts
            .iter()
            .all(|(_, _, worker)| worker.starts_with('c'))
    );
}

/// Guards against a guarantee that stays assigned to workers of a domain out of service, so that
/// its job waits although borrowers elsewhere could be preempted.
#[test]
fn a_guarantee_moves_out_of_the_domain_with_its_job() {
    let mut simulation = region(4, 2);
    let rack16 = Shape::new(16, 1).adjacency(Adjacency::Rack);
    simulation.declare_workspace("owner", workspace(0, &[(rack16, 1)]));
    let gang = Job::new("owner", "normal", 16, 1).adjacency(Adjacency::Rack);
    let gang = gang.preemptible(true).checkpointable(true);
    simulation.submit("gang", gang.idempotent(true), s(3_600));
    simulation.run_for(s(2));
    let whole_worker = Job::new("ws", "normal", 8, 1).adjacency(Adjacency::Worker);
    for number in 0..6 {
        let borrower = whole_worker.clone().preemptible(true).checkpointable(true);
        simulation.submit(&format!("borrower{number}"), borrower, s(3_600));
    }
    simulation.run_for(s(5));
    let domain = simulation.workers_running("gang")[0][..1].to_owned();
    simulation.set_in_service(&domain, false);
    simulation.run_for(s(40));
    assert_eq!(simulation.phase("gang"), Phase::Running);
    let workers = simulation.workers_running("gang");
    assert!(workers.iter().all(|worker| !worker.starts_with(&domain)));
}

/// Guards against a waiting borrower whose reservation takes the accelerators that were freed for
/// a claim.
#[test]
fn a_claim_takes_precedence_over_a_reservation() {
    let mut simulation = Simulation::new(5);
    for number in 0..2 {
        simulation.add_worker(worker(&format!("a{number}"), "a", "r", 8));
    }
    let whole_worker = Shape::new(8, 1).adjacency(Adjacency::Worker);
    simulation.declare_workspace("owner", workspace(0, &[(whole_worker, 2)]));
    simulation.declare_workspace("ws", workspace(1, &[]));
    let job = |workspace: &str| Job::new(workspace, "normal", 8, 1).adjacency(Adjacency::Worker);
    for number in 0..4 {
        let borrower = job("ws").preemptible(true).checkpointable(true);
        simulation.submit(&format!("borrower{number}"), borrower, s(3_600));
    }
    simulation.run_for(s(5));
    for name in ["claim1", "claim2"] {
        simulation.submit(name, job("owner"), s(3_600));
    }
    simulation.run_for(s(30));
    for name in ["claim1", "claim2"] {
        assert_eq!(simulation.phase(name), Phase::Running, "{name}");
    }
}

/// Guards against a second run of a completed job whose final report was lost with its worker. A
/// checkpointable job isn't necessarily safe to repeat.
#[test]
fn a_run_that_may_have_completed_is_not_repeated() {
    let mut simulation = region(11, 1);
    let spec = Job::new("ws", "normal", 4, 1).checkpointable(true);
    simulation.submit("j", spec, s(20));
    simulation.run_for(s(2));
    let worker = simulation.workers_running("j")[0].clone();
    simulation.disconnect(&worker);
    assert!(simulation.run_until(s(60), Simulation::all_final));
    assert_eq!(simulation.phase("j"), Phase::Unknown);
    assert_eq!(simulation.jobs["j"].attempt, 1);
}
