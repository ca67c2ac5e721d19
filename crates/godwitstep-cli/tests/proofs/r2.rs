//! R2: gang scheduling is all-or-nothing: a multi-accelerator job runs with all its parts or not at
//! all.

use crate::fixture::{
    Cluster, ClusterConfig, WAIT_TIMEOUT, cut, heal, job_document, job_phase, millis_between,
    unix_time_us, wait_until,
};
use godwitstep_standin::proxy::{Control, DirectionControl};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a part may run without the rest of its gang: it stops itself 10 s after its
/// commit if it is not settled, and a stop takes up to 1 s to be noticed and carried out. Unit:
/// milliseconds.
const PARTIAL_GANG_LIMIT_MS: i64 = 12_000;
/// The same limit after the other part was lost with its worker: the agent considers the worker
/// lost when its lease of 10 s expires, and the decider waits for another 10 s, because the lease
/// may expire earlier in the agent's view than in the worker's. Unit: milliseconds.
const WORKER_LOSS_LIMIT_MS: i64 = 22_000;

/// Returns the runs of the job's parts by attempt: index of the agent, start and end.
fn runs_by_attempt(cluster: &Cluster, name: &str) -> BTreeMap<u32, Vec<(usize, u64, Option<u64>)>> {
    let mut attempts = BTreeMap::<u32, Vec<_>>::new();
    for (index, agent) in cluster.agents.iter().enumerate() {
        for task in agent.tasks() {
            let mut fields = task.task.split('~');
            if fields.next() == Some(name) {
                let attempt = fields.next().and_then(|text| text.parse().ok());
                let runs = attempts.entry(attempt.expect("a number")).or_default();
                runs.push((index, task.started, task.ended));
            }
        }
    }
    attempts
}

/// Returns the longest time for which only one of the two parts of an attempt ran. Unit:
/// milliseconds.
fn longest_partial_run(runs: &[(usize, u64, Option<u64>)], now: u64) -> i64 {
    let end = |run: &(usize, u64, Option<u64>)| run.2.unwrap_or(now);
    match runs {
        [only] => millis_between(only.1, end(only)),
        [one, other] => {
            let overlap = (one.1.max(other.1), end(one).min(end(other)));
            let before =
                millis_between(one.1.min(other.1), overlap.0.min(end(one).max(end(other))));
            let after = millis_between(overlap.1.max(overlap.0), end(one).max(end(other)));
            before.max(after)
        }
        _ => panic!("a part ran twice in one attempt: {runs:?}"),
    }
}

/// Waits until a job of two parts is done. Checks that no attempt ran with one part for longer than
/// the limit, that the last attempt ran both parts on two workers, and that attempts do not
/// overlap.
fn check_gang(cluster: &Cluster, name: &str, limit_ms: i64) {
    wait_until(&format!("{name} is done"), 2 * WAIT_TIMEOUT, || {
        job_phase(cluster, name) == "done"
    });
    let attempts = runs_by_attempt(cluster, name);
    let now = unix_time_us();
    for (attempt, runs) in &attempts {
        let partial_ms = longest_partial_run(runs, now);
        println!(
            "{name} attempt {attempt}: {} parts, incomplete for {partial_ms} ms",
            runs.len()
        );
        assert!(
            partial_ms <= limit_ms,
            "{name} attempt {attempt}: the gang was incomplete for {partial_ms} ms"
        );
    }
    let last = attempts.values().last().expect("an attempt");
    let workers: BTreeSet<_> = last.iter().map(|run| run.0).collect();
    assert_eq!(
        (last.len(), workers.len()),
        (2, 2),
        "the last attempt ran both parts: {attempts:?}"
    );
    let ends: Vec<_> = last.iter().map(|run| run.2.unwrap_or(now)).collect();
    for (attempt, runs) in &attempts {
        let overlap = runs.iter().any(|run| {
            attempts.iter().any(|(other, others)| {
                other > attempt && others.iter().any(|later| later.1 < run.2.unwrap_or(now))
            })
        });
        assert!(
            !overlap,
            "{name}: parts of two attempts overlap: {attempts:?}"
        );
    }
    assert!(ends.iter().all(|end| *end <= now));
}

/// Guards against a gang that runs incomplete because a message of its start was lost. Each round
/// cuts one agent off at another step of the start.
#[test]
fn a_gang_interrupted_at_any_step_of_its_start_runs_with_all_parts() {
    let cluster = Cluster::start_serving(ClusterConfig {
        agents: 2,
        ..ClusterConfig::default()
    });
    // Each message takes 150 ms, so that the times of the steps are known: the hold is requested
    // and granted by 300 ms, the record, the commit and the start follow by 600 ms, and the gang is
    // settled by 750 ms.
    let delay = DirectionControl {
        delay_ms: Some(150),
        ..DirectionControl::default()
    };
    let delay_both_ways = Control {
        forward: delay,
        backward: delay,
        ..Control::default()
    };
    for (number, after_ms) in [100_u64, 250, 400, 550, 700, 900].into_iter().enumerate() {
        for proxy in cluster.agents.iter().flat_map(|agent| &agent.entry_proxies) {
            proxy.control(&delay_both_ways);
        }
        let name = format!("cut-{number}");
        cluster.apply(&json!([job_document(&name, "airfield-socks", (2, 8), 4)]));
        let submitted_us = unix_time_us();
        wait_until("the step is reached", WAIT_TIMEOUT, || {
            unix_time_us() > submitted_us + after_ms * 1000
        });
        for proxy in &cluster.agents[1].entry_proxies {
            cut(proxy);
        }
        wait_until("the interruption ends", WAIT_TIMEOUT, || {
            unix_time_us() > submitted_us + 4_000_000
        });
        for proxy in cluster.agents.iter().flat_map(|agent| &agent.entry_proxies) {
            heal(proxy);
        }
        check_gang(&cluster, &name, PARTIAL_GANG_LIMIT_MS);
    }
}

/// Guards against a gang that continues without a part whose worker was killed.
#[test]
fn a_gang_that_loses_a_worker_is_requeued_with_all_parts() {
    let mut cluster = Cluster::start_serving(ClusterConfig::default());
    cluster.apply(&json!([job_document("loss", "airfield-socks", (2, 8), 26)]));
    wait_until("both parts run", WAIT_TIMEOUT, || {
        runs_by_attempt(&cluster, "loss")
            .values()
            .any(|runs| runs.len() == 2)
    });
    let index = runs_by_attempt(&cluster, "loss")[&1][0].0;
    cluster.agents[index].kill_worker();
    check_gang(&cluster, "loss", WORKER_LOSS_LIMIT_MS);
    assert!(
        runs_by_attempt(&cluster, "loss").len() >= 2,
        "it was started again"
    );
}

/// Waits until both parts run, and returns the index of an agent that runs one of them.
fn wait_for_both_parts(cluster: &Cluster, name: &str) -> usize {
    wait_until("both parts run", WAIT_TIMEOUT, || {
        runs_by_attempt(cluster, name)
            .values()
            .any(|runs| runs.len() == 2)
    });
    runs_by_attempt(cluster, name)[&1][1].0
}

/// Disconnects an agent from all entries for a time.
fn disconnect_for(cluster: &Cluster, agent: usize, seconds: u64) {
    let cut_us = unix_time_us();
    cluster.agents[agent].entry_proxies.iter().for_each(cut);
    wait_until("the disconnection ends", WAIT_TIMEOUT, || {
        unix_time_us() > cut_us + seconds * 1_000_000
    });
    cluster.agents[agent].entry_proxies.iter().for_each(heal);
}

/// Guards against a committed part that runs on although it never receives the settlement of its
/// gang.
#[test]
fn a_part_disconnected_before_settlement_stops_itself() {
    let cluster = Cluster::start_serving(ClusterConfig::default());
    let delay = DirectionControl {
        delay_ms: Some(300),
        ..DirectionControl::default()
    };
    let delay_both_ways = Control {
        forward: delay,
        backward: delay,
        ..Control::default()
    };
    for proxy in cluster.agents.iter().flat_map(|agent| &agent.entry_proxies) {
        proxy.control(&delay_both_ways);
    }
    cluster.apply(&json!([job_document(
        "unsettled",
        "airfield-socks",
        (2, 8),
        20
    )]));
    // The report of the start and the settlement take 600 ms from here.
    let agent = wait_for_both_parts(&cluster, "unsettled");
    disconnect_for(&cluster, agent, 16);
    cluster
        .agents
        .iter()
        .flat_map(|agent| &agent.entry_proxies)
        .for_each(heal);
    check_gang(&cluster, "unsettled", PARTIAL_GANG_LIMIT_MS);
}

/// Guards against a settled part that continues on a disconnected agent while its gang starts
/// elsewhere.
#[test]
fn a_part_disconnected_after_settlement_does_not_run_without_its_gang() {
    let cluster = Cluster::start_serving(ClusterConfig::default());
    cluster.apply(&json!([job_document(
        "settled",
        "airfield-socks",
        (2, 8),
        36
    )]));
    let agent = wait_for_both_parts(&cluster, "settled");
    let started_us = unix_time_us();
    wait_until("the gang is settled", WAIT_TIMEOUT, || {
        unix_time_us() > started_us + 3_000_000
    });
    disconnect_for(&cluster, agent, 30);
    check_gang(&cluster, "settled", WORKER_LOSS_LIMIT_MS);
}
