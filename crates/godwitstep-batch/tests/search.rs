//! Tests of how agents find the decider.

use godwitstep_batch::agent::DeciderSearch;
use godwitstep_batch::bounds::AGENT_LEASE;
use godwitstep_batch::id::Epoch;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of entries of the large Windsock Works deployment.
const ENTRIES: u8 = 35;
const EPOCH: Epoch = 1 << 20;
/// Time for which an entry holds back its reply to an agent that knows the same epoch.
const REFERRAL_TIME: Duration = Duration::from_millis(500);
/// Time after which a call that gets no answer fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Minimum time between two calls of an agent.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(40);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

/// Returns a search whose last known decider is the first entry.
fn search_with_known_decider() -> DeciderSearch {
    let entries: Vec<SocketAddr> = (0..ENTRIES).map(address).collect();
    let mut search = DeciderSearch::new(entries.clone());
    search.decider_answered(address(0), EPOCH, &entries);
    search
}

/// Guards against an agent that asks every entry of a large system before it calls the decider again, which takes
/// longer than its worker's lease (large, trouble-3 seed 1: after a log outage of 4 s, 25 of 160 agents sent no
/// report for 13 s, and their runs were restarted elsewhere).
#[test]
fn a_decider_that_failed_to_answer_once_is_called_again_soon() {
    let mut search = search_with_known_decider();
    let mut now = Duration::ZERO;
    search.call_failed(now, address(0));
    let began = now;
    while search.next_address(now) != Some(address(0)) {
        let asked = search.next_address(now).expect("an entry to ask");
        now += REFERRAL_TIME;
        search.redirected(now, asked, Some((EPOCH, address(0))));
        assert!(now < began + Duration::from_secs(2), "not called again");
    }
}

/// Guards against an earlier failure that still counts after the decider has answered.
#[test]
fn an_answer_of_the_decider_clears_its_failure() {
    let mut search = search_with_known_decider();
    let now = Duration::from_secs(1);
    search.call_failed(now, address(0));
    search.decider_answered(address(0), EPOCH, &[]);
    // The decider's own lease has expired briefly, so it does not answer as decider and refers to no other one.
    search.redirected(now, address(0), None);
    let entry = search.next_address(now).expect("an entry to ask");
    assert_ne!(entry, address(0));
    assert!(search.redirected(now, entry, Some((EPOCH, address(0)))));
    assert_eq!(search.next_address(now), Some(address(0)));
}

/// Guards against an agent that alternates between a failed decider and an entry that refers to it.
#[test]
fn a_decider_that_has_just_failed_is_not_called_at_once() {
    let mut search = search_with_known_decider();
    let now = Duration::from_secs(1);
    search.call_failed(now, address(0));
    let entry = search.next_address(now).expect("an entry to ask");
    assert!(!search.redirected(now, entry, Some((EPOCH, address(0)))));
    assert_ne!(search.next_address(now), Some(address(0)));
    // A successor is called at once.
    assert!(search.redirected(now, entry, Some((EPOCH + 1, address(3)))));
    assert_eq!(search.next_address(now), Some(address(3)));
}

/// Guards against an agent that keeps asking the same entries although the log contains the decider.
#[test]
fn the_log_is_searched_once_all_entries_were_asked() {
    let mut search = search_with_known_decider();
    let now = Duration::ZERO;
    search.redirected(now, address(0), None);
    for _ in 0..ENTRIES {
        let entry = search.next_address(now).expect("an entry to ask");
        search.redirected(now, entry, None);
    }
    assert_eq!(search.next_address(now), None);
    search.log_searched(now, vec![address(7)], None);
    assert_eq!(search.next_address(now), Some(address(7)));
}

/// Guards against an agent of a small system that calls a failed host again, as an entry or as the decider in the
/// log, and so reaches its successor later by the timeout of one more call.
#[test]
fn a_failed_host_is_not_called_while_others_are_available() {
    let entries: Vec<SocketAddr> = (0..3).map(address).collect();
    let mut search = DeciderSearch::new(entries.clone());
    search.decider_answered(address(0), EPOCH, &entries);
    let now = Duration::from_secs(1);
    search.call_failed(now, address(0));
    while let Some(asked) = search.next_address(now) {
        assert_ne!(asked, address(0), "it has just failed to answer");
        search.redirected(now, asked, Some((EPOCH, address(0))));
    }
    // No entry has replaced the failed decider yet.
    search.log_searched(now, entries.clone(), Some((EPOCH, address(0))));
    let asked = search.next_address(now).expect("an entry to ask");
    assert_ne!(asked, address(0), "the log still contains its claim");
    assert!(search.redirected(now, asked, Some((EPOCH + 1, address(2)))));
    assert_eq!(search.next_address(now), Some(address(2)));
    // After the backoff the failed host is called again.
    search.redirected(now, address(2), None);
    let later = now + Duration::from_secs(2);
    search.log_searched(later, entries, Some((EPOCH, address(0))));
    assert_eq!(search.next_address(later), Some(address(0)));
}

/// Guards against an agent that asks every entry that was ever announced before it reads the claim in the log, so that
/// finished tasks of its worker are started again elsewhere (review/11: 36 replaced entries, 23 s without a decider).
#[test]
fn the_search_takes_no_longer_with_each_lost_entry() {
    for lost in [4, 36, 200] {
        let mut search = search_with_known_decider();
        // The entries of the log, of which all but the last one are lost.
        let entries: Vec<SocketAddr> = (0..=lost).map(address).collect();
        let (successor, mut now) = (address(lost), Duration::from_secs(1));
        search.decider_answered(address(0), EPOCH, &entries);
        let began = now;
        loop {
            match search.next_address(now) {
                Some(asked) if asked == successor => break,
                Some(asked) => {
                    now += CALL_TIMEOUT;
                    search.call_failed(now, asked);
                }
                None => search.log_searched(now, entries.clone(), Some((EPOCH + 1, successor))),
            }
        }
        let took = now.saturating_sub(began);
        assert!(
            took < AGENT_LEASE / 2,
            "{took:?} beside {lost} lost entries"
        );
    }
}

/// Guards against an agent that reads the log without pause while hosts refuse its connections at once.
#[test]
fn refused_calls_do_not_make_the_log_the_first_to_be_asked() {
    let mut search = search_with_known_decider();
    let mut now = Duration::from_secs(1);
    let entries: Vec<SocketAddr> = (0..ENTRIES).map(address).collect();
    let end = now + Duration::from_secs(10);
    let mut searches = 0;
    while now < end {
        now += MIN_REPORT_INTERVAL;
        if let Some(asked) = search.next_address(now) {
            search.call_failed(now, asked);
        } else {
            searches += 1;
            search.log_searched(now, entries.clone(), Some((EPOCH, address(0))));
        }
    }
    assert!((5..=10).contains(&searches), "{searches} searches in 10 s");
}

/// Guards against an agent that spends its time on a log that does not answer although an entry does.
#[test]
fn a_log_that_does_not_answer_is_not_searched_before_all_entries_were_asked() {
    let mut search = search_with_known_decider();
    let now = Duration::from_secs(1);
    for _ in 0..2 {
        let asked = search.next_address(now).expect("an address to call");
        search.call_failed(now, asked);
    }
    assert_eq!(search.next_address(now), None);
    search.log_search_failed();
    for _ in 0..ENTRIES - 1 {
        let asked = search.next_address(now).expect("an entry to ask");
        search.call_failed(now, asked);
    }
}
