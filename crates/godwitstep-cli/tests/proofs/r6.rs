//! R6: a non-idempotent request runs at most once.

use crate::fixture::{
    Cluster, ClusterConfig, LoadGenerator, RequestSpec, WAIT_TIMEOUT, wait_until,
};
use crate::r5::run_counts;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Guards against a retry that runs a request again while a suspended or restarted entry or agent,
/// or a frame in flight, still carries the first attempt.
#[test]
fn retries_through_several_entries_run_a_request_at_most_once() {
    let mut cluster = Cluster::start_serving(ClusterConfig::default());
    let load = LoadGenerator::start(&cluster.proxied_caller_addresses(), 24, true, |number| {
        RequestSpec::new(format!("once-{number}"), 60).deadline_ms(3_000)
    });
    for round in 0..3_u64 {
        let goal = (round + 1) * 120;
        wait_until("requests are answered", WAIT_TIMEOUT, || {
            load.answered() >= goal
        });
        let entry = &mut cluster.entries[usize::try_from(round).expect("small")].node;
        entry.process.kill();
        // Longer than the idle timeout of a link, so that the links of the suspended process are
        // closed and its requests are retried.
        suspend_briefly(&cluster.agents[0].node.process);
        entry_for_round(&mut cluster, round).restart();
        suspend_briefly(
            &cluster.entries[(usize::try_from(round).expect("small") + 1) % 3]
                .node
                .process,
        );
        let settings = cluster.target_settings();
        let agent = &mut cluster.agents[1];
        let listen = agent.target.as_ref().expect("a target").address;
        agent.kill_target();
        agent.restart_target(godwitstep_standin::target::Settings { listen, ..settings });
        agent.node.process.kill();
        agent.node.restart();
        cluster.wait_until_ready();
    }
    let records = load.stop();
    let run_counts = run_counts(&cluster);
    let mut outcomes = BTreeMap::<&str, usize>::new();
    for record in &records {
        *outcomes.entry(record.final_outcome()).or_default() += 1;
        let ran = run_counts
            .get(&record.request.key)
            .copied()
            .unwrap_or_default();
        assert!(ran <= 1, "ran {ran} times: {record:?}");
        assert!(
            record.final_outcome() != "answered" || ran == 1,
            "ran {ran} times: {record:?}"
        );
    }
    println!("{outcomes:?}");
    let retried = records
        .iter()
        .filter(|record| record.outcomes.len() > 1)
        .count();
    assert!(retried > 20, "enough requests were retried: {retried}");
}

/// Returns the entry that is killed and restarted in a round.
fn entry_for_round(cluster: &mut Cluster, round: u64) -> &mut crate::fixture::Node {
    &mut cluster.entries[usize::try_from(round).expect("small")].node
}

/// Suspends a process for longer than the idle timeout of a link.
fn suspend_briefly(process: &crate::fixture::Process) {
    process.suspend();
    let start = Instant::now();
    wait_until("the suspension ends", WAIT_TIMEOUT, || {
        start.elapsed() > Duration::from_millis(2_500)
    });
    process.resume();
}
