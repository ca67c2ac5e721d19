//! Learned run times across a change of the decider.

use super::log::MemoryLog;
use super::{TIMEOUT, idle_report, job, run, start_entry, wait_until};
use godwitstep::batch::entry::{Entry, Verdict};
use godwitstep_batch::id::JobId;
use godwitstep_batch::job::{Job, Step};
use godwitstep_batch::message::{EndReason, Ended, Reply, Report, Running};
use godwitstep_batch::record::EXPECTATIONS_KEY;
use smol::Timer;
use smol::future::FutureExt;
use std::time::{Duration, Instant};

const ESTIMATE: Duration = Duration::from_secs(5);
const RUN_TIME: Duration = Duration::from_millis(100);
/// Samples of this time are lost at most.
const MAX_LOSS: Duration = Duration::from_secs(2);

fn timed_job(id: JobId) -> Job {
    let step = Step {
        estimate: ESTIMATE,
        ..Step::default()
    };
    Job {
        steps: vec![step],
        ..job(id)
    }
}

fn expected(entry: &Entry<MemoryLog>) -> Option<Duration> {
    let job = timed_job(0);
    entry.expected_run_time(&job, &job.steps[0])
}

/// Acts as the agent of a worker on which each run takes [`RUN_TIME`]. Never returns.
async fn work(entry: &Entry<MemoryLog>) {
    let mut report = idle_report(1);
    let mut begun: Vec<(Instant, Running)> = Vec::new();
    let mut ended: Vec<Ended> = Vec::new();
    loop {
        if let Reply::Directive(directive) = entry.handle_report(report.clone()).await {
            ended.retain(|end| end.number > directive.recorded);
            report.epoch = directive.epoch;
            let started = directive.start.into_iter().map(|start| Running {
                task: start.task,
                run: start.run,
                saved: "".into(),
                percent: 0,
            });
            begun.extend(started.map(|run| (Instant::now(), run)));
        }
        let done = begun.extract_if(.., |(started_at, _)| started_at.elapsed() > RUN_TIME);
        for (_, run) in done {
            ended.push(Ended {
                number: u64::from(run.task.index) + run.task.job,
                task: run.task,
                run: run.run,
                how: EndReason::Done,
                saved: "".into(),
            });
        }
        let mut worker = idle_report(1).worker.expect("the report has a worker");
        worker.running = begun.iter().map(|(_, run)| run.clone()).collect();
        worker.ended.clone_from(&ended);
        report = Report {
            worker: Some(worker),
            sequence: report.sequence + 1,
            ..report
        };
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Guards against a successor that decides by the estimates again because the decider has died.
#[test]
fn a_successor_expects_what_the_killed_decider_has_learned() {
    let log = MemoryLog::default();
    let first = start_entry(&log);
    let learned = run(&first, async {
        wait_until("the entry decides", || first.is_decider()).await;
        let test = async {
            // Runs of the first moments may have begun under another decider, so their times are not known.
            Timer::after(Duration::from_millis(2_500)).await;
            assert_eq!(expected(&first), Some(ESTIMATE));
            for id in 1..=20 {
                let verdict = first.submit(timed_job(id), TIMEOUT).await;
                assert_eq!(verdict, Verdict::Stored);
            }
            let learned = || expected(&first).is_some_and(|time| time < ESTIMATE / 10);
            wait_until("the run times are learned", learned).await;
            Timer::after(MAX_LOSS).await;
            expected(&first).expect("the entry still decides")
        };
        test.or(async {
            work(&first).await;
            unreachable!("agents never end")
        })
        .await
    });
    // The decider ends without a word, as a killed process does.
    drop(first);
    assert!(log.keys().iter().any(|key| key == EXPECTATIONS_KEY));
    let successor = start_entry(&log);
    run(&successor, async {
        wait_until("the successor decides", || successor.is_decider()).await;
        let inherited = expected(&successor).expect("the successor decides");
        let ratio = inherited.as_secs_f64() / learned.as_secs_f64();
        assert!(
            (0.95..1.05).contains(&ratio),
            "{learned:?}, then {inherited:?}"
        );
    });
}
