//! Agents that look for the decider.

use godwitstep_batch::agent::Search;
use godwitstep_batch::id::Epoch;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of entries of the large Windsock Works deployment.
const ENTRIES: u8 = 35;
const EPOCH: Epoch = 1 << 20;
/// Time for which an entry keeps an agent that knows the same epoch.
const REFERRAL: Duration = Duration::from_millis(500);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

/// Returns an agent whose decider, the first entry, has once given no answer and was heard again since.
fn agent() -> Search {
    let entries: Vec<SocketAddr> = (0..ENTRIES).map(address).collect();
    let mut search = Search::new(entries.clone());
    search.heard(address(0), EPOCH, &entries);
    search
}

/// Guards against an agent that asks every entry of a large system before it goes back to the decider, which
/// takes longer than the lease of the work that it holds (large, trouble-3 seed 1: 25 of 160 agents silent for
/// 13 s after the log was away for 4 s, their work started again elsewhere).
#[test]
fn a_decider_that_was_silent_once_is_asked_again_soon() {
    let mut search = agent();
    let mut now = Duration::ZERO;
    search.failed(now, address(0));
    let began = now;
    while search.next(now) != Some(address(0)) {
        let asked = search.next(now).expect("an entry to ask");
        now += REFERRAL;
        search.referred(now, asked, Some((EPOCH, address(0))));
        assert!(now < began + Duration::from_secs(2), "not asked again");
    }
}

/// Guards against an old silence that counts after the decider was heard again.
#[test]
fn a_silence_is_over_once_the_decider_answers() {
    let mut search = agent();
    let now = Duration::from_secs(1);
    search.failed(now, address(0));
    search.heard(address(0), EPOCH, &[]);
    // It has no voice for a moment and refers to nobody.
    search.referred(now, address(0), None);
    let entry = search.next(now).expect("an entry to ask");
    assert_ne!(entry, address(0));
    assert!(search.referred(now, entry, Some((EPOCH, address(0)))));
    assert_eq!(search.next(now), Some(address(0)));
}

/// Guards against an agent that goes back and forth between a decider that is gone and an entry that names it.
#[test]
fn a_decider_that_has_just_failed_is_not_asked_at_once() {
    let mut search = agent();
    let now = Duration::from_secs(1);
    search.failed(now, address(0));
    let entry = search.next(now).expect("an entry to ask");
    assert!(!search.referred(now, entry, Some((EPOCH, address(0)))));
    assert_ne!(search.next(now), Some(address(0)));
    // A successor is.
    assert!(search.referred(now, entry, Some((EPOCH + 1, address(3)))));
    assert_eq!(search.next(now), Some(address(3)));
}

/// Guards against an agent that asks the same entries for good, while the log would tell.
#[test]
fn the_log_is_searched_once_all_entries_were_asked() {
    let mut search = agent();
    let now = Duration::ZERO;
    search.referred(now, address(0), None);
    for _ in 0..ENTRIES {
        let entry = search.next(now).expect("an entry to ask");
        search.referred(now, entry, None);
    }
    assert_eq!(search.next(now), None);
    search.found(now, vec![address(7)], None);
    assert_eq!(search.next(now), Some(address(7)));
}

/// Guards against an agent of a small system that asks a host that is gone once more, as an entry or as the decider
/// that the log still shows, and misses its successor by the time of one more unanswered call.
#[test]
fn a_host_that_is_gone_is_not_asked_while_others_are_to_be_found() {
    let entries: Vec<SocketAddr> = (0..3).map(address).collect();
    let mut search = Search::new(entries.clone());
    search.heard(address(0), EPOCH, &entries);
    let now = Duration::from_secs(1);
    search.failed(now, address(0));
    while let Some(asked) = search.next(now) {
        assert_ne!(asked, address(0), "it gave no answer a moment ago");
        search.referred(now, asked, Some((EPOCH, address(0))));
    }
    // Nobody has claimed its place yet.
    search.found(now, entries.clone(), Some((EPOCH, address(0))));
    let asked = search.next(now).expect("an entry to ask");
    assert_ne!(asked, address(0), "the log shows its claim still");
    assert!(search.referred(now, asked, Some((EPOCH + 1, address(2)))));
    assert_eq!(search.next(now), Some(address(2)));
    // It may answer again later.
    search.referred(now, address(2), None);
    let later = now + Duration::from_secs(2);
    search.found(later, entries, Some((EPOCH, address(0))));
    assert_eq!(search.next(later), Some(address(0)));
}
