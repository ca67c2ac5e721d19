//! Documents of jobs and their phases, as operators submit and read them.

use super::Cluster;
use super::operator_api::get;
use serde_json::{Value, json};

/// Returns the document of a job with some tasks of some accelerators each. The tasks may run in
/// any failure domains.
pub fn job_document(
    name: &str,
    workspace: &str,
    (tasks, accelerators): (u32, u32),
    run_s: u32,
) -> Value {
    json!({
        "kind": "job", "name": name,
        "spec": {
            "workspace": workspace, "kind": "normal",
            "shape": { "tasks": tasks, "accelerators": accelerators, "adjacency": "any" },
            "run_s": run_s, "checkpointable": true, "preemptible": true, "idempotent": true,
        },
    })
}

/// Returns the phase of a job from the last entry that returns one; empty if none does.
pub fn job_phase(cluster: &Cluster, name: &str) -> String {
    let path = format!("/v1/jobs/{name}");
    let documents = cluster
        .entries
        .iter()
        .map(|entry| get(entry.operator_address, &path));
    let mut phases = documents.filter_map(|job| Some(job["status"]["phase"].as_str()?.to_owned()));
    phases.next_back().unwrap_or_default()
}
