//! The target and its ledger.

mod client;

use client::{call, call_within};
use godwitstep_standin::target::{Condition, Control, Server, Settings};
use std::time::Duration;

/// Guards against a ledger that disagrees with the answers.
#[test]
fn answers_with_the_body_and_keeps_a_ledger() {
    let target = Server::start(Settings::default()).unwrap();
    let answer = call(target.address, "POST", "/run", "{\"run_ms\":20}").unwrap();
    assert_eq!(answer, (200, "{\"run_ms\":20}".to_owned()));
    target.control(&Control {
        failing: Some(true),
        state: Some(Condition::Leaving),
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

/// Guards against a lost caller that stands for a request that did not run.
#[test]
fn a_request_runs_to_its_end_without_its_caller() {
    let target = Server::start(Settings::default()).unwrap();
    let limit = Duration::from_millis(30);
    let gone = call_within(target.address, "POST", "/run", "{\"run_ms\":150}", limit);
    assert!(gone.is_err());
    std::thread::sleep(Duration::from_millis(300));
    let page = call(target.address, "GET", "/ledger", "").unwrap().1;
    assert!(
        page.contains("\"next\":1") && !page.contains("\"ended\":null"),
        "{page}"
    );
}

/// Guards against more work at a time than the target has slots.
#[test]
fn requests_over_the_slots_wait() {
    let slots = 1;
    let target = Server::start(Settings {
        slots,
        ..Settings::default()
    })
    .unwrap();
    let address = target.address;
    let both = [(); 2].map(|()| {
        std::thread::spawn(move || call(address, "POST", "/run", "{\"run_ms\":50}").unwrap())
    });
    for thread in both {
        assert_eq!(thread.join().unwrap().0, 200);
    }
    let ledger = target.ledger();
    assert!(ledger[1].started >= ledger[0].ended.unwrap());
}
