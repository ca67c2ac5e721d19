//! The start of gangs, with and without losses, and the take-over by a new decider.

mod driver;

use driver::{Faults, World, ms, s, worker};
use godwitstep_core::resource::{Adjacency, Job, Phase};

fn region(seed: u64) -> World {
    let mut world = World::new(seed);
    for number in 0..6 {
        let domain = if number < 3 { "dk-vest-a" } else { "dk-vest-b" };
        world.add(worker(&format!("w{number}"), domain, "r1", 8));
    }
    world
}

/// Guards against a start path that loses a step.
#[test]
fn a_job_on_one_worker_runs_to_its_end() {
    let mut world = region(1);
    world.submit("j", Job::new("ws", "normal", 2, 2), s(5));
    assert!(world.run_until(s(10), World::all_final));
    assert_eq!(world.phase("j"), Phase::Done);
    assert_eq!(world.jobs["j"].attempt, 1);
}

/// Guards against gangs spread wider than their adjacency allows.
#[test]
fn a_gang_runs_in_one_rack() {
    let mut world = region(2);
    let gang = Job::new("ws", "normal", 20, 1).adjacency(Adjacency::Rack);
    world.submit("j", gang, s(5));
    world.run(s(1));
    assert_eq!(world.places("j").len(), 3);
    assert!(world.run_until(s(10), World::all_final));
    assert_eq!(world.phase("j"), Phase::Done);
}

/// Guards against parts that run without their gang after losses at any step.
#[test]
fn gangs_start_whole_or_not_at_all_when_messages_are_lost() {
    for seed in 0..30 {
        let mut world = region(seed);
        world.faults = Faults {
            loss: 0.2,
            delay: 300,
            reorder: seed % 2 == 0,
        };
        for number in 0..12 {
            let spec = Job::new("ws", "normal", 10, 1).idempotent(number % 2 == 0);
            world.submit(&format!("j{number}"), spec, s(20));
        }
        world.run(s(120));
        world.faults = Faults::default();
        assert!(world.run_until(s(300), World::all_final), "seed {seed}");
        for (name, entry) in &world.jobs {
            let once = matches!(entry.phase, Phase::Done | Phase::Unknown);
            assert!(once, "{name} {:?} seed {seed}", entry.phase);
            if entry.spec.idempotent {
                assert_eq!(entry.phase, Phase::Done, "{name} seed {seed}");
            }
        }
    }
}

/// Guards against a new decider that starts again what still runs, or forgets what was accepted.
#[test]
fn a_new_decider_takes_over_at_any_moment() {
    for seed in 0..40 {
        let mut world = region(seed);
        world.faults.delay = 100;
        for number in 0..8 {
            let spec = Job::new("ws", "normal", 10, 1).checkpointable(number % 2 == 0);
            world.submit(&format!("j{number}"), spec, s(15));
        }
        for _ in 0..4 {
            world.run(ms(50 + seed * 37 % 4_000));
            world.take_over();
        }
        assert!(world.run_until(s(300), World::all_final), "seed {seed}");
        let unsure = world
            .jobs
            .values()
            .filter(|entry| entry.phase == Phase::Unknown);
        assert_eq!(unsure.count(), 0, "seed {seed}: no worker was lost");
    }
}
