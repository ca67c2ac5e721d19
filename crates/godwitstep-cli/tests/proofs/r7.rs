//! R7: from 2 s after a target starts leaving, it receives no new work.

use crate::fixture::{
    Cluster, ClusterConfig, LoadGenerator, RequestSpec, WAIT_TIMEOUT, millis_between, send_request,
    unix_time_us, wait_until,
};
use godwitstep_standin::target::{Availability, Control};

/// Time after the start of leaving from which nothing may start. Unit: milliseconds.
const LAST_START_LIMIT_MS: i64 = 2_000;

fn start_load(cluster: &Cluster) -> LoadGenerator {
    LoadGenerator::start(&cluster.proxied_caller_addresses(), 24, false, |number| {
        RequestSpec::new(format!("leaving-{number}"), 30).deadline_ms(3_000)
    })
}

/// Waits for 4 s from the time at which the first target began to leave, and then for 100 more
/// answers. Returns the last start at that target, without the long requests, in milliseconds after
/// it began to leave.
fn last_start(cluster: &Cluster, load: &LoadGenerator, left_us: u64) -> i64 {
    wait_until("the observation ends", WAIT_TIMEOUT, || {
        unix_time_us() > left_us + 4_000_000
    });
    let before = load.answered();
    wait_until("requests are still answered", WAIT_TIMEOUT, || {
        load.answered() > before + 100
    });
    let runs = cluster.agents[0].runs();
    let last = runs
        .iter()
        .filter(|run| !run.key.contains("long"))
        .map(|run| run.started)
        .max();
    millis_between(left_us, last.expect("something started"))
}

/// Guards against work that is sent to a target whose agent is shutting down gracefully, and
/// against a shutdown that interrupts running requests.
#[test]
fn an_agent_told_to_stop_gets_no_new_work_and_finishes_what_it_has() {
    let mut cluster = Cluster::start_serving(ClusterConfig::default());
    let entry = cluster.entries[0].caller_address;
    let long_request = RequestSpec::new("long", 5_000);
    let load = start_load(&cluster);
    let long_callers: Vec<_> = (0..3)
        .map(|number| {
            let mut request = long_request.clone();
            request.key = format!("long-{number}");
            std::thread::spawn(move || send_request(entry, &request))
        })
        .collect();
    wait_until("the long requests run", WAIT_TIMEOUT, || {
        (0..3).all(|number| cluster.run_count(&format!("long-{number}")) == 1)
    });
    let terminated_us = unix_time_us();
    cluster.agents[0].node.process.terminate();
    let last_ms = last_start(&cluster, &load, terminated_us);
    println!("last start {last_ms} ms after the stop");
    for caller in long_callers {
        let reply = caller.join().expect("the caller ends").expect("an answer");
        assert_eq!(reply.outcome, "answered");
    }
    let records = load.stop();
    let unanswered = records
        .iter()
        .find(|record| !matches!(record.final_outcome(), "answered"));
    let reasons = unanswered.map(|record| &record.refusal_reasons);
    assert!(
        unanswered.is_none(),
        "not answered: {unanswered:?}, reasons {reasons:?}"
    );
    assert!(
        last_ms <= LAST_START_LIMIT_MS,
        "a start {last_ms} ms after the stop"
    );
    assert!(cluster.agents[0].node.process.wait(WAIT_TIMEOUT).success());
    assert!(
        cluster.agents[0]
            .runs()
            .iter()
            .all(|run| run.ended.is_some())
    );
}

/// Guards against work that is sent to a target that reports that it is leaving, and against a
/// target that stays unused after it is ready again.
#[test]
fn a_leaving_target_gets_no_new_work_until_it_is_ready_again() {
    let cluster = Cluster::start_serving(ClusterConfig::default());
    let load = start_load(&cluster);
    wait_until("requests are answered", WAIT_TIMEOUT, || {
        load.answered() > 50
    });
    let target = cluster.agents[0].target.as_ref().expect("a target");
    let with_state = |state| Control {
        state: Some(state),
        ..Control::default()
    };
    let left_us = unix_time_us();
    target.control(&with_state(Availability::Leaving));
    let last_ms = last_start(&cluster, &load, left_us);
    println!("last start {last_ms} ms after the target began to leave");
    assert!(
        last_ms <= LAST_START_LIMIT_MS,
        "a start {last_ms} ms after the target began to leave"
    );
    let before = target.ledger().len();
    target.control(&with_state(Availability::Ready));
    wait_until("the target is used again", WAIT_TIMEOUT, || {
        target.ledger().len() > before + 10
    });
    let records = load.stop();
    let unanswered = records
        .iter()
        .find(|record| record.final_outcome() != "answered");
    assert!(unanswered.is_none(), "not answered: {unanswered:?}");
}
