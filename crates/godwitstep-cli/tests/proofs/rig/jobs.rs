//! Jobs as operators submit and see them.

use super::Cluster;
use super::operator::get;
use serde_json::{Value, json};

/// Returns a job of a gang with some tasks of some accelerators each, in one failure domain or
/// across them.
pub fn job(name: &str, workspace: &str, (tasks, accelerators): (u32, u32), run_s: u32) -> Value {
    json!({
        "kind": "job", "name": name,
        "spec": {
            "workspace": workspace, "kind": "normal",
            "shape": { "tasks": tasks, "accelerators": accelerators, "adjacency": "any" },
            "run_s": run_s, "checkpointable": true, "preemptible": true, "idempotent": true,
        },
    })
}

/// Returns the phase of a job as any entry that answers shows it; empty if none does.
pub fn job_phase(cluster: &Cluster, name: &str) -> String {
    let path = format!("/v1/jobs/{name}");
    let shown = cluster
        .entries
        .iter()
        .map(|entry| get(entry.operators, &path));
    let mut phase = shown.filter_map(|job| Some(job["status"]["phase"].as_str()?.to_owned()));
    phase.next_back().unwrap_or_default()
}
