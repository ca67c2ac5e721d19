//! The agent's key table.

use bytes::Bytes;
use godwitstep_core::Reason;
use godwitstep_core::key::{Admit, Ask, End, Limits, Owner, Table};
use godwitstep_core::router::KeyState;
use std::time::Duration;

const START: Duration = Duration::from_secs(60);

const fn owner(sequence: u64) -> Owner {
    Owner {
        incarnation: 1,
        sequence,
    }
}

fn ask(sequence: u64, key: &str) -> Ask {
    Ask {
        owner: owner(sequence),
        key: key.into(),
        idempotent: false,
        age: Duration::ZERO,
    }
}

/// Guards against a second run for a duplicate, and against waiters that get no reply.
#[test]
fn a_key_runs_once_and_all_who_ask_learn_of_it() {
    let mut table = Table::new(Duration::ZERO);
    assert_eq!(table.admit(START, &ask(1, "k")), Admit::Run);
    assert_eq!(table.admit(START, &ask(1, "k")), Admit::Running);
    assert_eq!(table.admit(START, &ask(2, "k")), Admit::Running);
    assert_eq!(
        table.fence(START, owner(3), &"k".into()).0,
        KeyState::Running
    );
    let body = Bytes::from_static(b"answer");
    let end = End::Answered(body.clone());
    let waiters = table.finish(START, owner(1), &"k".into(), end);
    assert_eq!(waiters, [owner(2), owner(3)]);
    assert_eq!(
        table.admit(START, &ask(4, "k")),
        Admit::Answered(body.clone())
    );
    assert_eq!(
        table.fence(START, owner(5), &"k".into()),
        (KeyState::Answered, Some(body))
    );
}

/// Guards against a request that overtakes the fence of a later one.
#[test]
fn a_fenced_key_runs_for_its_owner_only() {
    let mut table = Table::new(Duration::ZERO);
    let key = "k".into();
    assert_eq!(table.fence(START, owner(5), &key).0, KeyState::Fenced);
    assert_eq!(
        table.admit(START, &ask(1, "k")),
        Admit::Refuse(Reason::Cancelled)
    );
    assert_eq!(table.fence(START, owner(4), &key).0, KeyState::Unknown);
    assert_eq!(table.fence(START, owner(6), &key).0, KeyState::Fenced);
    assert_eq!(
        table.admit(START, &ask(5, "k")),
        Admit::Refuse(Reason::Cancelled)
    );
    assert_eq!(table.admit(START, &ask(6, "k")), Admit::Run);
    table.fence(START, owner(7), &key);
    table.fence(START, owner(8), &key);
    let waiters = table.finish(START, owner(6), &key, End::NotStarted);
    assert_eq!(waiters, [owner(7), owner(8)]);
    assert_eq!(
        table.admit(START, &ask(7, "k")),
        Admit::Refuse(Reason::Cancelled)
    );
    assert_eq!(table.admit(START, &ask(8, "k")), Admit::Run);
}

/// Guards against a run that a fence in the agent's previous life should have prevented.
#[test]
fn requests_older_than_the_agent_are_refused() {
    let mut table = Table::new(Duration::ZERO);
    let old = Ask {
        age: Duration::from_secs(59),
        ..ask(1, "k")
    };
    assert!(matches!(
        table.admit(START, &old),
        Admit::Refuse(Reason::AgentTooYoung)
    ));
    assert_eq!(
        table.admit(
            START,
            &Ask {
                idempotent: true,
                ..old
            }
        ),
        Admit::Run
    );
    let young = Ask {
        age: Duration::from_secs(58),
        ..ask(2, "j")
    };
    assert_eq!(table.admit(START, &young), Admit::Run);
}

/// Guards against memory without bound, and against a dropped answer that makes a key look
/// unused.
#[test]
fn full_tables_refuse_and_dropped_answers_are_unknown() {
    let limits = Limits {
        keys: 3,
        answer: 10,
        answers: 15,
        ..Limits::default()
    };
    let mut table = Table::new(Duration::ZERO).limits(limits);
    for (sequence, key, size) in [(1, "a", 10), (2, "b", 10), (3, "c", 11)] {
        assert_eq!(table.admit(START, &ask(sequence, key)), Admit::Run);
        let end = End::Answered(vec![0; size].into());
        let _ = table.finish(START, owner(sequence), &key.into(), end);
    }
    assert_eq!(
        table.fence(START, owner(9), &"a".into()).0,
        KeyState::Unknown
    );
    assert_eq!(
        table.fence(START, owner(9), &"b".into()).0,
        KeyState::Answered
    );
    assert_eq!(
        table.fence(START, owner(9), &"c".into()).0,
        KeyState::Unknown
    );
    assert_eq!(table.admit(START, &ask(9, "a")), Admit::Unknown);
    assert_eq!(
        table.admit(START, &ask(9, "d")),
        Admit::Refuse(Reason::LimitReached)
    );
    assert_eq!(
        table.fence(START, owner(9), &"d".into()).0,
        KeyState::Unknown
    );
    let later = START + limits.window;
    assert_eq!(table.admit(later, &ask(9, "d")), Admit::Run);
    assert_eq!(table.len(), 1);
    // A key that still runs is not forgotten, however long it takes.
    let much_later = later + limits.window * 2;
    assert_eq!(
        table.fence(much_later, owner(10), &"d".into()).0,
        KeyState::Running
    );
}

/// Guards against two requests that are both given a key by all agents when fences and sends
/// interleave in any order. Each request is sent once, as the router does.
#[test]
fn at_most_one_owner_runs_a_key() {
    for seed in 0..5_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut tables: Vec<_> = (0..3).map(|_| Table::new(Duration::ZERO)).collect();
        let (mut held, mut barred, mut sent) = ([[false; 3]; 4], [false; 4], [false; 4]);
        let mut runs = 0;
        for _ in 0..40 {
            let (number, at) = (rng.usize(..4), rng.usize(..3));
            let sequence = number as u64 + 1;
            if rng.bool() {
                let state = tables[at].fence(START, owner(sequence), &"k".into()).0;
                held[number][at] |= state == KeyState::Fenced;
                barred[number] |= state != KeyState::Fenced;
            } else if held[number] == [true; 3] && !barred[number] && !sent[number] {
                sent[number] = true;
                runs += usize::from(tables[at].admit(START, &ask(sequence, "k")) == Admit::Run);
            }
        }
        assert!(runs <= 1, "{runs} runs with seed {seed}");
    }
}

/// Guards against a small answer that keeps the whole buffer of its connection allocated: agents
/// grew by 7 KB for each answer of 13 bytes.
#[test]
fn a_kept_answer_does_not_keep_the_buffer_that_it_came_in() {
    let mut table = Table::new(Duration::ZERO);
    let buffer = Bytes::from(vec![7; 8 * 1024]);
    let key = "k".into();
    assert_eq!(table.admit(START, &ask(1, "k")), Admit::Run);
    let end = End::Answered(buffer.slice(..13));
    assert!(table.finish(START, owner(1), &key, end).is_empty());
    assert!(buffer.is_unique());
    assert_eq!(
        table.admit(START, &ask(2, "k")),
        Admit::Answered(buffer.slice(..13))
    );
}
