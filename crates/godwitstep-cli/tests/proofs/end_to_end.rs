//! Requests and jobs from submission to their end, with separate processes and no faults but one
//! killed entry.

use crate::fixture::{
    Cluster, ClusterConfig, RequestSpec, WAIT_TIMEOUT, job_document, job_phase, send_request,
    wait_until,
};
use serde_json::json;

/// Guards against a path that works only inside one process.
#[test]
fn requests_are_answered_and_a_gang_runs_across_separate_processes() {
    let cluster = Cluster::start_serving(ClusterConfig {
        entries: 2,
        ..ClusterConfig::default()
    });
    for entry in &cluster.entries {
        for kind in ["urgent", "normal", "patient"] {
            let request = RequestSpec::new(format!("{}-{kind}", entry.node.name), 5).kind(kind);
            let reply = send_request(entry.caller_address, &request).expect("an answer");
            assert_eq!((reply.status, &*reply.outcome), (200, "answered"));
            assert_eq!(reply.body, request.body.as_bytes());
            assert_eq!(cluster.run_count(&request.key), 1);
        }
    }
    // Two tasks of 8 accelerators do not fit on one worker.
    cluster.apply(&json!([job_document("gang", "airfield-socks", (2, 8), 2)]));
    wait_until("the gang is done", WAIT_TIMEOUT, || {
        job_phase(&cluster, "gang") == "done"
    });
    let used_agents = cluster
        .agents
        .iter()
        .filter(|agent| !agent.tasks().is_empty());
    assert_eq!(used_agents.count(), 2, "one part on each of two workers");
    let task_counts = cluster.agents.iter().map(|agent| agent.tasks().len());
    assert_eq!(task_counts.sum::<usize>(), 2, "each part ran once");
}

/// Guards against a retry through another entry that runs the request again or receives an
/// incomplete answer, after the first entry was killed while the request ran.
#[test]
fn a_retry_after_an_entry_is_killed_returns_the_answer_of_the_first_run() {
    let mut cluster = Cluster::start_serving(ClusterConfig {
        entries: 2,
        ..ClusterConfig::default()
    });
    let request = RequestSpec::new("of-killed-entry", 1_500);
    let (first_entry, second_entry) = (
        cluster.entries[0].caller_address,
        cluster.entries[1].caller_address,
    );
    let first_attempt = std::thread::spawn({
        let request = request.clone();
        move || send_request(first_entry, &request)
    });
    wait_until("the request runs", WAIT_TIMEOUT, || {
        cluster.run_count(&request.key) == 1
    });
    cluster.entries[0].node.process.kill();
    assert!(first_attempt.join().expect("the caller ends").is_err());
    let retry = request.clone().next_attempt();
    let reply = send_request(second_entry, &retry).expect("an answer");
    assert_eq!((reply.status, &*reply.outcome), (200, "answered"));
    assert_eq!(reply.body, request.body.as_bytes());
    assert_eq!(cluster.run_count(&request.key), 1);
}
