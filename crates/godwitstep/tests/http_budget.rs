//! Tests of the decisions on memory and connections, without I/O.

use fastrand::Rng;
use godwitstep::http::budget::admission::{Admission, BodyId, Refusal, Sender};
use godwitstep::http::budget::connections::{
    BLOCKED_TIME, ConnectionId, Connections, Entrance, HEAD_TIME, MAX_CLOSING, Phase,
};
use godwitstep::http::budget::partition::{
    CALLER_CONNECTION, Partition, RESERVED_CONNECTION, Resources,
};
use godwitstep::http::budget::pressure::Pressure;
use godwitstep::http::budget::progress::ORDINARY;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

const SEEDS: u64 = 300;
const STEPS: usize = 400;
/// Memory in tests of single decisions. Unit: bytes.
const CAPACITY: usize = 16 * ORDINARY;

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn sender(group: u64) -> Sender {
    let peer = Some(IpAddr::from([127, 0, 0, 1]));
    let group = Some(group);
    Sender { peer, group }
}

/// A body as the test knows it.
#[derive(Debug, Clone, Copy)]
struct Body {
    charge: usize,
    group: u64,
    passed_on: bool,
}

/// Returns whether a group that takes `more` stays within an equal share.
fn within_share(bodies: &BTreeMap<BodyId, Body>, group: u64, more: usize, capacity: usize) -> bool {
    let mut used = BTreeMap::from([(group, more)]);
    for body in bodies.values().filter(|body| body.charge > 0) {
        *used.entry(body.group).or_default() += body.charge;
    }
    used.len() == 1 || used[&group] <= (capacity / used.len()).max(ORDINARY)
}

/// Grows a body in the model and the admission, and checks the decision.
fn grow(
    admission: &mut Admission,
    bodies: &mut BTreeMap<BodyId, Body>,
    now: Duration,
    id: BodyId,
    charge: usize,
    capacity: usize,
) {
    let before = bodies[&id];
    let growth = admission.grow(now, id, charge);
    let more = charge.saturating_sub(before.charge);
    let ordinary = charge <= ORDINARY && within_share(bodies, before.group, more, capacity);
    assert!(!ordinary || growth.refusal.is_none(), "{growth:?}");
    for victim in growth.displaced {
        let body = bodies.remove(&victim).expect("a body that is held");
        assert!(!body.passed_on && victim != id, "{body:?}");
    }
    if growth.refusal.is_none() {
        let body = bodies.get_mut(&id).unwrap();
        body.charge = body.charge.max(charge);
    }
}

/// Guards against charges that exceed the budget or are never released, ordinary requests that are refused, and
/// requests that are displaced after they were passed on.
#[test]
fn random_bodies_stay_within_the_budget() {
    for seed in 0..SEEDS {
        let mut rng = Rng::with_seed(seed);
        let capacity = rng.usize(4..64) * ORDINARY;
        let mut admission = Admission::new(capacity);
        let mut bodies: BTreeMap<BodyId, Body> = BTreeMap::new();
        let mut now = Duration::ZERO;
        for _ in 0..STEPS {
            now += millis(rng.u64(0..200));
            let ids: Vec<BodyId> = bodies.keys().copied().collect();
            let id = rng.choice(&ids).copied();
            match (rng.u8(0..10), id) {
                (0..=2, _) | (_, None) => {
                    let group = rng.u64(0..4);
                    let id = admission.begin(now, sender(group));
                    let body = Body {
                        charge: 0,
                        group,
                        passed_on: false,
                    };
                    bodies.insert(id, body);
                }
                (3..=6, Some(id)) if !bodies[&id].passed_on => {
                    let charge = bodies[&id].charge + rng.usize(1..3 * ORDINARY);
                    let charge = if rng.bool() {
                        charge
                    } else {
                        rng.usize(1..=ORDINARY)
                    };
                    admission.receive(now, id, rng.usize(1..ORDINARY));
                    grow(&mut admission, &mut bodies, now, id, charge, capacity);
                }
                (7, Some(id)) if !bodies[&id].passed_on => {
                    let result = admission.pass_on(id);
                    bodies.get_mut(&id).unwrap().passed_on = result.is_ok();
                }
                (8, Some(id)) => {
                    let charge = rng.usize(0..ORDINARY);
                    admission.shrink(id, charge);
                    let body = bodies.get_mut(&id).unwrap();
                    body.charge = body.charge.min(charge);
                }
                (_, Some(id)) => {
                    admission.end(id);
                    bodies.remove(&id);
                }
            }
            let charges: usize = bodies.values().map(|body| body.charge).sum();
            assert_eq!(admission.held(), charges, "seed {seed}");
            assert!(charges <= capacity, "seed {seed}");
            let passed_on = bodies.values().filter(|body| body.passed_on);
            let in_progress: usize = passed_on.map(|body| body.charge).sum();
            assert_eq!(admission.in_progress(), in_progress, "seed {seed}");
            assert!(in_progress <= capacity - capacity / 4, "seed {seed}");
        }
        for id in bodies.keys() {
            admission.end(*id);
        }
        assert!(admission.is_empty() && admission.held() == 0, "seed {seed}");
    }
}

/// Guards against large bodies that stop short of their end and keep out others, and against a displaced body that
/// goes on growing.
#[test]
fn stalled_bodies_are_displaced_before_those_that_progress() {
    let mut admission = Admission::new(CAPACITY);
    let large = 3 * ORDINARY;
    let stalled: Vec<BodyId> = (0..4)
        .map(|number| {
            let id = admission.begin(millis(number), sender(0));
            admission.receive(millis(number), id, large);
            assert_eq!(admission.grow(millis(number), id, large).refusal, None);
            id
        })
        .collect();
    let now = millis(1_000);
    let active = admission.begin(now, sender(0));
    admission.receive(now, active, large);
    let growth = admission.grow(now, active, large);
    assert_eq!(growth.refusal, None);
    assert!(growth.displaced.is_empty(), "{growth:?}");
    // Four bodies of 3 and one more leave 1 of 16; large ones may not take the last quarter.
    let another = admission.begin(now, sender(0));
    admission.receive(now, another, large);
    let growth = admission.grow(now, another, large);
    assert_eq!(growth.displaced, [stalled[0]]);
    assert_eq!(
        admission.grow(now, stalled[0], large).refusal,
        Some(Refusal::Displaced)
    );
    // A body that sends slowly finds no place among those that progress.
    for id in stalled {
        admission.receive(millis(1_400), id, ORDINARY);
    }
    let slow = admission.begin(Duration::ZERO, sender(0));
    admission.receive(millis(1_400), slow, 1);
    let growth = admission.grow(millis(1_400), slow, large);
    assert_eq!(growth.refusal, Some(Refusal::MemoryShort));
    assert!(growth.displaced.is_empty(), "{growth:?}");
}

/// Guards against a group of clients that takes the memory of others, or that may not use what nobody else needs.
#[test]
fn groups_share_memory_that_is_short() {
    let mut admission = Admission::new(CAPACITY);
    let now = millis(1);
    let mut first = Vec::new();
    for _ in 0..16 {
        let id = admission.begin(now, sender(1));
        assert_eq!(admission.grow(now, id, ORDINARY).refusal, None);
        first.push(id);
    }
    assert_eq!(admission.held(), CAPACITY);
    for _ in 0..8 {
        let id = admission.begin(now, sender(2));
        let growth = admission.grow(now, id, ORDINARY);
        assert_eq!(growth.refusal, None);
        assert!(first.contains(&growth.displaced[0]), "{growth:?}");
    }
    // The first group has its equal share now and can only replace its own bodies.
    let id = admission.begin(now, sender(1));
    let growth = admission.grow(now, id, ORDINARY);
    assert!(first.contains(&growth.displaced[0]), "{growth:?}");
}

/// A connection as the test knows it.
#[derive(Debug, Clone, Copy)]
struct Kept {
    phase: Phase,
    since: Duration,
    blocked: Option<Duration>,
}

/// Guards against a connection limit that is exceeded, requests in progress whose connection is closed, and new
/// connections that are refused while others wait.
#[test]
fn random_connections_stay_within_the_limit() {
    for seed in 0..SEEDS {
        let mut rng = Rng::with_seed(seed);
        let limit = rng.usize(1..40);
        let mut connections = Connections::new(limit);
        let mut kept: BTreeMap<ConnectionId, Kept> = BTreeMap::new();
        let mut closing = 0;
        let mut now = Duration::ZERO;
        for _ in 0..STEPS {
            now += millis(rng.u64(0..500));
            let ids: Vec<ConnectionId> = kept.keys().copied().collect();
            let id = rng.choice(&ids).copied();
            match (rng.u8(0..10), id) {
                (0..=3, _) | (_, None) => {
                    if !connections.accepts() {
                        connections.end_displaced();
                        closing -= 1;
                    }
                    let peer = Some(IpAddr::from([127, 0, 0, rng.u8(1..4)]));
                    let waiting =
                        |kept: &Kept| kept.phase == Phase::Waiting && kept.blocked.is_none();
                    let waits_long = |kept: &Kept| waiting(kept) && now >= kept.since + HEAD_TIME;
                    let any_waiting = kept.values().any(waiting);
                    let any_waits_long = kept.values().any(waits_long);
                    match connections.open(now, peer) {
                        Entrance::Full => assert!(!any_waiting && kept.len() == limit),
                        Entrance::Admitted { id, displaced } => {
                            if let Some(victim) = displaced {
                                let victim = kept.remove(&victim).unwrap();
                                let blocked = victim
                                    .blocked
                                    .is_some_and(|since| now >= since + BLOCKED_TIME);
                                assert!(victim.phase != Phase::Running, "seed {seed}");
                                let responding = victim.phase == Phase::Responding;
                                assert!(!responding || blocked, "seed {seed}");
                                assert!(waits_long(&victim) || !any_waits_long, "seed {seed}");
                                closing += 1;
                            }
                            let connection = Kept {
                                phase: Phase::Waiting,
                                since: now,
                                blocked: None,
                            };
                            kept.insert(id, connection);
                        }
                    }
                }
                (4..=6, Some(id)) => {
                    let phase = *rng.choice(&Phase::ALL).unwrap();
                    connections.enter(now, id, phase);
                    let connection = kept.get_mut(&id).unwrap();
                    (connection.phase, connection.since) = (phase, now);
                }
                (7, Some(id)) => {
                    let blocked = rng.bool().then_some(now);
                    connections.set_blocked(id, blocked);
                    kept.get_mut(&id).unwrap().blocked = blocked;
                }
                (_, Some(id)) => {
                    connections.end(id);
                    kept.remove(&id);
                }
            }
            assert_eq!(connections.len(), kept.len(), "seed {seed}");
            assert!(kept.len() <= limit, "seed {seed}");
            assert!(closing <= MAX_CLOSING, "seed {seed}");
        }
        for id in kept.keys() {
            connections.end(*id);
        }
        (0..closing).for_each(|_| connections.end_displaced());
        assert!(connections.is_empty(), "seed {seed}");
    }
}

/// Guards against a partition that promises more than the machine has, or less than documented clients need.
#[test]
fn partition_fits_the_machine() {
    for memory_mb in [16, 48, 72, 120, 128, 512, 4_096, 1 << 20] {
        for files in [128, 1_024, 3_075, 10_250, 1 << 20] {
            let memory = memory_mb << 20;
            let partition = Partition::new(Resources { memory, files });
            let (callers, reserved) = (partition.callers, partition.reserved);
            let held = callers.bodies
                + callers.connections * CALLER_CONNECTION
                + reserved.bodies
                + reserved.connections * RESERVED_CONNECTION;
            let half = memory / 2 + usize::from(memory_mb < 72) * (8 << 20);
            assert!(held <= half.min(memory), "{memory_mb} MB: {held}");
            assert!(callers.connections + reserved.connections <= files * 3 / 4);
            assert!(callers.bodies >= 3 << 20 && reserved.bodies >= 6 << 20);
        }
    }
    let smallest = Partition::new(Resources {
        memory: 120 << 20,
        files: 3_075,
    });
    assert!(smallest.callers.connections >= 500, "{smallest:?}");
    assert!(
        smallest.callers.bodies >= 64 * 262_144 + 4 * 1024 * 1024,
        "{smallest:?}"
    );
}

/// Guards against a log line for each refusal, and against a shortage that is never reported as ended.
#[test]
fn a_shortage_is_reported_once() {
    let mut pressure = Pressure::default();
    assert!(pressure.record(millis(0)));
    assert!(!pressure.record(millis(9_000)));
    assert_eq!(pressure.take_ended(millis(18_000)), None);
    let ended = pressure.take_ended(millis(19_000)).unwrap();
    assert_eq!((ended.began, ended.clients), (millis(0), 2));
    assert_eq!(pressure.take_ended(millis(40_000)), None);
    assert!(pressure.record(millis(50_000)));
}
