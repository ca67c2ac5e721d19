//! R3: from 2 s after a failure domain is taken out of service, no task starts in it.

use crate::rig::{
    Ask, Cluster, DOMAINS, Load, PATIENCE, Plan, cut, godwitstep, job, millis_between, wait_until,
    wall_us,
};
use serde_json::Value;
use std::time::Duration;

/// Time after the command in which nothing may start any more. Unit: milliseconds.
const BOUND: i64 = 2_000;

/// Guards against starts on the word of an entry that has not heard of the change, and against
/// requests and jobs that are still on their way.
#[test]
fn nothing_starts_in_a_domain_taken_out_while_an_entry_is_cut_off() {
    let cluster = Cluster::serving(Plan::default());
    let load = loaded(&cluster);
    let jobs: Vec<_> = (0..60)
        .map(|number| job(&format!("small-{number}"), "airfield-socks", (1, 1), 1))
        .collect();
    cluster.apply(&Value::from(jobs));
    wait_until("jobs run in the domain", PATIENCE, || {
        !cluster.agents[0].tasks().is_empty()
    });
    cluster.isolate(2);
    let out = take_out(&cluster, 0);
    let last = watch(&cluster, &load, 0, out, Duration::from_secs(6));
    println!("last start {last} ms after the command");
    drop(load);
    assert!(last <= BOUND, "a start {last} ms after the command");
}

/// Guards against an entry that vouches, with evidence that grows old, for an agent that hears
/// nothing from the other entries.
#[test]
fn nothing_starts_behind_an_entry_that_is_cut_off_with_its_agent() {
    let cluster = Cluster::serving(Plan::default());
    for way in &cluster.agents[0].entries[..2] {
        cut(way);
    }
    let load = loaded(&cluster);
    wait_until("requests run in the domain", PATIENCE, || {
        cluster.agents[0].runs().len() > 50
    });
    cluster.isolate(2);
    let out = take_out(&cluster, 0);
    let last = watch(&cluster, &load, 0, out, Duration::from_secs(7));
    println!("last start {last} ms after the command");
    drop(load);
    assert!(last <= BOUND, "a start {last} ms after the command");
}

fn loaded(cluster: &Cluster) -> Load {
    Load::start(&cluster.callers(), 24, false, |number| {
        Ask::new(format!("load-{number}"), 20).deadline_ms(1_000)
    })
}

/// Takes the domain of an agent out through the first entry and returns when the command returned.
fn take_out(cluster: &Cluster, agent: usize) -> u64 {
    let server = cluster.entries[0].operators.to_string();
    let domain = DOMAINS[agent];
    let output = godwitstep(&["domain", "out", domain, "--server", &server]);
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "domain out: {text}");
    wall_us()
}

/// Watches for a time during which work goes on elsewhere, and returns the last start at an agent
/// in milliseconds after the change.
fn watch(cluster: &Cluster, load: &Load, agent: usize, out: u64, time: Duration) -> i64 {
    let before = load.answered();
    let end = out + u64::try_from(time.as_micros()).expect("a short time");
    wait_until("the time is over", PATIENCE, || wall_us() > end);
    assert!(load.answered() > before + 100, "work goes on elsewhere");
    let agent = &cluster.agents[agent];
    let starts = agent.runs().into_iter().map(|run| run.started);
    let starts = starts.chain(agent.tasks().into_iter().map(|task| task.started));
    millis_between(out, starts.max().expect("something started"))
}
