//! Tests of the sub-command `load` with a stand-in target and a server that answers like an entry.

use godwitstep_standin::serve::{
    HttpResponse, ServerThread, bind, json_text_response, read_body, serve_http,
};
use godwitstep_standin::target::{Server, Settings};
use hyper::StatusCode;
use std::net::SocketAddr;
use std::process::{Command, Output};

/// Starts a server that answers like an entry, without a target. Echoes the body of a request, or
/// answers with the outcome `not_run` if the body contains `refused`.
fn start_entry(refused: &'static str) -> (SocketAddr, ServerThread) {
    let (listener, address) = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let thread = ServerThread::start("entry", move |spawner| {
        serve_http(spawner, listener, 100, move |request| async move {
            assert_eq!(request.uri().path(), "/v1/services/s/requests");
            assert_eq!(request.headers()["godwitstep-workspace"], "w");
            let bytes = read_body(request, 1 << 20).await.unwrap();
            let is_refused = bytes
                .windows(refused.len())
                .any(|part| part == refused.as_bytes());
            Ok(if is_refused {
                with_outcome(
                    json_text_response(StatusCode::SERVICE_UNAVAILABLE, "{}"),
                    "not_run",
                )
            } else {
                with_outcome(json_text_response(StatusCode::OK, bytes), "answered")
            })
        });
    });
    (address, thread.unwrap())
}

/// Adds the outcome header of an entry to an answer.
fn with_outcome(mut answer: HttpResponse, outcome: &'static str) -> HttpResponse {
    let value = hyper::header::HeaderValue::from_static(outcome);
    answer.headers_mut().insert("godwitstep-outcome", value);
    answer
}

/// Runs the tool with arguments that are separated by spaces.
fn run_lab(arguments: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_godwitstep-lab"))
        .args(arguments.split(' '))
        .output()
        .unwrap()
}

/// Guards against requests to other machines: addresses that are not loopback addresses are
/// rejected, also as the second of a list.
#[test]
fn rejects_addresses_that_are_not_loopback() {
    for address in ["10.0.0.1:80", "0.0.0.0:80", "127.0.0.1:80,192.0.2.1:80"] {
        let output = run_lab(&format!(
            "load --entry {address} --seconds 1 --service s --workspace w --kind k"
        ));
        assert!(!output.status.success());
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(text.contains("not a loopback address"), "{text}");
    }
}

/// Guards against requests that are missing from the outcomes, and against figures that are
/// attributed to the wrong path.
#[test]
fn reports_outcomes_latency_and_processes() {
    let target = Server::start(Settings::default()).unwrap();
    let (entry, _thread) = start_entry("\"number\":3,");
    let (direct, pid) = (target.address, std::process::id());
    let output = run_lab(&format!(
        "load --entry {entry} --direct {direct} --rate 100 --seconds 1 --service s --workspace w --kind k \
         --run-ms 2 --pid test={pid}"
    ));
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<serde_json::Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let [entry, direct, added, process] = lines.as_slice() else {
        panic!("{text}");
    };
    assert_eq!(entry["outcomes"]["not_run"], 1, "{text}");
    let answered = entry["outcomes"]["answered"].as_u64().unwrap();
    assert_eq!(entry["requests"], answered + 1);
    let served = target.ledger().len();
    assert_eq!(direct["outcomes"]["answered"], served);
    assert!(served > 50 && answered > 50, "{text}");
    assert_eq!([&entry["late"], &direct["late"]], [0, 0]);
    assert!(direct["p50_ms"].as_f64().unwrap() >= 2.0, "{text}");
    // This entry has no target, so it answers faster than the target with its service time.
    assert!(added["added_p50_ms"].as_f64().unwrap() < 0.0, "{text}");
    assert_eq!(process["process"], "test");
    assert!(process["resident_mib"].as_f64().unwrap() > 1.0, "{text}");
}

/// Guards against requests that count as answered although the answer has another body or there is
/// no answer.
#[test]
fn reports_wrong_and_missing_answers() {
    let (listener, address) = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let _thread = ServerThread::start("entry", move |spawner| {
        serve_http(spawner, listener, 100, |_| async {
            Ok(with_outcome(
                json_text_response(StatusCode::OK, "{}"),
                "answered",
            ))
        });
    });
    let arguments = "--rate 20 --seconds 1 --service s --workspace w --kind k";
    let output = run_lab(&format!("load --entry {address} {arguments}"));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(
        text.contains("\"wrong\"") && !text.contains("\"answered\""),
        "{text}"
    );
    let (listener, _) = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let output = run_lab(&format!("load --entry {closed} {arguments}"));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("\"no_answer\""), "{text}");
}
