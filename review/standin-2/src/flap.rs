//! A runner goes down and up by turns while a sound job waits for it.

use crate::Verdict;
use crate::cluster::Cluster;
use crate::record::Record;
use serde_json::json;
use std::time::{Duration, Instant};

const ENTRIES: usize = 3;
/// One of seven runners goes down and up: a share of 0.143.
const RUNNERS: usize = 7;
/// Time from one crash to the next; the runner is up for half of it.
const PERIOD: Duration = Duration::from_millis(1_400);
/// Time for which the runner goes down and up.
const FLAPPING: Duration = Duration::from_millis(6_500);
/// Time for which the job's state is asked for.
const OBSERVATION: Duration = Duration::from_secs(45);
const JOB: &str = "5c0e7a21d94b36f8";

pub fn run(record: &Record, trouble: bool) -> std::io::Result<Verdict> {
    let cluster = Cluster::start(record, ENTRIES, RUNNERS)?;
    cluster.configure(3);
    std::thread::sleep(Duration::from_secs(6));
    let flapping = &cluster.runners[RUNNERS - 1];
    // One task of 3 s that needs the rack in which only the last runner stands.
    let job = json!({"spec": "work=3000", "phases": [{"task_count": 1, "cpu": 8000, "mem_mb": 1024, "gpus": 1,
        "estimated_ms": 3000, "required_label": flapping.facts.rack}]});
    if !cluster.submit(JOB, &job) {
        return Ok(Verdict::NotRun("the job was not accepted".to_owned()));
    }
    let started = Instant::now();
    while !flapping.runs(JOB) && started.elapsed() < Duration::from_secs(5) {
        std::thread::sleep(Duration::from_millis(5));
    }
    if !flapping.runs(JOB) {
        return Ok(Verdict::NotRun("the job did not begin".to_owned()));
    }
    if trouble {
        let began = Instant::now();
        while began.elapsed() < FLAPPING {
            std::thread::sleep(PERIOD / 2);
            flapping.crash();
            std::thread::sleep(PERIOD / 2);
            flapping.restart()?;
        }
        record.write("the runner stays up from now on");
    }
    let started = Instant::now();
    let mut entry = 0;
    while started.elapsed() < OBSERVATION {
        std::thread::sleep(Duration::from_millis(500));
        entry = (entry + 1) % ENTRIES;
        match cluster.state(entry, JOB).as_deref() {
            Some("completed") => return Ok(Verdict::Held),
            Some("failed") => {
                let what = "the job is shown as failed, though no run of it has ended `failed`";
                return Ok(Verdict::Broken(what.to_owned()));
            }
            _ => {}
        }
    }
    Ok(Verdict::Broken("the job has not ended".to_owned()))
}
