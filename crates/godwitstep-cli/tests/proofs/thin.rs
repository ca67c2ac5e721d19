//! The whole path with separate processes.

use crate::rig::{Ask, Cluster, PATIENCE, Plan, ask, job, job_phase, wait_until};
use serde_json::json;

/// Guards against a path that works only inside one process.
#[test]
fn requests_and_a_gang_are_served_by_separate_processes() {
    let cluster = Cluster::serving(Plan {
        entries: 2,
        ..Plan::default()
    });
    for entry in &cluster.entries {
        for kind in ["urgent", "normal", "patient"] {
            let sent = Ask::new(format!("{}-{kind}", entry.node.name), 5).kind(kind);
            let reply = ask(entry.callers, &sent).expect("an answer");
            assert_eq!((reply.status, &*reply.outcome), (200, "answered"));
            assert_eq!(reply.body, sent.body.as_bytes());
            assert_eq!(cluster.starts(&sent.key), 1);
        }
    }
    // Two tasks of 8 accelerators do not fit one worker.
    cluster.apply(&json!([job("gang", "airfield-socks", (2, 8), 2)]));
    wait_until("the gang is done", PATIENCE, || {
        job_phase(&cluster, "gang") == "done"
    });
    let used = cluster
        .agents
        .iter()
        .filter(|agent| !agent.tasks().is_empty());
    assert_eq!(used.count(), 2, "one part on each of two workers");
    let tasks = cluster.agents.iter().map(|agent| agent.tasks().len());
    assert_eq!(tasks.sum::<usize>(), 2, "each part ran once");
}

/// Guards against a retry that runs a request again, or that gets less than its whole answer.
#[test]
fn the_caller_of_a_killed_entry_gets_its_answer_elsewhere() {
    let mut cluster = Cluster::serving(Plan {
        entries: 2,
        ..Plan::default()
    });
    let sent = Ask::new("of-killed-entry", 1_500);
    let (first, second) = (cluster.entries[0].callers, cluster.entries[1].callers);
    let broken = std::thread::spawn({
        let sent = sent.clone();
        move || ask(first, &sent)
    });
    wait_until("the request runs", PATIENCE, || {
        cluster.starts(&sent.key) == 1
    });
    cluster.entries[0].node.process.kill();
    assert!(broken.join().expect("the caller ends").is_err());
    let again = sent.clone().again();
    let reply = ask(second, &again).expect("an answer");
    assert_eq!((reply.status, &*reply.outcome), (200, "answered"));
    assert_eq!(reply.body, sent.body.as_bytes());
    assert_eq!(cluster.starts(&sent.key), 1);
}
