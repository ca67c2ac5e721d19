//! Clients of two tenants choose the same ID for jobs in different queues.

use crate::Verdict;
use crate::cluster::{Cluster, NORTH, SOUTH};
use crate::record::Record;
use serde_json::{Value, json};
use std::time::Duration;

const ENTRIES: usize = 3;
const RUNNERS: usize = 5;
/// Time after the end of the traffic from which on a job may not wait beside idle runners; `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job whose turn has come may have nothing running.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Time from a cancel until its effect is asked for.
const EFFECT: Duration = Duration::from_secs(4);
const ID: &str = "0000000000000001";
const OTHER_ID: &str = "0000000000000002";
const NORTH_SPEC: &str = "work=60000 north";
const SOUTH_SPEC: &str = "work=5000 south";

fn job(spec: &str) -> String {
    json!({"spec": spec, "phases": [{"task_count": 1, "cpu": 8000, "mem_mb": 1024, "gpus": 1, "estimated_ms": 5000}]})
        .to_string()
}

pub fn run(record: &Record, trouble: bool) -> std::io::Result<Verdict> {
    let cluster = Cluster::start(record, ENTRIES, RUNNERS)?;
    cluster.configure(3);
    std::thread::sleep(Duration::from_secs(6));
    let (north, south) = (
        format!("/seam/{ID}"),
        format!("/fade/{}", if trouble { ID } else { OTHER_ID }),
    );
    let accepted = |answer: Option<(u16, String)>| answer.is_some_and(|(status, _)| status == 200);
    if !accepted(cluster.call_as(NORTH, 0, "POST", &north, &job(NORTH_SPEC))) {
        return Ok(Verdict::NotRun("the first job was not accepted".to_owned()));
    }
    std::thread::sleep(Duration::from_secs(1));
    if !accepted(cluster.call_as(SOUTH, 1, "POST", &south, &job(SOUTH_SPEC))) {
        // A job that isn't accepted needn't run.
        return Ok(Verdict::Held);
    }
    record.write("the traffic ends");
    std::thread::sleep(FINISH + MAX_IDLE);
    let begun = cluster
        .runners
        .iter()
        .any(|runner| runner.has_begun(SOUTH_SPEC));
    cluster.call_as(SOUTH, 2, "GET", &south, "");
    cluster.call_as(SOUTH, 1, "DELETE", &south, "");
    std::thread::sleep(EFFECT);
    let state = cluster
        .call_as(NORTH, 0, "GET", &north, "")
        .and_then(|(_, body)| {
            let body: Value = serde_json::from_str(&body).ok()?;
            body["state"].as_str().map(str::to_owned)
        });
    let mut broken = Vec::new();
    if !begun {
        broken.push("the job of `south`, which was accepted, has never begun on idle runners");
    }
    if state.as_deref() == Some("canceled") {
        broken.push(
            "the job of `north` is shown as canceled, though only `south` has cancelled its own",
        );
    }
    Ok(if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(broken.join("; "))
    })
}
