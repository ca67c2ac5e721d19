//! Gangs that should run within one rack: when they wait for one, and when they run on several.

mod simulation;

use godwitstep_batch::job::Step;
use simulation::{Simulation, gang, seconds};
use std::collections::BTreeSet;

const GANG: u64 = 9;

fn one_rack(gang: Step) -> Step {
    Step {
        one_rack: true,
        ..gang
    }
}

/// Returns a gang of three whole workers.
fn large_gang() -> Step {
    one_rack(gang(3, 8, seconds(3)))
}

fn submit(sim: &mut Simulation, step: Step) {
    sim.submit(GANG, "normal", "north", vec![step]);
}

/// Returns the number of racks on which the gang runs.
fn racks(sim: &Simulation) -> usize {
    let hosts = sim.hosts_running(GANG);
    let racks = hosts.iter().map(|host| &sim.hosts[host].worker.info.rack);
    racks.collect::<BTreeSet<_>>().len()
}

/// Guards against gangs that never start as no rack has enough workers for their limit of tasks on one (review/14).
#[test]
fn the_limit_of_tasks_on_a_worker_limits_what_a_rack_can_hold() {
    let mut sim = Simulation::new(9, 3);
    let limited = |tasks| Step {
        per_worker: 1,
        ..one_rack(gang(tasks, 1, seconds(3)))
    };
    sim.submit(1, "normal", "north", vec![limited(3)]);
    for job in 2..=4 {
        sim.submit(job, "normal", "north", vec![limited(4)]);
    }
    sim.run_for(seconds(1));
    let running = |job| sim.hosts_running(job).len();
    assert_eq!([1, 2, 3, 4].map(running), [3, 4, 4, 4]);
}

/// Guards against the same with the label that the workers of a rack need.
#[test]
fn workers_without_the_label_are_no_room_of_their_rack() {
    let mut sim = Simulation::new(6, 3);
    for number in [0, 3, 4] {
        sim.host(number).worker.info.labels.push("fast".into());
    }
    let labelled = Step {
        label: Some("fast".into()),
        ..large_gang()
    };
    submit(&mut sim, labelled);
    sim.run_for(seconds(1));
    assert_eq!(racks(&sim), 2);
}
