//! Tests of how an agent handles requests, with a fake entry and a fake target.

mod fixture;

use fixture::{
    DOMAIN, FakeEntry, FakeTarget, ephemeral_address, permissive_rules, request, request_id,
    run_test, start_target, with_timeout,
};
use godwitstep_core::authority::OperatingMode;
use godwitstep_core::reason::Reason;
use godwitstep_core::router::KeyState;
use godwitstep_wire::{Frame, Outcome, Rules};
use serde_json::{Value, json};
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Returns the settings of a target with two slots.
fn target_settings(address: SocketAddr) -> Value {
    json!({"target": {"service": "bookingsted", "slots": 2, "address": address}})
}

fn assert_not_started(outcome: &Outcome, expected: &Reason) {
    match outcome {
        Outcome::NotStarted { reason } if reason == expected => {}
        other => panic!("expected not started because of {expected:?}, got {other:?}"),
    }
}

struct Setup {
    target: Rc<FakeTarget>,
    target_address: SocketAddr,
    target_shutdown: godwitstep::http::Shutdown,
    entry: FakeEntry,
    /// A message on this channel stops the agent gracefully.
    stop: smol::channel::Sender<()>,
    agent: smol::Task<Result<(), godwitstep::agent::Error>>,
}

/// Delay after which a new agent accepts non-idempotent requests: 1.5 s, the longest transit time of
/// a request, and a margin.
const NON_IDEMPOTENT_DELAY: Duration = Duration::from_millis(1700);

/// Starts a target, an agent and an entry, and waits until the target is announced and the agent
/// accepts non-idempotent requests.
async fn setup(executor: &LocalExecutor<'_>) -> Setup {
    let state = Rc::new(FakeTarget::default());
    let (target_address, target_shutdown) =
        start_target(executor, &state, ephemeral_address()).await;
    let (entry, stop, agent) = FakeEntry::start(executor, target_settings(target_address)).await;
    entry.set_rules(Some(permissive_rules()));
    let announce = entry
        .wait_for_announcement(|announce| announce.target.is_some())
        .await;
    let announced_target = announce.target.expect("checked");
    assert_eq!(
        (&*announced_target.id, announced_target.slots),
        ("runner-1", 2)
    );
    assert!(!announce.leaving);
    Timer::after(NON_IDEMPOTENT_DELAY).await;
    Setup {
        target: state,
        target_address,
        target_shutdown,
        entry,
        stop,
        agent,
    }
}

/// Guards against replies whose body is changed or truncated, or that state a wrong outcome.
#[test]
fn replies_state_the_outcome_of_the_request() {
    run_test(async |executor| {
        let setup = setup(executor).await;
        let body = "body of 1".into();
        assert_eq!(setup.entry.call(1, "w/1").await, Outcome::Answered { body });
        setup.target.failing.set(true);
        let body = "body of 2".into();
        assert_eq!(setup.entry.call(2, "w/2").await, Outcome::Failed { body });
        setup.target.truncating.set(true);
        let outcome = setup.entry.call(3, "w/3").await;
        assert!(matches!(outcome, Outcome::Unknown { .. }), "{outcome:?}");
        assert_eq!(*setup.target.received_keys.borrow(), ["w/1", "w/2", "w/3"]);
    });
}

/// Guards against requests that start in a failure domain out of service, on the instruction of an
/// entry that may be disconnected from the log, or because an entry with an older configuration puts
/// the domain back in service (R3, R9).
#[test]
fn requests_that_the_rules_forbid_do_not_start() {
    run_test(async |executor| {
        let setup = setup(executor).await;
        let out_of_service = Rules {
            version: 12,
            out_of_service: vec![DOMAIN.into()],
            ..permissive_rules()
        };
        setup.entry.set_rules(Some(out_of_service));
        let domain_out = Reason::DomainOut {
            domain: DOMAIN.into(),
        };
        assert_not_started(&setup.entry.call(1, "w/1").await, &domain_out);
        setup.entry.set_rules(Some(Rules {
            version: 11,
            ..permissive_rules()
        }));
        assert_not_started(&setup.entry.call(2, "w/2").await, &domain_out);
        let back_in_service = Rules {
            version: 13,
            ..permissive_rules()
        };
        setup.entry.set_rules(Some(Rules {
            operating_mode: OperatingMode::Halted,
            ..back_in_service.clone()
        }));
        assert_not_started(&setup.entry.call(3, "w/3").await, &Reason::Halted);
        setup.entry.set_rules(Some(back_in_service));
        let outcome = setup.entry.call(4, "w/4").await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
        // Heartbeats without rules keep the link open but permit nothing to start.
        setup.entry.set_rules(None);
        Timer::after(Duration::from_millis(2100)).await;
        assert_not_started(&setup.entry.call(5, "w/5").await, &Reason::Halted);
        assert_eq!(*setup.target.received_keys.borrow(), ["w/4"]);
    });
}

/// Guards against more concurrent requests on a target than it has slots.
#[test]
fn slots_are_not_exceeded() {
    run_test(async |executor| {
        let setup = setup(executor).await;
        setup.target.response_delay.set(Duration::from_secs(1));
        for sequence in 1..=3 {
            let request = request(sequence, &format!("w/{sequence}"));
            setup.entry.link.send(Frame::Request(request));
        }
        assert_not_started(&setup.entry.wait_for_reply(3).await, &Reason::LimitReached);
        let load = |frame| match frame {
            Frame::Heartbeat(heartbeat) => heartbeat.load.filter(|load| load.busy == 2),
            _ => None,
        };
        assert_eq!(setup.entry.wait_for_frame(load).await.from_receiver, 2);
        setup.entry.wait_for_reply(1).await;
    });
}

/// Guards against requests that start while the target is leaving (R7), and against a target that
/// is not announced again after it was lost.
#[test]
fn leaving_and_lost_targets_are_announced_and_recover() {
    run_test(async |executor| {
        let setup = setup(executor).await;
        setup.target.leaving.set(true);
        setup
            .entry
            .wait_for_announcement(|announce| announce.leaving)
            .await;
        assert_not_started(&setup.entry.call(1, "w/1").await, &Reason::Stopping);
        setup.target.leaving.set(false);
        setup
            .entry
            .wait_for_announcement(|announce| !announce.leaving)
            .await;
        setup.target_shutdown.start();
        let lost = |announce: &godwitstep_wire::Announce| announce.target.is_none();
        setup.entry.wait_for_announcement(lost).await;
        assert_not_started(&setup.entry.call(2, "w/2").await, &Reason::TargetLost);
        let _shutdown = start_target(executor, &setup.target, setup.target_address).await;
        let available = |announce: &godwitstep_wire::Announce| announce.target.is_some();
        setup.entry.wait_for_announcement(available).await;
        let outcome = setup.entry.call(3, "w/3").await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
    });
}

/// Guards against a graceful stop that aborts a running request or accepts new ones (R8).
#[test]
fn graceful_stop_finishes_running_requests() {
    run_test(async |executor| {
        let setup = setup(executor).await;
        setup.target.response_delay.set(Duration::from_millis(400));
        setup.entry.link.send(Frame::Request(request(1, "w/1")));
        Timer::after(Duration::from_millis(100)).await;
        let stop_time = Instant::now();
        setup.stop.send(()).await.expect("runs");
        setup
            .entry
            .wait_for_announcement(|announce| announce.leaving)
            .await;
        assert_not_started(&setup.entry.call(2, "w/2").await, &Reason::Stopping);
        let body = "body of 1".into();
        assert_eq!(
            setup.entry.wait_for_reply(1).await,
            Outcome::Answered { body }
        );
        with_timeout(setup.agent).await.expect("stops");
        assert!(stop_time.elapsed() < Duration::from_secs(2));
    });
}

/// Guards against a second run of a key, and against a result that is sent only to the first of the
/// requests with that key (R4, R6).
#[test]
fn duplicate_requests_share_one_run() {
    run_test(async |executor| {
        let setup = setup(executor).await;
        let body = || "body of 1".into();
        setup.target.response_delay.set(Duration::from_millis(200));
        let repeated = request(1, "w/1");
        setup.entry.link.send(Frame::Request(repeated.clone()));
        setup.entry.link.send(Frame::Request(repeated));
        setup.entry.link.send(Frame::Request(request(2, "w/1")));
        assert_eq!(
            setup.entry.wait_for_reply(1).await,
            Outcome::Answered { body: body() }
        );
        assert_eq!(
            setup.entry.wait_for_reply(2).await,
            Outcome::Answered { body: body() }
        );
        let outcome = setup.entry.call(3, "w/1").await;
        assert_eq!(outcome, Outcome::Answered { body: body() });
        assert_eq!(*setup.target.received_keys.borrow(), ["w/1"]);
    });
}

/// Guards against a fence that does not exclude earlier requests with the key, or that is lost when
/// the request that owns it is refused (R6).
#[test]
fn fence_refuses_earlier_requests() {
    run_test(async |executor| {
        let setup = setup(executor).await;
        assert_eq!(fence(&setup.entry, 9, "w/1").await, KeyState::Fenced);
        setup.entry.set_rules(Some(Rules {
            operating_mode: OperatingMode::Halted,
            ..permissive_rules()
        }));
        assert_not_started(&setup.entry.call(9, "w/1").await, &Reason::Halted);
        setup.entry.set_rules(Some(permissive_rules()));
        assert_not_started(&setup.entry.call(5, "w/1").await, &Reason::Cancelled);
        let outcome = setup.entry.call(9, "w/1").await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
        assert_eq!(fence(&setup.entry, 10, "w/1").await, KeyState::Answered);
        let body = "body of 9".into();
        assert_eq!(
            setup.entry.wait_for_reply(10).await,
            Outcome::Answered { body }
        );
        setup.target.response_delay.set(Duration::from_millis(200));
        setup.entry.link.send(Frame::Request(request(11, "w/2")));
        assert_eq!(fence(&setup.entry, 12, "w/2").await, KeyState::Running);
        let body = "body of 11".into();
        assert_eq!(
            setup.entry.wait_for_reply(12).await,
            Outcome::Answered { body }
        );
        assert_eq!(*setup.target.received_keys.borrow(), ["w/1", "w/2"]);
    });
}

/// Fences a key for a request and returns the state of the key.
async fn fence(entry: &FakeEntry, sequence: u64, key: &str) -> KeyState {
    let (id, key) = (request_id(sequence), key.into());
    entry.link.send(Frame::Fence { id, key });
    let select = |frame| match frame {
        Frame::Fenced {
            id: fenced_id,
            state,
        } if fenced_id == id => Some(state),
        _ => None,
    };
    entry.wait_for_frame(select).await
}

/// Guards against running a request that an earlier incarnation of the agent may have fenced (R6).
#[test]
fn non_idempotent_requests_older_than_the_agent_are_refused() {
    run_test(async |executor| {
        let setup = setup(executor).await;
        let mut old_request = request(1, "w/1");
        old_request.age = Duration::from_secs(10);
        setup.entry.link.send(Frame::Request(old_request.clone()));
        let outcome = setup.entry.wait_for_reply(1).await;
        assert!(matches!(outcome, Outcome::NotStarted { .. }), "{outcome:?}");
        old_request.id = request_id(2);
        old_request.idempotent = true;
        setup.entry.link.send(Frame::Request(old_request));
        let outcome = setup.entry.wait_for_reply(2).await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
    });
}

/// Guards against a reply that is lost because the link of its request was closed.
#[test]
fn reply_is_sent_on_the_next_link() {
    run_test(async |executor| {
        let setup = setup(executor).await;
        setup.target.response_delay.set(Duration::from_millis(300));
        setup.entry.link.send(Frame::Request(request(1, "w/1")));
        Timer::after(Duration::from_millis(100)).await;
        setup.entry.link.close();
        let body = "body of 1".into();
        assert_eq!(
            setup.entry.wait_for_reply(1).await,
            Outcome::Answered { body }
        );
    });
}

/// Guards against work that starts on instructions received before a pause of the process.
#[test]
fn requests_received_before_a_pause_are_dropped() {
    run_test(async |executor| {
        let setup = setup(executor).await;
        setup.entry.clock.advance(Duration::from_secs(3));
        setup.entry.link.send(Frame::Request(request(1, "w/1")));
        with_timeout(async {
            while !setup.entry.link.is_closed() {
                Timer::after(Duration::from_millis(10)).await;
            }
        })
        .await;
        // The agent reconnects and announces its target again.
        setup
            .entry
            .wait_for_announcement(|announce| announce.target.is_some())
            .await;
        assert!(setup.target.received_keys.borrow().is_empty());
    });
}

/// Guards against a fence that is removed when the target refuses the connection of its request
/// (R6).
#[test]
fn fence_survives_a_refused_connection() {
    run_test(async |executor| {
        let setup = setup(executor).await;
        assert_eq!(fence(&setup.entry, 9, "w/1").await, KeyState::Fenced);
        setup.target_shutdown.start();
        // Shorter than the time to the next health check, so that the agent still tries to connect.
        Timer::after(Duration::from_millis(20)).await;
        assert_not_started(&setup.entry.call(9, "w/1").await, &Reason::TargetLost);
        let lost = |announce: &godwitstep_wire::Announce| announce.target.is_none();
        setup.entry.wait_for_announcement(lost).await;
        let _shutdown = start_target(executor, &setup.target, setup.target_address).await;
        let available = |announce: &godwitstep_wire::Announce| announce.target.is_some();
        setup.entry.wait_for_announcement(available).await;
        assert_not_started(&setup.entry.call(5, "w/1").await, &Reason::Cancelled);
        assert!(setup.target.received_keys.borrow().is_empty());
    });
}
