//! A job that fits twice over on free runners, while a large gang waits for more of them.

use crate::Verdict;
use crate::cluster::Cluster;
use crate::record::Record;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const ENTRIES: usize = 3;
const RUNNERS: usize = 11;
/// Runners that are in use: 0.45 of all.
const USED: usize = 5;
/// Members of the large gang, one more than there are free runners.
const MEMBERS: usize = RUNNERS - USED + 1;
/// Time after the end of the traffic from which on the rule is checked; `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job whose turn has come may have nothing running.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Time for which the rule is checked.
const OBSERVATION: Duration = Duration::from_secs(10);
const JOB: &str = "00000000000000ee";

/// Returns a job of one step whose tasks take a whole runner each.
fn job(tasks: usize, seconds: u64) -> Value {
    let (work, gang) = (seconds * 1_000, tasks > 1);
    let members = if gang { format!(" members={tasks}") } else { String::new() };
    json!({"spec": format!("work={work}{members}"), "phases": [{"task_count": tasks, "cpu": 32000, "mem_mb": 131072,
        "gpus": 8, "estimated_ms": work, "gang": gang}]})
}

pub fn run(record: &Record, trouble: bool) -> std::io::Result<Verdict> {
    let cluster = Cluster::start(record, ENTRIES, RUNNERS)?;
    cluster.configure(3);
    std::thread::sleep(Duration::from_secs(6));
    for number in 1..=USED as u64 {
        if !cluster.submit(&format!("{number:016x}"), &job(1, 60)) {
            return Ok(Verdict::NotRun("a job was not accepted".to_owned()));
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    if trouble && !cluster.submit("00000000000000dd", &job(MEMBERS, 10)) {
        return Ok(Verdict::NotRun("the gang was not accepted".to_owned()));
    }
    std::thread::sleep(Duration::from_secs(1));
    if !cluster.submit(JOB, &job(1, 300)) {
        return Ok(Verdict::NotRun("the job was not accepted".to_owned()));
    }
    record.write("the traffic ends");
    std::thread::sleep(FINISH);
    record.write("the rule is checked from now on");
    let started = Instant::now();
    let mut idle_since = Instant::now();
    let mut asked = Instant::now();
    while started.elapsed() < OBSERVATION {
        std::thread::sleep(Duration::from_millis(10));
        if asked.elapsed() > Duration::from_secs(1) {
            asked = Instant::now();
            cluster.state(0, JOB);
        }
        let used = cluster.runners.iter().filter(|runner| !runner.active().is_empty()).count();
        let running = cluster.runners.iter().any(|runner| runner.runs(JOB));
        if running || used > USED {
            idle_since = Instant::now();
        }
        if idle_since.elapsed() > MAX_IDLE {
            let what = format!("the job has had nothing running for 3 s, though {used} of {RUNNERS} runners are in use");
            return Ok(Verdict::Broken(what));
        }
    }
    Ok(Verdict::Held)
}
