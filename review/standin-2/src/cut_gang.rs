//! The machine of one member of a gang is cut off, and its runner runs on.

use crate::Verdict;
use crate::cluster::Cluster;
use crate::record::Record;
use serde_json::json;
use std::time::{Duration, Instant};

const ENTRIES: usize = 3;
/// One of eleven machines is cut off.
const RUNNERS: usize = 11;
/// Length of the cut.
const CUT: Duration = Duration::from_millis(5_500);
/// Time after the cut for which the record goes on.
const AFTERMATH: Duration = Duration::from_secs(1);
const OBSERVATION: Duration = Duration::from_secs(40);
const JOB: &str = "00000000000000cc";

pub fn run(record: &Record, trouble: bool) -> std::io::Result<Verdict> {
    let cluster = Cluster::start(record, ENTRIES, RUNNERS)?;
    cluster.configure(3);
    std::thread::sleep(Duration::from_secs(6));
    // Each member takes all accelerators of its runner.
    let gang = json!({"spec": "work=15000 saves members=2", "phases": [{"task_count": 2, "cpu": 8000, "mem_mb": 1024,
        "gpus": 8, "estimated_ms": 15000, "gang": true, "checkpointable": true}]});
    if !cluster.submit(JOB, &gang) {
        return Ok(Verdict::NotRun("the job was not accepted".to_owned()));
    }
    std::thread::sleep(Duration::from_secs(4));
    let Some(cut) = cluster.runners.iter().position(|runner| runner.runs(JOB)) else {
        return Ok(Verdict::NotRun("the job did not begin".to_owned()));
    };
    let id = cluster.runners[cut].facts.id.clone();
    if trouble {
        cluster.signal_agent(cut, "STOP");
        cluster.gangs.cut(&id, true);
        record.write(&format!("the machine of {id} is cut off"));
    }
    let started = Instant::now();
    let mut healed = !trouble;
    let mut asked = Instant::now();
    let mut broken: Option<String> = None;
    while started.elapsed() < OBSERVATION {
        std::thread::sleep(Duration::from_millis(5));
        let twice = cluster.task_run_twice();
        if let Some(twice) = twice.filter(|_| broken.is_none()) {
            record.write(&format!("two runs of one task are active: {twice}"));
            broken = Some(twice);
        }
        if broken.is_some() && started.elapsed() > CUT + AFTERMATH {
            return Ok(Verdict::Broken(broken.unwrap_or_default()));
        }
        if !healed && started.elapsed() > CUT {
            healed = true;
            cluster.gangs.cut(&id, false);
            cluster.signal_agent(cut, "CONT");
            record.write(&format!("the cut of {id} has ended"));
        }
        if healed && asked.elapsed() > Duration::from_millis(500) {
            asked = Instant::now();
            if cluster.state(0, JOB).as_deref() == Some("completed") {
                return Ok(Verdict::Held);
            }
        }
    }
    Ok(Verdict::NotRun("the job has not ended".to_owned()))
}
