//! Identifiers that are submitted again after a cancellation.

use super::log::MemoryLog;
use super::sizes::complete;
use super::{TIMEOUT, job, run, start_entry, wait_until};
use godwitstep::batch::entry::Verdict;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::record::{Claim, Record};

/// Guards against an accepted job that never runs because a cancel of its identifier was answered 'no such job' before.
#[test]
fn a_submission_after_an_unknown_cancellation_runs() {
    let log = MemoryLog::default();
    let entry = start_entry(&log);
    run(&entry, async {
        wait_until("the entry decides", || entry.is_decider()).await;
        assert_eq!(entry.cancel(1, TIMEOUT).await, Verdict::Unknown);
        assert_eq!(entry.submit(job(1), TIMEOUT).await, Verdict::Stored);
        assert_eq!(entry.status(1), Some(Status::Queued));
        complete(&entry, &[1]).await;
    });
}

/// Guards against an entry that accepts a submission although a cancellation that it has not read was answered 'no such
/// job', and against an identifier that stays barred by it.
#[test]
fn a_submission_that_an_unread_cancellation_bars_is_refused() {
    let log = MemoryLog::default();
    let entry = start_entry(&log);
    // The decider is gone, so the entry appends itself, and it pauses between two reads.
    log.push_record(&Record::Submitted(job(9)));
    log.push_record(&Record::Claimed(Claim {
        epoch: 1,
        host: "host-9".into(),
        address: ([127, 0, 0, 1], 1).into(),
        released: false,
    }));
    run(&entry, async {
        wait_until("the log is read", || entry.status(9).is_some()).await;
        for id in [1, 9] {
            log.push_record(&Record::Cancelled { job: id });
            assert_eq!(entry.submit(job(id), TIMEOUT).await, Verdict::Refused);
        }
        for id in [1, 9] {
            assert_eq!(entry.submit(job(id), TIMEOUT).await, Verdict::Stored);
            assert_eq!(entry.status(id), Some(Status::Queued));
        }
    });
}

/// Guards against a decider that accepts a submission behind a cancellation that another process has stored and it has not
/// read.
#[test]
fn a_decider_reads_cancellations_before_it_accepts_submissions() {
    let log = MemoryLog::default();
    let entry = start_entry(&log);
    run(&entry, async {
        wait_until("the entry decides", || entry.is_decider()).await;
        for id in 1..20 {
            log.push_record(&Record::Cancelled { job: id });
            assert_eq!(entry.submit(job(id), TIMEOUT).await, Verdict::Refused);
            assert_eq!(entry.submit(job(id), TIMEOUT).await, Verdict::Stored);
            assert_eq!(entry.status(id), Some(Status::Queued));
        }
    });
}
