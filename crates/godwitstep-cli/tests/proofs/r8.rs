//! R8: a planned stop is a graceful shutdown and interrupts no request in progress.

use crate::fixture::{
    Cluster, ClusterConfig, LoadGenerator, RequestSpec, WAIT_TIMEOUT, wait_until,
};

/// Guards against requests that are interrupted when an entry or an agent shuts down gracefully
/// under load.
#[test]
fn a_planned_stop_of_an_entry_or_agent_interrupts_no_request() {
    let mut cluster = Cluster::start_serving(ClusterConfig::default());
    let load = LoadGenerator::start(&cluster.caller_addresses(), 24, false, |number| {
        RequestSpec::new(format!("graceful-{number}"), 150).deadline_ms(5_000)
    });
    wait_until("requests are answered", WAIT_TIMEOUT, || {
        load.answered() > 100
    });
    for index in 0..2 {
        let entry = &mut cluster.entries[index].node;
        entry.process.terminate();
        assert!(entry.process.wait(WAIT_TIMEOUT).success());
        entry.restart();
        cluster.wait_until_ready();
        let agent = &mut cluster.agents[index].node;
        agent.process.terminate();
        assert!(agent.process.wait(WAIT_TIMEOUT).success());
        agent.restart();
        cluster.wait_until_ready();
        let before = load.answered();
        wait_until("more requests are answered", WAIT_TIMEOUT, || {
            load.answered() > before + 100
        });
    }
    let records = load.stop();
    let count = |outcome: &str| {
        let matching = records
            .iter()
            .filter(|record| record.final_outcome() == outcome);
        matching.count()
    };
    let counts = ["answered", "not_run", "refused", "unknown", "broken"]
        .map(|outcome| (outcome, count(outcome)));
    println!("{counts:?}");
    let interrupted = records
        .iter()
        .find(|record| matches!(record.final_outcome(), "unknown" | "broken" | "failed"));
    assert!(interrupted.is_none(), "interrupted: {interrupted:?}");
    for agent in &cluster.agents {
        assert!(agent.runs().iter().all(|run| run.ended.is_some()));
    }
}
