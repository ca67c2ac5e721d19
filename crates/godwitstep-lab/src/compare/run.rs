//! Simulates a scenario under one policy.

use super::arrivals;
use super::baseline::{Baseline, Discipline};
use super::measure::{self, Measures, Samples};
use super::scenario::Scenario;
use crate::policy::Factory;
use crate::world::{Item, World};
use godwitstep_core::planner::{Planner, Settings, Worker};
use godwitstep_core::resource::Job;
use std::time::Duration;

/// Time between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(10);

/// Names of the policies, in the order in which they are compared.
pub(super) const POLICIES: [&str; 3] = ["first_fit", "backfill", "planner"];

/// Code of the queue item `Item::Driver` that takes a sample.
const SAMPLE_CODE: u32 = 0;
/// Code of the first departure. Its return has the next code; the other departures and returns
/// follow.
const FIRST_DEPARTURE_CODE: u32 = 1;
/// Code of the first arrival; the others follow.
const FIRST_ARRIVAL_CODE: u32 = 1_000;

fn policy_factory(policy: &str) -> Factory {
    match policy {
        "first_fit" => Box::new(|_| Box::new(Baseline::new(Discipline::Fifo))),
        "backfill" => Box::new(|_| Box::new(Baseline::new(Discipline::Backfill))),
        _ => Box::new(|seed| Box::new(Planner::new(Settings::default(), seed))),
    }
}

/// Simulates a scenario under a policy. Returns the measures and the first invariant violation.
pub(super) fn simulate(scenario: &Scenario, policy: &str, seed: u64) -> (Measures, Option<String>) {
    let mut world = World::new(seed, policy_factory(policy));
    set_up(&mut world, scenario);
    // All workers are announced before the first job arrives.
    let start = world.now + Duration::from_secs(10);
    let end = start + Duration::from_secs(scenario.duration_s);
    let drain_end = end + Duration::from_secs(scenario.drain_s);
    let arrivals = arrivals::generate(scenario, seed);
    for (code, arrival) in (FIRST_ARRIVAL_CODE..).zip(&arrivals) {
        world.queue.push(start + arrival.at, Item::Driver(code));
    }
    let mut samples = Samples::default();
    for (code, departure) in (FIRST_DEPARTURE_CODE..)
        .step_by(2)
        .zip(&scenario.departures)
    {
        let leaves_at = start + Duration::from_secs(departure.at_s);
        let returns_at = start + Duration::from_secs(departure.back_s);
        world.queue.push(leaves_at, Item::Driver(code));
        world.queue.push(returns_at, Item::Driver(code + 1));
        samples.departures.push((leaves_at, returns_at.min(end)));
    }
    world.queue.push(start, Item::Driver(SAMPLE_CODE));
    let mut submitted = 0;
    while world.now < drain_end && (world.now < end || world.load() > 0) {
        let Some(code) = world.step() else {
            continue;
        };
        match code {
            SAMPLE_CODE => {
                sample(&world, &mut samples);
                if world.now + SAMPLE_INTERVAL < end {
                    let next = world.now + SAMPLE_INTERVAL;
                    world.queue.push(next, Item::Driver(SAMPLE_CODE));
                }
            }
            FIRST_ARRIVAL_CODE.. => {
                let arrival = &arrivals[(code - FIRST_ARRIVAL_CODE) as usize];
                if within_guarantee(&world, &arrival.spec) {
                    samples.guaranteed.push(submitted);
                }
                submitted += 1;
                world.submit(arrival.spec.clone(), arrival.run_time);
            }
            _ => {
                let number = (code - FIRST_DEPARTURE_CODE) as usize;
                let id = &scenario.departures[number / 2].domain;
                let index = world.domains.iter().position(|domain| domain.id == *id);
                world.set_domain(index.unwrap_or(0), number % 2 == 1);
            }
        }
    }
    let measures = measure::compute(&world, &samples, (start, end));
    (measures, world.broken.map(|fault| fault.what))
}

fn set_up(world: &mut World, scenario: &Scenario) {
    for domain in &scenario.domains {
        for number in 0..domain.workers {
            world.add(Worker {
                id: format!("{}-{number}", domain.name).into(),
                incarnation: 1,
                domain: domain.name.clone(),
                rack: format!("rack-{}", number / scenario.workers_per_rack.max(1)).into(),
                accelerators: scenario.accelerators,
            });
        }
    }
    world.net.delay_ms = scenario.latency_ms;
    world.log.append_ms = scenario.append_ms;
    world.checkpoint_ms = scenario.checkpoint_ms;
    for (id, spec) in &scenario.workspaces {
        world.declare(id, spec.clone());
    }
    world.start();
}

/// Reports whether a job has the shape of a guarantee of its workspace, and the active jobs of the
/// workspace and this one together need no more accelerators than it is guaranteed.
fn within_guarantee(world: &World, spec: &Job) -> bool {
    let Some(workspace) = world.workspaces.get(&spec.workspace) else {
        return false;
    };
    let entries = workspace.guarantees.iter();
    let guaranteed: u32 = entries
        .clone()
        .map(|entry| entry.count * entry.shape.accelerators())
        .sum();
    let active = world.active();
    let active = active.iter().map(|number| &world.jobs[*number].spec);
    let same_workspace = active.filter(|other| other.workspace == spec.workspace);
    let used: u32 = same_workspace.map(|other| other.shape.accelerators()).sum();
    let mut shapes = entries.map(|entry| entry.shape);
    shapes.any(|shape| shape == spec.shape) && used + spec.shape.accelerators() <= guaranteed
}

/// Samples fragmentation and the capacity in service.
fn sample(world: &World, samples: &mut Samples) {
    let (mut free, mut on_free_workers, mut capacity) = (0, 0, 0);
    for agent in &world.agents {
        let size = agent.worker.accelerators;
        if world.out_since(&agent.worker.domain).is_none() {
            let idle = size.saturating_sub(agent.used);
            free += idle;
            on_free_workers += if agent.used == 0 { idle } else { 0 };
            capacity += size;
        }
    }
    let fragmentation = match free {
        0 => 0.0,
        free => 1.0 - f64::from(on_free_workers) / f64::from(free),
    };
    samples.fragmentation.push(fragmentation);
    let accelerator_seconds = f64::from(capacity) * SAMPLE_INTERVAL.as_secs_f64();
    samples.capacity += accelerator_seconds;
    if world.domains.iter().any(|domain| domain.out.is_some()) {
        samples.capacity_during_departure += accelerator_seconds;
    }
}
