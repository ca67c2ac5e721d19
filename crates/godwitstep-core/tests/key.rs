//! Tests of the agent's table of idempotency keys.

use bytes::Bytes;
use godwitstep_core::Reason;
use godwitstep_core::key::{Admission, AdmissionRequest, End, Limits, Owner, Table};
use godwitstep_core::router::KeyState;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(60);

const fn owner(sequence: u64) -> Owner {
    Owner {
        incarnation: 1,
        sequence,
    }
}

fn request(sequence: u64, key: &str) -> AdmissionRequest {
    AdmissionRequest {
        owner: owner(sequence),
        key: key.into(),
        idempotent: false,
        age: Duration::ZERO,
    }
}

/// Guards against a second run for a duplicate request, and against waiting requests that get no
/// reply.
#[test]
fn a_key_runs_once_and_all_its_requests_get_the_answer() {
    let mut table = Table::new(Duration::ZERO);
    assert_eq!(table.admit(NOW, &request(1, "k")), Admission::Run);
    assert_eq!(table.admit(NOW, &request(1, "k")), Admission::Running);
    assert_eq!(table.admit(NOW, &request(2, "k")), Admission::Running);
    assert_eq!(table.fence(NOW, owner(3), &"k".into()).0, KeyState::Running);
    let body = Bytes::from_static(b"answer");
    let end = End::Answered(body.clone());
    let waiters = table.finish(NOW, owner(1), &"k".into(), end);
    assert_eq!(waiters, [owner(2), owner(3)]);
    assert_eq!(
        table.admit(NOW, &request(4, "k")),
        Admission::Answered(body.clone())
    );
    assert_eq!(
        table.fence(NOW, owner(5), &"k".into()),
        (KeyState::Answered, Some(body))
    );
}

/// Guards against a run of a request that arrives after the fence of a later request with the same
/// key.
#[test]
fn a_fenced_key_runs_for_its_owner_only() {
    let mut table = Table::new(Duration::ZERO);
    let key = "k".into();
    assert_eq!(table.fence(NOW, owner(5), &key).0, KeyState::Fenced);
    assert_eq!(
        table.admit(NOW, &request(1, "k")),
        Admission::Refuse(Reason::Cancelled)
    );
    assert_eq!(table.fence(NOW, owner(4), &key).0, KeyState::Unknown);
    assert_eq!(table.fence(NOW, owner(6), &key).0, KeyState::Fenced);
    assert_eq!(
        table.admit(NOW, &request(5, "k")),
        Admission::Refuse(Reason::Cancelled)
    );
    assert_eq!(table.admit(NOW, &request(6, "k")), Admission::Run);
    table.fence(NOW, owner(7), &key);
    table.fence(NOW, owner(8), &key);
    let waiters = table.finish(NOW, owner(6), &key, End::NotStarted);
    assert_eq!(waiters, [owner(7), owner(8)]);
    assert_eq!(
        table.admit(NOW, &request(7, "k")),
        Admission::Refuse(Reason::Cancelled)
    );
    assert_eq!(table.admit(NOW, &request(8, "k")), Admission::Run);
}

/// Guards against a run that a fence in the agent's previous incarnation should have prevented: the
/// table does not survive a restart of the agent.
#[test]
fn requests_older_than_the_agent_are_refused() {
    let mut table = Table::new(Duration::ZERO);
    let too_old = AdmissionRequest {
        age: Duration::from_secs(59),
        ..request(1, "k")
    };
    assert!(matches!(
        table.admit(NOW, &too_old),
        Admission::Refuse(Reason::AgentTooYoung)
    ));
    assert_eq!(
        table.admit(
            NOW,
            &AdmissionRequest {
                idempotent: true,
                ..too_old
            }
        ),
        Admission::Run
    );
    let recent = AdmissionRequest {
        age: Duration::from_secs(58),
        ..request(2, "j")
    };
    assert_eq!(table.admit(NOW, &recent), Admission::Run);
}

/// Guards against unbounded memory use, and against a key that counts as unused because its answer
/// was evicted.
#[test]
fn a_full_table_refuses_and_evicted_answers_are_unknown() {
    let limits = Limits {
        max_keys: 3,
        max_answer_bytes: 10,
        max_total_answer_bytes: 15,
        ..Limits::default()
    };
    let mut table = Table::new(Duration::ZERO).limits(limits);
    for (sequence, key, size) in [(1, "a", 10), (2, "b", 10), (3, "c", 11)] {
        assert_eq!(table.admit(NOW, &request(sequence, key)), Admission::Run);
        let end = End::Answered(vec![0; size].into());
        let _ = table.finish(NOW, owner(sequence), &key.into(), end);
    }
    assert_eq!(table.fence(NOW, owner(9), &"a".into()).0, KeyState::Unknown);
    assert_eq!(
        table.fence(NOW, owner(9), &"b".into()).0,
        KeyState::Answered
    );
    assert_eq!(table.fence(NOW, owner(9), &"c".into()).0, KeyState::Unknown);
    assert_eq!(table.admit(NOW, &request(9, "a")), Admission::Unknown);
    assert_eq!(
        table.admit(NOW, &request(9, "d")),
        Admission::Refuse(Reason::LimitReached)
    );
    assert_eq!(table.fence(NOW, owner(9), &"d".into()).0, KeyState::Unknown);
    let later = NOW + limits.window;
    assert_eq!(table.admit(later, &request(9, "d")), Admission::Run);
    assert_eq!(table.len(), 1);
    // A key that still runs is never removed, however long it takes.
    let much_later = later + limits.window * 2;
    assert_eq!(
        table.fence(much_later, owner(10), &"d".into()).0,
        KeyState::Running
    );
}

/// Guards against two requests that both own the same key on all agents when fences and sends
/// interleave. As in the router, each request is sent only once.
#[test]
fn at_most_one_owner_runs_a_key() {
    for seed in 0..5_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut tables: Vec<_> = (0..3).map(|_| Table::new(Duration::ZERO)).collect();
        let (mut fenced, mut refused, mut sent) = ([[false; 3]; 4], [false; 4], [false; 4]);
        let mut runs = 0;
        for _ in 0..40 {
            let (index, agent) = (rng.usize(..4), rng.usize(..3));
            let sequence = index as u64 + 1;
            if rng.bool() {
                let state = tables[agent].fence(NOW, owner(sequence), &"k".into()).0;
                fenced[index][agent] |= state == KeyState::Fenced;
                refused[index] |= state != KeyState::Fenced;
            } else if fenced[index] == [true; 3] && !refused[index] && !sent[index] {
                sent[index] = true;
                runs += usize::from(
                    tables[agent].admit(NOW, &request(sequence, "k")) == Admission::Run,
                );
            }
        }
        assert!(runs <= 1, "{runs} runs with seed {seed}");
    }
}

/// Guards against a small stored answer that keeps the whole connection buffer allocated: the
/// memory of agents grew by 7 KB for each answer of 13 bytes.
#[test]
fn a_stored_answer_does_not_retain_the_connection_buffer() {
    let mut table = Table::new(Duration::ZERO);
    let buffer = Bytes::from(vec![7; 8 * 1024]);
    let key = "k".into();
    assert_eq!(table.admit(NOW, &request(1, "k")), Admission::Run);
    let end = End::Answered(buffer.slice(..13));
    assert!(table.finish(NOW, owner(1), &key, end).is_empty());
    assert!(buffer.is_unique());
    assert_eq!(
        table.admit(NOW, &request(2, "k")),
        Admission::Answered(buffer.slice(..13))
    );
}
