//! R9: an accepted configuration takes effect at every entry within seconds and never reverts.

use crate::fixture::{
    Cluster, ClusterConfig, DOMAINS, Entry, WAIT_TIMEOUT, cut, get, heal, millis_between,
    operator_request, quantile, unix_time_us, wait_until,
};
use godwitstep_standin::log::{Control, Mode};
use hyper::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;

const DOMAIN_PATH: &str = "/v1/domains/karratha-shed";

fn domain_document(in_service: bool) -> Value {
    json!({ "spec": { "region": "pilbara-coast", "in_service": in_service } })
}

/// Changes the domain if it still has the given version, and returns the status code and the
/// document of the response.
fn change_domain(server: SocketAddr, version: u64, in_service: bool) -> (u16, Value) {
    operator_request(
        server,
        Method::PUT,
        DOMAIN_PATH,
        Some(version),
        Some(&domain_document(in_service)),
    )
}

/// Guards against two concurrent changes of the same version that both succeed or both fail.
#[test]
fn concurrent_changes_yield_one_success_and_one_conflict() {
    let cluster = Cluster::start_serving(ClusterConfig::default());
    for round in 0..20 {
        let shown = get(cluster.entries[0].operator_address, DOMAIN_PATH);
        let version = shown["version"].as_u64().expect("a version");
        wait_until("all entries have the version", WAIT_TIMEOUT, || {
            let agrees =
                |entry: &Entry| get(entry.operator_address, DOMAIN_PATH)["version"] == version;
            cluster.entries.iter().all(agrees)
        });
        let in_service = shown["spec"]["in_service"] != true;
        // Both changes request the same state, so that only the version makes them conflict.
        let responses: Vec<_> = std::thread::scope(|scope| {
            let operators: Vec<_> = cluster.entries[..2]
                .iter()
                .map(|entry| {
                    scope.spawn(|| change_domain(entry.operator_address, version, in_service))
                })
                .collect();
            operators
                .into_iter()
                .map(|operator| operator.join().expect("a response"))
                .collect()
        });
        let accepted: Vec<_> = responses
            .iter()
            .filter(|response| response.0 == 200)
            .collect();
        let conflicting: Vec<_> = responses
            .iter()
            .filter(|response| response.0 == 409)
            .collect();
        assert_eq!(
            (accepted.len(), conflicting.len()),
            (1, 1),
            "round {round}: {responses:?}"
        );
        assert_eq!(
            conflicting[0].1["current"]["version"], accepted[0].1["version"],
            "{responses:?}"
        );
    }
}

/// Guards against a change that does not reach every entry, including one that is disconnected from
/// the log.
#[test]
fn a_change_is_in_force_at_every_entry_within_two_seconds() {
    let cluster = Cluster::start_serving(ClusterConfig::default());
    cut(&cluster.entries[2].log_proxy);
    let mut delays_ms = Vec::new();
    for _ in 0..10 {
        let shown = get(cluster.entries[0].operator_address, DOMAIN_PATH);
        let in_service = shown["spec"]["in_service"] != true;
        let version = shown["version"].as_u64().expect("a version");
        let (status, changed) =
            change_domain(cluster.entries[0].operator_address, version, in_service);
        let accepted_us = unix_time_us();
        assert_eq!(status, 200, "{changed}");
        wait_until("the change is in force everywhere", WAIT_TIMEOUT, || {
            let read = |entry: &Entry| get(entry.operator_address, DOMAIN_PATH);
            cluster
                .entries
                .iter()
                .all(|entry| read(entry)["version"] == changed["version"])
        });
        delays_ms.push(millis_between(accepted_us, unix_time_us()));
    }
    println!("in force at the last entry after {delays_ms:?} ms");
    assert!(quantile(&delays_ms, 1.0) <= 2_000, "{delays_ms:?}");
}

/// Guards against an entry that starts during an outage of the log and serves an outdated
/// configuration, or is ready with an empty one.
#[test]
fn an_entry_restarted_during_a_log_outage_serves_no_older_configuration() {
    let mut cluster = Cluster::start_serving(ClusterConfig::default());
    let shown = get(cluster.entries[0].operator_address, DOMAIN_PATH);
    let version = shown["version"].as_u64().expect("a version");
    let (status, changed) = change_domain(cluster.entries[0].operator_address, version, false);
    assert_eq!(status, 200, "{changed}");
    cluster.log.control(&Control {
        mode: Some(Mode::Down),
        ..Control::default()
    });
    wait_until("the outage is detected", WAIT_TIMEOUT, || {
        let is_outdated = |entry: &Entry| entry.status()["evidence_age_ms"].as_u64() > Some(4_000);
        cluster.entries.iter().all(is_outdated)
    });
    cluster.entries[2].node.process.kill();
    cluster.entries[2].node.restart();
    let entry = &cluster.entries[2];
    let check_current = || {
        // Read first, because the entry may become ready between the two responses.
        let ready = entry.is_ready();
        let shown = get(entry.operator_address, DOMAIN_PATH);
        // Until it has received the records, the entry has no document and is not ready.
        assert!(shown["version"] == changed["version"] || !ready, "{shown}");
        shown["version"] == changed["version"] && ready
    };
    wait_until(
        "the peers forward the configuration",
        WAIT_TIMEOUT,
        check_current,
    );
    let domain_out = DOMAINS[0];
    assert_eq!(entry.status()["domains_out"], json!([domain_out]));
    cluster.log.control(&Control {
        mode: Some(Mode::Up),
        ..Control::default()
    });
    cluster.wait_until_ready();
    check_current();
    // Without the log and without peers there is no configuration to serve, so that the entry is
    // not ready.
    cluster.log.control(&Control {
        mode: Some(Mode::Down),
        ..Control::default()
    });
    cluster.entries[0].node.process.kill();
    cluster.entries[1].node.process.kill();
    cluster.entries[2].node.process.kill();
    cluster.entries[2].node.restart();
    let entry = &cluster.entries[2];
    wait_until("the entry responds", WAIT_TIMEOUT, || {
        entry.status() != Value::Null
    });
    let start_us = unix_time_us();
    wait_until("the observation ends", WAIT_TIMEOUT, || {
        assert!(!entry.is_ready(), "ready without a configuration");
        unix_time_us() > start_us + 3_000_000
    });
}

/// Guards against a change that is reported as failed, or that takes effect twice, because the
/// reply to its append to the log was lost.
#[test]
fn lost_append_replies_neither_fail_nor_duplicate_a_change() {
    let cluster = Cluster::start_serving(ClusterConfig::default());
    cluster.log.control(&Control {
        lose_reply_every: Some(2),
        ..Control::default()
    });
    let mut version = get(cluster.entries[0].operator_address, DOMAIN_PATH)["version"]
        .as_u64()
        .expect("a version");
    let first_version = version;
    let mut versions = vec![];
    for round in 0..12_usize {
        let server = cluster.entries[round % 3].operator_address;
        wait_until("the entry has the last change", WAIT_TIMEOUT, || {
            get(server, DOMAIN_PATH)["version"] == version
        });
        let (status, changed) = change_domain(server, version, !round.is_multiple_of(2));
        assert_eq!(status, 200, "round {round}: {changed}");
        version = changed["version"].as_u64().expect("a version");
        versions.push(version);
    }
    // A change that took effect twice would leave a version that was not returned to any operator.
    heal(&cluster.entries[0].log_proxy);
    for entry in &cluster.entries {
        wait_until("all entries agree", WAIT_TIMEOUT, || {
            get(entry.operator_address, DOMAIN_PATH)["version"] == version
        });
    }
    let records = cluster.log.records("config");
    let appended = records
        .iter()
        .filter(|(offset, _)| *offset > first_version)
        .count();
    println!("12 changes, {appended} records, versions {versions:?}");
    let mut distinct = versions.clone();
    distinct.dedup();
    assert_eq!(distinct.len(), 12, "each change has a version of its own");
}
