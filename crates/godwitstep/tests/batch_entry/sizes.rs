//! Records and rounds beyond the limits of the log.

use super::log::MemoryLog;
use super::{TIMEOUT, idle_report, job, run, start_entry, start_entry_with, wait_until};
use godwitstep::batch::entry::{Entry, Verdict};
use godwitstep::batch::settings::{Settings, SizeLimits};
use godwitstep_batch::id::JobId;
use godwitstep_batch::job::{Job, Step};
use godwitstep_batch::ledger::Status;
use godwitstep_batch::message::{EndReason, Ended, Reply, Report};
use godwitstep_batch::progress::Outcome;
use godwitstep_batch::record::progress_key;
use smol::Timer;
use smol::future::FutureExt;
use std::time::Duration;

const COMPLETED: Option<Status> = Some(Status::Ended(Outcome::Completed));
/// Limits that a job of a few hundred tasks exceeds.
const SMALL: SizeLimits = SizeLimits {
    record_bytes: 16 * 1024,
    append_bytes: 64 * 1024,
};

fn large_job(id: JobId, tasks: u16) -> Job {
    let tasks = Step {
        tasks,
        ..Step::default()
    };
    Job {
        steps: vec![tasks],
        ..job(id)
    }
}

/// Acts as the agent of a worker that completes each run at once. Never returns.
async fn work(entry: &Entry<MemoryLog>) {
    let mut report = idle_report(1);
    let mut ends = 0;
    loop {
        if let Reply::Directive(directive) = entry.handle_report(report.clone()).await {
            let mut worker = idle_report(1).worker.expect("the report has a worker");
            worker.ended = report.worker.take().expect("a worker").ended;
            worker.ended.retain(|end| end.number > directive.recorded);
            for start in directive.start {
                ends += 1;
                worker.ended.push(Ended {
                    number: ends,
                    task: start.task,
                    run: start.run,
                    how: EndReason::Done,
                    saved: "".into(),
                });
            }
            report = Report {
                worker: Some(worker),
                epoch: directive.epoch,
                ..report
            };
        }
        report.sequence += 1;
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Waits until jobs are completed while a worker runs them.
async fn complete(entry: &Entry<MemoryLog>, jobs: &[JobId]) {
    let completed = || jobs.iter().all(|job| entry.status(*job) == COMPLETED);
    wait_until("all jobs are completed", completed)
        .or(work(entry))
        .await;
}

/// Guards against a large job whose state the log rejects, so that no decision on any job is stored any more.
#[test]
fn a_job_whose_state_exceeds_a_record_does_not_stop_the_others() {
    let log = MemoryLog::default();
    let sizes = SizeLimits {
        record_bytes: 64 * 1024,
        ..SizeLimits::default()
    };
    let entry = start_entry_with(&log, sizes);
    run(&entry, async {
        wait_until("the entry decides", || entry.is_decider()).await;
        let large = large_job(1, 4_000);
        assert_eq!(entry.submit(large, TIMEOUT).await, Verdict::Stored);
        assert_eq!(entry.submit(job(2), TIMEOUT).await, Verdict::Stored);
        complete(&entry, &[1, 2]).await;
        let fragments = || {
            log.keys()
                .iter()
                .any(|key| key.starts_with(&format!("{}/", progress_key(1))))
        };
        assert!(!fragments(), "fragments of an ended job stay in the log");
    });
}

/// Guards against a round of many decisions that exceeds an append, and is repeated without end.
#[test]
fn a_round_that_exceeds_an_append_is_stored_in_parts() {
    let log = MemoryLog::default();
    let entry = start_entry_with(&log, SMALL);
    run(&entry, async {
        wait_until("the entry decides", || entry.is_decider()).await;
        let jobs: Vec<JobId> = (1..=12).collect();
        for id in &jobs {
            assert_eq!(
                entry.submit(large_job(*id, 300), TIMEOUT).await,
                Verdict::Stored
            );
        }
        complete(&entry, &jobs).await;
    });
}

/// Guards against a successor that does not know the state of a large job and runs its tasks again.
#[test]
fn another_entry_reads_the_state_of_a_large_job() {
    let log = MemoryLog::default();
    let entry = start_entry_with(&log, SMALL);
    run(&entry, async {
        wait_until("the entry decides", || entry.is_decider()).await;
        assert_eq!(
            entry.submit(large_job(1, 600), TIMEOUT).await,
            Verdict::Stored
        );
        let started = || entry.status(1) == Some(Status::Running);
        wait_until("the job is placed", started)
            .or(work(&entry))
            .await;
    });
    // It reads the newest record of each key, in the order of the keys.
    log.expire_history(godwitstep::batch::log::Stream::Records);
    let successor = start_entry_with(&log, SMALL);
    run(&successor, async {
        let known = || {
            successor
                .status(1)
                .is_some_and(|status| status != Status::Queued)
        };
        wait_until("the state is read", known).await;
    });
}

/// Guards against one record that the log never accepts, with which all other decisions wait.
#[test]
fn a_record_that_the_log_never_accepts_does_not_hold_up_the_others() {
    let log = MemoryLog::default();
    log.reject_key(progress_key(1));
    let entry = start_entry(&log);
    run(&entry, async {
        wait_until("the entry decides", || entry.is_decider()).await;
        assert_eq!(entry.submit(job(1), TIMEOUT).await, Verdict::Stored);
        assert_eq!(entry.submit(job(2), TIMEOUT).await, Verdict::Stored);
        complete(&entry, &[2]).await;
        assert_eq!(entry.status(1), Some(Status::Queued));
    });
}

/// Guards against a job that is too large for the log: with it, the submissions of other callers are refused.
#[test]
fn a_submission_that_the_log_never_accepts_is_rejected_alone() {
    let log = MemoryLog::default();
    let entry = start_entry_with(&log, SMALL);
    log.reject_key("job/0000000000000001".to_owned());
    run(&entry, async {
        wait_until("the entry decides", || entry.is_decider()).await;
        let too_long = Job {
            spec: "s".repeat(SMALL.record_bytes).into(),
            ..job(3)
        };
        let submissions = [job(1), job(2), too_long].map(|job| entry.submit(job, TIMEOUT));
        let verdicts = futures_util::future::join_all(submissions).await;
        assert_eq!(
            verdicts,
            [Verdict::TooLarge, Verdict::Stored, Verdict::TooLarge]
        );
    });
}

/// Guards against limits in the settings with which no job can be stored.
#[test]
fn limits_that_are_too_small_are_rejected() {
    let parse = |sizes: &str| {
        let settings = format!(
            r#"{{"host": "host-1", "domain": "domain-1", "log": "127.0.0.1:1", "agents": "127.0.0.1:1", "sizes": {sizes}}}"#
        );
        Settings::parse(&settings).map(|settings| settings.sizes)
    };
    assert_eq!(parse("{}").unwrap(), SizeLimits::default());
    assert!(parse(r#"{"record_bytes": 1024}"#).is_err());
    assert!(parse(r#"{"append_bytes": 65536}"#).is_err());
    assert_eq!(
        parse(r#"{"record_bytes": 16384, "append_bytes": 65536}"#).unwrap(),
        SMALL
    );
}
