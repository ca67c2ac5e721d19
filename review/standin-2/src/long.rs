//! A short job beside long ones, on runners that are mostly idle.

use crate::Verdict;
use crate::cluster::Cluster;
use crate::record::Record;
use serde_json::json;
use std::time::{Duration, Instant};

const ENTRIES: usize = 3;
const RUNNERS: usize = 6;
/// Time after the end of the traffic from which on the rule is checked; `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job whose turn has come may have nothing running.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Time for which the rule is checked.
const OBSERVATION: Duration = Duration::from_secs(40);
/// Duration of a task of the long job: 40 minutes.
const LONG_WORK_MS: u64 = 2_400_000;
/// Jobs of usual length that are handed in before the long one, so that one of 21 is long: a share of 0.048.
const USUAL_JOBS: u64 = 20;
/// Time from the long job to the short one: the long tasks have done a little over a percent of their work.
const LEAD: Duration = Duration::from_secs(29);
const LONG_JOB: &str = "00000000000000aa";
const SHORT_JOB: &str = "00000000000000bb";

pub fn run(record: &Record, trouble: bool) -> std::io::Result<Verdict> {
    let cluster = Cluster::start(record, ENTRIES, RUNNERS)?;
    cluster.configure(3);
    std::thread::sleep(Duration::from_secs(6));
    let work = if trouble {
        LONG_WORK_MS
    } else {
        LONG_WORK_MS / 50
    };
    // One task on each runner, on an eighth of it.
    let long = json!({"spec": format!("work={work}"), "phases": [{"task_count": RUNNERS, "cpu": 8000, "mem_mb": 1024, "gpus": 1,
        "estimated_ms": work, "anti_affinity": 1}]});
    let short = json!({"spec": "work=5000", "phases": [{"task_count": 1, "cpu": 8000, "mem_mb": 1024, "gpus": 1,
        "estimated_ms": 5000}]});
    let usual = json!({"spec": "work=1000", "phases": [{"task_count": 1, "cpu": 8000, "mem_mb": 1024, "gpus": 1,
        "estimated_ms": 1000}]});
    for number in 1..=USUAL_JOBS {
        if !cluster.submit(&format!("{number:016x}"), &usual) {
            return Ok(Verdict::NotRun("a job was not accepted".to_owned()));
        }
    }
    if !cluster.submit(LONG_JOB, &long) {
        return Ok(Verdict::NotRun("the long job was not accepted".to_owned()));
    }
    std::thread::sleep(LEAD);
    if !cluster.submit(SHORT_JOB, &short) {
        return Ok(Verdict::NotRun("the short job was not accepted".to_owned()));
    }
    record.write("the traffic ends");
    std::thread::sleep(FINISH);
    record.write("the rule is checked from now on");
    let started = Instant::now();
    let mut idle_since = Instant::now();
    let mut entry = 0;
    let mut asked = Instant::now();
    while started.elapsed() < OBSERVATION {
        std::thread::sleep(Duration::from_millis(10));
        if asked.elapsed() > Duration::from_millis(500) {
            asked = Instant::now();
            entry = (entry + 1) % ENTRIES;
            if cluster.state(entry, SHORT_JOB).as_deref() == Some("completed") {
                return Ok(Verdict::Held);
            }
        }
        if cluster.runners.iter().any(|runner| runner.runs(SHORT_JOB)) {
            idle_since = Instant::now();
        }
        if idle_since.elapsed() > MAX_IDLE {
            let what = "the short job has had nothing running for 3 s, though seven eighths of the runners are free";
            return Ok(Verdict::Broken(what.to_owned()));
        }
    }
    Ok(Verdict::NotRun(
        "the short job has neither ended nor waited for 3 s on end".to_owned(),
    ))
}
