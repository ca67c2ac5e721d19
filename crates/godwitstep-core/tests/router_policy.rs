//! Request policy of the router, one rule a test.

use godwitstep_core::Reason;
use godwitstep_core::authority::Standing;
use godwitstep_core::resource::{Kind, Priority, Workspace};
use godwitstep_core::router::{
    Action, Event, KeyState, Outcome, Refusal, Reply, Request, Router, Settings, Target,
};
use std::time::Duration;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

struct Bench {
    router: Router,
    now: Duration,
    sequence: u64,
}

impl Bench {
    fn new() -> Self {
        let settings = Settings::new("a").max_queued(50).warm_up(Duration::ZERO);
        let mut bench = Self {
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
            bench.on(Event::Workspace { id, spec });
        }
        bench
    }

    fn on(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        assert_eq!(self.router.violation(), None);
        actions
    }

    /// Passes time in ticks, with heartbeats of the given targets.
    fn pass(&mut self, time: Duration, alive: &[&str]) -> Vec<Action> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += ms(20);
            for id in alive {
                let (id, busy, ours) = ((*id).into(), 0, 0);
                actions.extend(self.on(Event::Load { id, busy, ours }));
            }
            actions.extend(self.on(Event::Tick));
        }
        actions
    }

    fn up(&mut self, id: &str, domain: &str, slots: u32) {
        self.life(id, domain, slots, 1);
    }

    fn life(&mut self, id: &str, domain: &str, slots: u32, incarnation: u64) -> Vec<Action> {
        let (id, domain, service) = (id.into(), domain.into(), "s".into());
        let target = Target {
            id,
            incarnation,
            service,
            domain,
            slots,
        };
        let mut actions = self.on(Event::TargetUp(target));
        actions.extend(self.on(Event::Tick));
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
        self.on(Event::Arrive(request))
    }

    fn reply(&mut self, sequence: u64, target: &str, reply: Reply) -> Vec<Action> {
        let target = target.into();
        self.on(Event::Reply {
            sequence,
            target,
            reply,
        })
    }

    fn fenced(&mut self, sequence: u64, target: &str, state: KeyState) -> Vec<Action> {
        let target = target.into();
        self.on(Event::Fenced {
            sequence,
            target,
            state,
        })
    }

    fn lost(&mut self, id: &str) -> Vec<Action> {
        let (id, incarnation) = (id.into(), 1);
        self.on(Event::TargetLost { id, incarnation })
    }
}

fn sends(actions: &[Action]) -> Vec<(u64, String)> {
    let sent = |action: &Action| match action {
        Action::Send { sequence, target } => Some((*sequence, target.to_string())),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

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

fn sent(sequence: u64, target: &str) -> Vec<(u64, String)> {
    vec![(sequence, target.to_owned())]
}

/// Guards against answers that go to another request or are given twice.
#[test]
fn a_request_is_sent_and_answered_once() {
    let mut bench = Bench::new();
    bench.up("t1", "a", 2);
    assert_eq!(sends(&bench.arrive("urgent", 1_000)), sent(1, "t1"));
    let actions = bench.reply(1, "t1", Reply::Answered);
    let target = "t1".into();
    assert_eq!(outcome(&actions), &Outcome::Answered { target });
    assert_eq!(actions.len(), 1, "{actions:?}");
    assert!(bench.reply(1, "t1", Reply::Answered).is_empty());
}

/// Guards against bursts that all go to the target that was idle at the last heartbeat, and
/// against needless traffic between domains.
#[test]
fn load_per_slot_counts_what_was_sent() {
    let mut bench = Bench::new();
    bench.up("t1", "b", 2);
    bench.up("t2", "a", 4);
    let order: Vec<_> = (0..6)
        .flat_map(|_| sends(&bench.arrive("urgent", 1_000)))
        .map(|(_, target)| target)
        .collect();
    assert_eq!(order, ["t2", "t1", "t2", "t2", "t1", "t2"]);
    assert!(sends(&bench.arrive("urgent", 1_000)).is_empty());
    assert_eq!(sends(&bench.reply(2, "t1", Reply::Answered)), sent(7, "t1"));
}

/// Guards against patient work that waits for ever, and against later deadlines going first.
#[test]
fn urgent_goes_first_and_patient_is_not_starved() {
    let mut bench = Bench::new();
    bench.up("t1", "a", 1);
    bench.arrive("urgent", 9_000);
    bench.arrive("patient", 9_000);
    for number in 0..10 {
        bench.arrive("urgent", 8_000 - number);
    }
    let mut order = Vec::new();
    let mut running = 1;
    while let [(next, _)] = sends(&bench.reply(running, "t1", Reply::Answered))[..] {
        order.push(next);
        running = next;
    }
    assert_eq!(order, [12, 11, 10, 9, 8, 7, 6, 5, 2, 4, 3]);
}

/// Guards against requests that are accepted and then answered late, and against a time to come
/// back that brings all callers back at once.
#[test]
fn hopeless_requests_are_refused_at_once() {
    let mut bench = Bench::new();
    assert_eq!(
        refusal(&bench.arrive("urgent", 1_000)).reason,
        Reason::NoTarget
    );
    bench.up("t1", "a", 1);
    for _ in 0..5 {
        bench.arrive("urgent", 1_000);
        bench.pass(ms(100), &["t1"]);
        bench.reply(bench.sequence, "t1", Reply::Answered);
    }
    let refused = bench.arrive("urgent", 90);
    assert_eq!(refusal(&refused).reason, Reason::DeadlineUnreachable);
    for _ in 0..6 {
        bench.arrive("patient", 500);
    }
    let mut times = Vec::new();
    for _ in 0..4 {
        let actions = bench.arrive("patient", 501);
        times.push(refusal(&actions).retry_after.unwrap());
    }
    assert!(
        times.iter().all(|time| (ms(600)..ms(900)).contains(time)),
        "{times:?}"
    );
    assert!(times.windows(2).any(|pair| pair[0] != pair[1]));
    // A queue that stands still is noticed before the deadlines come.
    let early = bench.pass(ms(300), &["t1"]);
    assert!(!early.is_empty());
}

/// Guards against one workspace that fills the queue of all others.
#[test]
fn queues_are_limited_by_workspace_and_service() {
    let mut bench = Bench::new();
    bench.up("t1", "a", 1);
    for _ in 0..21 {
        assert!(bench.arrive("urgent", 60_000).len() <= 1);
    }
    let refused = bench.arrive("urgent", 60_000);
    assert_eq!(refusal(&refused).reason, Reason::LimitReached);
    // An earlier request with the key may have run, so the refusal must not claim the opposite.
    let mut request = bench.request("urgent", 60_000);
    request.attempt = 2;
    let refused = bench.on(Event::Arrive(request));
    let reason = Reason::LimitReached;
    assert_eq!(outcome(&refused), &Outcome::Unknown { reason });
    let mut request = bench.request("urgent", 60_000);
    request.workspace = "v".into();
    assert!(bench.on(Event::Arrive(request)).is_empty());
    assert_eq!(bench.router.waiting(), 21);
}

/// Guards against work sent to targets that are stale, leaving or in a domain out of service.
#[test]
fn stale_leaving_and_out_targets_get_nothing() {
    let mut bench = Bench::new();
    bench.up("t1", "a", 8);
    bench.up("t2", "b", 8);
    bench.on(Event::Domain {
        id: "a".into(),
        in_service: false,
    });
    assert_eq!(sends(&bench.arrive("urgent", 5_000)), sent(1, "t2"));
    bench.on(Event::TargetLeaving { id: "t2".into() });
    assert_eq!(
        refusal(&bench.arrive("urgent", 5_000)).reason,
        Reason::NoTarget
    );
    bench.on(Event::Domain {
        id: "a".into(),
        in_service: true,
    });
    assert_eq!(sends(&bench.arrive("urgent", 5_000)), sent(3, "t1"));
    bench.pass(ms(1_600), &[]);
    assert!(bench.arrive("urgent", 5_000).is_empty());
    let (id, busy, ours) = ("t1".into(), 0, 0);
    assert_eq!(
        sends(&bench.on(Event::Load { id, busy, ours })),
        sent(4, "t1")
    );
}

/// Guards against a thawed process that sends by views from before it was frozen.
#[test]
fn a_pause_suspends_sending_until_new_heartbeats() {
    let mut bench = Bench::new();
    bench.up("t1", "a", 8);
    bench.now += ms(1_200);
    assert!(bench.arrive("urgent", 5_000).is_empty());
    let buffered = Event::Load {
        id: "t1".into(),
        busy: 0,
        ours: 0,
    };
    assert!(bench.on(buffered.clone()).is_empty());
    bench.pass(ms(300), &[]);
    assert_eq!(sends(&bench.on(buffered)), sent(1, "t1"));
}

/// Guards against double runs on a lost target, lost idempotent work, and retries that multiply
/// an outage.
#[test]
fn lost_targets_are_retried_by_the_rules() {
    let mut bench = Bench::new();
    bench.up("t1", "a", 40);
    bench.up("t2", "b", 40);
    bench.on(Event::TargetLeaving { id: "t2".into() });
    for number in 0..8 {
        let mut request = bench.request("urgent", 5_000);
        request.idempotent = number != 0;
        bench.on(Event::Arrive(request));
    }
    bench.up("t2", "b", 40);
    let actions = bench.lost("t1");
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
    let proof = Reply::NotStarted(Reason::Stopping);
    bench.life("t1", "a", 40, 2);
    bench.arrive("urgent", 5_000);
    assert_eq!(sends(&bench.reply(9, "t1", proof)), sent(9, "t2"));
}

/// Guards against a target that fails fast and so attracts all requests.
#[test]
fn a_failing_target_is_probed_only() {
    let mut bench = Bench::new();
    bench.up("t1", "a", 1);
    bench.up("t2", "b", 4);
    let mut to_t1 = 0;
    for _ in 0..500 {
        let [(sequence, target)] = &sends(&bench.arrive("urgent", 1_000))[..] else {
            panic!("not sent")
        };
        let failed = target == "t1";
        to_t1 += usize::from(failed);
        let reply = if failed {
            Reply::Failed
        } else {
            Reply::Answered
        };
        bench.reply(*sequence, target, reply);
        bench.pass(ms(20), &["t1", "t2"]);
    }
    assert!(
        (6..=8).contains(&to_t1),
        "{to_t1} requests went to the failing target"
    );
}

/// Guards against starts through an entry that is halted or stopping.
#[test]
fn halted_and_stopping_refuse() {
    let mut bench = Bench::new();
    bench.up("t1", "a", 1);
    bench.arrive("urgent", 5_000);
    bench.arrive("urgent", 5_000);
    let actions = bench.on(Event::Standing(Standing::Halted));
    assert_eq!(refusal(&actions).reason, Reason::Halted);
    assert_eq!(
        refusal(&bench.arrive("urgent", 5_000)).reason,
        Reason::Halted
    );
    bench.on(Event::Standing(Standing::Coasting));
    assert!(bench.arrive("urgent", 5_000).is_empty());
    bench.on(Event::Stop);
    assert_eq!(
        refusal(&bench.arrive("urgent", 5_000)).reason,
        Reason::Stopping
    );
    assert_eq!(sends(&bench.reply(1, "t1", Reply::Answered)), sent(4, "t1"));
}

/// Guards against a claim that a request did not run while it runs.
#[test]
fn deadlines_tell_queued_from_running() {
    let mut bench = Bench::new();
    bench.up("t1", "a", 1);
    bench.arrive("urgent", 100);
    assert_eq!(
        outcome(&bench.pass(ms(100), &["t1"])),
        &Outcome::Unknown {
            reason: Reason::DeadlineUnreachable
        }
    );
    bench.arrive("urgent", 100);
    let actions = bench.pass(ms(100), &["t1"]);
    assert_eq!(refusal(&actions).reason, Reason::DeadlineUnreachable);
}

/// Guards against a second run of a key: each row is what two agents say and what follows.
#[test]
fn repeated_keys_are_fenced_before_they_are_sent() {
    use KeyState::{Answered, Failed, Fenced, Running, Unknown};
    for state in [Fenced, Running, Answered, Failed, Unknown] {
        let mut bench = Bench::new();
        bench.up("t1", "a", 1);
        bench.up("t2", "b", 1);
        let mut request = bench.request("urgent", 5_000);
        request.attempt = 2;
        let asked = bench.on(Event::Arrive(request));
        assert_eq!(asked.len(), 2);
        assert!(bench.fenced(1, "t2", Fenced).is_empty());
        let actions = bench.fenced(1, "t1", state);
        match state {
            Fenced => assert_eq!(sends(&actions), sent(1, "t1")),
            Running | Answered => {
                assert!(actions.is_empty());
                let actions = bench.reply(1, "t1", Reply::Answered);
                assert!(matches!(outcome(&actions), Outcome::Answered { .. }));
            }
            Failed => assert!(matches!(outcome(&actions), Outcome::Failed { .. })),
            Unknown => assert!(matches!(outcome(&actions), Outcome::Unknown { .. })),
        }
    }
}

/// Guards against a key sent again while an agent that may have run it can't be asked.
#[test]
fn unreachable_agents_make_a_repeated_key_unknown() {
    for case in ["lost", "elsewhere", "restarted", "silent", "old"] {
        let mut bench = Bench::new();
        bench.up("t1", "a", 1);
        bench.up("t2", "b", 1);
        match case {
            "lost" => drop(bench.lost("t2")),
            "restarted" => drop(bench.life("t2", "b", 1, 2)),
            "old" => {
                bench.lost("t2");
                bench.pass(Duration::from_secs(601), &["t1"]);
            }
            "elsewhere" => {
                let (id, domain, service) = ("t3".into(), "b".into(), "s".into());
                let target = Target {
                    id,
                    incarnation: 1,
                    service,
                    domain,
                    slots: 1,
                };
                bench.on(Event::TargetElsewhere(target));
            }
            _ => {}
        }
        let mut request = bench.request("urgent", 5_000);
        request.attempt = 2;
        bench.on(Event::Arrive(request));
        let mut actions = bench.fenced(1, "t1", KeyState::Fenced);
        if case == "silent" {
            actions.extend(bench.pass(ms(1_100), &["t1", "t2"]));
        } else {
            actions.extend(bench.fenced(1, "t2", KeyState::Fenced));
        }
        if case == "old" {
            assert_eq!(sends(&actions), sent(1, "t1"));
        } else {
            let unknown = Outcome::Unknown {
                reason: Reason::TargetLost,
            };
            assert_eq!(outcome(&actions), &unknown, "{case}");
        }
    }
}

/// Guards against a request that is sent for ever to agents that will never start it, and against
/// targets that others can't use meanwhile.
#[test]
fn a_request_older_than_all_agents_is_refused() {
    let mut bench = Bench::new();
    for id in ["t1", "t2"] {
        bench.up(id, "a", 2);
    }
    let mut actions = bench.arrive("patient", 900);
    let mut asked = Vec::new();
    while let Some(Action::Send { sequence, target }) = actions.first().cloned() {
        asked.push(target.clone());
        assert!(asked.len() <= 2, "sent again to {target}");
        let reply = Reply::NotStarted(Reason::AgentTooYoung);
        actions = bench.on(Event::Reply {
            sequence,
            target,
            reply,
        });
    }
    assert_eq!(asked.len(), 2);
    let Some(Action::Answer {
        outcome: Outcome::NotRun(refusal),
        ..
    }) = actions.first()
    else {
        panic!("{actions:?}");
    };
    assert_eq!(refusal.reason, Reason::AgentTooYoung);
    assert!(refusal.retry_after.is_some());
    let other = bench.arrive("urgent", 900);
    assert!(matches!(other.first(), Some(Action::Send { .. })));
}
