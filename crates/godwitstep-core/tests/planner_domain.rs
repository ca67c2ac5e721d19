//! Failure domains that leave service and return, and workers that are lost.

mod driver;

use driver::{World, ms, s, worker, workspace};
use godwitstep_core::Reason;
use godwitstep_core::resource::{Adjacency, Job, Phase, Shape};

fn region(seed: u64, workers: u32) -> World {
    let mut world = World::new(seed);
    for domain in ["a", "b", "c"] {
        for number in 0..workers {
            world.add(worker(&format!("{domain}{number}"), domain, "r", 8));
        }
    }
    world.declare("ws", workspace(0, &[]));
    world
}

/// Guards against starts in a domain that is out (R3), and against work left behind in it.
#[test]
fn work_moves_out_of_a_domain_at_a_bounded_pace() {
    let mut world = region(1, 10);
    let spec = Job::new("ws", "normal", 1, 1).checkpointable(true);
    for number in 0..120 {
        world.submit(&format!("j{number}"), spec.clone(), s(600));
    }
    world.run(s(5));
    let inside = |world: &World, domain: &str| {
        let jobs = world.jobs.keys().filter(|job| {
            let places = world.places(job);
            places.iter().any(|place| place.starts_with(domain))
        });
        jobs.count()
    };
    let domain = ["a", "b", "c"]
        .into_iter()
        .max_by_key(|domain| inside(&world, domain))
        .unwrap();
    let before = inside(&world, domain);
    assert!(before > 32);
    let count = world.starts.len();
    world.domain(domain, false);
    world.run(s(1));
    let stopping = world.starts.len() - count;
    assert!(stopping <= 18, "{stopping} jobs moved in a second");
    world.run(s(20));
    assert_eq!(inside(&world, domain), 0);
    let running = world
        .jobs
        .values()
        .filter(|entry| entry.phase == Phase::Running);
    assert_eq!(running.count(), 120);
}

/// Guards against stopping a job that could not be started again.
#[test]
fn a_job_that_must_not_be_repeated_stays_until_it_ends() {
    let mut world = region(2, 1);
    world.submit("j", Job::new("ws", "normal", 1, 8), s(20));
    world.run(s(2));
    let place = world.places("j")[0].clone();
    world.domain(&place[..1], false);
    assert!(world.run_until(s(30), World::all_final));
    assert_eq!(world.phase("j"), Phase::Done);
}

/// Guards against a rush of starts into a domain that has just returned.
#[test]
fn starts_are_paced_when_a_domain_returns() {
    let mut world = region(3, 10);
    for domain in ["a", "b", "c"] {
        world.domain(domain, false);
    }
    let spec = Job::new("ws", "normal", 1, 1);
    for number in 0..80 {
        world.submit(&format!("j{number}"), spec.clone(), s(600));
    }
    world.run(s(5));
    assert_eq!(world.starts.len(), 0);
    world.domain("a", true);
    // Agents hear of the return a second after the decider and refuse until then.
    world.run(s(3));
    let started = world.starts.len();
    assert!((16..=40).contains(&started), "{started} started in 2 s");
    world.run(s(10));
    assert_eq!(world.starts.len(), 80);
}

/// Guards against starting a job again while the lost worker may still run it.
#[test]
fn a_lost_worker_keeps_its_job_until_its_agent_has_stopped_it() {
    let mut world = region(4, 1);
    let spec = Job::new("ws", "normal", 4, 1).idempotent(true);
    world.submit("j", spec, s(60));
    world.run(s(2));
    let place = world.places("j")[0].clone();
    world.cut(&place);
    // The agent itself lets the lease lapse after 9 s without an entry.
    world.run(s(8));
    assert_eq!(world.phase("j"), Phase::Running);
    world.revive(&place);
    world.run(s(5));
    assert_eq!(world.jobs["j"].attempt, 1, "it came back in time");
    world.kill(&place);
    let lost = world.now;
    assert!(world.run_until(s(40), |world| world.jobs["j"].attempt == 2));
    // The agent may be alive and cut off; it stops its parts within 20 s.
    assert!(world.now >= lost + s(30));
}

/// Guards against repeating a run that may have taken effect (R6).
#[test]
fn a_cut_off_run_that_must_not_be_repeated_ends_as_unknown() {
    let mut world = region(5, 1);
    world.submit("j", Job::new("ws", "normal", 4, 1), s(60));
    world.run(s(2));
    let place = world.places("j")[0].clone();
    world.kill(&place);
    assert!(world.run_until(s(20), World::all_final));
    assert_eq!(world.phase("j"), Phase::Unknown);
    assert_eq!(world.jobs["j"].reason, Reason::CutOff);
}

/// Guards against holds that expire while the log is slow.
#[test]
fn a_start_waits_for_a_slow_log() {
    let mut world = region(6, 1);
    world.log_up = false;
    world.submit("j", Job::new("ws", "normal", 4, 1), s(5));
    world.run(s(30));
    assert_eq!(world.starts.len(), 0);
    world.log_up = true;
    assert!(world.run_until(s(20), World::all_final));
    assert_eq!(world.phase("j"), Phase::Done);
    assert_eq!(world.jobs["j"].attempt, 1);
}

/// Guards against a domain that leaves between the record and the commit.
#[test]
fn a_domain_that_leaves_during_a_start_is_not_entered() {
    let mut world = region(7, 1);
    world.log_up = false;
    world.submit("j", Job::new("ws", "normal", 8, 1), s(5));
    world.run(ms(500));
    world.log_up = true;
    for domain in ["a", "b"] {
        world.domain(domain, false);
    }
    assert!(world.run_until(s(20), World::all_final));
    assert_eq!(world.phase("j"), Phase::Done);
    assert!(
        world
            .starts
            .iter()
            .all(|(_, _, worker)| worker.starts_with('c'))
    );
}

/// Guards against a guarantee whose workers stay those of a domain that is out, so that its job
/// waits although borrowers could give way elsewhere.
#[test]
fn a_guarantee_moves_with_its_job() {
    let mut world = region(4, 2);
    let rack16 = Shape::new(16, 1).adjacency(Adjacency::Rack);
    world.declare("owner", workspace(0, &[(rack16, 1)]));
    let gang = Job::new("owner", "normal", 16, 1).adjacency(Adjacency::Rack);
    let gang = gang.preemptible(true).checkpointable(true);
    world.submit("gang", gang.idempotent(true), s(3_600));
    world.run(s(2));
    let soft = Job::new("ws", "normal", 8, 1).adjacency(Adjacency::Worker);
    for number in 0..6 {
        let soft = soft.clone().preemptible(true).checkpointable(true);
        world.submit(&format!("soft{number}"), soft, s(3_600));
    }
    world.run(s(5));
    let domain = world.places("gang")[0][..1].to_owned();
    world.domain(&domain, false);
    world.run(s(40));
    assert_eq!(world.phase("gang"), Phase::Running);
    let places = world.places("gang");
    assert!(places.iter().all(|place| !place.starts_with(&domain)));
}

/// Guards against a waiting borrower whose reservation takes what a claim has freed.
#[test]
fn a_claim_goes_before_a_reservation() {
    let mut world = World::new(5);
    for number in 0..2 {
        world.add(worker(&format!("a{number}"), "a", "r", 8));
    }
    let whole = Shape::new(8, 1).adjacency(Adjacency::Worker);
    world.declare("owner", workspace(0, &[(whole, 2)]));
    world.declare("ws", workspace(1, &[]));
    let job = |of: &str| Job::new(of, "normal", 8, 1).adjacency(Adjacency::Worker);
    for number in 0..4 {
        let soft = job("ws").preemptible(true).checkpointable(true);
        world.submit(&format!("soft{number}"), soft, s(3_600));
    }
    world.run(s(5));
    for name in ["one", "two"] {
        world.submit(name, job("owner"), s(3_600));
    }
    world.run(s(30));
    for name in ["one", "two"] {
        assert_eq!(world.phase(name), Phase::Running, "{name}");
    }
}

/// Guards against a second run of a job that has completed, where the last report was lost with its
/// worker: a job that can be checkpointed is not therefore safe to repeat.
#[test]
fn a_run_that_may_have_completed_is_not_repeated() {
    let mut world = region(11, 1);
    let spec = Job::new("ws", "normal", 4, 1).checkpointable(true);
    world.submit("j", spec, s(20));
    world.run(s(2));
    let place = world.places("j")[0].clone();
    world.cut(&place);
    assert!(world.run_until(s(60), World::all_final));
    assert_eq!(world.phase("j"), Phase::Unknown);
    assert_eq!(world.jobs["j"].attempt, 1);
}
