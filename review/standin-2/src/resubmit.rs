//! A job is refused, its client makes sure with a cancel that there is no such job, and hands it in again.

use crate::Verdict;
use crate::cluster::Cluster;
use crate::record::Record;
use serde_json::json;
use std::time::{Duration, Instant};

const ENTRIES: usize = 3;
const RUNNERS: usize = 5;
/// Length of the store's outage.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time into the outage at which the job is handed in.
const HAND_IN: Duration = Duration::from_millis(2_500);
/// Pause of a client before it tries again, as `Retry-After` says.
const RETRY: Duration = Duration::from_secs(1);
/// Time after the end of the traffic from which on a job may not wait beside idle runners; `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
const JOB: &str = "00000000000000fe";

pub fn run(record: &Record, trouble: bool) -> std::io::Result<Verdict> {
    let cluster = Cluster::start(record, ENTRIES, RUNNERS)?;
    cluster.configure(3);
    std::thread::sleep(Duration::from_secs(6));
    let path = format!("/seam/{JOB}");
    let job = json!({"spec": "work=3000", "phases": [{"task_count": 1, "cpu": 8000, "mem_mb": 1024, "gpus": 1,
        "estimated_ms": 3000}]});
    let started = Instant::now();
    if trouble {
        cluster.log.set_busy(true);
        record.write("the store answers 503 from now on");
    }
    std::thread::sleep(HAND_IN);
    let status = |answer: Option<(u16, String)>| answer.map_or(0, |(status, _)| status);
    let first = status(cluster.call(0, "POST", &path, &job.to_string()));
    if first != 200 {
        if first != 503 {
            return Ok(Verdict::NotRun(format!(
                "the job was answered {first} instead of 503"
            )));
        }
        // Refused, so that it never runs. The client makes sure that there is no such job.
        std::thread::sleep(OUTAGE.saturating_sub(started.elapsed()));
        cluster.log.set_busy(false);
        record.write("the store answers again");
        let mut cancel = 0;
        for entry in (0..ENTRIES).cycle().take(20) {
            std::thread::sleep(RETRY);
            cancel = status(cluster.call(entry, "DELETE", &path, ""));
            if cancel == 200 || cancel == 410 {
                break;
            }
        }
        if cancel != 410 {
            return Ok(Verdict::NotRun(format!(
                "the cancel was answered {cancel} instead of 410"
            )));
        }
        std::thread::sleep(Duration::from_secs(3));
        // There is no such job, so the client hands it in.
        if status(cluster.call(1, "POST", &path, &job.to_string())) != 200 {
            return Ok(Verdict::NotRun(
                "the job was not accepted the second time".to_owned(),
            ));
        }
    }
    record.write("the job is accepted");
    let accepted = Instant::now();
    let mut state = None;
    while accepted.elapsed() < FINISH {
        std::thread::sleep(RETRY);
        state = cluster.state(2, JOB);
        if state.as_deref() == Some("completed") {
            return Ok(Verdict::Held);
        }
    }
    let begun = cluster
        .runners
        .iter()
        .any(|runner| runner.has_begun("work=3000"));
    let state = state.unwrap_or_default();
    let what = format!("the job is shown as {state:?} after its acceptance; begun: {begun}");
    Ok(if state == "canceled" {
        Verdict::Broken(what)
    } else {
        Verdict::NotRun(what)
    })
}
