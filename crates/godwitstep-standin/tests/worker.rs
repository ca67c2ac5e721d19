//! Tests of the worker, its lease and its tasks.

mod client;

use client::call;
use godwitstep_standin::worker::{Control, EndReason, Handle, Server, Settings};
use std::time::Duration;

/// Acquires or renews the lease.
fn acquire_lease(worker: &Handle, holder: &str, ttl_ms: u64) -> (u16, String) {
    let body = format!("{{\"holder\":\"{holder}\",\"ttl_ms\":{ttl_ms}}}");
    call(worker.address, "POST", "/lease", &body).unwrap()
}

/// Requests the start of a task.
fn start_task(
    worker: &Handle,
    lease: u64,
    task: &str,
    accelerators: u32,
    run_ms: u64,
) -> (u16, String) {
    let body = format!(
        "{{\"lease\":{lease},\"task\":\"{task}\",\"accelerators\":{accelerators},\"run_ms\":{run_ms}}}"
    );
    call(worker.address, "POST", "/tasks", &body).unwrap()
}

/// Waits 300 ms and returns how tasks ended, for those that have ended by then, in the order of
/// their start.
fn ended_after_delay(worker: &Handle) -> Vec<EndReason> {
    std::thread::sleep(Duration::from_millis(300));
    let ledger = worker.ledger();
    ledger.iter().filter_map(|entry| entry.how).collect()
}

/// Guards against tasks that continue to run after their lease lapsed.
#[test]
fn tasks_stop_when_the_lease_lapses() {
    let worker = Server::start(Settings::default()).unwrap();
    assert_eq!(
        acquire_lease(&worker, "a", 150),
        (200, "{\"lease\":1}".into())
    );
    assert_eq!(acquire_lease(&worker, "b", 150).0, 409);
    assert_eq!(start_task(&worker, 1, "t", 8, 60_000).0, 200);
    assert_eq!(ended_after_delay(&worker), [EndReason::Lapsed]);
    assert_eq!(
        acquire_lease(&worker, "b", 1000),
        (200, "{\"lease\":2}".into())
    );
    assert_eq!(start_task(&worker, 1, "u", 8, 1).0, 409);
}

/// Guards against an accelerator that is assigned to two tasks at a time.
#[test]
fn refuses_tasks_that_need_more_accelerators_than_are_free() {
    let worker = Server::start(Settings::default()).unwrap();
    acquire_lease(&worker, "a", 5000);
    assert_eq!(start_task(&worker, 1, "t", 5, 100).0, 200);
    assert!(start_task(&worker, 1, "t", 1, 100).1.contains("exists"));
    assert!(
        start_task(&worker, 1, "u", 4, 100)
            .1
            .contains("accelerators")
    );
    assert_eq!(start_task(&worker, 1, "v", 3, 100).0, 200);
    assert_eq!(
        ended_after_delay(&worker),
        [EndReason::Done, EndReason::Done]
    );
    assert_eq!(start_task(&worker, 1, "w", 8, 100).0, 200);
}

/// Guards against a checkpoint that loses progress, or that frees the accelerators before it is
/// complete.
#[test]
fn a_checkpoint_saves_the_progress() {
    let worker = Server::start(Settings::default()).unwrap();
    acquire_lease(&worker, "a", 5000);
    start_task(&worker, 1, "t", 8, 60_000);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(
        call(worker.address, "POST", "/tasks/t/checkpoint", "")
            .unwrap()
            .0,
        200
    );
    assert_eq!(start_task(&worker, 1, "u", 1, 1).0, 409);
    assert_eq!(ended_after_delay(&worker), [EndReason::Checkpointed]);
    assert!((90..1000).contains(&worker.ledger()[0].progress_ms));
    let listed = call(worker.address, "GET", "/tasks", "").unwrap().1;
    assert!(listed.contains("\"state\":\"checkpointed\""), "{listed}");
}

/// Guards against a long poll of the task list that does not return on a change.
#[test]
fn a_waiting_read_returns_when_a_task_ends() {
    let worker = Server::start(Settings::default()).unwrap();
    worker.control(&Control {
        failing: Some(true),
        ..Control::default()
    });
    acquire_lease(&worker, "a", 5000);
    start_task(&worker, 1, "t", 8, 60_000);
    let listed = call(worker.address, "GET", "/tasks?since=1&wait_ms=4000", "")
        .unwrap()
        .1;
    assert!(
        listed.contains("\"sequence\":2") && listed.contains("\"failed\""),
        "{listed}"
    );
    assert_eq!(
        call(worker.address, "POST", "/tasks/t/stop", "").unwrap().0,
        409
    );
}

/// Guards against throttled tasks that run at full speed, and against usage that is reported
/// without the configured delay.
#[test]
fn throttling_and_the_usage_delay_take_effect() {
    let worker = Server::start(Settings::default()).unwrap();
    acquire_lease(&worker, "a", 5000);
    start_task(&worker, 1, "t", 3, 200);
    let throttle = "{\"fraction\":0.1}";
    assert_eq!(
        call(worker.address, "POST", "/tasks/t/throttle", throttle)
            .unwrap()
            .0,
        200
    );
    let usage = || call(worker.address, "GET", "/usage", "").unwrap().1;
    assert!(usage().contains("\"accelerators\":3"));
    worker.control(&Control {
        usage_delay_ms: Some(60_000),
        ..Control::default()
    });
    assert!(usage().contains("\"accelerators\":0"));
    assert!(ended_after_delay(&worker).is_empty());
}
