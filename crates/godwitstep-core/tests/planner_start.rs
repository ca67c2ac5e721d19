//! Tests of gang starts, with and without message loss, and of the takeover by a new decider.

mod planner_simulation;

use godwitstep_core::resource::{Adjacency, Job, Phase};
use planner_simulation::{Faults, Simulation, ms, s, worker};

fn region(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    for number in 0..6 {
        let domain = if number < 3 { "dk-vest-a" } else { "dk-vest-b" };
        simulation.add_worker(worker(&format!("w{number}"), domain, "r1", 8));
    }
    simulation
}

/// Guards against a start that stalls at a step of the protocol.
#[test]
fn a_job_on_one_worker_runs_to_its_end() {
    let mut simulation = region(1);
    simulation.submit("j", Job::new("ws", "normal", 2, 2), s(5));
    assert!(simulation.run_until(s(10), Simulation::all_final));
    assert_eq!(simulation.phase("j"), Phase::Done);
    assert_eq!(simulation.jobs["j"].attempt, 1);
}

/// Guards against gangs placed across more racks than their adjacency allows.
#[test]
fn a_gang_runs_in_one_rack() {
    let mut simulation = region(2);
    let gang = Job::new("ws", "normal", 20, 1).adjacency(Adjacency::Rack);
    simulation.submit("j", gang, s(5));
    simulation.run_for(s(1));
    assert_eq!(simulation.workers_running("j").len(), 3);
    assert!(simulation.run_until(s(10), Simulation::all_final));
    assert_eq!(simulation.phase("j"), Phase::Done);
}

/// Guards against partial gangs that run after a message is lost at any step.
#[test]
fn gangs_start_atomically_when_messages_are_lost() {
    for seed in 0..30 {
        let mut simulation = region(seed);
        simulation.faults = Faults {
            loss_probability: 0.2,
            max_delay_ms: 300,
            reorder: seed % 2 == 0,
        };
        for number in 0..12 {
            let spec = Job::new("ws", "normal", 10, 1).idempotent(number % 2 == 0);
            simulation.submit(&format!("j{number}"), spec, s(20));
        }
        simulation.run_for(s(120));
        simulation.faults = Faults::default();
        assert!(
            simulation.run_until(s(300), Simulation::all_final),
            "seed {seed}"
        );
        for (name, state) in &simulation.jobs {
            let not_repeated = matches!(state.phase, Phase::Done | Phase::Unknown);
            assert!(not_repeated, "{name} {:?} seed {seed}", state.phase);
            if state.spec.idempotent {
                assert_eq!(state.phase, Phase::Done, "{name} seed {seed}");
            }
        }
    }
}

/// Guards against a new decider that restarts running jobs or loses accepted ones.
#[test]
fn a_new_decider_takes_over_at_any_time() {
    for seed in 0..40 {
        let mut simulation = region(seed);
        simulation.faults.max_delay_ms = 100;
        for number in 0..8 {
            let spec = Job::new("ws", "normal", 10, 1).checkpointable(number % 2 == 0);
            simulation.submit(&format!("j{number}"), spec, s(15));
        }
        for _ in 0..4 {
            simulation.run_for(ms(50 + seed * 37 % 4_000));
            simulation.replace_decider();
        }
        assert!(
            simulation.run_until(s(300), Simulation::all_final),
            "seed {seed}"
        );
        let unknown = simulation
            .jobs
            .values()
            .filter(|state| state.phase == Phase::Unknown);
        assert_eq!(unknown.count(), 0, "seed {seed}: no worker was lost");
    }
}
