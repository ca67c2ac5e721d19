//! Tests of the HTTP interface for callers.

use bytes::Bytes;
use godwitstep::caller::{AgentCommand, Frontend, Options, respond};
use godwitstep::http::{self, Client, Limits, Shutdown, read};
use godwitstep_core::Reason;
use godwitstep_core::clock::System;
use godwitstep_core::resource::{Kind, Priority, Workspace};
use godwitstep_core::router::{Event, Outcome, Refusal, Settings, Target};
use godwitstep_wire as wire;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};
use smol::future::{or, zip};
use smol::net::TcpListener;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

/// Time limit of every exchange.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Incarnation of the entry.
const INCARNATION: u64 = 77;
/// Path of requests to the only service.
const PATH: &str = "/v1/services/s/requests";
/// Headers of a valid request.
const VALID_HEADERS: [(&str, &str); 4] = [
    ("godwitstep-workspace", "w"),
    ("godwitstep-kind", "k"),
    ("godwitstep-key", "key"),
    ("godwitstep-attempt", "1"),
];

/// Returns a frontend with one target and two workspaces, of which only `locked` requires a token.
/// Commands to agents are passed to `sink`.
fn new_frontend(sink: impl Fn(&Frontend, AgentCommand) + 'static) -> Rc<Frontend> {
    let frontend = Rc::new_cyclic(|frontend: &Weak<Frontend>| {
        let frontend = frontend.clone();
        let options = Options {
            entry: "e".into(),
            incarnation: INCARNATION,
            settings: Settings::new("a").warm_up(Duration::ZERO),
            seed: 1,
        };
        Frontend::new(options, Arc::new(System::new()), move |command| {
            sink(&frontend.upgrade().unwrap(), command);
        })
    });
    let kind = Kind {
        name: "k".into(),
        priority: Priority::Urgent,
        objective_ms: 300,
        refund: 2.0,
    };
    let mut spec = Workspace::new(vec![kind]);
    frontend.handle(Event::Workspace {
        id: "w".into(),
        spec: Some(spec.clone()),
    });
    spec.token = Some("secret".to_owned());
    frontend.handle(Event::Workspace {
        id: "locked".into(),
        spec: Some(spec),
    });
    let (id, service, domain) = ("t1".into(), "s".into(), "a".into());
    frontend.handle(Event::TargetUp(Target {
        id,
        incarnation: 1,
        service,
        domain,
        slots: 2,
    }));
    frontend.handle(Event::Tick);
    frontend
}

fn reply(id: wire::RequestId, outcome: wire::Outcome) -> wire::Reply {
    wire::Reply {
        id,
        outcome,
        served: Duration::ZERO,
    }
}

/// Replies to every request with its own body, after a reply to an earlier incarnation of the entry.
fn echo(frontend: &Frontend, command: AgentCommand) {
    if let AgentCommand::Send { target, request } = command {
        assert_eq!(&*request.key, "w/key");
        let outdated_id = wire::RequestId {
            incarnation: INCARNATION - 1,
            ..request.id
        };
        let outdated_body = Bytes::from_static(b"answer to an earlier incarnation");
        frontend.reply(
            target.clone(),
            reply(
                outdated_id,
                wire::Outcome::Answered {
                    body: outdated_body,
                },
            ),
        );
        frontend.reply(
            target,
            reply(request.id, wire::Outcome::Answered { body: request.body }),
        );
    }
}

fn request(method: &Method, path: &str, headers: &[(&str, &str)], body: Bytes) -> Request<Bytes> {
    let mut builder = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(body).unwrap()
}

/// Passes a request to the frontend and returns the status and body of the response.
async fn call(frontend: &Frontend, request: Request<Bytes>) -> (StatusCode, serde_json::Value) {
    let response = frontend.serve(request.map(Full::new)).await;
    read_response(response).await
}

async fn read_response(response: Response<http::Body>) -> (StatusCode, serde_json::Value) {
    let status = response.status();
    let body = read(response.into_body(), 1 << 20, TIMEOUT).await.unwrap();
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

/// Guards against invalid requests that are accepted, and against errors that do not name the invalid
/// header.
#[test]
fn errors_name_the_invalid_header() {
    let post = Method::POST;
    let replace_header = |name: &'static str, value: Option<&'static str>| {
        let mut headers: Vec<_> = VALID_HEADERS
            .into_iter()
            .filter(|(other, _)| *other != name)
            .collect();
        headers.extend(value.map(|value| (name, value)));
        headers
    };
    let overlong_key: &'static str = Box::leak("k".repeat(129).into_boxed_str());
    let cases = [
        ("godwitstep-workspace", None, 400),
        ("godwitstep-workspace", Some("other"), 404),
        ("godwitstep-kind", None, 400),
        ("godwitstep-kind", Some("other"), 404),
        ("godwitstep-key", None, 400),
        ("godwitstep-key", Some(""), 400),
        ("godwitstep-key", Some("two words"), 400),
        ("godwitstep-key", Some(overlong_key), 400),
        ("godwitstep-deadline-ms", Some("0"), 400),
        ("godwitstep-deadline-ms", Some("300001"), 400),
        ("godwitstep-deadline-ms", Some("1.5"), 400),
        ("godwitstep-idempotent", Some("yes"), 400),
        ("godwitstep-attempt", Some("0"), 400),
        ("godwitstep-atempt", Some("1"), 400),
    ];
    smol::block_on(async {
        let frontend = new_frontend(|_, command| panic!("{command:?} for an invalid request"));
        for (name, value, expected) in cases {
            let headers = replace_header(name, value);
            let (status, body) =
                call(&frontend, request(&post, PATH, &headers, Bytes::new())).await;
            assert_eq!(status.as_u16(), expected, "{name} {value:?}");
            assert_eq!(body["outcome"], "not_run");
            assert!(
                body["message"].as_str().unwrap().starts_with(name),
                "{body}"
            );
        }
        let mut duplicate_key = VALID_HEADERS.to_vec();
        duplicate_key.push(("godwitstep-key", "other"));
        let (status, _) = call(
            &frontend,
            request(&post, PATH, &duplicate_key, Bytes::new()),
        )
        .await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
        for (token, expected) in [
            (None, 401),
            (Some("Basic secret"), 401),
            (Some("Bearer x"), 403),
        ] {
            let mut headers = replace_header("godwitstep-workspace", Some("locked"));
            headers.extend(token.map(|token| ("authorization", token)));
            let (status, body) =
                call(&frontend, request(&post, PATH, &headers, Bytes::new())).await;
            assert_eq!(status.as_u16(), expected);
            assert!(
                body["message"]
                    .as_str()
                    .unwrap()
                    .starts_with("authorization")
            );
        }
        for (method, path, expected) in [
            (&post, "/v1/services/s", 404),
            (&post, "/v1/services/a/b/requests", 404),
            (&post, "/v1/services/%20/requests", 400),
            (&Method::GET, PATH, 405),
        ] {
            let (status, _) = call(
                &frontend,
                request(method, path, &VALID_HEADERS, Bytes::new()),
            )
            .await;
            assert_eq!(status.as_u16(), expected, "{method} {path}");
        }
        let large = vec![0; wire::MAX_BODY_BYTES + 1].into();
        let (status, _) = call(&frontend, request(&post, PATH, &VALID_HEADERS, large)).await;
        assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(frontend.open(), 0);
    });
}

/// Guards against statuses and retry delays that differ from the documented interface.
#[test]
fn outcomes_map_to_http_responses() {
    let not_run = |reason| {
        let retry_after = Some(Duration::from_millis(1_200));
        Outcome::NotRun(Refusal {
            reason,
            retry_after,
        })
    };
    let reason = Reason::TargetLost;
    let cases = [
        (Outcome::Failed { target: "t".into() }, 502, "failed", None),
        (not_run(Reason::LimitReached), 429, "not_run", Some(1_200)),
        (not_run(Reason::NoTarget), 503, "not_run", Some(1_200)),
        (not_run(Reason::Halted), 503, "not_run", Some(1_200)),
        (not_run(Reason::Stopping), 503, "not_run", Some(1_200)),
        (
            not_run(Reason::DeadlineUnreachable),
            504,
            "not_run",
            Some(1_200),
        ),
        (Outcome::Unknown { reason }, 500, "unknown", Some(1_000)),
    ];
    smol::block_on(async {
        for (outcome, status, name, retry_after_ms) in cases {
            let body = Bytes::from_static(b"out of thread");
            let response = respond("77-1", &outcome, body, Duration::from_secs(1));
            assert_eq!(response.headers()["godwitstep-outcome"], name);
            assert_eq!(response.headers()["godwitstep-request"], "77-1");
            let retry_after = response.headers().get("retry-after").cloned();
            assert_eq!(retry_after.is_some(), retry_after_ms.is_some());
            if retry_after_ms == Some(1_200) {
                assert_eq!(retry_after.unwrap(), "2");
            }
            let (actual_status, body) = read_response(response).await;
            assert_eq!(actual_status.as_u16(), status, "{outcome:?}");
            assert_eq!(body["retry_after_ms"], serde_json::json!(retry_after_ms));
            assert_eq!(body["request"], "77-1");
        }
    });
}

/// Guards against replies to requests of an earlier incarnation of the entry, lost bodies, and
/// requests that are refused or aborted while the entry stops.
#[test]
fn requests_are_answered_over_http() {
    smol::block_on(async {
        let frontend = new_frontend(echo);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = Client::new(listener.local_addr().unwrap());
        let (shutdown, signal) = Shutdown::new();
        let shared = frontend.clone();
        let server = http::serve(listener, Limits::default(), signal, async move |request| {
            shared.serve(request).await
        });
        let calls = async {
            let largest = Bytes::from(vec![7; wire::MAX_BODY_BYTES]);
            for body in [Bytes::from_static(b"thread"), largest, Bytes::new()] {
                let request = request(&Method::POST, PATH, &VALID_HEADERS, body.clone());
                let response = client.exchange(request, TIMEOUT).await.unwrap();
                assert_eq!(response.status(), StatusCode::OK);
                assert_eq!(response.headers()["godwitstep-outcome"], "answered");
                assert_eq!(response.body(), &body);
            }
            frontend.handle(Event::Stop);
            let request = request(&Method::POST, PATH, &VALID_HEADERS, Bytes::new());
            let response = client.exchange(request, TIMEOUT).await.unwrap();
            assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(response.headers()["connection"], "close");
            assert_eq!(frontend.drain(TIMEOUT).await, 0);
            shutdown.start();
        };
        zip(server, calls).await;
        let service_level = &frontend
            .ledger()
            .service_levels(std::time::SystemTime::now())[0];
        assert_eq!((service_level.on_time, service_level.refused), (3, 1));
    });
}

/// Guards against requests that stay open after their deadline or after their caller has
/// disconnected.
#[test]
fn deadlines_and_disconnected_callers_end_requests() {
    smol::block_on(async {
        let commands = Rc::new(RefCell::new(Vec::new()));
        let frontend = new_frontend({
            let commands = commands.clone();
            move |_, command| commands.borrow_mut().push(command)
        });
        let mut headers = VALID_HEADERS.to_vec();
        headers.push(("godwitstep-idempotent", "true"));
        headers.push(("godwitstep-deadline-ms", "80"));
        let run_frontend = async {
            frontend.run().await;
            unreachable!()
        };
        let post = || request(&Method::POST, PATH, &headers, Bytes::new());
        let (status, body) = or(call(&frontend, post()), run_frontend).await;
        assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(body["reason"], "deadline_unreachable");
        let disconnect = async {
            smol::Timer::after(Duration::from_millis(20)).await;
        };
        let pending_call = async {
            call(&frontend, post()).await;
        };
        or(disconnect, pending_call).await;
        assert_eq!(frontend.open(), 0);
        let is_cancel = |command: &&AgentCommand| matches!(command, AgentCommand::Cancel { .. });
        assert_eq!(commands.borrow().iter().filter(is_cancel).count(), 2);
    });
}

/// Guards against requests that stay open after the connection of their caller was closed.
#[test]
fn a_closed_connection_ends_its_request() {
    smol::block_on(async {
        let frontend = new_frontend(|_, _| {});
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = Client::new(listener.local_addr().unwrap());
        let (shutdown, signal) = Shutdown::new();
        let shared = frontend.clone();
        let server = http::serve(listener, Limits::default(), signal, async move |request| {
            shared.serve(request).await
        });
        let calls = async {
            let request = request(&Method::POST, PATH, &VALID_HEADERS, Bytes::new());
            let error = client
                .exchange(request, Duration::from_millis(50))
                .await
                .unwrap_err();
            assert!(error.sent);
            assert_eq!(frontend.drain(TIMEOUT).await, 0);
            shutdown.start();
        };
        zip(server, calls).await;
    });
}
