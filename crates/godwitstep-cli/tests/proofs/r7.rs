//! R7: from 2 s after a target starts leaving, it receives no new work.

use crate::rig::{Ask, Cluster, Load, PATIENCE, Plan, ask, millis_between, wait_until, wall_us};
use godwitstep_standin::target::{Condition, Control};

const BOUND: i64 = 2_000;

fn loaded(cluster: &Cluster) -> Load {
    Load::start(&cluster.callers(), 24, false, |number| {
        Ask::new(format!("leaving-{number}"), 30).deadline_ms(3_000)
    })
}

/// Returns the last start at the first target in milliseconds after a moment, once it had no new
/// work for a while and others had much.
fn last_start(cluster: &Cluster, load: &Load, since: u64) -> i64 {
    wait_until("the time is over", PATIENCE, || {
        wall_us() > since + 4_000_000
    });
    let before = load.answered();
    wait_until("work goes on elsewhere", PATIENCE, || {
        load.answered() > before + 100
    });
    let runs = cluster.agents[0].runs();
    let last = runs
        .iter()
        .filter(|run| !run.key.contains("long"))
        .map(|run| run.started)
        .max();
    millis_between(since, last.expect("something started"))
}

/// Guards against work that is sent to a target whose agent was told to stop, and against a stop
/// that cuts off what runs there.
#[test]
fn an_agent_told_to_stop_gets_no_new_work_and_finishes_what_it_has() {
    let mut cluster = Cluster::serving(Plan::default());
    let (entry, long) = (cluster.entries[0].callers, Ask::new("long", 5_000));
    let load = loaded(&cluster);
    let waiting: Vec<_> = (0..3)
        .map(|number| {
            let mut long = long.clone();
            long.key = format!("long-{number}");
            std::thread::spawn(move || ask(entry, &long))
        })
        .collect();
    wait_until("long work runs", PATIENCE, || {
        (0..3).all(|number| cluster.starts(&format!("long-{number}")) == 1)
    });
    let stopped = wall_us();
    cluster.agents[0].node.process.terminate();
    let last = last_start(&cluster, &load, stopped);
    println!("last start {last} ms after the stop");
    for caller in waiting {
        let reply = caller.join().expect("the caller ends").expect("an answer");
        assert_eq!(reply.outcome, "answered");
    }
    let records = load.stop();
    let cut = records
        .iter()
        .find(|record| !matches!(record.last(), "answered"));
    let told = cut.map(|record| &record.reasons);
    assert!(cut.is_none(), "cut off: {cut:?}, told {told:?}");
    assert!(last <= BOUND, "a start {last} ms after the stop");
    assert!(cluster.agents[0].node.process.wait(PATIENCE).success());
    assert!(
        cluster.agents[0]
            .runs()
            .iter()
            .all(|run| run.ended.is_some())
    );
}

/// Guards against work that is sent to a target that says that it leaves, and against a target
/// that stays unused after it came back.
#[test]
fn a_target_that_says_it_leaves_gets_no_new_work_until_it_is_back() {
    let cluster = Cluster::serving(Plan::default());
    let load = loaded(&cluster);
    wait_until("work runs", PATIENCE, || load.answered() > 50);
    let target = cluster.agents[0].target.as_ref().expect("a target");
    let control = |state| Control {
        state: Some(state),
        ..Control::default()
    };
    let left = wall_us();
    target.control(&control(Condition::Leaving));
    let last = last_start(&cluster, &load, left);
    println!("last start {last} ms after the target began to leave");
    assert!(
        last <= BOUND,
        "a start {last} ms after the target began to leave"
    );
    let before = target.ledger().len();
    target.control(&control(Condition::Ready));
    wait_until("the target is used again", PATIENCE, || {
        target.ledger().len() > before + 10
    });
    let records = load.stop();
    let cut = records.iter().find(|record| record.last() != "answered");
    assert!(cut.is_none(), "cut off: {cut:?}");
}
