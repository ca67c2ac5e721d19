//! R5: when a caller is told that its request was not run, it was not run.

use crate::rig::{Ask, Cluster, Load, PATIENCE, Plan, Record, wait_until};
use std::collections::{BTreeMap, BTreeSet};

/// Guards against a refusal that is told although a target, an agent or a link died with the
/// request on it.
#[test]
fn not_run_is_true_under_kills_and_full_queues() {
    let mut cluster = Cluster::serving(Plan {
        slots: 2,
        ..Plan::default()
    });
    // 90 callers on 6 slots: most requests wait, and many can't meet their deadline.
    let load = Load::start(&cluster.callers(), 90, true, |number| {
        let ask = Ask::new(format!("full-{number}"), 40).deadline_ms(400);
        if number.is_multiple_of(4) {
            ask.idempotent()
        } else {
            ask
        }
    });
    for round in 0..4 {
        let goal = (round + 1) * 150;
        wait_until("answers come", PATIENCE, || load.answered() >= goal);
        let settings = cluster.target_settings();
        let agent = &mut cluster.agents[1];
        let listen = agent.target.as_ref().expect("a target").address;
        agent.kill_target();
        agent.restart_target(godwitstep_standin::target::Settings { listen, ..settings });
        let node = &mut cluster.agents[2].node;
        node.process.kill();
        node.restart();
        let agent = &cluster.agents[0];
        let way = if round.is_multiple_of(2) {
            &agent.target_link
        } else {
            &agent.entries[0]
        };
        way.control(&godwitstep_standin::proxy::Control {
            reset: true,
            ..godwitstep_standin::proxy::Control::default()
        });
    }
    let records = load.stop();
    let starts = starts(&cluster);
    let runs = cluster.agents.iter().flat_map(crate::rig::Agent::runs);
    let requests: BTreeSet<_> = runs.map(|run| run.request).collect();
    let mut outcomes = BTreeMap::<&str, usize>::new();
    for record in &records {
        *outcomes.entry(record.last()).or_default() += 1;
        // An idempotent key may have run in an earlier attempt, so the attempt itself counts.
        let ran = if record.ask.idempotent {
            let attempts = record.not_run.iter();
            attempts
                .filter(|attempt| requests.contains(*attempt))
                .count()
        } else if record.not_run.is_empty() {
            0
        } else {
            starts.get(&record.ask.key).copied().unwrap_or_default()
        };
        assert!(ran == 0, "told not_run, ran {ran} times: {record:?}");
    }
    println!("{outcomes:?}");
    let refused = records.iter().filter(|record| record.last() == "not_run");
    assert!(refused.count() > 100, "refusals were met: {outcomes:?}");
    assert!(records.iter().any(lost), "losses were met: {outcomes:?}");
}

fn lost(record: &Record) -> bool {
    record.outcomes.iter().any(|outcome| outcome == "unknown")
}

/// Returns how often each key was started.
pub fn starts(cluster: &Cluster) -> BTreeMap<String, usize> {
    let mut starts = BTreeMap::new();
    for run in cluster.agents.iter().flat_map(crate::rig::Agent::runs) {
        let key = run.key.trim_start_matches("airfield-socks/").to_owned();
        *starts.entry(key).or_default() += 1;
    }
    starts
}
