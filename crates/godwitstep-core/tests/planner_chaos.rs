//! Random jobs under random faults. The driver checks what must hold at every step.

mod driver;

use driver::{Faults, World, ms, s, worker, workspace};
use godwitstep_core::Standing;
use godwitstep_core::resource::{Adjacency, Job, Phase, Shape};

const WORKERS: u32 = 12;

fn region(seed: u64) -> World {
    let mut world = World::new(seed);
    let rack = Shape::new(12, 1).adjacency(Adjacency::Rack);
    world.declare("first", workspace(0, &[(rack, 2)]));
    world.declare(
        "second",
        workspace(1, &[(Shape::new(2, 4), 2), (Shape::new(3, 1), 1)]),
    );
    world.declare("third", workspace(2, &[]));
    for number in 0..WORKERS {
        let domain = ["a", "b", "c"][(number / 4) as usize];
        let rack = format!("r{}", number / 2);
        world.add(worker(&format!("w{number}"), domain, &rack, 8));
    }
    world
}

fn job(world: &mut World) -> Job {
    let workspace = ["first", "second", "third"][world.rng.usize(0..3)];
    let kind = ["normal", "urgent", "patient"][world.rng.usize(0..3)];
    let adjacency = [
        Adjacency::Worker,
        Adjacency::Rack,
        Adjacency::Domain,
        Adjacency::Any,
    ];
    let adjacency = adjacency[world.rng.usize(0..4)];
    let (tasks, each) = match (adjacency, world.rng.u32(0..4)) {
        (Adjacency::Worker, _) => (world.rng.u32(1..=4), 2),
        (Adjacency::Rack, _) => (12, 1),
        (_, 0) => (world.rng.u32(8..=30), 1),
        _ => (world.rng.u32(1..=3), world.rng.u32(1..=4)),
    };
    let mut spec = Job::new(workspace, kind, tasks, each)
        .adjacency(adjacency)
        .checkpointable(world.rng.bool())
        .preemptible(world.rng.bool())
        .idempotent(world.rng.bool());
    if world.rng.bool() {
        spec = spec.run(s(world.rng.u64(1..100)));
    }
    spec
}

fn disturb(world: &mut World) {
    let id = format!("w{}", world.rng.u32(0..WORKERS));
    let domain = ["a", "b", "c"][world.rng.usize(0..3)];
    match world.rng.u32(0..14) {
        0 => world.kill(&id),
        1 => world.cut(&id),
        2..=5 => world.revive(&id),
        6 => world.domain(domain, false),
        7 | 8 => world.domain(domain, true),
        9 => world.take_over(),
        10 => world.log_up = !world.log_up,
        11 => {
            let rack = Shape::new(12, 1).adjacency(Adjacency::Rack);
            let count = world.rng.u32(1..4);
            world.declare("first", workspace(count, &[(rack, count)]));
        }
        12 => {
            let all = [Standing::Fresh, Standing::Coasting, Standing::Halted];
            let standing = all[world.rng.usize(0..3)];
            world.standing(standing);
        }
        _ => {
            let fails = world.rng.u32(0..4) == 0;
            world.agents.get_mut(&id).unwrap().fails = fails;
        }
    }
}

fn heal(world: &mut World) {
    world.faults = Faults::default();
    world.log_up = true;
    world.standing(Standing::Fresh);
    for domain in ["a", "b", "c"] {
        world.domain(domain, true);
    }
    for number in 0..WORKERS {
        let id = format!("w{number}");
        world.agents.get_mut(&id).unwrap().fails = false;
        world.revive(&id);
    }
}

/// Guards against repeated runs, overlapping runs, partial gangs, forgotten jobs and accelerators
/// that stay in the books, whatever fails.
#[test]
fn nothing_is_lost_or_repeated_under_random_faults() {
    for seed in 0..24 {
        println!("seed {seed}");
        let mut world = region(seed);
        world.faults = Faults {
            loss: 0.03,
            delay: 80,
            reorder: seed % 3 == 0,
        };
        for number in 0..120 {
            if number < 80 {
                let spec = job(&mut world);
                let name = format!("j{number}");
                let run = s(world.rng.u64(1..60));
                world.submit(&name, spec, run);
                let entry = world.jobs.get_mut(&name).unwrap();
                entry.fails = number % 17 == 0;
            }
            if world.rng.u32(0..3) == 0 {
                disturb(&mut world);
            }
            if world.rng.u32(0..8) == 0 {
                let name = format!("j{}", world.rng.u32(0..80));
                if world.jobs.contains_key(&name) {
                    world.cancel(&name);
                }
            }
            let pause = world.rng.u64(10..4_000);
            world.run(ms(pause));
        }
        heal(&mut world);
        world.run(s(300));
        // Jobs that do not give way may not fit beside the guarantees.
        for name in ["first", "second"] {
            world.declare(name, workspace(0, &[]));
        }
        let ended = world.run_until(s(3_000), World::all_final);
        let stuck = world
            .jobs
            .iter()
            .filter(|(_, entry)| !entry.phase.is_final());
        let stuck: Vec<_> = stuck
            .map(|(name, entry)| (name, entry.phase, &entry.reason))
            .collect();
        assert!(ended, "seed {seed}: {stuck:?}");
        // Parts of runs that were given up may take some seconds to stop.
        world.run(s(120));
        let summary = world.planner.summary();
        assert_eq!(summary.waiting, 0, "seed {seed}");
        assert!(
            summary.domains.iter().all(|domain| domain.borrowed == 0),
            "seed {seed}"
        );
        assert!(
            summary.workspaces.iter().all(|entry| entry.suspended == 0),
            "seed {seed}"
        );
        let running = world
            .agents
            .values()
            .map(|agent| agent.tasks.len())
            .sum::<usize>();
        assert_eq!(running, 0, "seed {seed}");
        let done = world
            .jobs
            .values()
            .filter(|entry| entry.phase == Phase::Done);
        assert!(done.count() > 20, "seed {seed}");
    }
}
