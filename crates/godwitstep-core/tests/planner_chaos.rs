//! Runs random jobs under random faults. The simulation asserts its invariants at every step.

mod planner_simulation;

use godwitstep_core::OperatingMode;
use godwitstep_core::resource::{Adjacency, Job, Phase, Shape};
use planner_simulation::{Faults, Simulation, ms, s, worker, workspace};

const WORKERS: u32 = 12;

fn region(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    let rack = Shape::new(12, 1).adjacency(Adjacency::Rack);
    simulation.declare_workspace("first", workspace(0, &[(rack, 2)]));
    simulation.declare_workspace(
        "second",
        workspace(1, &[(Shape::new(2, 4), 2), (Shape::new(3, 1), 1)]),
    );
    simulation.declare_workspace("third", workspace(2, &[]));
    for number in 0..WORKERS {
        let domain = ["a", "b", "c"][(number / 4) as usize];
        let rack = format!("r{}", number / 2);
        simulation.add_worker(worker(&format!("w{number}"), domain, &rack, 8));
    }
    simulation
}

fn random_job(simulation: &mut Simulation) -> Job {
    let workspace = ["first", "second", "third"][simulation.rng.usize(0..3)];
    let kind = ["normal", "urgent", "patient"][simulation.rng.usize(0..3)];
    let adjacency = [
        Adjacency::Worker,
        Adjacency::Rack,
        Adjacency::Domain,
        Adjacency::Any,
    ];
    let adjacency = adjacency[simulation.rng.usize(0..4)];
    let (tasks, accelerators_per_task) = match (adjacency, simulation.rng.u32(0..4)) {
        (Adjacency::Worker, _) => (simulation.rng.u32(1..=4), 2),
        (Adjacency::Rack, _) => (12, 1),
        (_, 0) => (simulation.rng.u32(8..=30), 1),
        _ => (simulation.rng.u32(1..=3), simulation.rng.u32(1..=4)),
    };
    let mut spec = Job::new(workspace, kind, tasks, accelerators_per_task)
        .adjacency(adjacency)
        .checkpointable(simulation.rng.bool())
        .preemptible(simulation.rng.bool())
        .idempotent(simulation.rng.bool());
    if simulation.rng.bool() {
        spec = spec.run(s(simulation.rng.u64(1..100)));
    }
    spec
}

fn inject_fault(simulation: &mut Simulation) {
    let id = format!("w{}", simulation.rng.u32(0..WORKERS));
    let domain = ["a", "b", "c"][simulation.rng.usize(0..3)];
    match simulation.rng.u32(0..14) {
        0 => simulation.crash_worker(&id),
        1 => simulation.disconnect(&id),
        2..=5 => simulation.restore_worker(&id),
        6 => simulation.set_in_service(domain, false),
        7 | 8 => simulation.set_in_service(domain, true),
        9 => simulation.replace_decider(),
        10 => simulation.log_available = !simulation.log_available,
        11 => {
            let rack = Shape::new(12, 1).adjacency(Adjacency::Rack);
            let count = simulation.rng.u32(1..4);
            simulation.declare_workspace("first", workspace(count, &[(rack, count)]));
        }
        12 => {
            let operating_modes = [
                OperatingMode::Normal,
                OperatingMode::Degraded,
                OperatingMode::Halted,
            ];
            let operating_mode = operating_modes[simulation.rng.usize(0..3)];
            simulation.set_operating_mode(operating_mode);
        }
        _ => {
            let fails = simulation.rng.u32(0..4) == 0;
            simulation.agents.get_mut(&id).unwrap().fails_parts = fails;
        }
    }
}

fn clear_faults(simulation: &mut Simulation) {
    simulation.faults = Faults::default();
    simulation.log_available = true;
    simulation.set_operating_mode(OperatingMode::Normal);
    for domain in ["a", "b", "c"] {
        simulation.set_in_service(domain, true);
    }
    for number in 0..WORKERS {
        let id = format!("w{number}");
        simulation.agents.get_mut(&id).unwrap().fails_parts = false;
        simulation.restore_worker(&id);
    }
}

/// Guards against repeated runs, overlapping runs, partial gangs, lost jobs and accelerators that
/// are never released, under any combination of faults.
#[test]
fn nothing_is_lost_or_repeated_under_random_faults() {
    for seed in 0..24 {
        println!("seed {seed}");
        let mut simulation = region(seed);
        simulation.faults = Faults {
            loss_probability: 0.03,
            max_delay_ms: 80,
            reorder: seed % 3 == 0,
        };
        for number in 0..120 {
            if number < 80 {
                let spec = random_job(&mut simulation);
                let name = format!("j{number}");
                let run_time = s(simulation.rng.u64(1..60));
                simulation.submit(&name, spec, run_time);
                let state = simulation.jobs.get_mut(&name).unwrap();
                state.fails = number % 17 == 0;
            }
            if simulation.rng.u32(0..3) == 0 {
                inject_fault(&mut simulation);
            }
            if simulation.rng.u32(0..8) == 0 {
                let name = format!("j{}", simulation.rng.u32(0..80));
                if simulation.jobs.contains_key(&name) {
                    simulation.cancel(&name);
                }
            }
            let interval_ms = simulation.rng.u64(10..4_000);
            simulation.run_for(ms(interval_ms));
        }
        clear_faults(&mut simulation);
        simulation.run_for(s(300));
        // Removes the guarantees: jobs that aren't preemptible may not fit beside them.
        for name in ["first", "second"] {
            simulation.declare_workspace(name, workspace(0, &[]));
        }
        let all_final = simulation.run_until(s(3_000), Simulation::all_final);
        let unfinished = simulation
            .jobs
            .iter()
            .filter(|(_, state)| !state.phase.is_final());
        let unfinished: Vec<_> = unfinished
            .map(|(name, state)| (name, state.phase, &state.reason))
            .collect();
        assert!(all_final, "seed {seed}: {unfinished:?}");
        // Parts of abandoned runs may take some seconds to stop.
        simulation.run_for(s(120));
        let summary = simulation.planner.summary();
        assert_eq!(summary.waiting, 0, "seed {seed}");
        assert!(
            summary.domains.iter().all(|domain| domain.borrowed == 0),
            "seed {seed}"
        );
        assert!(
            summary
                .workspaces
                .iter()
                .all(|workspace| workspace.suspended == 0),
            "seed {seed}"
        );
        let running_parts = simulation
            .agents
            .values()
            .map(|agent| agent.running_parts.len())
            .sum::<usize>();
        assert_eq!(running_parts, 0, "seed {seed}");
        let done = simulation
            .jobs
            .values()
            .filter(|state| state.phase == Phase::Done);
        assert!(done.count() > 20, "seed {seed}");
    }
}
