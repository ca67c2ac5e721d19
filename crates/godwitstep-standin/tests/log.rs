//! Tests of the log service and its faults.

mod client;

use client::{call, call_with_timeout};
use godwitstep_standin::log::{Control, Handle, MAX_RECORD_BYTES, Mode, Server, Settings};
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// Path of the records of stream `s`.
const RECORDS: &str = "/v1/streams/s/records";

fn start() -> Handle {
    Server::start(Settings::default()).expect("a free port")
}

/// Guards against reads that return other offsets or values than the appends.
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

/// Guards against a stand-in that is slower than the platform's log, which sustains several hundred
/// appends per second.
#[test]
fn sustains_500_appends_per_second() {
    let log = start();
    let mut stream = std::net::TcpStream::connect(log.address).unwrap();
    stream.set_nodelay(true).unwrap();
    let start_time = Instant::now();
    for _ in 0..500 {
        let request = format!("POST {RECORDS} HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\n7");
        stream.write_all(request.as_bytes()).unwrap();
        let mut response = [0; 1024];
        assert!(stream.read(&mut response).unwrap() > 0);
    }
    assert!(
        start_time.elapsed() < Duration::from_secs(1),
        "{:?}",
        start_time.elapsed()
    );
    assert_eq!(log.records("s").len(), 500);
}

/// Guards against records that no reader can parse, and against unbounded memory use.
#[test]
fn refuses_records_that_are_not_json_or_too_large() {
    let log = start();
    assert_eq!(call(log.address, "POST", RECORDS, "{").unwrap().0, 400);
    let large = format!("\"{}\"", "x".repeat(MAX_RECORD_BYTES));
    assert_eq!(call(log.address, "POST", RECORDS, &large).unwrap().0, 413);
    assert!(log.records("s").is_empty());
}

/// Guards against a lost reply whose append did not take effect.
#[test]
fn every_second_reply_is_lost_after_its_append_took_effect() {
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

/// Guards against a read of trimmed offsets that returns the oldest retained records instead, so
/// that the reader does not notice the gap.
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

/// Guards against an outage that leaves long polls waiting, and against appends that take effect
/// during it.
#[test]
fn an_outage_ends_waiting_reads() {
    let log = start();
    let address = log.address;
    let path = format!("{RECORDS}?from=0&wait_ms=9000");
    let reader = std::thread::spawn(move || {
        call_with_timeout(address, "GET", &path, "", LONG_POLL_TIMEOUT).unwrap()
    });
    std::thread::sleep(Duration::from_millis(100));
    let mode = Some(Mode::Down);
    log.control(&Control {
        mode,
        ..Control::default()
    });
    assert_eq!(reader.join().unwrap().0, 503);
    assert_eq!(call(address, "POST", RECORDS, "1").unwrap().0, 503);
    log.control(&Control {
        silent: Some(true),
        ..Control::default()
    });
    let timeout = Duration::from_millis(200);
    assert!(call_with_timeout(address, "GET", RECORDS, "", timeout).is_err());
    assert!(log.records("s").is_empty());
}

/// Client timeout, longer than the wait time of the reads.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against long polls that return without a record, or that wait until their timeout
/// although a record was appended.
#[test]
fn a_waiting_read_returns_an_appended_record() {
    let log = start();
    let address = log.address;
    let start_time = Instant::now();
    let path = format!("{RECORDS}?from=0&wait_ms=9000");
    let reader = std::thread::spawn(move || {
        call_with_timeout(address, "GET", &path, "", LONG_POLL_TIMEOUT).unwrap()
    });
    std::thread::sleep(Duration::from_millis(150));
    log.append("s", "7").unwrap();
    assert!(reader.join().unwrap().1.contains("\"value\":7"));
    assert!((150..5000).contains(&start_time.elapsed().as_millis()));
}

/// Guards against writers that treat a timeout as proof that nothing was appended.
#[test]
fn a_slow_append_takes_effect_after_its_caller_disconnected() {
    let log = start();
    log.control(&Control {
        mode: Some(Mode::Slow),
        delay_ms: Some(300),
        ..Control::default()
    });
    let timeout = Duration::from_millis(50);
    assert!(call_with_timeout(log.address, "POST", RECORDS, "1", timeout).is_err());
    assert!(log.records("s").is_empty());
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(log.records("s").len(), 1);
}
