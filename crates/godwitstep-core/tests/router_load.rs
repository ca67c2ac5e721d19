//! Load tests of the router below and above the capacity of its targets.

use godwitstep_core::resource::{Kind, Priority, Workspace};
use godwitstep_core::router::{
    Action, Event, Outcome, Reply, Request, Router, Sequence, Settings, Target,
};
use std::collections::BTreeMap;
use std::time::Duration;

const TARGETS: u32 = 10;
/// Slots of each target.
const SLOTS: u32 = 8;
/// Mean time that a target takes to serve a request.
const MEAN_SERVICE_MS: f64 = 50.0;
const REQUESTS: u32 = 15_000;
const KINDS: [(&str, Priority); 3] = [
    ("u", Priority::Urgent),
    ("n", Priority::Normal),
    ("p", Priority::Patient),
];

/// Numbers of requests of a run by outcome, and the capacity of the targets.
#[derive(Debug, Default)]
struct Outcomes {
    on_time: u32,
    /// Refused at arrival, within the same call of the router.
    refused: u32,
    /// Refused after waiting in the queue.
    refused_late: u32,
    /// Answered after the deadline or with an unknown outcome.
    late_or_unknown: u32,
    /// Number of requests that the targets can serve in the time of the run.
    capacity: f64,
}

fn router() -> Router {
    let mut router = Router::new(Settings::new("a"), 1);
    let kinds = KINDS.map(|(name, priority)| Kind {
        name: name.into(),
        priority,
        objective_ms: 1_000,
        refund: 0.0,
    });
    let mut spec = Workspace::new(kinds.to_vec());
    spec.max_queued = 100_000;
    let (id, spec) = ("w".into(), Some(spec));
    let mut actions = Vec::new();
    router.handle(Duration::ZERO, Event::Workspace { id, spec }, &mut actions);
    for number in 0..TARGETS {
        let (id, service, domain) = (format!("t{number}").into(), "s".into(), "a".into());
        let target = Target {
            id,
            incarnation: 1,
            service,
            domain,
            slots: SLOTS,
        };
        router.handle(Duration::ZERO, Event::TargetUp(target), &mut actions);
    }
    router
}

/// Offers a load of `load_factor` times the capacity, with deadlines of 0.3 s, 1 s and 3 s.
fn offer_load(load_factor: f64) -> Outcomes {
    let mut rng = fastrand::Rng::with_seed(5);
    let (mut router, mut outcomes) = (router(), Outcomes::default());
    let slots = f64::from(TARGETS * SLOTS);
    let mean_interarrival = MEAN_SERVICE_MS / 1_000.0 / slots / load_factor;
    let (mut next_arrival, mut next_tick, mut next_heartbeat) =
        (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    let mut ends: BTreeMap<(Duration, Sequence), _> = BTreeMap::new();
    let mut open_requests = BTreeMap::new();
    let mut sequence = 0;
    while sequence < u64::from(REQUESTS) {
        let end = ends.keys().next().map_or(Duration::MAX, |(end, _)| *end);
        let now = next_arrival.min(next_tick).min(next_heartbeat).min(end);
        let mut events = Vec::new();
        if now == next_heartbeat {
            next_heartbeat += Duration::from_millis(500);
            let load = |number| Event::Load {
                id: format!("t{number}").into(),
                busy: 0,
                ours: 0,
            };
            events.extend((0..TARGETS).map(load));
        } else if now == next_tick {
            next_tick += Duration::from_millis(20);
            events.push(Event::Tick);
        } else if now == end {
            let ((_, sequence), target) = ends.pop_first().unwrap();
            events.push(Event::Reply {
                sequence,
                target,
                reply: Reply::Answered,
            });
        } else {
            sequence += 1;
            let timeout = Duration::from_millis([300, 1_000, 3_000][rng.usize(..3)]);
            open_requests.insert(sequence, (now, now + timeout));
            events.push(Event::Arrive(Request {
                sequence,
                service: "s".into(),
                workspace: "w".into(),
                kind: KINDS[rng.usize(..3)].0.into(),
                key: "k".into(),
                idempotent: false,
                attempt: 1,
                deadline: now + timeout,
            }));
            next_arrival =
                now + Duration::from_secs_f64(-mean_interarrival * rng.f64().max(1e-9).ln());
        }
        let mut actions = Vec::new();
        for event in events {
            router.handle(now, event, &mut actions);
        }
        for action in actions {
            match action {
                Action::Send { sequence, target } => {
                    let service_time = MEAN_SERVICE_MS / 1_000.0 * (0.5 + rng.f64());
                    ends.insert(
                        (now + Duration::from_secs_f64(service_time), sequence),
                        target,
                    );
                }
                Action::Answer { sequence, outcome } => {
                    let (arrived, deadline) = open_requests.remove(&sequence).unwrap();
                    match outcome {
                        Outcome::Answered { .. } if now <= deadline => outcomes.on_time += 1,
                        Outcome::NotRun(_) if now == arrived => outcomes.refused += 1,
                        Outcome::NotRun(_) => outcomes.refused_late += 1,
                        _ => outcomes.late_or_unknown += 1,
                    }
                }
                Action::Fence { .. } | Action::Cancel { .. } => unreachable!(),
            }
        }
    }
    assert_eq!(router.violation(), None);
    outcomes.capacity = next_arrival.as_secs_f64() * slots * 1_000.0 / MEAN_SERVICE_MS;
    outcomes
}

/// Guards against refusals while slots are free, against capacity spent on requests that end after
/// their deadlines, and against requests that are queued first and refused later.
#[test]
fn excess_requests_are_refused_at_arrival_and_the_rest_are_on_time() {
    let light = offer_load(0.7);
    assert_eq!(
        (light.refused, light.refused_late, light.late_or_unknown),
        (0, 0, 0),
        "{light:?}"
    );
    for load_factor in [1.2, 3.0] {
        let heavy = offer_load(load_factor);
        assert!(
            f64::from(heavy.on_time) > 0.95 * heavy.capacity,
            "{load_factor}: {heavy:?}"
        );
        assert!(
            heavy.refused_late + heavy.late_or_unknown < REQUESTS / 50,
            "{load_factor}: {heavy:?}"
        );
    }
}
