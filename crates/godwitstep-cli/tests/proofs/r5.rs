//! R5: a request reported to its caller as not run has not run.

use crate::fixture::{
    Cluster, ClusterConfig, LoadGenerator, RequestRecord, RequestSpec, WAIT_TIMEOUT, wait_until,
};
use std::collections::{BTreeMap, BTreeSet};

/// Guards against the outcome `not_run` for a request that may have run, because a target, an agent
/// or a link failed while it had the request.
#[test]
fn requests_reported_as_not_run_have_not_run_under_kills_and_full_queues() {
    let mut cluster = Cluster::start_serving(ClusterConfig {
        slots: 2,
        ..ClusterConfig::default()
    });
    // 90 callers share 6 slots: most requests wait, and many cannot meet their deadline.
    let load = LoadGenerator::start(&cluster.proxied_caller_addresses(), 90, true, |number| {
        let request = RequestSpec::new(format!("full-{number}"), 40).deadline_ms(400);
        if number.is_multiple_of(4) {
            request.idempotent()
        } else {
            request
        }
    });
    for round in 0..4 {
        let goal = (round + 1) * 150;
        wait_until("requests are answered", WAIT_TIMEOUT, || {
            load.answered() >= goal
        });
        let settings = cluster.target_settings();
        let agent = &mut cluster.agents[1];
        let listen = agent.target.as_ref().expect("a target").address;
        agent.kill_target();
        agent.restart_target(godwitstep_standin::target::Settings { listen, ..settings });
        let node = &mut cluster.agents[2].node;
        node.process.kill();
        node.restart();
        let agent = &cluster.agents[0];
        let proxy = if round.is_multiple_of(2) {
            &agent.target_proxy
        } else {
            &agent.entry_proxies[0]
        };
        proxy.control(&godwitstep_standin::proxy::Control {
            reset: true,
            ..godwitstep_standin::proxy::Control::default()
        });
    }
    let records = load.stop();
    let run_counts = run_counts(&cluster);
    let runs = cluster.agents.iter().flat_map(crate::fixture::Agent::runs);
    let run_requests: BTreeSet<_> = runs.map(|run| run.request).collect();
    let mut outcomes = BTreeMap::<&str, usize>::new();
    for record in &records {
        *outcomes.entry(record.final_outcome()).or_default() += 1;
        // The key of an idempotent request may have run in another attempt, so only the attempts
        // with the outcome not_run are looked up.
        let ran = if record.request.idempotent {
            let attempts = record.not_run.iter();
            attempts
                .filter(|attempt| run_requests.contains(*attempt))
                .count()
        } else if record.not_run.is_empty() {
            0
        } else {
            run_counts
                .get(&record.request.key)
                .copied()
                .unwrap_or_default()
        };
        assert!(ran == 0, "reported as not_run, ran {ran} times: {record:?}");
    }
    println!("{outcomes:?}");
    let refused = records
        .iter()
        .filter(|record| record.final_outcome() == "not_run");
    assert!(
        refused.count() > 100,
        "enough requests were refused: {outcomes:?}"
    );
    assert!(
        records.iter().any(has_unknown_outcome),
        "some outcomes were unknown: {outcomes:?}"
    );
}

fn has_unknown_outcome(record: &RequestRecord) -> bool {
    record.outcomes.iter().any(|outcome| outcome == "unknown")
}

/// Returns how often the targets have started each key.
pub fn run_counts(cluster: &Cluster) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for run in cluster.agents.iter().flat_map(crate::fixture::Agent::runs) {
        let key = run.key.trim_start_matches("airfield-socks/").to_owned();
        *counts.entry(key).or_default() += 1;
    }
    counts
}
