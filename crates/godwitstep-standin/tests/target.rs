//! Tests of the target and its ledger.

mod client;

use client::{call, call_with_timeout};
use godwitstep_standin::target::{Availability, Control, Server, Settings};
use std::time::Duration;

/// Guards against a ledger that disagrees with the responses.
#[test]
fn responds_with_the_body_and_records_requests_in_the_ledger() {
    let target = Server::start(Settings::default()).unwrap();
    let response = call(target.address, "POST", "/run", "{\"run_ms\":20}").unwrap();
    assert_eq!(response, (200, "{\"run_ms\":20}".to_owned()));
    target.control(&Control {
        failing: Some(true),
        state: Some(Availability::Leaving),
        ..Control::default()
    });
    assert_eq!(call(target.address, "POST", "/run", "x").unwrap().0, 500);
    let health = call(target.address, "GET", "/health", "").unwrap();
    assert_eq!(health.1, "{\"state\":\"leaving\"}");
    let ledger = target.ledger();
    assert!(ledger[0].ended.unwrap() >= ledger[0].started + 20_000);
    assert_eq!([ledger[0].failed, ledger[1].failed], [false, true]);
    assert_eq!([ledger[0].leaving, ledger[1].leaving], [false, true]);
}

/// Guards against a request that is aborted when its caller disconnects: a caller that timed out
/// must not conclude that its request did not run.
#[test]
fn a_request_completes_after_its_caller_disconnected() {
    let target = Server::start(Settings::default()).unwrap();
    let timeout = Duration::from_millis(30);
    let result = call_with_timeout(target.address, "POST", "/run", "{\"run_ms\":150}", timeout);
    assert!(result.is_err());
    std::thread::sleep(Duration::from_millis(300));
    let page = call(target.address, "GET", "/ledger", "").unwrap().1;
    assert!(
        page.contains("\"next\":1") && !page.contains("\"ended\":null"),
        "{page}"
    );
}

/// Guards against more requests running at a time than the target has slots.
#[test]
fn requests_beyond_the_slots_wait() {
    let slots = 1;
    let target = Server::start(Settings {
        slots,
        ..Settings::default()
    })
    .unwrap();
    let address = target.address;
    let callers = [(); 2].map(|()| {
        std::thread::spawn(move || call(address, "POST", "/run", "{\"run_ms\":50}").unwrap())
    });
    for caller in callers {
        assert_eq!(caller.join().unwrap().0, 200);
    }
    let ledger = target.ledger();
    assert!(ledger[1].started >= ledger[0].ended.unwrap());
}
