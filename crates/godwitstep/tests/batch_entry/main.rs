//! Tests of a batch entry with a log service in memory.

mod expectations;
mod log;
mod sizes;

use bytes::Bytes;
use godwitstep::batch::entry::{Entry, Verdict};
use godwitstep::batch::log::{Item, Stream};
use godwitstep::batch::operator::OperatorRecord;
use godwitstep::batch::settings::{Settings, SizeLimits};
use godwitstep::clock::BootClock;
use godwitstep_batch::bounds::{DECIDER_LEASE, MAX_CANCELLATION_DELAY, START_ORDER_TTL};
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Incarnation, JobId};
use godwitstep_batch::job::{Job, Step};
use godwitstep_batch::ledger::Status;
use godwitstep_batch::message::{Reachability, Reply, Report, Start, Worker, WorkerInfo};
use godwitstep_batch::policy::{Policy, Queue};
use godwitstep_batch::progress::Outcome;
use godwitstep_batch::record::{Claim, Record};
use log::{AppendMode, MemoryLog};
use smol::Timer;
use smol::future::FutureExt;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time limit of a step for which a test has no other.
const TIMEOUT: Duration = Duration::from_secs(5);

fn queue() -> Queue {
    Queue {
        name: "normal".into(),
        pool: "floor".into(),
        ..Queue::default()
    }
}

fn job(id: JobId) -> Job {
    Job {
        id,
        workspace: None,
        queue: queue(),
        spec: "spec".into(),
        steps: vec![Step::default()],
        accepted: 0,
    }
}

fn start_entry(log: &MemoryLog) -> Rc<Entry<MemoryLog>> {
    start_entry_with(log, SizeLimits::default())
}

/// Starts an entry of a deployment whose log has these limits.
fn start_entry_with(log: &MemoryLog, sizes: SizeLimits) -> Rc<Entry<MemoryLog>> {
    let settings = r#"{
        "host": "host-1", "domain": "domain-1", "log": "127.0.0.1:1", "agents": "127.0.0.1:1"
    }"#;
    log.set_sizes(sizes);
    let policy = Item {
        key: "policy".to_owned(),
        value: Bytes::from_static(b"1"),
    };
    log.push(Stream::Operator, policy);
    let read_operator_record = |_: &Item| {
        let policy = Policy {
            version: 1,
            queues: vec![queue()],
            ..Policy::default()
        };
        Ok(Some(OperatorRecord::SetPolicy(policy)))
    };
    Entry::new(
        log.clone(),
        Rc::new(BootClock),
        Settings {
            sizes,
            ..Settings::parse(settings).unwrap()
        },
        read_operator_record,
    )
}

/// Guards against an entry that goes on without one of its loops after that loop has panicked.
#[test]
fn a_panic_in_one_loop_ends_the_entry() {
    let log = MemoryLog::default();
    let settings = r#"{
        "host": "host-1", "domain": "domain-1", "log": "127.0.0.1:1", "agents": "127.0.0.1:1"
    }"#;
    let record = Item {
        key: "policy".to_owned(),
        value: Bytes::from_static(b"1"),
    };
    log.push(Stream::Operator, record);
    let entry = Entry::new(
        log,
        Rc::new(BootClock),
        Settings::parse(settings).unwrap(),
        |_| panic!("this record can't be read"),
    );
    let timeout = async {
        Timer::after(TIMEOUT).await;
    };
    let run = AssertUnwindSafe(|| smol::block_on(entry.run().or(timeout)));
    assert!(std::panic::catch_unwind(run).is_err(), "the entry goes on");
}

/// Runs a test beside the tasks of an entry.
fn run<T>(entry: &Rc<Entry<MemoryLog>>, test: impl Future<Output = T>) -> T {
    let tasks = async {
        entry.clone().run().await;
        unreachable!("the tasks of an entry never end")
    };
    smol::block_on(test.or(tasks))
}

/// Waits until a condition holds.
async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not within {TIMEOUT:?}: {what}");
        Timer::after(Duration::from_millis(10)).await;
    }
}

/// Reports an idle worker to the entry. Returns the runs that the reply orders to start, or `None` if the entry does not
/// answer as the decider.
async fn report_idle_worker(entry: &Entry<MemoryLog>, sequence: u64) -> Option<Vec<Start>> {
    let report = idle_report(sequence);
    match entry.handle_report(report).await {
        Reply::Directive(directive) => Some(directive.start),
        Reply::NotDecider { .. } => None,
    }
}

/// Returns the report of an agent whose worker is idle.
fn idle_report(sequence: u64) -> Report {
    let info = WorkerInfo {
        incarnation: Incarnation {
            host: "host-2".into(),
            worker: "worker-2".into(),
            started_ms: 1,
        },
        pool: "floor".into(),
        domain: "domain-1".into(),
        capacity: Demand::default(),
        labels: Vec::new(),
        rack: None,
        draining: false,
    };
    Report {
        host: "host-2".into(),
        incarnation: 1,
        sequence,
        worker: Some(Worker {
            info,
            reachability: Reachability::Reachable,
            running: Vec::new(),
            ended: Vec::new(),
            refused: Vec::new(),
        }),
        ..Report::default()
    }
}

/// Guards against starts of cancelled tasks by a decider whose reads of the log get no response.
#[test]
fn a_decider_that_cannot_read_the_log_starts_no_tasks() {
    let log = MemoryLog::default();
    let entry = start_entry(&log);
    run(&entry, async {
        wait_until("the entry decides", || entry.is_decider()).await;
        assert_eq!(entry.submit(job(1), TIMEOUT).await, Verdict::Stored);
        log.set_unreadable(Stream::Records, true);
        // Another entry acknowledges the cancellation once it is in the log.
        log.push_record(&Record::Cancelled { job: 1 });
        let cancelled = Instant::now();
        Timer::after(MAX_CANCELLATION_DELAY.saturating_sub(START_ORDER_TTL)).await;
        for sequence in 1.. {
            let started = report_idle_worker(&entry, sequence).await;
            assert_eq!(
                started.unwrap_or_default(),
                [],
                "{:?} after the cancellation",
                cancelled.elapsed()
            );
            if cancelled.elapsed() > MAX_CANCELLATION_DELAY + Duration::from_millis(500) {
                break;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        log.set_unreadable(Stream::Records, false);
        let ended = || entry.status(1) == Some(Status::Ended(Outcome::Cancelled));
        wait_until("the job is cancelled", ended).await;
    });
}

/// Guards against a done job that starts again after a reload that does not name it any more.
#[test]
fn a_job_that_was_dropped_before_a_reload_is_removed() {
    let log = MemoryLog::default();
    let entry = start_entry(&log);
    log.push_record(&Record::Submitted(job(1)));
    log.push_record(&Record::Submitted(job(2)));
    run(&entry, async {
        wait_until("the jobs are known", || entry.status(2).is_some()).await;
        log.set_unreadable(Stream::Records, true);
        // The deletions that a decider appends when it drops a job.
        for record in [Record::Submitted(job(1)), Record::Cancelled { job: 1 }] {
            let deletion = Item {
                key: record.key(),
                value: Bytes::new(),
            };
            log.push(Stream::Records, deletion);
        }
        log.push_record(&Record::Dropped { job: 1 });
        log.push_record(&Record::Submitted(job(3)));
        log.expire_history(Stream::Records);
        log.set_unreadable(Stream::Records, false);
        wait_until("the log is read again", || entry.status(3).is_some()).await;
        assert_eq!(entry.status(1), None, "the job was dropped");
        assert!(entry.status(2).is_some(), "the job is still in the log");
    });
}

/// Guards against a job that runs although its cancellation was answered with 'no such job'.
#[test]
fn a_job_that_another_entry_just_accepted_can_be_cancelled() {
    let log = MemoryLog::default();
    let entry = start_entry(&log);
    log.push_record(&Record::Claimed(Claim {
        epoch: 1,
        host: "host-9".into(),
        address: ([127, 0, 0, 1], 1).into(),
        released: false,
    }));
    log.push_record(&Record::Submitted(job(1)));
    run(&entry, async {
        wait_until("the log is read", || entry.status(1).is_some()).await;
        // An entry that does not decide pauses between two reads.
        log.push_record(&Record::Submitted(job(2)));
        assert_eq!(entry.status(2), None);
        assert_eq!(entry.cancel(2, TIMEOUT).await, Verdict::Stored);
        assert_eq!(entry.cancel(3, TIMEOUT).await, Verdict::Unknown);
        let ended = || entry.status(2) == Some(Status::Ended(Outcome::Cancelled));
        wait_until("the job is cancelled", ended).await;
    });
}

/// Guards against a job that runs although its cancellation was answered: its submission was still on its way to the log.
#[test]
fn a_submission_that_is_stored_after_its_cancellation_does_not_run() {
    let log = MemoryLog::default();
    let entry = start_entry(&log);
    run(&entry, async {
        wait_until("the entry decides", || entry.is_decider()).await;
        assert_eq!(entry.cancel(1, TIMEOUT).await, Verdict::Unknown);
        assert_eq!(
            entry.status(1),
            None,
            "a job that nobody submitted is not shown"
        );
        // Another entry still held the submission.
        log.push_record(&Record::Submitted(job(1)));
        let cancelled = || entry.status(1) == Some(Status::Ended(Outcome::Cancelled));
        wait_until("the job is cancelled", cancelled).await;
        for sequence in 1..20 {
            let started = report_idle_worker(&entry, sequence).await;
            assert_eq!(started.unwrap_or_default(), []);
            Timer::after(Duration::from_millis(10)).await;
        }
    });
}

/// Guards against a cancellation that gets no response in time because the log can't be read after it is stored.
#[test]
fn a_stored_cancellation_is_answered_while_the_log_cannot_be_read() {
    let log = MemoryLog::default();
    let entry = start_entry(&log);
    run(&entry, async {
        wait_until("the entry decides", || entry.is_decider()).await;
        log.set_unreadable(Stream::Records, true);
        let time_limit = Duration::from_millis(400);
        let asked = Instant::now();
        assert_eq!(entry.cancel(1, time_limit).await, Verdict::Stored);
        assert!(asked.elapsed() < time_limit + Duration::from_millis(200));
    });
}

/// Guards against a decider that answers agents after its lease because a repeated append was answered.
#[test]
fn a_repeated_append_extends_the_lease_from_its_first_sending() {
    let log = MemoryLog::default();
    let entry = start_entry(&log);
    run(&entry, async {
        wait_until("the entry decides", || entry.is_decider()).await;
        log.set_append_mode(AppendMode::LosesResponses);
        let end = log.end(Stream::Records);
        wait_until("a renewal is stored", || log.end(Stream::Records) > end).await;
        let stored_at = Instant::now();
        log.set_append_mode(AppendMode::Silent);
        assert!(
            report_idle_worker(&entry, 1).await.is_some(),
            "the lease holds"
        );
        Timer::after(DECIDER_LEASE.saturating_sub(Duration::from_millis(500))).await;
        log.set_append_mode(AppendMode::RepeatsOnly);
        Timer::after(
            (DECIDER_LEASE + Duration::from_millis(100)).saturating_sub(stored_at.elapsed()),
        )
        .await;
        assert_eq!(
            report_idle_worker(&entry, 2).await,
            None,
            "{:?} after the last renewal",
            stored_at.elapsed()
        );
    });
}
