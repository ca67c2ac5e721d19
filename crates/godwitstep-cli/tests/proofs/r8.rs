//! R8: a planned stop is a graceful shutdown and cuts off no request in progress.

use crate::rig::{Ask, Cluster, Load, PATIENCE, Plan, wait_until};

/// Guards against requests that are cut off when an entry or an agent is told to stop under load.
#[test]
fn a_planned_stop_of_entry_and_agent_cuts_off_nothing() {
    let mut cluster = Cluster::serving(Plan::default());
    let load = Load::start(&cluster.direct(), 24, false, |number| {
        Ask::new(format!("graceful-{number}"), 150).deadline_ms(5_000)
    });
    wait_until("work runs", PATIENCE, || load.answered() > 100);
    for index in 0..2 {
        let entry = &mut cluster.entries[index].node;
        entry.process.terminate();
        assert!(entry.process.wait(PATIENCE).success());
        entry.restart();
        cluster.settle();
        let agent = &mut cluster.agents[index].node;
        agent.process.terminate();
        assert!(agent.process.wait(PATIENCE).success());
        agent.restart();
        cluster.settle();
        let before = load.answered();
        wait_until("work goes on", PATIENCE, || load.answered() > before + 100);
    }
    let records = load.stop();
    let cut = |outcome: &str| {
        let found = records.iter().filter(|record| record.last() == outcome);
        found.count()
    };
    let figures = ["answered", "not_run", "refused", "unknown", "broken"].map(|of| (of, cut(of)));
    println!("{figures:?}");
    let cut = records
        .iter()
        .find(|record| matches!(record.last(), "unknown" | "broken" | "failed"));
    assert!(cut.is_none(), "cut off: {cut:?}");
    for agent in &cluster.agents {
        assert!(agent.runs().iter().all(|run| run.ended.is_some()));
    }
}
