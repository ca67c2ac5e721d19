//! Tests of the router's policy, one rule per test.

use godwitstep_core::Reason;
use godwitstep_core::authority::OperatingMode;
use godwitstep_core::resource::{Kind, Priority, Workspace};
use godwitstep_core::router::{
    Action, Event, KeyState, Outcome, Refusal, Reply, Request, Router, Settings, Target,
};
use std::time::Duration;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A router with a manual clock. Every event is followed by a check for violations.
struct Harness {
    router: Router,
    now: Duration,
    sequence: u64,
}

impl Harness {
    fn new() -> Self {
        let settings = Settings::new("a").max_queued(50).warm_up(Duration::ZERO);
        let mut harness = Self {
            router: Router::new(settings, 7),
            now: Duration::ZERO,
            sequence: 0,
        };
        let kind = |name: &str, priority| Kind {
            name: name.into(),
            priority,
            objective_ms: 1_000,
            refund: 1.0,
        };
        let mut spec = Workspace::new(vec![
            kind("urgent", Priority::Urgent),
            kind("patient", Priority::Patient),
        ]);
        spec.max_queued = 20;
        for id in ["w", "v"] {
            let (id, spec) = (id.into(), Some(spec.clone()));
            harness.handle(Event::Workspace { id, spec });
        }
        harness
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        assert_eq!(self.router.violation(), None);
        actions
    }

    /// Advances the clock in ticks of 20 ms, with heartbeats of the given targets.
    fn advance(&mut self, time: Duration, heartbeats_from: &[&str]) -> Vec<Action> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += ms(20);
            for id in heartbeats_from {
                let (id, busy, ours) = ((*id).into(), 0, 0);
                actions.extend(self.handle(Event::Load { id, busy, ours }));
            }
            actions.extend(self.handle(Event::Tick));
        }
        actions
    }

    /// Adds a linked target.
    fn announce(&mut self, id: &str, domain: &str, slots: u32) {
        self.announce_incarnation(id, domain, slots, 1);
    }

    fn announce_incarnation(
        &mut self,
        id: &str,
        domain: &str,
        slots: u32,
        incarnation: u64,
    ) -> Vec<Action> {
        let (id, domain, service) = (id.into(), domain.into(), "s".into());
        let target = Target {
            id,
            incarnation,
            service,
            domain,
            slots,
        };
        let mut actions = self.handle(Event::TargetUp(target));
        actions.extend(self.handle(Event::Tick));
        actions
    }

    fn request(&mut self, kind: &str, deadline: u64) -> Request {
        self.sequence += 1;
        Request {
            sequence: self.sequence,
            service: "s".into(),
            workspace: "w".into(),
            kind: kind.into(),
            key: format!("k{}", self.sequence).into(),
            idempotent: false,
            attempt: 1,
            deadline: self.now + ms(deadline),
        }
    }

    fn arrive(&mut self, kind: &str, deadline: u64) -> Vec<Action> {
        let request = self.request(kind, deadline);
        self.handle(Event::Arrive(request))
    }

    fn reply(&mut self, sequence: u64, target: &str, reply: Reply) -> Vec<Action> {
        let target = target.into();
        self.handle(Event::Reply {
            sequence,
            target,
            reply,
        })
    }

    fn fence_reply(&mut self, sequence: u64, target: &str, state: KeyState) -> Vec<Action> {
        let target = target.into();
        self.handle(Event::Fenced {
            sequence,
            target,
            state,
        })
    }

    fn lose_target(&mut self, id: &str) -> Vec<Action> {
        let (id, incarnation) = (id.into(), 1);
        self.handle(Event::TargetLost { id, incarnation })
    }
}

/// Returns the sent requests with their targets.
fn sends(actions: &[Action]) -> Vec<(u64, String)> {
    let sent = |action: &Action| match action {
        Action::Send { sequence, target } => Some((*sequence, target.to_string())),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

/// Returns the outcome of the only answer.
fn outcome(actions: &[Action]) -> &Outcome {
    let answers: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Answer { outcome, .. } => Some(outcome),
            _ => None,
        })
        .collect();
    assert_eq!(answers.len(), 1, "{actions:?}");
    answers[0]
}

fn refusal(actions: &[Action]) -> &Refusal {
    match outcome(actions) {
        Outcome::NotRun(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

/// The expected result of [`sends`] for one request.
fn one_send(sequence: u64, target: &str) -> Vec<(u64, String)> {
    vec![(sequence, target.to_owned())]
}

/// Guards against a request that is answered twice or gets the answer of another request.
#[test]
fn a_request_is_sent_and_answered_once() {
    let mut harness = Harness::new();
    harness.announce("t1", "a", 2);
    assert_eq!(sends(&harness.arrive("urgent", 1_000)), one_send(1, "t1"));
    let actions = harness.reply(1, "t1", Reply::Answered);
    let target = "t1".into();
    assert_eq!(outcome(&actions), &Outcome::Answered { target });
    assert_eq!(actions.len(), 1, "{actions:?}");
    assert!(harness.reply(1, "t1", Reply::Answered).is_empty());
}

/// Guards against bursts that go entirely to the target that was idle at its last heartbeat, and
/// against avoidable traffic between failure domains.
#[test]
fn load_per_slot_includes_requests_since_the_last_heartbeat() {
    let mut harness = Harness::new();
    harness.announce("t1", "b", 2);
    harness.announce("t2", "a", 4);
    let order: Vec<_> = (0..6)
        .flat_map(|_| sends(&harness.arrive("urgent", 1_000)))
        .map(|(_, target)| target)
        .collect();
    assert_eq!(order, ["t2", "t1", "t2", "t2", "t1", "t2"]);
    assert!(sends(&harness.arrive("urgent", 1_000)).is_empty());
    assert_eq!(
        sends(&harness.reply(2, "t1", Reply::Answered)),
        one_send(7, "t1")
    );
}

/// Guards against starvation of the lowest priority, and against requests with later deadlines
/// being sent first.
#[test]
fn urgent_requests_go_first_and_patient_ones_are_not_starved() {
    let mut harness = Harness::new();
    harness.announce("t1", "a", 1);
    harness.arrive("urgent", 9_000);
    harness.arrive("patient", 9_000);
    for number in 0..10 {
        harness.arrive("urgent", 8_000 - number);
    }
    let mut order = Vec::new();
    let mut running = 1;
    while let [(next, _)] = sends(&harness.reply(running, "t1", Reply::Answered))[..] {
        order.push(next);
        running = next;
    }
    assert_eq!(order, [12, 11, 10, 9, 8, 7, 6, 5, 2, 4, 3]);
}

/// Guards against requests that are accepted and then answered late, and against retry-after times
/// without jitter, which make all callers retry at the same time.
#[test]
fn requests_that_would_miss_their_deadlines_are_refused_at_arrival() {
    let mut harness = Harness::new();
    assert_eq!(
        refusal(&harness.arrive("urgent", 1_000)).reason,
        Reason::NoTarget
    );
    harness.announce("t1", "a", 1);
    for _ in 0..5 {
        harness.arrive("urgent", 1_000);
        harness.advance(ms(100), &["t1"]);
        harness.reply(harness.sequence, "t1", Reply::Answered);
    }
    let refused = harness.arrive("urgent", 90);
    assert_eq!(refusal(&refused).reason, Reason::DeadlineUnreachable);
    for _ in 0..6 {
        harness.arrive("patient", 500);
    }
    let mut retry_times = Vec::new();
    for _ in 0..4 {
        let actions = harness.arrive("patient", 501);
        retry_times.push(refusal(&actions).retry_after.unwrap());
    }
    assert!(
        retry_times
            .iter()
            .all(|time| (ms(600)..ms(900)).contains(time)),
        "{retry_times:?}"
    );
    assert!(retry_times.windows(2).any(|pair| pair[0] != pair[1]));
    // A queue that makes no progress is detected before the deadlines pass.
    let refused_early = harness.advance(ms(300), &["t1"]);
    assert!(!refused_early.is_empty());
}

/// Guards against one workspace that fills the queue it shares with others.
#[test]
fn queues_are_limited_by_workspace_and_service() {
    let mut harness = Harness::new();
    harness.announce("t1", "a", 1);
    for _ in 0..21 {
        assert!(harness.arrive("urgent", 60_000).len() <= 1);
    }
    let refused = harness.arrive("urgent", 60_000);
    assert_eq!(refusal(&refused).reason, Reason::LimitReached);
    // An earlier request with the key may have run, so this one must not be answered as not run.
    let mut request = harness.request("urgent", 60_000);
    request.attempt = 2;
    let refused = harness.handle(Event::Arrive(request));
    let reason = Reason::LimitReached;
    assert_eq!(outcome(&refused), &Outcome::Unknown { reason });
    let mut request = harness.request("urgent", 60_000);
    request.workspace = "v".into();
    assert!(harness.handle(Event::Arrive(request)).is_empty());
    assert_eq!(harness.router.waiting(), 21);
}

/// Guards against requests sent to targets that have late heartbeats, are leaving, or are in a
/// failure domain out of service.
#[test]
fn stale_leaving_and_out_of_service_targets_get_no_requests() {
    let mut harness = Harness::new();
    harness.announce("t1", "a", 8);
    harness.announce("t2", "b", 8);
    harness.handle(Event::Domain {
        id: "a".into(),
        in_service: false,
    });
    assert_eq!(sends(&harness.arrive("urgent", 5_000)), one_send(1, "t2"));
    harness.handle(Event::TargetLeaving { id: "t2".into() });
    assert_eq!(
        refusal(&harness.arrive("urgent", 5_000)).reason,
        Reason::NoTarget
    );
    harness.handle(Event::Domain {
        id: "a".into(),
        in_service: true,
    });
    assert_eq!(sends(&harness.arrive("urgent", 5_000)), one_send(3, "t1"));
    harness.advance(ms(1_600), &[]);
    assert!(harness.arrive("urgent", 5_000).is_empty());
    let (id, busy, ours) = ("t1".into(), 0, 0);
    assert_eq!(
        sends(&harness.handle(Event::Load { id, busy, ours })),
        one_send(4, "t1")
    );
}

/// Guards against a process that resumes after a pause and sends requests based on heartbeats from
/// before the pause.
#[test]
fn a_pause_suspends_sending_until_new_heartbeats() {
    let mut harness = Harness::new();
    harness.announce("t1", "a", 8);
    harness.now += ms(1_200);
    assert!(harness.arrive("urgent", 5_000).is_empty());
    let buffered = Event::Load {
        id: "t1".into(),
        busy: 0,
        ours: 0,
    };
    assert!(harness.handle(buffered.clone()).is_empty());
    harness.advance(ms(300), &[]);
    assert_eq!(sends(&harness.handle(buffered)), one_send(1, "t1"));
}

/// Guards against second runs of non-idempotent requests after a target is lost, idempotent
/// requests that are not retried, and retries that multiply the load of an outage.
#[test]
fn requests_of_lost_targets_are_retried_only_if_idempotent_and_within_the_budget() {
    let mut harness = Harness::new();
    harness.announce("t1", "a", 40);
    harness.announce("t2", "b", 40);
    harness.handle(Event::TargetLeaving { id: "t2".into() });
    for number in 0..8 {
        let mut request = harness.request("urgent", 5_000);
        request.idempotent = number != 0;
        harness.handle(Event::Arrive(request));
    }
    harness.announce("t2", "b", 40);
    let actions = harness.lose_target("t1");
    let unknown = |action: &&Action| {
        matches!(
            action,
            Action::Answer {
                outcome: Outcome::Unknown {
                    reason: Reason::TargetLost
                },
                ..
            }
        )
    };
    assert_eq!(sends(&actions).len(), 3);
    assert_eq!(actions.iter().filter(unknown).count(), 5);
    let not_started = Reply::NotStarted(Reason::Stopping);
    harness.announce_incarnation("t1", "a", 40, 2);
    harness.arrive("urgent", 5_000);
    assert_eq!(
        sends(&harness.reply(9, "t1", not_started)),
        one_send(9, "t2")
    );
}

/// Guards against a target that fails fast and therefore always has the lowest load and gets all
/// requests.
#[test]
fn a_failing_target_gets_only_probes() {
    let mut harness = Harness::new();
    harness.announce("t1", "a", 1);
    harness.announce("t2", "b", 4);
    let mut sent_to_t1 = 0;
    for _ in 0..500 {
        let [(sequence, target)] = &sends(&harness.arrive("urgent", 1_000))[..] else {
            panic!("not sent")
        };
        let failed = target == "t1";
        sent_to_t1 += usize::from(failed);
        let reply = if failed {
            Reply::Failed
        } else {
            Reply::Answered
        };
        harness.reply(*sequence, target, reply);
        harness.advance(ms(20), &["t1", "t2"]);
    }
    assert!(
        (6..=8).contains(&sent_to_t1),
        "{sent_to_t1} requests went to the failing target"
    );
}

/// Guards against requests accepted by an entry that is halted or stopping.
#[test]
fn halted_and_stopping_entries_refuse_requests() {
    let mut harness = Harness::new();
    harness.announce("t1", "a", 1);
    harness.arrive("urgent", 5_000);
    harness.arrive("urgent", 5_000);
    let actions = harness.handle(Event::OperatingMode(OperatingMode::Halted));
    assert_eq!(refusal(&actions).reason, Reason::Halted);
    assert_eq!(
        refusal(&harness.arrive("urgent", 5_000)).reason,
        Reason::Halted
    );
    harness.handle(Event::OperatingMode(OperatingMode::Degraded));
    assert!(harness.arrive("urgent", 5_000).is_empty());
    harness.handle(Event::Stop);
    assert_eq!(
        refusal(&harness.arrive("urgent", 5_000)).reason,
        Reason::Stopping
    );
    assert_eq!(
        sends(&harness.reply(1, "t1", Reply::Answered)),
        one_send(4, "t1")
    );
}

/// Guards against a running request that is answered as not run at its deadline.
#[test]
fn at_the_deadline_only_queued_requests_are_answered_as_not_run() {
    let mut harness = Harness::new();
    harness.announce("t1", "a", 1);
    harness.arrive("urgent", 100);
    assert_eq!(
        outcome(&harness.advance(ms(100), &["t1"])),
        &Outcome::Unknown {
            reason: Reason::DeadlineUnreachable
        }
    );
    harness.arrive("urgent", 100);
    let actions = harness.advance(ms(100), &["t1"]);
    assert_eq!(refusal(&actions).reason, Reason::DeadlineUnreachable);
}

/// Guards against a second run of a key. Two agents receive a fence: one grants it, and the other
/// replies with each possible state in turn.
#[test]
fn repeated_keys_are_fenced_before_they_are_sent() {
    use KeyState::{Answered, Failed, Fenced, Running, Unknown};
    for state in [Fenced, Running, Answered, Failed, Unknown] {
        let mut harness = Harness::new();
        harness.announce("t1", "a", 1);
        harness.announce("t2", "b", 1);
        let mut request = harness.request("urgent", 5_000);
        request.attempt = 2;
        let fences = harness.handle(Event::Arrive(request));
        assert_eq!(fences.len(), 2);
        assert!(harness.fence_reply(1, "t2", Fenced).is_empty());
        let actions = harness.fence_reply(1, "t1", state);
        match state {
            Fenced => assert_eq!(sends(&actions), one_send(1, "t1")),
            Running | Answered => {
                assert!(actions.is_empty());
                let actions = harness.reply(1, "t1", Reply::Answered);
                assert!(matches!(outcome(&actions), Outcome::Answered { .. }));
            }
            Failed => assert!(matches!(outcome(&actions), Outcome::Failed { .. })),
            Unknown => assert!(matches!(outcome(&actions), Outcome::Unknown { .. })),
        }
    }
}

/// Guards against a key that is sent again although an agent that may have run it can't be fenced.
/// A target that was lost longer ago than the key window of 10 minutes no longer counts.
#[test]
fn unreachable_agents_make_a_repeated_key_unknown() {
    for case in [
        "lost",
        "linked_to_peer",
        "restarted",
        "no_reply",
        "lost_long_ago",
    ] {
        let mut harness = Harness::new();
        harness.announce("t1", "a", 1);
        harness.announce("t2", "b", 1);
        match case {
            "lost" => drop(harness.lose_target("t2")),
            "restarted" => drop(harness.announce_incarnation("t2", "b", 1, 2)),
            "lost_long_ago" => {
                harness.lose_target("t2");
                harness.advance(Duration::from_secs(601), &["t1"]);
            }
            "linked_to_peer" => {
                let (id, domain, service) = ("t3".into(), "b".into(), "s".into());
                let target = Target {
                    id,
                    incarnation: 1,
                    service,
                    domain,
                    slots: 1,
                };
                harness.handle(Event::TargetSeenByPeer(target));
            }
            _ => {}
        }
        let mut request = harness.request("urgent", 5_000);
        request.attempt = 2;
        harness.handle(Event::Arrive(request));
        let mut actions = harness.fence_reply(1, "t1", KeyState::Fenced);
        if case == "no_reply" {
            actions.extend(harness.advance(ms(1_100), &["t1", "t2"]));
        } else {
            actions.extend(harness.fence_reply(1, "t2", KeyState::Fenced));
        }
        if case == "lost_long_ago" {
            assert_eq!(sends(&actions), one_send(1, "t1"));
        } else {
            let unknown = Outcome::Unknown {
                reason: Reason::TargetLost,
            };
            assert_eq!(outcome(&actions), &unknown, "{case}");
        }
    }
}

/// Guards against a request that is sent again and again to agents that will never start it, which
/// also blocks their targets for other requests.
#[test]
fn a_request_older_than_all_agents_is_refused() {
    let mut harness = Harness::new();
    for id in ["t1", "t2"] {
        harness.announce(id, "a", 2);
    }
    let mut actions = harness.arrive("patient", 900);
    let mut sent_to = Vec::new();
    while let Some(Action::Send { sequence, target }) = actions.first().cloned() {
        sent_to.push(target.clone());
        assert!(sent_to.len() <= 2, "sent again to {target}");
        let reply = Reply::NotStarted(Reason::AgentTooYoung);
        actions = harness.handle(Event::Reply {
            sequence,
            target,
            reply,
        });
    }
    assert_eq!(sent_to.len(), 2);
    let Some(Action::Answer {
        outcome: Outcome::NotRun(refusal),
        ..
    }) = actions.first()
    else {
        panic!("{actions:?}");
    };
    assert_eq!(refusal.reason, Reason::AgentTooYoung);
    assert!(refusal.retry_after.is_some());
    let other = harness.arrive("urgent", 900);
    assert!(matches!(other.first(), Some(Action::Send { .. })));
}
