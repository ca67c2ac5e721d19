//! The ledger, in particular reloads of the newest record of each key.

use godwitstep_batch::id::{JobId, Offset};
use godwitstep_batch::job::{Job, Step};
use godwitstep_batch::ledger::{Ledger, Status};
use godwitstep_batch::policy::Queue;
use godwitstep_batch::progress::{Outcome, Progress};
use godwitstep_batch::record::{Announcement, Claim, Record};

fn submitted(id: JobId) -> Record {
    Record::Submitted(Job {
        id,
        workspace: None,
        queue: Queue::default(),
        spec: "".into(),
        steps: vec![Step::default()],
        accepted: 0,
    })
}

fn completed(job: JobId) -> Record {
    let progress = Progress {
        outcome: Some(Outcome::Completed),
        ..Progress::default()
    };
    Record::Progressed { job, progress }
}

fn claimed(epoch: u64) -> Record {
    Record::Claimed(Claim {
        epoch,
        host: "host-1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        released: false,
    })
}

fn announced(host: &str, port: u16) -> Record {
    Record::Announced(Announcement {
        host: host.into(),
        address: ([127, 0, 0, 1], port).into(),
        job_memory: None,
    })
}

fn apply(ledger: &mut Ledger, records: impl IntoIterator<Item = (Offset, Record)>) {
    for (offset, record) in records {
        ledger.apply(offset, record);
    }
}

/// Applies a reload that began when the log ended at `end`.
fn reload(ledger: &mut Ledger, records: Vec<(Offset, Record)>, end: Offset) {
    let listed = records.iter().map(|(_, record)| record.key()).collect();
    apply(ledger, records);
    ledger.finish_reload(&listed, end);
}

/// Guards against jobs and entries that stay known after the log has deleted their records.
#[test]
fn a_reload_removes_what_the_log_has_deleted() {
    let mut ledger = Ledger::default();
    let records = [
        submitted(1),
        submitted(2),
        announced("host-1", 1),
        announced("host-2", 2),
        claimed(5),
    ];
    apply(&mut ledger, (0..).zip(records));
    reload(
        &mut ledger,
        vec![(3, announced("host-2", 2)), (1, submitted(2))],
        10,
    );
    assert_eq!(ledger.status(1), None);
    assert_eq!(ledger.open().map(|(id, _)| id).collect::<Vec<_>>(), [2]);
    let hosts: Vec<_> = ledger.entries().map(|entry| &*entry.host).collect();
    assert_eq!(hosts, ["host-2"]);
    assert_eq!(ledger.epoch(), 5, "the highest epoch never decreases");
}

/// Guards against a reload that removes records which the process appended while the pages were read.
#[test]
fn a_reload_keeps_records_after_its_beginning() {
    let mut ledger = Ledger::default();
    apply(&mut ledger, [(0, submitted(1))]);
    // Appended by this process, after the page with their keys was read.
    apply(
        &mut ledger,
        [
            (10, completed(1)),
            (11, submitted(2)),
            (12, Record::Cancelled { job: 2 }),
        ],
    );
    reload(&mut ledger, vec![(0, submitted(1))], 10);
    let ended = |outcome| Some(Status::Ended(outcome));
    assert_eq!(ledger.status(1), ended(Outcome::Completed));
    assert_eq!(ledger.status(2), ended(Outcome::Cancelled));
}

/// Guards against the state of a former job under a name that was submitted again after the former job was dropped.
#[test]
fn a_reload_removes_the_state_of_a_former_job() {
    let mut ledger = Ledger::default();
    let records = [submitted(1), Record::Cancelled { job: 1 }, completed(1)];
    apply(&mut ledger, (0..).zip(records));
    reload(&mut ledger, vec![(8, submitted(1))], 10);
    assert_eq!(ledger.status(1), Some(Status::Queued));
    assert_eq!(ledger.open().count(), 1);
}

/// Guards against a job that runs because its cancellation was stored before its submission.
#[test]
fn a_cancellation_before_the_submission_holds() {
    let mut ledger = Ledger::default();
    ledger.apply(1, Record::Cancelled { job: 7 });
    assert!(ledger.is_cancelled(7));
    assert_eq!(ledger.status(7), None, "nobody has submitted the job");
    ledger.apply(2, submitted(7));
    assert_eq!(ledger.status(7), Some(Status::Ended(Outcome::Cancelled)));
    assert_eq!(ledger.orphans().count(), 0);
}

/// Guards against cancellations of jobs that do not exist that stay known after the log has deleted them.
#[test]
fn a_reload_removes_a_cancellation_without_a_job() {
    let mut ledger = Ledger::default();
    ledger.apply(1, Record::Cancelled { job: 7 });
    ledger.apply(2, completed(8));
    reload(&mut ledger, Vec::new(), 9);
    assert!(!ledger.is_cancelled(7));
    assert_eq!(ledger.orphans().count(), 0);
    ledger.apply(10, submitted(7));
    assert_eq!(ledger.status(7), Some(Status::Queued));
}
