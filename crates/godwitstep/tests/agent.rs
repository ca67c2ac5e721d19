//! The agent's part in requests, against a fake entry and a small target.

mod rig;

use godwitstep_core::authority::Standing;
use godwitstep_core::reason::Reason;
use godwitstep_core::router::KeyState;
use godwitstep_wire::{Frame, Outcome, Rules};
use rig::{DOMAIN, Entry, Target, any, id, request, rules, run, target, within};
use serde_json::{Value, json};
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

fn beside(address: SocketAddr) -> Value {
    json!({"target": {"service": "bookingsted", "slots": 2, "address": address}})
}

fn not_started(outcome: &Outcome, expected: &Reason) {
    match outcome {
        Outcome::NotStarted { reason } if reason == expected => {}
        other => panic!("expected not started because of {expected:?}, got {other:?}"),
    }
}

struct Setup {
    target: Rc<Target>,
    address: SocketAddr,
    server: godwitstep::http::Shutdown,
    entry: Entry,
    stop: smol::channel::Sender<()>,
    agent: smol::Task<Result<(), godwitstep::agent::Error>>,
}

/// Time after which an agent takes requests that may run only once, with some to spare.
const SETTLED: Duration = Duration::from_millis(1700);

/// Starts target, agent and entry, and waits until the target is announced and may be used.
async fn setup(executor: &LocalExecutor<'_>) -> Setup {
    let state = Rc::new(Target::default());
    let (address, server) = target(executor, &state, any()).await;
    let (entry, stop, agent) = Entry::start(executor, beside(address)).await;
    entry.tell(Some(rules()));
    let announce = entry.announced(|announce| announce.target.is_some()).await;
    let announced = announce.target.expect("checked");
    assert_eq!((&*announced.id, announced.slots), ("runner-1", 2));
    assert!(!announce.leaving);
    Timer::after(SETTLED).await;
    Setup {
        target: state,
        address,
        server,
        entry,
        stop,
        agent,
    }
}

/// Guards against answers that are changed, cut short, or given a false meaning.
#[test]
fn outcomes_tell_what_became_of_the_request() {
    run(async |executor| {
        let setup = setup(executor).await;
        let body = "body of 1".into();
        assert_eq!(setup.entry.ask(1, "w/1").await, Outcome::Answered { body });
        setup.target.failing.set(true);
        let body = "body of 2".into();
        assert_eq!(setup.entry.ask(2, "w/2").await, Outcome::Failed { body });
        setup.target.breaking.set(true);
        let outcome = setup.entry.ask(3, "w/3").await;
        assert!(matches!(outcome, Outcome::Unknown { .. }), "{outcome:?}");
        assert_eq!(*setup.target.runs.borrow(), ["w/1", "w/2", "w/3"]);
    });
}

/// Guards against work that starts in a domain out of service, on the word of an entry that may be
/// cut off, or because a late entry tells an older configuration (R3, R9).
#[test]
fn nothing_starts_against_the_rules() {
    run(async |executor| {
        let setup = setup(executor).await;
        let out = Rules {
            version: 12,
            out: vec![DOMAIN.into()],
            ..rules()
        };
        setup.entry.tell(Some(out));
        let domain_out = Reason::DomainOut {
            domain: DOMAIN.into(),
        };
        not_started(&setup.entry.ask(1, "w/1").await, &domain_out);
        setup.entry.tell(Some(Rules {
            version: 11,
            ..rules()
        }));
        not_started(&setup.entry.ask(2, "w/2").await, &domain_out);
        let back = Rules {
            version: 13,
            ..rules()
        };
        setup.entry.tell(Some(Rules {
            standing: Standing::Halted,
            ..back.clone()
        }));
        not_started(&setup.entry.ask(3, "w/3").await, &Reason::Halted);
        setup.entry.tell(Some(back));
        let outcome = setup.entry.ask(4, "w/4").await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
        // Heartbeats without rules keep the link up but are no word about what may start.
        setup.entry.tell(None);
        Timer::after(Duration::from_millis(2100)).await;
        not_started(&setup.entry.ask(5, "w/5").await, &Reason::Halted);
        assert_eq!(*setup.target.runs.borrow(), ["w/4"]);
    });
}

/// Guards against more requests in a target than it has slots.
#[test]
fn slots_are_not_exceeded() {
    run(async |executor| {
        let setup = setup(executor).await;
        setup.target.delay.set(Duration::from_secs(1));
        for sequence in 1..=3 {
            let request = request(sequence, &format!("w/{sequence}"));
            setup.entry.link.send(Frame::Request(request));
        }
        not_started(&setup.entry.reply(3).await, &Reason::LimitReached);
        let load = |frame| match frame {
            Frame::Heartbeat(heartbeat) => heartbeat.load.filter(|load| load.busy == 2),
            _ => None,
        };
        assert_eq!(setup.entry.next(load).await.ours, 2);
        setup.entry.reply(1).await;
    });
}

/// Guards against requests that still start while the target leaves (R7), and against a target
/// that stays lost for good.
#[test]
fn leaving_and_lost_targets_are_announced_and_come_back() {
    run(async |executor| {
        let setup = setup(executor).await;
        setup.target.leaving.set(true);
        setup.entry.announced(|announce| announce.leaving).await;
        not_started(&setup.entry.ask(1, "w/1").await, &Reason::Stopping);
        setup.target.leaving.set(false);
        setup.entry.announced(|announce| !announce.leaving).await;
        setup.server.start();
        let gone = |announce: &godwitstep_wire::Announce| announce.target.is_none();
        setup.entry.announced(gone).await;
        not_started(&setup.entry.ask(2, "w/2").await, &Reason::TargetLost);
        let _again = target(executor, &setup.target, setup.address).await;
        let here = |announce: &godwitstep_wire::Announce| announce.target.is_some();
        setup.entry.announced(here).await;
        let outcome = setup.entry.ask(3, "w/3").await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
    });
}

/// Guards against a planned stop that cuts a request off or takes new ones (R8).
#[test]
fn stop_finishes_what_runs() {
    run(async |executor| {
        let setup = setup(executor).await;
        setup.target.delay.set(Duration::from_millis(400));
        setup.entry.link.send(Frame::Request(request(1, "w/1")));
        Timer::after(Duration::from_millis(100)).await;
        let since = Instant::now();
        setup.stop.send(()).await.expect("runs");
        setup.entry.announced(|announce| announce.leaving).await;
        not_started(&setup.entry.ask(2, "w/2").await, &Reason::Stopping);
        let body = "body of 1".into();
        assert_eq!(setup.entry.reply(1).await, Outcome::Answered { body });
        within(setup.agent).await.expect("stops");
        assert!(since.elapsed() < Duration::from_secs(2));
    });
}

/// Guards against a second run of a key, and against an answer that goes only to the first request
/// that asked for it (R4, R6).
#[test]
fn duplicates_share_one_run() {
    run(async |executor| {
        let setup = setup(executor).await;
        let body = || "body of 1".into();
        setup.target.delay.set(Duration::from_millis(200));
        let again = request(1, "w/1");
        setup.entry.link.send(Frame::Request(again.clone()));
        setup.entry.link.send(Frame::Request(again));
        setup.entry.link.send(Frame::Request(request(2, "w/1")));
        assert_eq!(
            setup.entry.reply(1).await,
            Outcome::Answered { body: body() }
        );
        assert_eq!(
            setup.entry.reply(2).await,
            Outcome::Answered { body: body() }
        );
        let late = setup.entry.ask(3, "w/1").await;
        assert_eq!(late, Outcome::Answered { body: body() });
        assert_eq!(*setup.target.runs.borrow(), ["w/1"]);
    });
}

/// Guards against a fence that does not keep an earlier request out, or that is lost when the
/// request that fenced is refused (R6).
#[test]
fn fence_keeps_earlier_requests_out() {
    run(async |executor| {
        let setup = setup(executor).await;
        assert_eq!(fence(&setup.entry, 9, "w/1").await, KeyState::Fenced);
        setup.entry.tell(Some(Rules {
            standing: Standing::Halted,
            ..rules()
        }));
        not_started(&setup.entry.ask(9, "w/1").await, &Reason::Halted);
        setup.entry.tell(Some(rules()));
        not_started(&setup.entry.ask(5, "w/1").await, &Reason::Cancelled);
        let outcome = setup.entry.ask(9, "w/1").await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
        assert_eq!(fence(&setup.entry, 10, "w/1").await, KeyState::Answered);
        let body = "body of 9".into();
        assert_eq!(setup.entry.reply(10).await, Outcome::Answered { body });
        setup.target.delay.set(Duration::from_millis(200));
        setup.entry.link.send(Frame::Request(request(11, "w/2")));
        assert_eq!(fence(&setup.entry, 12, "w/2").await, KeyState::Running);
        let body = "body of 11".into();
        assert_eq!(setup.entry.reply(12).await, Outcome::Answered { body });
        assert_eq!(*setup.target.runs.borrow(), ["w/1", "w/2"]);
    });
}

async fn fence(entry: &Entry, sequence: u64, key: &str) -> KeyState {
    let (id, key) = (id(sequence), key.into());
    entry.link.send(Frame::Fence { id, key });
    let take = |frame| match frame {
        Frame::Fenced { id: of, state } if of == id => Some(state),
        _ => None,
    };
    entry.next(take).await
}

/// Guards against a run that an earlier life of the agent may have fenced off (R6).
#[test]
fn requests_older_than_the_agent_are_refused() {
    run(async |executor| {
        let setup = setup(executor).await;
        let mut old = request(1, "w/1");
        old.age = Duration::from_secs(10);
        setup.entry.link.send(Frame::Request(old.clone()));
        let outcome = setup.entry.reply(1).await;
        assert!(matches!(outcome, Outcome::NotStarted { .. }), "{outcome:?}");
        old.id = id(2);
        old.idempotent = true;
        setup.entry.link.send(Frame::Request(old));
        let outcome = setup.entry.reply(2).await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
    });
}

/// Guards against a reply that is lost with the link on which the request came.
#[test]
fn reply_follows_on_the_next_link() {
    run(async |executor| {
        let setup = setup(executor).await;
        setup.target.delay.set(Duration::from_millis(300));
        setup.entry.link.send(Frame::Request(request(1, "w/1")));
        Timer::after(Duration::from_millis(100)).await;
        setup.entry.link.close();
        let body = "body of 1".into();
        assert_eq!(setup.entry.reply(1).await, Outcome::Answered { body });
    });
}

/// Guards against work that starts on instructions that were given before a pause of the process.
#[test]
fn pause_drops_what_was_received_before() {
    run(async |executor| {
        let setup = setup(executor).await;
        setup.entry.clock.forward(Duration::from_secs(3));
        setup.entry.link.send(Frame::Request(request(1, "w/1")));
        within(async {
            while !setup.entry.link.is_closed() {
                Timer::after(Duration::from_millis(10)).await;
            }
        })
        .await;
        // The agent comes back by itself.
        setup
            .entry
            .announced(|announce| announce.target.is_some())
            .await;
        assert!(setup.target.runs.borrow().is_empty());
    });
}

/// Guards against a fence that is lifted when its request meets a target that is gone (R6).
#[test]
fn fence_outlives_a_refused_connection() {
    run(async |executor| {
        let setup = setup(executor).await;
        assert_eq!(fence(&setup.entry, 9, "w/1").await, KeyState::Fenced);
        setup.server.start();
        // Before the next health check, so that the connection is tried.
        Timer::after(Duration::from_millis(20)).await;
        not_started(&setup.entry.ask(9, "w/1").await, &Reason::TargetLost);
        let gone = |announce: &godwitstep_wire::Announce| announce.target.is_none();
        setup.entry.announced(gone).await;
        let _again = target(executor, &setup.target, setup.address).await;
        let here = |announce: &godwitstep_wire::Announce| announce.target.is_some();
        setup.entry.announced(here).await;
        not_started(&setup.entry.ask(5, "w/1").await, &Reason::Cancelled);
        assert!(setup.target.runs.borrow().is_empty());
    });
}
