//! Availability while the log is unavailable, after the decider is killed, and after all processes
//! are killed.

use crate::fixture::{
    Agent, Cluster, ClusterConfig, LoadGenerator, RequestSpec, WAIT_TIMEOUT, job_document,
    job_phase, unix_time_us, wait_until,
};
use godwitstep_standin::log::{Control, Mode};
use serde_json::Value;
use std::collections::BTreeMap;

/// Guards against a request path that depends on the log.
#[test]
fn requests_are_served_at_the_normal_rate_while_the_log_is_unavailable() {
    let cluster = Cluster::start_serving(ClusterConfig {
        exclusive: true,
        ..ClusterConfig::default()
    });
    // The target takes most of a request's time, so that the rate does not depend on the processor
    // time that is free on the machine.
    let load = LoadGenerator::start(&cluster.caller_addresses(), 6, false, |number| {
        RequestSpec::new(format!("outage-{number}"), 100).deadline_ms(2_000)
    });
    let count_answers_for = |millis: u64| {
        let (start, before) = (unix_time_us(), load.answered());
        wait_until("the measurement ends", WAIT_TIMEOUT, || {
            unix_time_us() > start + millis * 1000
        });
        load.answered() - before
    };
    let with_log = count_answers_for(3_000);
    for silent in [false, true] {
        let mode = Some(Mode::Down);
        cluster.log.control(&Control {
            mode,
            silent: Some(silent),
            ..Control::default()
        });
        let without_log = count_answers_for(8_000) * 3 / 8;
        println!("silent {silent}: {with_log} answers in 3 s with the log, {without_log} without");
        assert!(
            without_log * 10 >= with_log * 8,
            "{with_log} answers in 3 s with the log, {without_log} without"
        );
        let mode = Some(Mode::Up);
        cluster.log.control(&Control {
            mode,
            ..Control::default()
        });
    }
    let records = load.stop();
    let unanswered = records
        .iter()
        .find(|record| record.final_outcome() != "answered");
    assert!(unanswered.is_none(), "{unanswered:?}");
}

/// Submits jobs and returns their names.
fn submit_jobs(cluster: &Cluster, count: usize, run_s: u32) -> Vec<String> {
    let names: Vec<_> = (0..count)
        .map(|number| format!("accepted-{number}"))
        .collect();
    let jobs = names
        .iter()
        .map(|name| job_document(name, "airfield-socks", (1, 2), run_s));
    cluster.apply(&Value::from(jobs.collect::<Vec<_>>()));
    names
}

/// Waits until all jobs are done, and checks that the runs of each job did not overlap and that
/// exactly one run completed.
fn check_jobs(cluster: &Cluster, names: &[String]) {
    for name in names {
        wait_until(&format!("{name} is done"), 2 * WAIT_TIMEOUT, || {
            job_phase(cluster, name) == "done"
        });
    }
    let mut runs = BTreeMap::<String, Vec<_>>::new();
    for task in cluster.agents.iter().flat_map(Agent::tasks) {
        let name = task.task.split('~').next().unwrap_or_default().to_owned();
        runs.entry(name)
            .or_default()
            .push((task.started, task.ended.expect("ended"), task.how));
    }
    for name in names {
        let runs = runs.get_mut(name).expect("the job ran");
        runs.sort_unstable_by_key(|run| run.0);
        let overlap = runs.windows(2).any(|pair| pair[1].0 < pair[0].1);
        assert!(!overlap, "two runs of {name} overlap: {runs:?}");
        let done = runs
            .iter()
            .filter(|run| format!("{:?}", run.2) == "Some(Done)")
            .count();
        assert_eq!(done, 1, "{name}: {runs:?}");
    }
}

/// Guards against jobs that are lost or run twice when another entry takes over as decider.
#[test]
fn another_decider_takes_over_and_finishes_accepted_jobs() {
    let mut cluster = Cluster::start_serving(ClusterConfig::default());
    let names = submit_jobs(&cluster, 24, 4);
    wait_until("some jobs run", WAIT_TIMEOUT, || {
        cluster.agents.iter().any(|agent| agent.tasks().len() > 1)
    });
    let is_decider = |entry: &crate::fixture::Entry| entry.status()["deciding"] == true;
    let index = cluster
        .entries
        .iter()
        .position(is_decider)
        .expect("a decider");
    cluster.entries[index].node.process.kill();
    let killed_us = unix_time_us();
    wait_until("another entry is the decider", WAIT_TIMEOUT, || {
        cluster.entries.iter().any(is_decider)
    });
    println!(
        "takeover {} ms after the kill",
        (unix_time_us() - killed_us) / 1000
    );
    check_jobs(&cluster, &names);
}

/// Guards against accepted jobs that are lost or run twice when all entries and agents are killed
/// at the same time.
#[test]
fn accepted_jobs_survive_a_kill_of_all_processes() {
    let mut cluster = Cluster::start_serving(ClusterConfig::default());
    let names = submit_jobs(&cluster, 24, 4);
    wait_until("some jobs run", WAIT_TIMEOUT, || {
        cluster.agents.iter().any(|agent| agent.tasks().len() > 1)
    });
    let entries = cluster.entries.iter_mut().map(|entry| &mut entry.node);
    let agents = cluster.agents.iter_mut().map(|agent| &mut agent.node);
    let mut nodes: Vec<_> = entries.chain(agents).collect();
    for node in &mut nodes {
        node.process.kill();
    }
    for node in &mut nodes {
        node.restart();
    }
    cluster.wait_until_ready();
    check_jobs(&cluster, &names);
}
