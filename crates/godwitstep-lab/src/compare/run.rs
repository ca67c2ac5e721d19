//! One run of a scenario under one policy.

use super::baseline::{Baseline, Order};
use super::measure::{Measures, Samples, measure};
use super::scenario::Scenario;
use super::work;
use crate::policy::Factory;
use crate::world::{Item, World};
use godwitstep_core::planner::{Planner, Settings, Worker};
use godwitstep_core::resource::Job;
use std::time::Duration;

/// Time between samples.
const SAMPLE: Duration = Duration::from_secs(10);

/// Names of the policies, in the order in which they are compared.
pub(super) const POLICIES: [&str; 3] = ["first_fit", "backfill", "planner"];

/// Codes of the driver's items: a sample, departures and returns, then arrivals.
const SAMPLE_CODE: u32 = 0;
const DEPARTURE_CODES: u32 = 1;
const ARRIVAL_CODES: u32 = 1_000;

fn factory(policy: &str) -> Factory {
    match policy {
        "first_fit" => Box::new(|_| Box::new(Baseline::new(Order::Arrival))),
        "backfill" => Box::new(|_| Box::new(Baseline::new(Order::Backfill))),
        _ => Box::new(|seed| Box::new(Planner::new(Settings::default(), seed))),
    }
}

/// Runs a scenario under a policy.
pub(super) fn run(scenario: &Scenario, policy: &str, seed: u64) -> (Measures, Option<String>) {
    let mut world = World::new(seed, factory(policy));
    set_up(&mut world, scenario);
    // Workers are known before the first job arrives.
    let start = world.now + Duration::from_secs(10);
    let end = start + Duration::from_secs(scenario.duration_s);
    let limit = end + Duration::from_secs(scenario.drain_s);
    let arrivals = work::draw(scenario, seed);
    for (code, arrival) in (ARRIVAL_CODES..).zip(&arrivals) {
        world.queue.push(start + arrival.at, Item::Driver(code));
    }
    let mut samples = Samples::default();
    for (code, departure) in (DEPARTURE_CODES..).step_by(2).zip(&scenario.departures) {
        let at = start + Duration::from_secs(departure.at_s);
        let back = start + Duration::from_secs(departure.back_s);
        world.queue.push(at, Item::Driver(code));
        world.queue.push(back, Item::Driver(code + 1));
        samples.out.push((at, back.min(end)));
    }
    world.queue.push(start, Item::Driver(SAMPLE_CODE));
    let mut submitted = 0;
    while world.now < limit && (world.now < end || world.load() > 0) {
        let Some(code) = world.step() else {
            continue;
        };
        match code {
            SAMPLE_CODE => {
                sample(&world, &mut samples);
                if world.now + SAMPLE < end {
                    let next = world.now + SAMPLE;
                    world.queue.push(next, Item::Driver(SAMPLE_CODE));
                }
            }
            ARRIVAL_CODES.. => {
                let arrival = &arrivals[(code - ARRIVAL_CODES) as usize];
                if within_guarantee(&world, &arrival.spec) {
                    samples.guaranteed.push(submitted);
                }
                submitted += 1;
                world.submit(arrival.spec.clone(), arrival.run);
            }
            _ => {
                let number = (code - DEPARTURE_CODES) as usize;
                let id = &scenario.departures[number / 2].domain;
                let found = world.domains.iter().position(|domain| domain.id == *id);
                world.set_domain(found.unwrap_or(0), number % 2 == 1);
            }
        }
    }
    let measures = measure(&world, &samples, (start, end));
    (measures, world.broken.map(|fault| fault.what))
}

fn set_up(world: &mut World, scenario: &Scenario) {
    for site in &scenario.domains {
        for number in 0..site.workers {
            world.add(Worker {
                id: format!("{}-{number}", site.name).into(),
                incarnation: 1,
                domain: site.name.clone(),
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

/// Reports whether a job has the shape of a guarantee of its workspace, and the workspace asks for
/// no more accelerators than it is guaranteed with all its active jobs and this one.
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
    let own = active.filter(|other| other.workspace == spec.workspace);
    let used: u32 = own.map(|other| other.shape.accelerators()).sum();
    let mut shapes = entries.map(|entry| entry.shape);
    shapes.any(|shape| shape == spec.shape) && used + spec.shape.accelerators() <= guaranteed
}

fn sample(world: &World, samples: &mut Samples) {
    let (mut free, mut whole, mut capacity) = (0, 0, 0);
    for agent in &world.agents {
        let size = agent.worker.accelerators;
        if world.out_since(&agent.worker.domain).is_none() {
            let idle = size.saturating_sub(agent.used);
            free += idle;
            whole += if agent.used == 0 { idle } else { 0 };
            capacity += size;
        }
    }
    let fragmentation = match free {
        0 => 0.0,
        free => 1.0 - f64::from(whole) / f64::from(free),
    };
    samples.fragmentation.push(fragmentation);
    let time = f64::from(capacity) * SAMPLE.as_secs_f64();
    samples.capacity += time;
    if world.domains.iter().any(|domain| domain.out.is_some()) {
        samples.capacity_out += time;
    }
}
