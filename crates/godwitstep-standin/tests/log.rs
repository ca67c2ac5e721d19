//! The log service and its faults.

mod client;

use client::{call, call_within};
use godwitstep_standin::log::{Control, Handle, MAX_RECORD_BYTES, Mode, Server, Settings};
use std::io::{Read, Write};
use std::time::{Duration, Instant};

const RECORDS: &str = "/v1/streams/s/records";

fn start() -> Handle {
    Server::start(Settings::default()).expect("a free port")
}

/// Guards against readers that see other offsets than the writers got.
#[test]
fn offsets_and_values_are_read_as_appended() {
    let log = start();
    for offset in 0..3 {
        let value = format!("{{\"n\":{offset}}}");
        let appended = call(log.address, "POST", RECORDS, &value).unwrap();
        assert_eq!(appended, (200, format!("{{\"offset\":{offset}}}")));
    }
    let page = call(log.address, "GET", &format!("{RECORDS}?from=1&limit=1"), "").unwrap();
    let text = "{\"start\":0,\"tail\":3,\"records\":[{\"offset\":1,\"value\":{\"n\":1}}]}";
    assert_eq!(page, (200, text.to_owned()));
}

/// Guards against a stand-in that takes fewer appends a second than the platform's several hundred.
#[test]
fn takes_five_hundred_appends_a_second() {
    let log = start();
    let mut stream = std::net::TcpStream::connect(log.address).unwrap();
    stream.set_nodelay(true).unwrap();
    let begin = Instant::now();
    for _ in 0..500 {
        let request = format!("POST {RECORDS} HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\n7");
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = [0; 1024];
        assert!(stream.read(&mut answer).unwrap() > 0);
    }
    assert!(
        begin.elapsed() < Duration::from_secs(1),
        "{:?}",
        begin.elapsed()
    );
    assert_eq!(log.records("s").len(), 500);
}

/// Guards against records that no reader can parse, and against unbounded memory.
#[test]
fn refuses_what_is_no_json_or_too_large() {
    let log = start();
    assert_eq!(call(log.address, "POST", RECORDS, "{").unwrap().0, 400);
    let large = format!("\"{}\"", "x".repeat(MAX_RECORD_BYTES));
    assert_eq!(call(log.address, "POST", RECORDS, &large).unwrap().0, 413);
    assert!(log.records("s").is_empty());
}

/// Guards against a lost reply that stands for an append without effect.
#[test]
fn every_second_reply_is_lost_after_the_effect() {
    let log = start();
    let control = "{\"lose_reply_every\":2}";
    assert_eq!(
        call(log.address, "PUT", "/control", control).unwrap().0,
        200
    );
    assert!(call(log.address, "POST", RECORDS, "1").is_ok());
    assert!(call(log.address, "POST", RECORDS, "2").is_err());
    assert!(call(log.address, "POST", RECORDS, "3").is_ok());
    assert_eq!(log.records("s").len(), 3);
}

/// Guards against readers that take a gap for the start of the stream.
#[test]
fn trimmed_offsets_are_gone() {
    let log = start();
    for value in 0..5 {
        log.append("s", &value.to_string()).unwrap();
    }
    let retention_records = Some(2);
    log.control(&Control {
        retention_records,
        ..Control::default()
    });
    let gone = call(log.address, "GET", &format!("{RECORDS}?from=2"), "").unwrap();
    assert_eq!(gone, (410, "{\"start\":3}".to_owned()));
    assert_eq!(log.records("s"), [(3, "3".into()), (4, "4".into())]);
}

/// Guards against an outage that readers in a long poll do not notice.
#[test]
fn an_outage_ends_waiting_reads() {
    let log = start();
    let address = log.address;
    let path = format!("{RECORDS}?from=0&wait_ms=9000");
    let waiting = std::thread::spawn(move || call_within(address, "GET", &path, "", TEN).unwrap());
    std::thread::sleep(Duration::from_millis(100));
    let mode = Some(Mode::Down);
    log.control(&Control {
        mode,
        ..Control::default()
    });
    assert_eq!(waiting.join().unwrap().0, 503);
    assert_eq!(call(address, "POST", RECORDS, "1").unwrap().0, 503);
    log.control(&Control {
        silent: Some(true),
        ..Control::default()
    });
    let limit = Duration::from_millis(200);
    assert!(call_within(address, "GET", RECORDS, "", limit).is_err());
    assert!(log.records("s").is_empty());
}

const TEN: Duration = Duration::from_secs(10);

/// Guards against reads that poll in a loop or wait out their time although a record is there.
#[test]
fn a_waiting_read_returns_with_the_record() {
    let log = start();
    let address = log.address;
    let begin = Instant::now();
    let path = format!("{RECORDS}?from=0&wait_ms=9000");
    let waiting = std::thread::spawn(move || call_within(address, "GET", &path, "", TEN).unwrap());
    std::thread::sleep(Duration::from_millis(150));
    log.append("s", "7").unwrap();
    assert!(waiting.join().unwrap().1.contains("\"value\":7"));
    assert!((150..5000).contains(&begin.elapsed().as_millis()));
}

/// Guards against writers that take a time-out for proof that nothing was appended.
#[test]
fn a_slow_append_takes_effect_after_its_caller_has_gone() {
    let log = start();
    log.control(&Control {
        mode: Some(Mode::Slow),
        delay_ms: Some(300),
        ..Control::default()
    });
    let limit = Duration::from_millis(50);
    assert!(call_within(log.address, "POST", RECORDS, "1", limit).is_err());
    assert!(log.records("s").is_empty());
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(log.records("s").len(), 1);
}
