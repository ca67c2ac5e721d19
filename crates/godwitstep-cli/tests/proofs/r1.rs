//! R1: a workspace's guaranteed shape of accelerators can always be reclaimed, even while others
//! are borrowing it.

use crate::rig::{
    Cluster, PATIENCE, Plan, job, job_phase, millis_between, wait_until, wall_us, workspace,
};
use godwitstep_standin::worker::Control;
use serde_json::{Value, json};

/// Time in which a guarantee is reclaimed. Unit: milliseconds.
const BOUND: i64 = 30_000;
/// Time in which another entry takes over from a decider that died. Unit: milliseconds.
const TAKEOVER: i64 = 8_000;

/// Starts a cluster whose accelerators are all borrowed, and returns it.
fn borrowed() -> Cluster {
    let cluster = Cluster::start(Plan::default());
    let guarantee = json!([{
        "shape": { "tasks": 2, "accelerators": 8, "adjacency": "any" }, "count": 1,
    }]);
    let more = json!([workspace("council-flags", 2, &guarantee)]);
    cluster.apply(&Cluster::declarations(&more));
    let jobs: Vec<_> = (0..12)
        .map(|number| {
            job(
                &format!("borrower-{number}"),
                "airfield-socks",
                (1, 2),
                3_600,
            )
        })
        .collect();
    cluster.apply(&Value::from(jobs));
    wait_until("all accelerators are borrowed", PATIENCE, || {
        let running = |agent: &crate::rig::Agent| {
            let tasks = agent.tasks();
            tasks
                .iter()
                .filter(|task| task.ended.is_none())
                .map(|task| task.accelerators)
                .sum::<u32>()
        };
        cluster.agents.iter().all(|agent| running(agent) == 8)
    });
    cluster
}

/// Waits for the claim to run whole and returns how long after a moment its last part started.
fn reclaimed(cluster: &Cluster, since: u64) -> i64 {
    let starts = || {
        let tasks = cluster.agents.iter().flat_map(crate::rig::Agent::tasks);
        let parts = tasks.filter(|task| task.task.starts_with("claim~") && task.ended.is_none());
        parts.map(|part| part.started).collect::<Vec<_>>()
    };
    wait_until("the guarantee is reclaimed", 2 * PATIENCE, || {
        starts().len() == 2
    });
    millis_between(since, starts().into_iter().max().expect("two parts"))
}

fn claim(cluster: &Cluster) -> u64 {
    cluster.apply(&json!([job("claim", "council-flags", (2, 8), 600)]));
    wall_us()
}

/// Guards against borrowers that keep a guarantee because their checkpoint does not end.
#[test]
fn a_guarantee_is_reclaimed_from_borrowers_that_hang() {
    let cluster = borrowed();
    for agent in &cluster.agents {
        let worker = agent.worker.as_ref().expect("a worker");
        worker.control(&Control {
            checkpoint_ms: Some(600_000),
            ..Control::default()
        });
    }
    let since = claim(&cluster);
    let took = reclaimed(&cluster, since);
    println!("reclaimed after {took} ms");
    assert!(took <= BOUND, "reclaimed after {took} ms");
    assert_eq!(job_phase(&cluster, "claim"), "running");
}

/// Guards against a claim that is forgotten with the decider that began it.
#[test]
fn a_guarantee_is_reclaimed_although_the_decider_dies() {
    let mut cluster = borrowed();
    let since = claim(&cluster);
    let deciding = |entry: &crate::rig::Entry| entry.status()["deciding"] == true;
    let index = cluster
        .entries
        .iter()
        .position(deciding)
        .expect("a decider");
    cluster.entries[index].node.process.kill();
    let took = reclaimed(&cluster, since);
    println!("reclaimed after {took} ms");
    assert!(took <= BOUND + TAKEOVER, "reclaimed after {took} ms");
}
