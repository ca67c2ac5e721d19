//! Workers whose capacity shrinks and grows again while they run tasks.

mod simulation;

use godwitstep_batch::agent::{Agent, Contact, Operation, Registration, RunLists};
use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Epoch, Incarnation, Run, Task};
use godwitstep_batch::job::Step;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::message::{Directive, EndReason, Start, WorkerInfo};
use godwitstep_batch::planner::Decision;
use simulation::{COMPLETED, Simulation, WORKER_CAPACITY, gang, seconds, step};
use std::net::SocketAddr;
use std::time::Duration;

const EPOCH: Epoch = 1 << 20;
const TASK: Task = Task {
    job: 7,
    step: 0,
    index: 0,
};
/// Interval of the heartbeats in these tests. Unit: milliseconds.
const HEARTBEAT: u64 = 1_500;
/// Sequence number of another writer's heartbeat.
const FOREIGN_SEQUENCE: u64 = 4_000_000_000;

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

const fn room(cores: u64, accelerators: u64) -> Demand {
    Demand {
        cpu: cores * 1_000,
        memory: 262_144,
        accelerators,
    }
}

fn incarnation() -> Incarnation {
    Incarnation {
        host: "host-1".into(),
        worker: "worker-1".into(),
        started_ms: 1,
    }
}

fn register(agent: &mut Agent, at: u64, sequence: u64, capacity: Demand) {
    let info = WorkerInfo {
        incarnation: incarnation(),
        pool: "floor".into(),
        domain: "domain-1".into(),
        capacity,
        labels: Vec::new(),
        rack: None,
        draining: false,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    agent.register(millis(at), Registration { info, sequence }, address);
}

/// Returns an agent whose worker has registered with 64 cores and 8 accelerators as sequence number 10.
fn agent() -> Agent {
    let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 1, Bounds::default());
    let greeting = agent.report(Duration::ZERO, false);
    answer(&mut agent, 0, greeting.sequence, Directive::default());
    register(&mut agent, 0, 10, room(64, 8));
    let probe = agent.due_probe(Duration::ZERO).expect("a probe is due");
    let lists = RunLists {
        clock: 1_000,
        started_ms: Some(1),
        ..RunLists::default()
    };
    agent.probe_answered(
        Duration::ZERO,
        Duration::ZERO,
        &probe,
        Contact::Lists(lists),
    );
    agent
}

/// Delivers the reply to a report.
fn answer(agent: &mut Agent, at: u64, report: u64, directive: Directive) {
    let directive = Directive {
        epoch: EPOCH,
        sequence: report,
        incarnation: Some(incarnation()),
        ..directive
    };
    assert!(agent.apply_directive(millis(at), directive));
}

fn start_of(run: Run) -> Directive {
    let start = Start {
        task: TASK,
        run,
        spec: "spec".into(),
        saved: "".into(),
    };
    Directive {
        start: vec![start],
        ..Directive::default()
    }
}

/// Returns the capacity in the agent's next report.
fn reported(agent: &mut Agent, at: u64) -> Demand {
    let report = agent.report(millis(at), false);
    report.worker.expect("a worker is known").info.capacity
}

/// Returns the operations that are due.
fn due(agent: &mut Agent, at: u64) -> Vec<Operation> {
    let calls = agent.due_calls(millis(at));
    calls.into_iter().map(|call| call.operation).collect()
}

/// Guards against starts on a room that the worker no longer has, because a heartbeat that says so has to be repeated.
#[test]
fn smaller_room_counts_from_the_first_heartbeat() {
    let mut agent = agent();
    register(&mut agent, HEARTBEAT, 11, room(64, 4));
    assert_eq!(reported(&mut agent, HEARTBEAT), room(64, 4));
    register(&mut agent, 2 * HEARTBEAT, 12, room(32, 3));
    assert_eq!(reported(&mut agent, 2 * HEARTBEAT), room(32, 3));
}

/// Guards against room that shrinks in one resource and grows in another, which counts too late or too early.
#[test]
fn each_resource_counts_by_itself() {
    let mut agent = agent();
    register(&mut agent, HEARTBEAT, 11, room(96, 4));
    assert_eq!(reported(&mut agent, HEARTBEAT), room(64, 4));
    register(&mut agent, 2 * HEARTBEAT, 12, room(96, 4));
    assert_eq!(reported(&mut agent, 2 * HEARTBEAT), room(96, 4));
}

/// Guards against a worker that stays small after its room has grown again.
#[test]
fn larger_room_counts_when_it_is_confirmed() {
    let mut agent = agent();
    register(&mut agent, HEARTBEAT, 11, room(64, 4));
    register(&mut agent, 2 * HEARTBEAT, 12, room(64, 8));
    assert_eq!(reported(&mut agent, 2 * HEARTBEAT), room(64, 4));
    register(&mut agent, 3 * HEARTBEAT, 13, room(64, 8));
    assert_eq!(reported(&mut agent, 3 * HEARTBEAT), room(64, 8));
}

/// Guards against room that late heartbeats of an earlier time bring back.
#[test]
fn late_heartbeats_bring_no_room_back() {
    let mut agent = agent();
    register(&mut agent, HEARTBEAT, 13, room(64, 4));
    for sequence in [11, 12] {
        register(&mut agent, HEARTBEAT + 10 * sequence, sequence, room(64, 8));
        assert_eq!(reported(&mut agent, HEARTBEAT + 200), room(64, 4));
    }
    register(&mut agent, 2 * HEARTBEAT, 14, room(64, 4));
    assert_eq!(reported(&mut agent, 2 * HEARTBEAT), room(64, 4));
}

/// Guards against a worker that is lost for new starts for long because of one heartbeat of another writer.
#[test]
fn room_of_another_writer_does_not_last() {
    let mut agent = agent();
    register(&mut agent, 100, FOREIGN_SEQUENCE, Demand::default());
    let mut at = 100;
    for sequence in 11..16 {
        at += HEARTBEAT;
        register(&mut agent, at, sequence, room(64, 8));
    }
    assert_eq!(reported(&mut agent, at), room(64, 8));
    register(&mut agent, at + 100, 3, Demand::default());
    for sequence in 16..18 {
        at += HEARTBEAT;
        register(&mut agent, at, sequence, room(64, 8));
    }
    assert_eq!(reported(&mut agent, at), room(64, 8));
}

/// Guards against a start that was ordered on a larger room than the worker has said since, and against its loss.
#[test]
fn an_order_on_a_larger_room_waits_for_one_on_the_new_room() {
    let mut agent = agent();
    let report = agent.report(millis(100), false).sequence;
    register(&mut agent, 110, 11, room(64, 4));
    answer(&mut agent, 120, report, start_of(1));
    assert_eq!(due(&mut agent, 120), [], "ordered on the larger room");
    let report = agent.report(millis(130), false).sequence;
    answer(&mut agent, 140, report, start_of(1));
    assert_eq!(due(&mut agent, 140).len(), 1);
}

/// Guards against a start that was ordered in time but is sent after the room has shrunk.
#[test]
fn an_order_that_has_not_been_carried_out_waits_after_a_shrink() {
    let mut agent = agent();
    let report = agent.report(millis(100), false).sequence;
    answer(&mut agent, 120, report, start_of(1));
    register(&mut agent, 121, 11, room(64, 4));
    assert_eq!(due(&mut agent, 122), []);
    // A registration that repeats the room holds nothing back.
    let report = agent.report(millis(130), false).sequence;
    answer(&mut agent, 140, report, start_of(1));
    register(&mut agent, 141, 12, room(64, 4));
    assert_eq!(due(&mut agent, 142).len(), 1);
}

fn set_accelerators(sim: &mut Simulation, host: usize, accelerators: u64) {
    sim.host(host).worker.info.capacity = Demand {
        accelerators,
        ..WORKER_CAPACITY
    };
}

fn running(sim: &mut Simulation, host: usize) -> usize {
    sim.host(host).worker.running.len()
}

fn preempted(sim: &Simulation) -> usize {
    let decisions = sim.decisions.iter();
    decisions
        .filter(|decision| matches!(decision, Decision::Preempted { .. }))
        .count()
}

/// Guards against a start on a worker that runs more than its room, and against the end of what runs there.
#[test]
fn runs_in_excess_go_on_and_nothing_starts_until_they_have_ended() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(1, "normal", "south", vec![step(8, 1, seconds(4))]);
    sim.run_for(seconds(1));
    assert_eq!(running(&mut sim, 0), 8);
    set_accelerators(&mut sim, 0, 3);
    sim.submit(2, "normal", "south", vec![step(4, 1, seconds(1))]);
    sim.run_for(seconds(2));
    assert_eq!(running(&mut sim, 0), 8);
    let ending: Vec<(Task, Run)> = sim.host(0).worker.running[..6]
        .iter()
        .map(|listed| (listed.task, listed.run))
        .collect();
    for (task, run) in ending {
        sim.host(0).end_run(task, run, EndReason::Done);
        sim.round();
        assert!(running(&mut sim, 0) <= 3 || !sim.started(2));
    }
    assert_eq!(running(&mut sim, 0), 3, "two of the first job, one more");
    sim.run_for(seconds(6));
    assert_eq!(sim.status(1), COMPLETED);
    assert_eq!(sim.status(2), COMPLETED);
}

/// Guards against a task that needs none of the accelerators that are in excess, but adds to what runs there.
#[test]
fn nothing_starts_on_a_worker_in_excess_even_if_it_needs_another_resource() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(1, "normal", "south", vec![step(2, 4, seconds(3))]);
    sim.run_for(seconds(1));
    set_accelerators(&mut sim, 0, 4);
    sim.submit(2, "urgent", "north", vec![step(1, 0, seconds(1))]);
    sim.submit(3, "patient", "south", vec![step(1, 0, seconds(1))]);
    while sim.hosts_running(1).len() == 2 {
        assert!(!sim.started(2) && !sim.started(3));
        sim.round();
        assert!(sim.now < seconds(110), "the excess does not drain");
    }
    sim.run_for(seconds(8));
    for job in 1..=3 {
        assert_eq!(sim.status(job), COMPLETED);
    }
}

/// Guards against a run that is started although it no longer fits, because it was placed before the room shrank.
#[test]
fn a_placed_run_that_no_longer_fits_is_withdrawn_and_starts_elsewhere() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "south", vec![step(2, 4, seconds(3))]);
    for host in 0..2 {
        sim.host(host).executes_orders = false;
    }
    sim.round();
    let placed = |directive: &Directive| !directive.start.is_empty();
    let hosts: Vec<usize> = (0..2)
        .filter(|host| placed(&sim.directives[&format!("host-{host:02}")]))
        .collect();
    let [host] = hosts[..] else {
        panic!("both tasks are placed on one host: {hosts:?}");
    };
    for other in 0..2 {
        sim.host(other).executes_orders = true;
    }
    set_accelerators(&mut sim, host, 4);
    for _ in 0..10 {
        sim.round();
        assert!(running(&mut sim, host) <= 1, "over the room");
    }
    assert_eq!(sim.hosts_running(1).len(), 2, "both run");
    sim.run_for(seconds(1));
    assert_eq!(sim.status(1), Some(Status::Running));
}

/// Guards against a gang that stays half started, because a member no longer fits where it was placed.
#[test]
fn a_gang_of_which_a_member_no_longer_fits_starts_as_a_whole() {
    let mut sim = Simulation::new(3, 3);
    sim.submit(1, "normal", "south", vec![gang(2, 8, seconds(3))]);
    for host in 0..3 {
        sim.host(host).executes_orders = false;
    }
    sim.round();
    let host = (0..3)
        .find(|host| !sim.directives[&format!("host-{host:02}")].start.is_empty())
        .expect("the gang is placed");
    for other in 0..3 {
        sim.host(other).executes_orders = true;
    }
    set_accelerators(&mut sim, host, 4);
    for _ in 0..15 {
        sim.round();
        assert_eq!(running(&mut sim, host), 0, "over the room");
    }
    assert_eq!(sim.hosts_running(1).len(), 2, "both members run");
}

/// Guards against an urgent job that stops too little, round after round, on a worker that runs more than its room.
#[test]
fn preemption_counts_the_runs_in_excess() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(1, "patient", "south", vec![step(8, 1, seconds(30))]);
    sim.run_for(seconds(1));
    set_accelerators(&mut sim, 0, 4);
    sim.submit(9, "urgent", "north", vec![step(1, 4, seconds(2))]);
    while preempted(&sim) == 0 {
        sim.round();
        assert!(sim.now < seconds(104), "nothing is preempted");
    }
    assert_eq!(preempted(&sim), 8);
    sim.run_for(seconds(1));
    assert_eq!(sim.hosts_running(9).len(), 1);
}

/// Guards against a claim within its guarantee that waits for a worker that has shrunk, while others have room.
#[test]
fn a_claim_starts_where_there_is_room() {
    let mut sim = Simulation::new(4, 4);
    for job in 1..=4 {
        sim.submit(job, "patient", "south", vec![step(8, 1, seconds(30))]);
    }
    sim.run_for(seconds(2));
    for host in 0..2 {
        set_accelerators(&mut sim, host, 3);
    }
    sim.submit(9, "urgent", "north", vec![gang(2, 8, seconds(9))]);
    sim.run_for(Bounds::default().guaranteed_start_time);
    assert_eq!(sim.hosts_running(9), ["host-02", "host-03"]);
}

/// Guards against a job that fails for good, or is forgotten, because it fits no worker while their room is small.
#[test]
fn a_job_that_fits_only_the_full_room_waits_for_it() {
    let mut sim = Simulation::new(2, 2);
    for host in 0..2 {
        set_accelerators(&mut sim, host, 4);
    }
    sim.submit(1, "urgent", "north", vec![gang(2, 8, seconds(1))]);
    sim.submit(2, "patient", "south", vec![step(1, 8, seconds(1))]);
    sim.run_for(seconds(20));
    for job in 1..=2 {
        assert_eq!(sim.status(job), Some(Status::Queued));
    }
    for host in 0..2 {
        set_accelerators(&mut sim, host, 8);
    }
    sim.run_for(seconds(5));
    for job in 1..=2 {
        assert_eq!(sim.status(job), COMPLETED);
    }
}

/// Guards against attempts that a job uses up on a worker that fails it, because the others are small for a while.
#[test]
fn a_job_does_not_return_to_a_worker_that_failed_it_while_others_are_small() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "south", vec![step(1, 8, seconds(5))]);
    sim.round();
    let failing = usize::from(running(&mut sim, 0) == 0);
    let other = 1 - failing;
    let listed = sim.host(failing).worker.running[0].clone();
    set_accelerators(&mut sim, other, 4);
    sim.host(failing)
        .end_run(listed.task, listed.run, EndReason::Failed);
    sim.run_for(seconds(3));
    assert_eq!(running(&mut sim, failing), 0, "it has gone back");
    set_accelerators(&mut sim, other, 8);
    sim.run_for(seconds(1));
    assert_eq!(running(&mut sim, other), 1);
}

/// Guards against headroom that does not hold an urgent job, because it lies on workers that are small for a while.
#[test]
fn headroom_is_kept_on_workers_with_all_their_room() {
    let mut sim = Simulation::new(6, 6);
    for job in 100..104 {
        sim.submit(job, "urgent", "north", vec![step(2, 8, seconds(1))]);
        sim.run_for(millis(1_200));
    }
    sim.run_for(seconds(1));
    for host in 0..2 {
        set_accelerators(&mut sim, host, 4);
    }
    for job in 1..=6 {
        sim.submit(job, "patient", "south", vec![step(4, 1, seconds(20))]);
    }
    sim.run_for(seconds(1));
    sim.submit(104, "urgent", "north", vec![step(2, 8, seconds(1))]);
    sim.round();
    assert_eq!(sim.hosts_running(104).len(), 2, "both start at once");
}

/// Guards against workers of lost hosts that count as part of the pool for good: beside many of them, two of three workers
/// on which a wrong estimate makes all runs look slow are a minority, and get no more tasks.
#[test]
fn lost_workers_are_no_part_of_the_pool() {
    let mut sim = Simulation::new(9, 9);
    sim.run_for(seconds(1));
    for number in 3..9 {
        sim.host(number).reachable = false;
    }
    // Longer than any run can last on a worker whose agent is silent.
    sim.run_for(seconds(15));
    let slow = Step {
        checkpointable: true,
        per_worker: 1,
        ..step(2, 1, seconds(10))
    };
    sim.submit(1, "normal", "north", vec![slow]);
    sim.run_times.insert(1, seconds(100));
    sim.run_for(seconds(15));
    assert_eq!(sim.hosts_running(1).len(), 2);
    let limited = Step {
        per_worker: 1,
        ..step(3, 1, seconds(10))
    };
    sim.submit(2, "normal", "north", vec![limited]);
    sim.run_for(seconds(1));
    assert_eq!(sim.hosts_running(2).len(), 3);
}
