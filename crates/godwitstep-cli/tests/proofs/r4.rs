//! R4: each caller receives the complete answer to its own request, even when answers are delayed
//! or out of order.

use crate::fixture::{
    Agent, Cluster, ClusterConfig, LoadGenerator, RequestRecord, RequestSpec, WAIT_TIMEOUT,
    millis_between, quantile, silence, unix_time_us, wait_until,
};
use godwitstep_standin::proxy::{Control, DirectionControl};
use std::time::{Duration, Instant};

const SEED: u64 = 4;

/// Returns a request whose size and run time depend on its number.
fn varied_request(number: usize) -> RequestSpec {
    let mut rng = fastrand::Rng::with_seed(SEED + number as u64);
    let mut request = RequestSpec::new(format!("mixed-{number}"), 0);
    let (run_ms, size) = (rng.u64(0..60), rng.usize(0..3_000));
    let filler: String = (0..size).map(|_| rng.alphanumeric()).collect();
    request.body = format!(
        "{{\"run_ms\":{run_ms},\"of\":\"{}\",\"filler\":\"{filler}\"}}",
        request.key
    );
    if number.is_multiple_of(3) {
        request.idempotent()
    } else {
        request
    }
}

/// Checks that enough requests were answered, that every answer is complete and belongs to its
/// request, and that no non-idempotent request ran twice.
fn check_answers(cluster: &Cluster, records: &[RequestRecord]) {
    let answered = records
        .iter()
        .filter(|record| record.final_outcome() == "answered");
    println!("{} of {} answered", answered.clone().count(), records.len());
    assert!(
        answered.count() > 300,
        "requests are answered despite the faults"
    );
    for record in records {
        assert!(
            record.bodies_match,
            "an incomplete answer or that of another request: {:?}",
            record.request.key
        );
    }
    for record in records.iter().filter(|record| !record.request.idempotent) {
        assert!(
            cluster.run_count(&record.request.key) <= 1,
            "{} ran twice",
            record.request.key
        );
    }
}

/// Guards against answers that are matched by connection or by order, and against an incomplete
/// frame that is accepted after its connection was reset.
#[test]
fn delayed_and_interrupted_answers_reach_their_own_callers() {
    let cluster = Cluster::start_serving(ClusterConfig::default());
    let jitter = DirectionControl {
        jitter_ms: Some(40),
        ..DirectionControl::default()
    };
    let proxies = || cluster.agents.iter().flat_map(|agent| &agent.entry_proxies);
    for proxy in proxies() {
        proxy.control(&Control {
            forward: jitter,
            backward: jitter,
            ..Control::default()
        });
    }
    let load = LoadGenerator::start(
        &cluster.proxied_caller_addresses(),
        24,
        true,
        varied_request,
    );
    let mut rng = fastrand::Rng::with_seed(SEED);
    let all_proxies: Vec<_> = proxies().collect();
    for round in 0..12_u64 {
        let goal = (round + 1) * 40;
        wait_until("requests are answered", WAIT_TIMEOUT, || {
            load.answered() >= goal
        });
        // Counted in bytes from the start of each connection, so the reset falls inside a frame.
        let reset = DirectionControl {
            reset_after: Some(rng.u64(2_000..20_000)),
            ..DirectionControl::default()
        };
        let proxy = all_proxies[rng.usize(..all_proxies.len())];
        proxy.control(&Control {
            forward: reset,
            backward: reset,
            ..Control::default()
        });
        let healed = all_proxies[rng.usize(..all_proxies.len())];
        healed.control(&Control {
            heal: true,
            forward: jitter,
            backward: jitter,
            ..Control::default()
        });
    }
    for proxy in proxies() {
        proxy.control(&Control::heal());
    }
    check_answers(&cluster, &load.stop());
}

/// Guards against answers of an agent's previous incarnation that are attributed to requests sent
/// to the current one.
#[test]
fn answers_of_a_restarted_agent_reach_only_their_own_callers() {
    let mut cluster = Cluster::start_serving(ClusterConfig::default());
    let load = LoadGenerator::start(
        &cluster.proxied_caller_addresses(),
        24,
        true,
        varied_request,
    );
    for round in 0..3 {
        let goal = (round + 1) * 150;
        wait_until("requests are answered", WAIT_TIMEOUT, || {
            load.answered() >= goal
        });
        let node = &mut cluster.agents[1].node;
        node.process.kill();
        node.restart();
    }
    cluster.wait_until_ready();
    check_answers(&cluster, &load.stop());
}

/// Guards against a link that stays in use although it delivers nothing any more.
#[test]
fn a_silent_link_is_replaced_within_two_seconds() {
    let cluster = Cluster::start_serving(ClusterConfig::default());
    let load = LoadGenerator::start(&[cluster.entries[0].caller_address], 16, false, |number| {
        RequestSpec::new(format!("silent-{number}"), 0)
            .deadline_ms(300)
            .idempotent()
    });
    let mut silenced_at_us = Vec::new();
    for _ in 0..5 {
        let last_start = |agent: &Agent| agent.runs().last().map_or(0, |run| run.started);
        for agent in &cluster.agents {
            silence(&agent.entry_proxies[0]);
        }
        let silenced_us = unix_time_us();
        silenced_at_us.push(silenced_us);
        // Requests in flight may still arrive during the first 500 ms.
        wait_until("every target is used again", WAIT_TIMEOUT, || {
            cluster
                .agents
                .iter()
                .all(|agent| last_start(agent) > silenced_us + 500_000)
        });
        // A start does not imply an answer: on a busy machine the first requests miss their
        // deadline.
        wait_until("a request sent since is answered", WAIT_TIMEOUT, || {
            load.answered_since(silenced_us + 200_000)
        });
    }
    let records = load.stop();
    let recovery_ms = |silenced_us: &u64| {
        let after = records
            .iter()
            .filter(|record| record.sent_us > silenced_us + 200_000);
        let answered = after.filter(|record| record.final_outcome() == "answered");
        millis_between(
            *silenced_us,
            answered
                .map(|record| record.done_us)
                .min()
                .expect("an answer"),
        )
    };
    let recovery_times: Vec<_> = silenced_at_us.iter().map(recovery_ms).collect();
    println!("answers resume after {recovery_times:?} ms");
    // The median, because delays of the machine itself are not to count against the links.
    assert!(
        quantile(&recovery_times, 0.5) <= 2_000,
        "{recovery_times:?}"
    );
    assert!(
        quantile(&recovery_times, 0.0) >= 500,
        "the links were silent for at least 500 ms: {recovery_times:?}"
    );
}

/// Guards against a log reader that keeps waiting on a connection that delivers nothing any more.
#[test]
fn silent_connections_to_the_log_leave_every_entry_fresh() {
    let cluster = Cluster::start_serving(ClusterConfig::default());
    for entry in &cluster.entries {
        silence(&entry.log_proxy);
    }
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(4) {
        for entry in &cluster.entries {
            let status = entry.status();
            assert_eq!(
                status["standing"],
                "fresh",
                "after {:?}: {status}",
                start.elapsed()
            );
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
