//! The record of what deciders have learned.

use ciborium::{Value, cbor};
use godwitstep_batch::expectation::{
    Class, End, Expectations, FinishedRun, MAX_RECORD_BYTES, Machine, Snapshot, Source,
};
use godwitstep_batch::ledger::Ledger;
use godwitstep_batch::record::{Claim, EXPECTATIONS_KEY, Record};
use std::collections::BTreeSet;
use std::time::Duration;

const ESTIMATE: Duration = Duration::from_secs(2);

/// Records the jobs of a queue, each with four tasks on four machines, the first of which takes `slowdown` times as long.
fn record(expectations: &mut Expectations, queue: &str, jobs: u64, hosts: usize, slowdown: f64) {
    for job in 0..jobs {
        for number in [1, 2, 3, 0] {
            let factor = if number == 0 { slowdown } else { 1.0 };
            expectations.record(&FinishedRun {
                class: Class { queue, gang: false },
                source: Source { job, step: 0 },
                estimate: ESTIMATE,
                run_time: ESTIMATE.mul_f64(3.0 * factor),
                machines: vec![Machine {
                    host: format!("host-{}", hosts + number).into(),
                    hardware: u64::MAX,
                }],
                equals: 4,
                end: End::Done,
            });
        }
    }
    expectations.refresh();
}

fn typical(expectations: &Expectations, queue: &str) -> f64 {
    let class = Class { queue, gang: false };
    let expectation = expectations.expected(class, ESTIMATE);
    expectation.typical().as_secs_f64()
}

fn decoded(record: &Record) -> Snapshot {
    match Record::decode(&record.key(), &record.encode()) {
        Ok(Some(Record::Expectations(snapshot))) => snapshot,
        other => panic!("{other:?}"),
    }
}

fn claim(epoch: u64) -> Claim {
    Claim {
        epoch,
        host: "entry".into(),
        address: ([127, 0, 0, 1], 1).into(),
        released: false,
    }
}

fn snapshot_of_epoch(epoch: u64) -> Snapshot {
    Expectations::default().snapshot(epoch, MAX_RECORD_BYTES)
}

/// Guards against a successor that expects something else than the decider whose record it has.
#[test]
fn a_restored_record_gives_the_same_expectations() {
    let mut before = Expectations::default();
    record(&mut before, "nest", 30, 0, 1.5);
    assert!(before.is_unsaved());
    let stored = Record::Expectations(before.snapshot(7, MAX_RECORD_BYTES));
    assert!(before.is_unsaved(), "it may not be stored");
    before.mark_stored();
    assert!(!before.is_unsaved());
    let after = Expectations::restore(&decoded(&stored));
    let ratio = typical(&after, "nest") / typical(&before, "nest");
    assert!((ratio - 1.0).abs() < 0.01, "{ratio}");
    let slowdowns = [&before, &after].map(|known| known.log_slowdown("host-0", u64::MAX));
    assert!((slowdowns[0] - slowdowns[1]).abs() < 0.001 && slowdowns[0] > 0.2);
    assert!(!after.is_unsaved(), "nothing new has been learned");
}

/// Guards against a record that the log rejects in a large cluster, and against one that omits what is in use.
#[test]
fn a_record_at_size_is_limited_and_keeps_what_was_used_last() {
    let mut expectations = Expectations::default();
    for number in 0..120 {
        let queue = format!("{number}{}", "-long-name".repeat(10));
        record(&mut expectations, &queue, 64, number * 50, 1.2);
    }
    for hosts in 0..2_000 {
        record(&mut expectations, "last", 5, 10_000 + hosts * 4, 1.2);
    }
    for limit in [MAX_RECORD_BYTES, 16 * 1024, 1024, 0] {
        let stored = Record::Expectations(expectations.snapshot(u64::MAX >> 12, limit));
        let size = stored.key().len() + 1 + stored.encode().len();
        assert!(size <= limit.max(128), "{size} bytes, limit {limit}");
        if limit >= 16 * 1024 {
            assert!(size > limit / 2, "{size} bytes, limit {limit}");
            let restored = Expectations::restore(&decoded(&stored));
            assert!(typical(&restored, "last") > 4.0, "not the estimate");
            assert!(restored.log_slowdown("host-17996", u64::MAX) > 0.1);
        }
    }
}

/// Guards against records of other writers that spoil decisions: values that are not finite, out of range or too many.
#[test]
fn malformed_records_are_rejected() {
    let decode = |epoch: Value, samples: Value, workers: Value| {
        let queues = cbor!([{ "q" => "nest", "k" => [samples] }]).unwrap();
        let fields = cbor!({ "epoch" => epoch, "queues" => queues, "workers" => workers });
        let value = cbor!({ "Expectations" => fields.unwrap() }).unwrap();
        let mut bytes = Vec::new();
        ciborium::into_writer(&value, &mut bytes).unwrap();
        Record::decode(EXPECTATIONS_KEY, &bytes)
    };
    let sample = cbor!([[1, 2, false]]).unwrap();
    let worker = cbor!([["host", 1, 100, 1000]]).unwrap();
    let epoch = cbor!(1).unwrap();
    assert!(decode(epoch.clone(), sample.clone(), worker.clone()).is_ok());
    let malformed = [
        cbor!([[1, f64::NAN, false]]),
        cbor!([[1, 30_000, false]]),
        cbor!([[100_000, 1, false]]),
        cbor!(vec![(0, 0, false); 65]),
    ];
    for samples in malformed {
        assert!(decode(epoch.clone(), samples.unwrap(), worker.clone()).is_err());
    }
    let malformed = [
        cbor!([["host", 1, 2_001, 1]]),
        cbor!([["host", 1, 1, -1]]),
        cbor!([["host", 1, f64::INFINITY, 1]]),
        cbor!([["h".repeat(300), 1, 1, 1]]),
    ];
    for workers in malformed {
        assert!(decode(epoch.clone(), sample.clone(), workers.unwrap()).is_err());
    }
    let epochs = [cbor!(u64::MAX), cbor!(-1)];
    for epoch in epochs {
        assert!(decode(epoch.unwrap(), sample.clone(), worker.clone()).is_err());
    }
}

/// Guards against a record of a future epoch that hides all valid ones that follow.
#[test]
fn a_record_of_a_future_epoch_is_replaced() {
    let mut ledger = Ledger::default();
    let learned = |epoch| Record::Expectations(snapshot_of_epoch(epoch));
    ledger.apply(1, learned(1 << 52));
    ledger.apply(2, Record::Claimed(claim(10)));
    assert!(!ledger.knows_later_expectations(3, 10));
    ledger.apply(3, learned(10));
    let epoch = |ledger: &Ledger| ledger.expectations(10).map(|snapshot| snapshot.epoch);
    assert_eq!(epoch(&ledger), Some(10));
    assert!(ledger.knows_later_expectations(4, 9));
    ledger.apply(4, learned(9));
    assert_eq!(epoch(&ledger), Some(10), "an older epoch");
    assert!(
        !ledger.knows_later_expectations(2, 9),
        "a record read again"
    );
}

/// Guards against expectations of a replaced decider, or of one that does not exist, in place of the newest ones.
#[test]
fn records_of_older_and_future_epochs_are_not_used() {
    let mut ledger = Ledger::default();
    let mut apply = |offset, epoch| {
        ledger.apply(offset, Record::Expectations(snapshot_of_epoch(epoch)));
        ledger.expectations(10).map(|snapshot| snapshot.epoch)
    };
    assert_eq!(apply(5, 4), Some(4));
    assert_eq!(apply(6, 3), Some(4), "an older epoch");
    assert_eq!(apply(4, 8), Some(4), "an earlier record");
    assert_eq!(apply(7, 10), Some(10));
    assert_eq!(apply(8, 11), None, "the future");
    ledger.finish_reload(&BTreeSet::new(), 9);
    assert!(
        ledger.expectations(u64::MAX).is_none(),
        "the log has deleted it"
    );
}
