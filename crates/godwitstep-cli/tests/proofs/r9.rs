//! R9: an accepted configuration is in force everywhere within seconds and never reverts.

use crate::rig::{
    Cluster, DOMAINS, Entry, PATIENCE, Plan, call, cut, get, heal, millis_between, quantile,
    wait_until, wall_us,
};
use godwitstep_standin::log::{Control, Mode};
use hyper::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;

const PATH: &str = "/v1/domains/karratha-shed";

fn domain(in_service: bool) -> Value {
    json!({ "spec": { "region": "pilbara-coast", "in_service": in_service } })
}

/// Changes the domain from the state that an entry shows and returns the answer.
fn change(server: SocketAddr, version: u64, in_service: bool) -> (u16, Value) {
    call(
        server,
        Method::PUT,
        PATH,
        Some(version),
        Some(&domain(in_service)),
    )
}

/// Guards against two operators who both believe that their change won, or that both lost.
#[test]
fn racing_operators_get_one_winner_and_one_conflict() {
    let cluster = Cluster::serving(Plan::default());
    for round in 0..20 {
        let shown = get(cluster.entries[0].operators, PATH);
        let version = shown["version"].as_u64().expect("a version");
        wait_until("all entries show it", PATIENCE, || {
            let agrees = |entry: &Entry| get(entry.operators, PATH)["version"] == version;
            cluster.entries.iter().all(agrees)
        });
        let in_service = shown["spec"]["in_service"] != true;
        // Both wish for the same state, so that the first is no hindrance but by its version.
        let answers: Vec<_> = std::thread::scope(|scope| {
            let racers: Vec<_> = cluster.entries[..2]
                .iter()
                .map(|entry| scope.spawn(|| change(entry.operators, version, in_service)))
                .collect();
            racers
                .into_iter()
                .map(|racer| racer.join().expect("an answer"))
                .collect()
        });
        let won: Vec<_> = answers.iter().filter(|answer| answer.0 == 200).collect();
        let lost: Vec<_> = answers.iter().filter(|answer| answer.0 == 409).collect();
        assert_eq!(
            (won.len(), lost.len()),
            (1, 1),
            "round {round}: {answers:?}"
        );
        assert_eq!(
            lost[0].1["current"]["version"], won[0].1["version"],
            "{answers:?}"
        );
    }
}

/// Guards against a change that does not reach an entry, also while that entry is cut off from the
/// log.
#[test]
fn a_change_is_in_force_at_every_entry_within_two_seconds() {
    let cluster = Cluster::serving(Plan::default());
    cut(&cluster.entries[2].log);
    let mut figures = Vec::new();
    for _ in 0..10 {
        let shown = get(cluster.entries[0].operators, PATH);
        let in_service = shown["spec"]["in_service"] != true;
        let version = shown["version"].as_u64().expect("a version");
        let (status, changed) = change(cluster.entries[0].operators, version, in_service);
        let accepted = wall_us();
        assert_eq!(status, 200, "{changed}");
        wait_until("in force everywhere", PATIENCE, || {
            let seen = |entry: &Entry| get(entry.operators, PATH);
            cluster
                .entries
                .iter()
                .all(|entry| seen(entry)["version"] == changed["version"])
        });
        figures.push(millis_between(accepted, wall_us()));
    }
    println!("in force at the last entry after {figures:?} ms");
    assert!(quantile(&figures, 1.0) <= 2_000, "{figures:?}");
}

/// Guards against an entry that starts during an outage and serves what was in force earlier, or
/// nothing as if nothing was declared.
#[test]
fn an_entry_restarted_in_an_outage_serves_nothing_older() {
    let mut cluster = Cluster::serving(Plan::default());
    let shown = get(cluster.entries[0].operators, PATH);
    let version = shown["version"].as_u64().expect("a version");
    let (status, changed) = change(cluster.entries[0].operators, version, false);
    assert_eq!(status, 200, "{changed}");
    cluster.log.control(&Control {
        mode: Some(Mode::Down),
        ..Control::default()
    });
    wait_until("the outage is noticed", PATIENCE, || {
        let away = |entry: &Entry| entry.status()["evidence_age_ms"].as_u64() > Some(4_000);
        cluster.entries.iter().all(away)
    });
    cluster.entries[2].node.process.kill();
    cluster.entries[2].node.restart();
    let entry = &cluster.entries[2];
    let check = || {
        // Asked first: the entry may become ready between the two answers.
        let ready = entry.ready();
        let shown = get(entry.operators, PATH);
        // Before it has the records, the entry shows nothing and is not ready.
        assert!(shown["version"] == changed["version"] || !ready, "{shown}");
        shown["version"] == changed["version"] && ready
    };
    wait_until("the peers pass the configuration on", PATIENCE, check);
    let out = DOMAINS[0];
    assert_eq!(entry.status()["domains_out"], json!([out]));
    cluster.log.control(&Control {
        mode: Some(Mode::Up),
        ..Control::default()
    });
    cluster.settle();
    check();
    // Without the log and without peers there is nothing to serve, and the entry says so.
    cluster.log.control(&Control {
        mode: Some(Mode::Down),
        ..Control::default()
    });
    cluster.entries[0].node.process.kill();
    cluster.entries[1].node.process.kill();
    cluster.entries[2].node.process.kill();
    cluster.entries[2].node.restart();
    let entry = &cluster.entries[2];
    wait_until("it answers", PATIENCE, || entry.status() != Value::Null);
    let start = wall_us();
    wait_until("a while passes", PATIENCE, || {
        assert!(!entry.ready(), "ready without a configuration");
        wall_us() > start + 3_000_000
    });
}

/// Guards against a change that is denied, or that takes effect twice, because the reply to its
/// append was lost.
#[test]
fn lost_replies_of_appends_neither_deny_nor_double_a_change() {
    let cluster = Cluster::serving(Plan::default());
    cluster.log.control(&Control {
        lose_reply_every: Some(2),
        ..Control::default()
    });
    let mut version = get(cluster.entries[0].operators, PATH)["version"]
        .as_u64()
        .expect("one");
    let first = version;
    let mut seen = vec![];
    for round in 0..12_usize {
        let server = cluster.entries[round % 3].operators;
        wait_until("the entry shows the last change", PATIENCE, || {
            get(server, PATH)["version"] == version
        });
        let (status, changed) = change(server, version, !round.is_multiple_of(2));
        assert_eq!(status, 200, "round {round}: {changed}");
        version = changed["version"].as_u64().expect("a version");
        seen.push(version);
    }
    // A change that took effect twice would leave a version that nobody was told.
    heal(&cluster.entries[0].log);
    for entry in &cluster.entries {
        wait_until("all entries agree", PATIENCE, || {
            get(entry.operators, PATH)["version"] == version
        });
    }
    let records = cluster.log.records("config");
    let appended = records.iter().filter(|(offset, _)| *offset > first).count();
    println!("12 changes, {appended} records, versions {seen:?}");
    let mut sorted = seen.clone();
    sorted.dedup();
    assert_eq!(sorted.len(), 12, "each change has a version of its own");
}
