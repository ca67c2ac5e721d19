//! Tests of the service-level accounting.

use godwitstep_core::burn::{Alert, Ledger, Observation, Verdict};
use std::time::{Duration, SystemTime};

fn wall_time(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000 + seconds)
}

fn observation(verdict: Verdict) -> Observation {
    Observation::new("w", "k", verdict).refund(2.0)
}

fn random_ledger(entry: &str, seed: u64) -> Ledger {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut ledger = Ledger::new(entry, 1 + seed % 2);
    for _ in 0..200 {
        let verdict = [Verdict::OnTime, Verdict::Late, Verdict::Unknown][rng.usize(..3)];
        let run = Some(Duration::from_micros(rng.u64(1..1_000_000)));
        let observation = Observation::new("w", "k", verdict).steps(run, None, run);
        ledger.record(wall_time(rng.u64(..300)), &observation);
    }
    ledger
}

/// Guards against reports that depend on the order in which ledgers are merged, or on how often.
#[test]
fn merging_is_commutative_and_idempotent() {
    for seed in 0..50 {
        let (one, two) = (random_ledger("a", seed), random_ledger("b", seed + 7));
        let mut older = random_ledger("a", seed);
        older.trim(wall_time(3_600 + 100));
        let merge = |parts: [&Ledger; 4]| {
            let mut merged = Ledger::new("report", 0);
            for part in parts {
                merged.merge(part);
            }
            merged
        };
        let merged = merge([&one, &two, &older, &one]);
        assert_eq!(merged, merge([&older, &one, &one, &two]));
        assert_eq!(merged, merge([&two, &one, &two, &merged]));
        let service_levels = merged.service_levels(wall_time(300));
        assert_eq!(
            service_levels[0].on_time + service_levels[0].late + service_levels[0].unknown,
            400
        );
        let text = serde_json::to_string(&merged).unwrap();
        assert_eq!(serde_json::from_str::<Ledger>(&text).unwrap(), merged);
    }
}

/// Guards against an earlier copy of a bucket that replaces a newer one with more requests.
#[test]
fn merging_keeps_the_newer_state_of_a_bucket() {
    let mut ledger = Ledger::new("a", 1);
    ledger.record(wall_time(0), &observation(Verdict::Late));
    let earlier = ledger.clone();
    ledger.record(wall_time(1), &observation(Verdict::Late));
    let mut report = Ledger::new("report", 0);
    report.merge(&ledger);
    report.merge(&earlier);
    let service_level = &report.service_levels(wall_time(2))[0];
    assert_eq!((service_level.late, service_level.refund_due), (2, 4.0));
}

/// Guards against alerts on a few late answers or after their cause is gone, and against a missing
/// alert on a low burn rate that lasts. Each row: late answers out of 100 per minute in the last
/// minute, in the nine minutes before it, and in the rest of the hour.
#[test]
fn an_alert_requires_both_windows() {
    let cases = [
        ([0, 0, 0], None),
        ([2, 2, 2], None),
        ([20, 0, 0], None),
        ([20, 20, 0], Some(Alert::Fast)),
        ([0, 20, 20], Some(Alert::Slow)),
        ([0, 0, 20], None),
        ([4, 4, 4], Some(Alert::Slow)),
    ];
    for ([last, before, rest], expected) in cases {
        let mut ledger = Ledger::new("a", 1);
        for minute in 0..60 {
            let late = match minute {
                59 => last,
                50..=58 => before,
                _ => rest,
            };
            for number in 0..100 {
                let verdict = if number < late {
                    Verdict::Late
                } else {
                    Verdict::OnTime
                };
                ledger.record(wall_time(minute * 60 + 30), &observation(verdict));
            }
        }
        let service_level = &ledger.service_levels(wall_time(3_595))[0];
        assert_eq!(service_level.alert, expected, "{:?}", service_level.burn);
    }
}

/// Guards against step times that are less exact than the histogram classes allow, and against
/// buckets that are retained for more than an hour.
#[test]
fn step_times_are_summarized_and_old_buckets_removed() {
    let mut ledger = Ledger::new("a", 1);
    for millis in 1..=100 {
        let run = Some(Duration::from_millis(millis));
        ledger.record(
            wall_time(0),
            &observation(Verdict::Unknown).steps(None, None, run),
        );
    }
    let service_level = &ledger.service_levels(wall_time(0))[0];
    assert_eq!(service_level.run.mean_us, 50_500);
    assert!((50_000..=100_000).contains(&service_level.run.p50_us));
    assert!((99_000..=198_000).contains(&service_level.run.p99_us));
    assert_eq!(service_level.queue.p99_us, 0);
    assert_eq!(
        (service_level.refund_due, service_level.refund_at_risk),
        (0.0, 200.0)
    );
    ledger.record(wall_time(3_700), &observation(Verdict::Refused));
    let service_level = &ledger.service_levels(wall_time(3_700))[0];
    assert_eq!((service_level.unknown, service_level.refused), (0, 1));
}
