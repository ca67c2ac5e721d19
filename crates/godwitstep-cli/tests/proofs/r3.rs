//! R3: from 2 s after a failure domain is taken out of service, no task starts in it.

use crate::fixture::{
    Cluster, ClusterConfig, DOMAINS, LoadGenerator, RequestSpec, WAIT_TIMEOUT, cut, godwitstep,
    job_document, millis_between, unix_time_us, wait_until,
};
use serde_json::Value;
use std::time::Duration;

/// Time after the command from which nothing may start. Unit: milliseconds.
const LAST_START_LIMIT_MS: i64 = 2_000;

/// Guards against starts that an isolated entry permits because it has not received the change, and
/// against starts of requests and jobs that are in flight.
#[test]
fn nothing_starts_in_a_domain_out_of_service_while_an_entry_is_isolated() {
    let cluster = Cluster::start_serving(ClusterConfig::default());
    let load = start_load(&cluster);
    let jobs: Vec<_> = (0..60)
        .map(|number| job_document(&format!("small-{number}"), "airfield-socks", (1, 1), 1))
        .collect();
    cluster.apply(&Value::from(jobs));
    wait_until("jobs run in the domain", WAIT_TIMEOUT, || {
        !cluster.agents[0].tasks().is_empty()
    });
    cluster.isolate(2);
    let out_us = take_out_of_service(&cluster, 0);
    let last_ms = last_start(&cluster, &load, 0, out_us, Duration::from_secs(6));
    println!("last start {last_ms} ms after the command");
    drop(load);
    assert!(
        last_ms <= LAST_START_LIMIT_MS,
        "a start {last_ms} ms after the command"
    );
}

/// Guards against an isolated entry that permits starts, with outdated tail evidence, to an agent
/// that is disconnected from the other entries.
#[test]
fn nothing_starts_through_an_entry_isolated_together_with_its_agent() {
    let cluster = Cluster::start_serving(ClusterConfig::default());
    for proxy in &cluster.agents[0].entry_proxies[..2] {
        cut(proxy);
    }
    let load = start_load(&cluster);
    wait_until("requests run in the domain", WAIT_TIMEOUT, || {
        cluster.agents[0].runs().len() > 50
    });
    cluster.isolate(2);
    let out_us = take_out_of_service(&cluster, 0);
    let last_ms = last_start(&cluster, &load, 0, out_us, Duration::from_secs(7));
    println!("last start {last_ms} ms after the command");
    drop(load);
    assert!(
        last_ms <= LAST_START_LIMIT_MS,
        "a start {last_ms} ms after the command"
    );
}

fn start_load(cluster: &Cluster) -> LoadGenerator {
    LoadGenerator::start(&cluster.proxied_caller_addresses(), 24, false, |number| {
        RequestSpec::new(format!("load-{number}"), 20).deadline_ms(1_000)
    })
}

/// Takes the domain of an agent out of service through the first entry, and returns the time at
/// which the command ended. Unit: microseconds since 1970.
fn take_out_of_service(cluster: &Cluster, agent: usize) -> u64 {
    let server = cluster.entries[0].operator_address.to_string();
    let domain = DOMAINS[agent];
    let output = godwitstep(&["domain", "out", domain, "--server", &server]);
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "domain out: {text}");
    unix_time_us()
}

/// Observes the cluster for a time, checks that the other domains keep serving, and returns the
/// last start at an agent in milliseconds after its domain was taken out of service.
fn last_start(
    cluster: &Cluster,
    load: &LoadGenerator,
    agent: usize,
    out_us: u64,
    time: Duration,
) -> i64 {
    let before = load.answered();
    let end_us = out_us + u64::try_from(time.as_micros()).expect("a short time");
    wait_until("the observation ends", WAIT_TIMEOUT, || {
        unix_time_us() > end_us
    });
    assert!(
        load.answered() > before + 100,
        "the other domains keep serving"
    );
    let agent = &cluster.agents[agent];
    let starts = agent.runs().into_iter().map(|run| run.started);
    let starts = starts.chain(agent.tasks().into_iter().map(|task| task.started));
    millis_between(out_us, starts.max().expect("something started"))
}
