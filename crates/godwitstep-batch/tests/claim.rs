//! Tests of the replacement of a failed decider.

use godwitstep_batch::bounds::{TAKEOVER_TIMEOUT, UNREACHABLE_TAKEOVER_TIMEOUT};
use godwitstep_batch::claim::{self, FailureDetector};
use godwitstep_batch::id::Host;
use godwitstep_batch::record::Claim;
use std::time::Duration;

/// Duration of an entry's long poll of an idle log. The entry's view of the log is one to two polls old.
const POLL_TIME: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(100);

fn claim(released: bool) -> Claim {
    Claim {
        epoch: 1 << 20,
        host: "entry-1".into(),
        address: "10.0.0.1:7000".parse().unwrap(),
        released,
    }
}

/// Returns when an entry claims the decider role if the last record of the decider was read at zero and the view
/// of the log has this age.
fn claims_at(
    detector: &mut FailureDetector,
    claim: &Claim,
    age: impl Fn(Duration) -> Duration,
) -> Option<Duration> {
    detector.reset_timeout(Duration::ZERO);
    (0..200)
        .map(|step| TICK * step)
        .find(|now| detector.should_claim(*now, Some(claim), age(*now)))
}

/// Guards against a decider that is disconnected from the log and never replaced, because the other entries' views
/// of an idle log never count as recent.
#[test]
fn a_decider_that_stops_renewing_is_replaced_while_the_log_is_idle() {
    let delay = Duration::from_millis(400);
    let mut detector = FailureDetector::new(delay);
    let age = |now: Duration| {
        let mut elapsed = now;
        while elapsed >= POLL_TIME {
            elapsed = elapsed.saturating_sub(POLL_TIME);
        }
        POLL_TIME + elapsed
    };
    let at = claims_at(&mut detector, &claim(false), age).expect("the role is claimed");
    assert!(
        at <= TAKEOVER_TIMEOUT + delay + TICK,
        "claimed after {at:?}"
    );
    assert!(at >= TAKEOVER_TIMEOUT, "claimed after {at:?}");
}

/// Guards against claims by an entry that is itself disconnected from the log.
#[test]
fn an_entry_that_cannot_read_the_log_does_not_claim() {
    let mut detector = FailureDetector::new(Duration::ZERO);
    assert_eq!(
        claims_at(&mut detector, &claim(false), |now| now + POLL_TIME * 3),
        None
    );
}

/// Guards against a claim right after an outage of the log, during which the decider could not renew its claim.
#[test]
fn the_timeout_restarts_when_the_log_is_available_again() {
    let outage = Duration::from_secs(6);
    let mut detector = FailureDetector::new(Duration::ZERO);
    let age = |now: Duration| {
        if now < outage {
            now + POLL_TIME
        } else {
            POLL_TIME
        }
    };
    let at = claims_at(&mut detector, &claim(false), age).expect("the role is claimed");
    assert!(
        at + TICK >= outage + TAKEOVER_TIMEOUT,
        "claimed after {at:?}"
    );
}

/// Guards against entries that wait for the takeover timeout although the decider has released its claim.
#[test]
fn a_released_claim_is_replaced_at_once() {
    let mut detector = FailureDetector::new(Duration::from_millis(100));
    let at = claims_at(&mut detector, &claim(true), |_| POLL_TIME).expect("the role is claimed");
    assert!(at <= Duration::from_millis(100), "claimed after {at:?}");
}

/// Guards against a long wait for a decider whose host has failed, so that it neither writes to the log nor answers
/// probes.
#[test]
fn a_decider_that_does_not_answer_probes_is_replaced_sooner() {
    let delay = Duration::from_millis(200);
    let mut detector = FailureDetector::new(delay);
    detector.reset_timeout(Duration::ZERO);
    assert!(!detector.should_probe(Duration::from_millis(500), POLL_TIME));
    assert!(detector.should_probe(Duration::from_secs(1), POLL_TIME));
    detector.probe_unanswered(Duration::from_secs(1));
    let claims = |detector: &mut FailureDetector, now| {
        detector.should_claim(now, Some(&claim(false)), POLL_TIME)
    };
    let early = UNREACHABLE_TAKEOVER_TIMEOUT + Duration::from_millis(100);
    assert!(!claims(&mut detector, early));
    assert!(claims(&mut detector, UNREACHABLE_TAKEOVER_TIMEOUT + delay));
}

/// Guards against a claim because of an unanswered probe that was sent before the decider's newest record.
#[test]
fn a_decider_that_writes_again_is_not_replaced() {
    let mut detector = FailureDetector::new(Duration::ZERO);
    detector.reset_timeout(Duration::ZERO);
    detector.probe_unanswered(Duration::from_secs(1));
    detector.reset_timeout(Duration::from_millis(1_100));
    let now = Duration::from_millis(1_100) + UNREACHABLE_TAKEOVER_TIMEOUT;
    assert!(!detector.should_claim(now, Some(&claim(false)), POLL_TIME));
}

/// Guards against entries that wait for the takeover timeout although the decider's process has restarted and is no
/// longer the decider.
#[test]
fn a_vacant_claim_is_replaced_at_once() {
    let mut detector = FailureDetector::new(Duration::from_secs(1));
    detector.reset_timeout(Duration::ZERO);
    detector.mark_vacant(Duration::ZERO, claim(false).epoch);
    assert!(detector.should_claim(Duration::from_millis(100), Some(&claim(false)), POLL_TIME));
}

/// Guards against a claim by an entry that can't read the log, or after another entry has already replaced the
/// vacant claim.
#[test]
fn a_vacancy_counts_only_for_its_epoch_and_with_a_recent_view() {
    assert!(claim::view_is_recent(POLL_TIME) && !claim::view_is_recent(POLL_TIME * 3));
    let mut detector = FailureDetector::new(Duration::ZERO);
    detector.mark_vacant(Duration::ZERO, 1 << 20);
    assert_eq!(
        claims_at(&mut detector, &claim(false), |now| now + POLL_TIME * 3),
        None
    );
    detector.mark_vacant(Duration::ZERO, (1 << 20) - 1);
    let at = claims_at(&mut detector, &claim(false), |_| POLL_TIME).expect("the role is claimed");
    assert!(at >= TAKEOVER_TIMEOUT, "claimed after {at:?}");
}

/// Number of entries of the large Windsock Works deployment.
const ENTRIES: usize = 35;

fn hosts() -> Vec<Host> {
    (0..ENTRIES)
        .map(|number| format!("entry-{number}").into())
        .collect()
}

/// Returns how many entries claim the decider role if all of them find the claim vacant at the same time and a new
/// claim can be read `read_delay` after it was sent.
fn count_claims(read_delay: Duration) -> usize {
    let hosts = hosts();
    let claim = claim(false);
    let mut detectors: Vec<FailureDetector> = hosts
        .iter()
        .filter(|host| **host != claim.host)
        .map(|host| {
            let mut detector = FailureDetector::new(Duration::from_millis(250));
            detector.reset_timeout(Duration::ZERO);
            detector.mark_vacant(Duration::ZERO, claim.epoch);
            detector.set_rank(claim::takeover_rank(hosts.iter(), &claim, host));
            detector
        })
        .collect();
    let mut first = None;
    let mut claims = 0;
    for now in (0..600).map(Duration::from_millis) {
        if first.is_some_and(|at| now >= at + read_delay) {
            break;
        }
        let before = detectors.len();
        detectors.retain_mut(|detector| !detector.should_claim(now, Some(&claim), Duration::ZERO));
        claims += before - detectors.len();
        first = first.or((claims > 0).then_some(now));
    }
    claims
}

/// Guards against all entries of a large system replacing a vacant claim at once: each stored claim replaces the
/// decider of the one before (large, trouble-2: 33 claims within a second, 8 s without a decision).
#[test]
fn entries_claim_in_the_order_of_their_ranks() {
    assert_eq!(count_claims(Duration::from_millis(40)), 1);
}

/// Guards against entries that have the same rank, and against a rank that no entry has.
#[test]
fn ranks_are_distinct_and_the_failed_decider_has_none() {
    let hosts = hosts();
    let claim = claim(false);
    let ranks: Vec<Option<u32>> = hosts
        .iter()
        .map(|host| claim::takeover_rank(hosts.iter(), &claim, host))
        .collect();
    let mut sorted: Vec<u32> = ranks.iter().copied().flatten().collect();
    sorted.sort_unstable();
    assert_eq!(sorted, (0..34).collect::<Vec<u32>>());
    assert_eq!(ranks[1], None, "the failed decider");
}

/// Guards against a named successor that waits for its rank, and against other entries that replace it on a log that
/// is slow for all.
#[test]
fn a_named_successor_claims_first() {
    let claim = claim(false);
    let mut detector = FailureDetector::new(Duration::from_millis(250));
    detector.reset_timeout(Duration::ZERO);
    detector.set_rank(Some(7));
    assert!(!detector.should_claim(Duration::ZERO, Some(&claim), Duration::ZERO));
    detector.mark_successor(claim.epoch);
    assert!(detector.should_claim(Duration::ZERO, Some(&claim), Duration::ZERO));
    assert_eq!(detector.rank(claim.epoch), Some(0));
    let slow = Duration::from_millis(200);
    assert_eq!(
        claim::takeover_delay(detector.rank(claim.epoch), slow),
        Duration::ZERO
    );
    assert!(claim::takeover_delay(Some(1), slow) > slow * 2);
    assert_eq!(
        claim::takeover_delay(Some(9), Duration::from_millis(8)),
        Duration::ZERO
    );
}

/// Guards against all entries replacing a decider whose appends are stalled, on a log that is slow for all.
#[test]
fn a_decider_that_reports_stalled_appends_is_replaced_later() {
    let mut detector = FailureDetector::new(Duration::ZERO);
    detector.reset_timeout(Duration::ZERO);
    detector.probe_stalled(Duration::from_secs(1));
    let claims = |detector: &mut FailureDetector, now| {
        detector.should_claim(now, Some(&claim(false)), POLL_TIME)
    };
    assert!(!claims(
        &mut detector,
        TAKEOVER_TIMEOUT + Duration::from_millis(100)
    ));
    assert!(claims(&mut detector, TAKEOVER_TIMEOUT * 2));
}

/// Guards against probes of an unresponsive decider in quick succession by every entry.
#[test]
fn a_decider_is_not_probed_again_at_once() {
    let mut detector = FailureDetector::new(Duration::ZERO);
    let at = Duration::from_secs(5);
    assert!(detector.should_probe(at, POLL_TIME));
    detector.probe_sent(at);
    assert!(!detector.should_probe(at + Duration::from_millis(100), POLL_TIME));
    assert!(detector.should_probe(at + Duration::from_millis(400), POLL_TIME));
}
