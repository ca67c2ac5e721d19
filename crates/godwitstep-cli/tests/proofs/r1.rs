//! R1: a workspace's guaranteed shape of accelerators can always be reclaimed, even while others
//! are borrowing it.

use crate::fixture::{
    Cluster, ClusterConfig, WAIT_TIMEOUT, job_document, job_phase, millis_between, unix_time_us,
    wait_until, workspace_document,
};
use godwitstep_standin::worker::Control;
use serde_json::{Value, json};

/// Time within which a guarantee is reclaimed. Unit: milliseconds.
const RECLAIM_LIMIT_MS: i64 = 30_000;
/// Time within which another entry takes over from a killed decider. Unit: milliseconds.
const TAKEOVER_LIMIT_MS: i64 = 8_000;

/// Starts a cluster in which jobs of another workspace borrow all accelerators, including the
/// guaranteed ones.
fn start_borrowed_cluster() -> Cluster {
    let cluster = Cluster::start(ClusterConfig::default());
    let guarantee = json!([{
        "shape": { "tasks": 2, "accelerators": 8, "adjacency": "any" }, "count": 1,
    }]);
    let guaranteed_workspace = json!([workspace_document("council-flags", 2, &guarantee)]);
    cluster.apply(&Cluster::resources(&guaranteed_workspace));
    let jobs: Vec<_> = (0..12)
        .map(|number| {
            job_document(
                &format!("borrower-{number}"),
                "airfield-socks",
                (1, 2),
                3_600,
            )
        })
        .collect();
    cluster.apply(&Value::from(jobs));
    wait_until("all accelerators are borrowed", WAIT_TIMEOUT, || {
        let used_accelerators = |agent: &crate::fixture::Agent| {
            let tasks = agent.tasks();
            tasks
                .iter()
                .filter(|task| task.ended.is_none())
                .map(|task| task.accelerators)
                .sum::<u32>()
        };
        cluster
            .agents
            .iter()
            .all(|agent| used_accelerators(agent) == 8)
    });
    cluster
}

/// Waits until both parts of the guaranteed job run, and returns the milliseconds from the
/// submission to the start of the later one.
fn wait_for_reclaim(cluster: &Cluster, submitted_us: u64) -> i64 {
    let part_starts = || {
        let tasks = cluster.agents.iter().flat_map(crate::fixture::Agent::tasks);
        let parts = tasks.filter(|task| task.task.starts_with("claim~") && task.ended.is_none());
        parts.map(|part| part.started).collect::<Vec<_>>()
    };
    wait_until("the guarantee is reclaimed", 2 * WAIT_TIMEOUT, || {
        part_starts().len() == 2
    });
    millis_between(
        submitted_us,
        part_starts().into_iter().max().expect("two parts"),
    )
}

/// Submits a job of the guaranteed shape and returns the time in microseconds since 1970.
fn submit_guaranteed_job(cluster: &Cluster) -> u64 {
    cluster.apply(&json!([job_document(
        "claim",
        "council-flags",
        (2, 8),
        600
    )]));
    unix_time_us()
}

/// Guards against borrowers that keep guaranteed accelerators because their checkpoint never
/// completes.
#[test]
fn a_guarantee_is_reclaimed_from_borrowers_that_hang() {
    let cluster = start_borrowed_cluster();
    for agent in &cluster.agents {
        let worker = agent.worker.as_ref().expect("a worker");
        worker.control(&Control {
            checkpoint_ms: Some(600_000),
            ..Control::default()
        });
    }
    let submitted_us = submit_guaranteed_job(&cluster);
    let took_ms = wait_for_reclaim(&cluster, submitted_us);
    println!("reclaimed after {took_ms} ms");
    assert!(took_ms <= RECLAIM_LIMIT_MS, "reclaimed after {took_ms} ms");
    assert_eq!(job_phase(&cluster, "claim"), "running");
}

/// Guards against a reclaim that is abandoned when the decider that started it is killed.
#[test]
fn a_guarantee_is_reclaimed_after_the_decider_is_killed() {
    let mut cluster = start_borrowed_cluster();
    let submitted_us = submit_guaranteed_job(&cluster);
    let is_decider = |entry: &crate::fixture::Entry| entry.status()["deciding"] == true;
    let index = cluster
        .entries
        .iter()
        .position(is_decider)
        .expect("a decider");
    cluster.entries[index].node.process.kill();
    let took_ms = wait_for_reclaim(&cluster, submitted_us);
    println!("reclaimed after {took_ms} ms");
    assert!(
        took_ms <= RECLAIM_LIMIT_MS + TAKEOVER_LIMIT_MS,
        "reclaimed after {took_ms} ms"
    );
}
