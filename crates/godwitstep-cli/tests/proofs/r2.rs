//! R2: a multi-accelerator job runs with all its parts or not at all.

use crate::rig::{
    Cluster, PATIENCE, Plan, cut, heal, job, job_phase, millis_between, wait_until, wall_us,
};
use godwitstep_standin::proxy::{Control, DirectionControl};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a part may run without its gang: it stops itself 10 s after its commit if it is
/// not settled, and a stop takes up to 1 s to be noticed and carried out. Unit: milliseconds.
const BOUND: i64 = 12_000;
/// The same for a part whose fellow part was lost with its worker: the agent gives the worker up
/// when its lease of 10 s lapses, and the decider waits for as long again, because the agent's view
/// of the lease may be shorter than the worker's. Unit: milliseconds.
const LOSS_BOUND: i64 = 22_000;

/// Start and end of one part by agent, of each attempt.
fn attempts(cluster: &Cluster, name: &str) -> BTreeMap<u32, Vec<(usize, u64, Option<u64>)>> {
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

/// Returns the longest time for which some but not both parts of an attempt ran.
fn longest_alone(runs: &[(usize, u64, Option<u64>)], now: u64) -> i64 {
    let end = |run: &(usize, u64, Option<u64>)| run.2.unwrap_or(now);
    match runs {
        [only] => millis_between(only.1, end(only)),
        [one, other] => {
            let both = (one.1.max(other.1), end(one).min(end(other)));
            let before = millis_between(one.1.min(other.1), both.0.min(end(one).max(end(other))));
            let after = millis_between(both.1.max(both.0), end(one).max(end(other)));
            before.max(after)
        }
        _ => panic!("a part ran twice in one attempt: {runs:?}"),
    }
}

fn check(cluster: &Cluster, name: &str, bound: i64) {
    wait_until(&format!("{name} is done"), 2 * PATIENCE, || {
        job_phase(cluster, name) == "done"
    });
    let attempts = attempts(cluster, name);
    let now = wall_us();
    for (attempt, runs) in &attempts {
        let alone = longest_alone(runs, now);
        println!(
            "{name} attempt {attempt}: {} parts, alone for {alone} ms",
            runs.len()
        );
        assert!(
            alone <= bound,
            "{name} attempt {attempt}: a part alone for {alone} ms"
        );
    }
    let last = attempts.values().last().expect("an attempt");
    let workers: BTreeSet<_> = last.iter().map(|run| run.0).collect();
    assert_eq!(
        (last.len(), workers.len()),
        (2, 2),
        "the last attempt ran whole: {attempts:?}"
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
            "{name}: parts of two attempts ran at once: {attempts:?}"
        );
    }
    assert!(ends.iter().all(|end| *end <= now));
}

/// Guards against a gang that runs in part because a message of its start was lost.
#[test]
fn a_gang_whose_start_is_cut_at_any_step_runs_whole() {
    let cluster = Cluster::serving(Plan {
        agents: 2,
        ..Plan::default()
    });
    // Each message takes 150 ms, so the steps follow each other in known order: hold asked for
    // and granted by 300 ms, record, commit and start by 600 ms, settled by 750 ms.
    let slow = DirectionControl {
        delay_ms: Some(150),
        ..DirectionControl::default()
    };
    let slow = Control {
        forward: slow,
        backward: slow,
        ..Control::default()
    };
    for (number, after_ms) in [100_u64, 250, 400, 550, 700, 900].into_iter().enumerate() {
        for way in cluster.agents.iter().flat_map(|agent| &agent.entries) {
            way.control(&slow);
        }
        let name = format!("cut-{number}");
        cluster.apply(&json!([job(&name, "airfield-socks", (2, 8), 4)]));
        let submitted = wall_us();
        wait_until("the step", PATIENCE, || {
            wall_us() > submitted + after_ms * 1000
        });
        for way in &cluster.agents[1].entries {
            cut(way);
        }
        wait_until("the cut is long", PATIENCE, || {
            wall_us() > submitted + 4_000_000
        });
        for way in cluster.agents.iter().flat_map(|agent| &agent.entries) {
            heal(way);
        }
        check(&cluster, &name, BOUND);
    }
}

/// Guards against a gang that goes on without a part whose worker died.
#[test]
fn a_gang_that_loses_a_worker_is_requeued_whole() {
    let mut cluster = Cluster::serving(Plan::default());
    cluster.apply(&json!([job("loss", "airfield-socks", (2, 8), 26)]));
    wait_until("both parts run", PATIENCE, || {
        attempts(&cluster, "loss")
            .values()
            .any(|runs| runs.len() == 2)
    });
    let index = attempts(&cluster, "loss")[&1][0].0;
    cluster.agents[index].kill_worker();
    check(&cluster, "loss", LOSS_BOUND);
    assert!(
        attempts(&cluster, "loss").len() >= 2,
        "it was started again"
    );
}

/// Waits until both parts run, and returns an agent that has one of them.
fn started(cluster: &Cluster, name: &str) -> usize {
    wait_until("both parts run", PATIENCE, || {
        attempts(cluster, name).values().any(|runs| runs.len() == 2)
    });
    attempts(cluster, name)[&1][1].0
}

/// Cuts an agent off from all entries for a time.
fn cut_off(cluster: &Cluster, agent: usize, seconds: u64) {
    let since = wall_us();
    cluster.agents[agent].entries.iter().for_each(cut);
    wait_until("the cut is long", PATIENCE, || {
        wall_us() > since + seconds * 1_000_000
    });
    cluster.agents[agent].entries.iter().for_each(heal);
}

/// Guards against a committed part that never hears whether its gang runs.
#[test]
fn a_part_that_is_cut_off_before_it_is_settled_stops_itself() {
    let cluster = Cluster::serving(Plan::default());
    let slow = DirectionControl {
        delay_ms: Some(300),
        ..DirectionControl::default()
    };
    let slow = Control {
        forward: slow,
        backward: slow,
        ..Control::default()
    };
    for way in cluster.agents.iter().flat_map(|agent| &agent.entries) {
        way.control(&slow);
    }
    cluster.apply(&json!([job("unsettled", "airfield-socks", (2, 8), 20)]));
    // The report of the start and the settlement take 600 ms from here.
    let agent = started(&cluster, "unsettled");
    cut_off(&cluster, agent, 16);
    cluster
        .agents
        .iter()
        .flat_map(|agent| &agent.entries)
        .for_each(heal);
    check(&cluster, "unsettled", BOUND);
}

/// Guards against a settled part that goes on behind a cut while its gang starts elsewhere.
#[test]
fn a_part_that_is_cut_off_after_it_was_settled_does_not_go_on_alone() {
    let cluster = Cluster::serving(Plan::default());
    cluster.apply(&json!([job("settled", "airfield-socks", (2, 8), 36)]));
    let agent = started(&cluster, "settled");
    let since = wall_us();
    wait_until("the gang is settled", PATIENCE, || {
        wall_us() > since + 3_000_000
    });
    cut_off(&cluster, agent, 30);
    check(&cluster, "settled", LOSS_BOUND);
}
