//! R6: a non-idempotent request runs at most once.

use crate::r5::starts;
use crate::rig::{Ask, Cluster, Load, PATIENCE, Plan, wait_until};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Guards against a retry that runs a request which an entry, an agent or a frame on its way still
/// has.
#[test]
fn retries_over_several_entries_run_a_request_once() {
    let mut cluster = Cluster::serving(Plan::default());
    let load = Load::start(&cluster.callers(), 24, true, |number| {
        Ask::new(format!("once-{number}"), 60).deadline_ms(3_000)
    });
    for round in 0..3_u64 {
        let goal = (round + 1) * 120;
        wait_until("answers come", PATIENCE, || load.answered() >= goal);
        let entry = &mut cluster.entries[usize::try_from(round).expect("small")].node;
        entry.process.kill();
        // Long enough that its links are given up and its requests are retried.
        pause(&cluster.agents[0].node.process);
        entry_of(&mut cluster, round).restart();
        pause(
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
        cluster.settle();
    }
    let records = load.stop();
    let starts = starts(&cluster);
    let mut outcomes = BTreeMap::<&str, usize>::new();
    for record in &records {
        *outcomes.entry(record.last()).or_default() += 1;
        let ran = starts.get(&record.ask.key).copied().unwrap_or_default();
        assert!(ran <= 1, "ran {ran} times: {record:?}");
        assert!(
            record.last() != "answered" || ran == 1,
            "ran {ran} times: {record:?}"
        );
    }
    println!("{outcomes:?}");
    let retried = records
        .iter()
        .filter(|record| record.outcomes.len() > 1)
        .count();
    assert!(retried > 20, "retries were met: {retried}");
}

fn entry_of(cluster: &mut Cluster, round: u64) -> &mut crate::rig::Node {
    &mut cluster.entries[usize::try_from(round).expect("small")].node
}

/// Freezes a process for longer than a link may be silent.
fn pause(process: &crate::rig::Process) {
    process.freeze();
    let start = Instant::now();
    wait_until("the pause is over", PATIENCE, || {
        start.elapsed() > Duration::from_millis(2_500)
    });
    process.thaw();
}
