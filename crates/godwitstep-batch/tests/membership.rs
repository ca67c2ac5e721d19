//! Which announced entries count as gone.

use godwitstep_batch::id::{Host, Offset};
use godwitstep_batch::ledger::Ledger;
use godwitstep_batch::membership::{ENTRY_TIMEOUT, Membership, PROBE_INTERVAL};
use godwitstep_batch::record::{Announcement, Record};
use std::time::Duration;

const OWN: &str = "host-0";

fn entry(host: &str, number: u8) -> Announcement {
    Announcement {
        host: host.into(),
        address: ([10, 0, 0, number], 7000).into(),
        job_memory: None,
    }
}

/// Returns the offset of the announcement and the announcement of the entries `host-0` to `host-N`.
fn announced(count: u8) -> Vec<(Offset, Announcement)> {
    let number = |number: u8| {
        (
            Offset::from(number),
            entry(&format!("host-{number}"), number),
        )
    };
    (0..=count).map(number).collect()
}

fn update(membership: &mut Membership, now: Duration, announced: &[(Offset, Announcement)]) {
    let announced = announced.iter().map(|(offset, entry)| (*offset, entry));
    membership.update(now, announced);
}

/// Probes all entries at the usual interval for a time, of which those selected by `answers` answer. Returns the time
/// after it.
fn probe(
    membership: &mut Membership,
    from: Duration,
    time: Duration,
    answers: impl Fn(&str) -> bool,
) -> Duration {
    let mut now = from;
    while now <= from + time {
        let hosts: Vec<Host> = membership
            .to_probe()
            .map(|(host, _)| host.clone())
            .collect();
        for host in hosts {
            membership.record_probe(now, &host, answers(&host));
        }
        now += PROBE_INTERVAL;
    }
    from + time
}

/// Guards against announcements that stay for good: after a hundred replaced hosts only those that answer are left.
#[test]
fn entries_that_are_silent_are_gone() {
    let mut membership = Membership::new(OWN.into());
    update(&mut membership, Duration::ZERO, &announced(100));
    let alive = |host: &str| ["host-7", "host-8"].contains(&host);
    let now = probe(&mut membership, Duration::ZERO, ENTRY_TIMEOUT, alive);
    let gone = membership.gone(now);
    assert_eq!(gone.len(), 98);
    assert!(!gone.iter().any(|host| alive(host) || &**host == OWN));
}

/// Guards against the withdrawal of an entry that misses some probes: its host is suspended or cut off for a while.
#[test]
fn an_entry_that_answers_in_time_is_not_gone() {
    let mut membership = Membership::new(OWN.into());
    update(&mut membership, Duration::ZERO, &announced(1));
    let silence = ENTRY_TIMEOUT.saturating_sub(Duration::from_secs(1));
    let now = probe(&mut membership, Duration::ZERO, silence, |_| false);
    assert!(membership.gone(now).is_empty());
    membership.record_probe(now, "host-1", true);
    let now = probe(&mut membership, now, silence, |_| false);
    assert!(membership.gone(now).is_empty(), "a new silence has begun");
}

/// Guards against a decider that was suspended itself and takes the time for a silence of all others.
#[test]
fn a_single_probe_shows_nothing_however_long_ago_it_was() {
    let mut membership = Membership::new(OWN.into());
    update(&mut membership, Duration::ZERO, &announced(3));
    for host in ["host-1", "host-2", "host-3"] {
        membership.record_probe(Duration::ZERO, host, false);
    }
    assert!(membership.gone(ENTRY_TIMEOUT * 10).is_empty());
}

/// Guards against the withdrawal of an entry that has come back: it announces itself again.
#[test]
fn a_new_announcement_begins_a_new_period() {
    let mut membership = Membership::new(OWN.into());
    update(&mut membership, Duration::ZERO, &announced(1));
    let now = probe(&mut membership, Duration::ZERO, ENTRY_TIMEOUT, |_| false);
    assert_eq!(membership.gone(now), ["host-1".into()]);
    let mut again = announced(1);
    again[1].0 = 9;
    update(&mut membership, now, &again);
    assert!(membership.gone(now).is_empty());
    // And the withdrawal of one that is no longer announced.
    update(&mut membership, now, &again[..1]);
    assert_eq!(membership.to_probe().count(), 0);
}

/// Guards against an announcement that stays because the process that now has its address answers the probes.
#[test]
fn an_entry_whose_address_another_one_has_is_gone() {
    let mut membership = Membership::new(OWN.into());
    // Host 2 has the address that host 1 had, and the decider the one that host 3 had.
    let all = [
        (1, entry("host-1", 1)),
        (2, entry("host-3", 4)),
        (3, entry(OWN, 4)),
        (4, entry("host-2", 1)),
    ];
    update(&mut membership, Duration::ZERO, &all);
    let now = probe(&mut membership, Duration::ZERO, ENTRY_TIMEOUT, |_| true);
    let gone: Vec<Host> = vec!["host-1".into(), "host-3".into()];
    assert_eq!(membership.gone(now), gone);
}

/// Guards against a withdrawal that removes a later announcement, or that is lost on its way through the log.
#[test]
fn a_withdrawal_removes_the_announcements_before_it() {
    let withdrawn = Record::Withdrawn {
        host: "host-1".into(),
    };
    let (key, value) = (withdrawn.key(), withdrawn.encode());
    assert!(value.is_empty(), "the log deletes the key");
    assert_eq!(
        Record::decode(&key, &value).unwrap(),
        Some(withdrawn.clone())
    );
    let mut ledger = Ledger::default();
    ledger.apply(1, Record::Announced(entry("host-1", 1)));
    ledger.apply(2, Record::Announced(entry("host-2", 2)));
    ledger.apply(3, withdrawn.clone());
    assert!(!ledger.is_announced("host-1") && ledger.is_announced("host-2"));
    ledger.apply(5, Record::Announced(entry("host-1", 1)));
    ledger.apply(4, withdrawn);
    assert!(ledger.is_announced("host-1"), "it announced itself again");
}
