//! The callers' interface.

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

const TIME: Duration = Duration::from_secs(5);
const INCARNATION: u64 = 77;
const PATH: &str = "/v1/services/s/requests";
const GOOD: [(&str, &str); 4] = [
    ("godwitstep-workspace", "w"),
    ("godwitstep-kind", "k"),
    ("godwitstep-key", "key"),
    ("godwitstep-attempt", "1"),
];

/// Returns a front with one workspace and one target, and the orders that it gives.
fn front(sink: impl Fn(&Frontend, AgentCommand) + 'static) -> Rc<Frontend> {
    let front = Rc::new_cyclic(|front: &Weak<Frontend>| {
        let front = front.clone();
        let options = Options {
            entry: "e".into(),
            incarnation: INCARNATION,
            settings: Settings::new("a").warm_up(Duration::ZERO),
            seed: 1,
        };
        Frontend::new(options, Arc::new(System::new()), move |order| {
            sink(&front.upgrade().unwrap(), order);
        })
    });
    let kind = Kind {
        name: "k".into(),
        priority: Priority::Urgent,
        objective_ms: 300,
        refund: 2.0,
    };
    let mut spec = Workspace::new(vec![kind]);
    front.handle(Event::Workspace {
        id: "w".into(),
        spec: Some(spec.clone()),
    });
    spec.token = Some("secret".to_owned());
    front.handle(Event::Workspace {
        id: "locked".into(),
        spec: Some(spec),
    });
    let (id, service, domain) = ("t1".into(), "s".into(), "a".into());
    front.handle(Event::TargetUp(Target {
        id,
        incarnation: 1,
        service,
        domain,
        slots: 2,
    }));
    front.handle(Event::Tick);
    front
}

fn reply(id: wire::RequestId, outcome: wire::Outcome) -> wire::Reply {
    wire::Reply {
        id,
        outcome,
        served: Duration::ZERO,
    }
}

/// Answers every request with its own body, and an answer to an earlier life of the entry first.
fn echo(front: &Frontend, order: AgentCommand) {
    if let AgentCommand::Send { target, request } = order {
        assert_eq!(&*request.key, "w/key");
        let old = wire::RequestId {
            incarnation: INCARNATION - 1,
            ..request.id
        };
        let stale = Bytes::from_static(b"answer of an earlier life");
        front.reply(
            target.clone(),
            reply(old, wire::Outcome::Answered { body: stale }),
        );
        front.reply(
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

async fn ask(front: &Frontend, request: Request<Bytes>) -> (StatusCode, serde_json::Value) {
    let response = front.serve(request.map(Full::new)).await;
    document(response).await
}

async fn document(response: Response<http::Body>) -> (StatusCode, serde_json::Value) {
    let status = response.status();
    let body = read(response.into_body(), 1 << 20, TIME).await.unwrap();
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

/// Guards against faults of callers that are accepted or told without the name of the field.
#[test]
fn faults_name_the_header_or_field() {
    let post = Method::POST;
    let change = |name: &'static str, value: Option<&'static str>| {
        let mut headers: Vec<_> = GOOD
            .into_iter()
            .filter(|(other, _)| *other != name)
            .collect();
        headers.extend(value.map(|value| (name, value)));
        headers
    };
    let long: &'static str = Box::leak("k".repeat(129).into_boxed_str());
    let rows = [
        ("godwitstep-workspace", None, 400),
        ("godwitstep-workspace", Some("other"), 404),
        ("godwitstep-kind", None, 400),
        ("godwitstep-kind", Some("other"), 404),
        ("godwitstep-key", None, 400),
        ("godwitstep-key", Some(""), 400),
        ("godwitstep-key", Some("two words"), 400),
        ("godwitstep-key", Some(long), 400),
        ("godwitstep-deadline-ms", Some("0"), 400),
        ("godwitstep-deadline-ms", Some("300001"), 400),
        ("godwitstep-deadline-ms", Some("1.5"), 400),
        ("godwitstep-idempotent", Some("yes"), 400),
        ("godwitstep-attempt", Some("0"), 400),
        ("godwitstep-atempt", Some("1"), 400),
    ];
    smol::block_on(async {
        let front = front(|_, order| panic!("{order:?} after a fault"));
        for (name, value, expected) in rows {
            let headers = change(name, value);
            let (status, body) = ask(&front, request(&post, PATH, &headers, Bytes::new())).await;
            assert_eq!(status.as_u16(), expected, "{name} {value:?}");
            assert_eq!(body["outcome"], "not_run");
            assert!(
                body["message"].as_str().unwrap().starts_with(name),
                "{body}"
            );
        }
        let mut twice = GOOD.to_vec();
        twice.push(("godwitstep-key", "other"));
        let (status, _) = ask(&front, request(&post, PATH, &twice, Bytes::new())).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
        for (token, expected) in [
            (None, 401),
            (Some("Basic secret"), 401),
            (Some("Bearer x"), 403),
        ] {
            let mut headers = change("godwitstep-workspace", Some("locked"));
            headers.extend(token.map(|token| ("authorization", token)));
            let (status, body) = ask(&front, request(&post, PATH, &headers, Bytes::new())).await;
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
            let (status, _) = ask(&front, request(method, path, &GOOD, Bytes::new())).await;
            assert_eq!(status.as_u16(), expected, "{method} {path}");
        }
        let large = vec![0; wire::MAX_BODY + 1].into();
        let (status, _) = ask(&front, request(&post, PATH, &GOOD, large)).await;
        assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(front.open(), 0);
    });
}

/// Guards against statuses and times to come back that differ from the design page.
#[test]
fn outcomes_map_to_http() {
    let not_run = |reason| {
        let retry_after = Some(Duration::from_millis(1_200));
        Outcome::NotRun(Refusal {
            reason,
            retry_after,
        })
    };
    let reason = Reason::TargetLost;
    let rows = [
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
        for (outcome, status, name, retry) in rows {
            let words = Bytes::from_static(b"out of thread");
            let response = respond("77-1", &outcome, words, Duration::from_secs(1));
            assert_eq!(response.headers()["godwitstep-outcome"], name);
            assert_eq!(response.headers()["godwitstep-request"], "77-1");
            let seconds = response.headers().get("retry-after").cloned();
            assert_eq!(seconds.is_some(), retry.is_some());
            if retry == Some(1_200) {
                assert_eq!(seconds.unwrap(), "2");
            }
            let (code, body) = document(response).await;
            assert_eq!(code.as_u16(), status, "{outcome:?}");
            assert_eq!(body["retry_after_ms"], serde_json::json!(retry));
            assert_eq!(body["request"], "77-1");
        }
    });
}

/// Guards against answers of an earlier life of the entry, lost bodies, and requests that are
/// refused or cut off while the entry stops.
#[test]
fn requests_are_answered_over_http() {
    smol::block_on(async {
        let front = front(echo);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = Client::new(listener.local_addr().unwrap());
        let (shutdown, signal) = Shutdown::new();
        let shared = front.clone();
        let server = http::serve(listener, Limits::default(), signal, async move |request| {
            shared.serve(request).await
        });
        let calls = async {
            let whole = Bytes::from(vec![7; wire::MAX_BODY]);
            for body in [Bytes::from_static(b"thread"), whole, Bytes::new()] {
                let request = request(&Method::POST, PATH, &GOOD, body.clone());
                let answer = client.exchange(request, TIME).await.unwrap();
                assert_eq!(answer.status(), StatusCode::OK);
                assert_eq!(answer.headers()["godwitstep-outcome"], "answered");
                assert_eq!(answer.body(), &body);
            }
            front.handle(Event::Stop);
            let request = request(&Method::POST, PATH, &GOOD, Bytes::new());
            let answer = client.exchange(request, TIME).await.unwrap();
            assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(answer.headers()["connection"], "close");
            assert_eq!(front.drain(TIME).await, 0);
            shutdown.start();
        };
        zip(server, calls).await;
        let line = &front.ledger().service_levels(std::time::SystemTime::now())[0];
        assert_eq!((line.on_time, line.refused), (3, 1));
    });
}

/// Guards against requests that stay open after their deadline or after their caller has left.
#[test]
fn deadlines_and_lost_callers_end_requests() {
    smol::block_on(async {
        let orders = Rc::new(RefCell::new(Vec::new()));
        let front = front({
            let orders = orders.clone();
            move |_, order| orders.borrow_mut().push(order)
        });
        let mut headers = GOOD.to_vec();
        headers.push(("godwitstep-idempotent", "true"));
        headers.push(("godwitstep-deadline-ms", "80"));
        let ticks = async {
            front.run().await;
            unreachable!()
        };
        let post = || request(&Method::POST, PATH, &headers, Bytes::new());
        let (status, body) = or(ask(&front, post()), ticks).await;
        assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(body["reason"], "deadline_unreachable");
        let given_up = async {
            smol::Timer::after(Duration::from_millis(20)).await;
        };
        let gone = async {
            ask(&front, post()).await;
        };
        or(given_up, gone).await;
        assert_eq!(front.open(), 0);
        let cancelled = |order: &&AgentCommand| matches!(order, AgentCommand::Cancel { .. });
        assert_eq!(orders.borrow().iter().filter(cancelled).count(), 2);
    });
}

/// Guards against work that goes on for callers whose connection is closed.
#[test]
fn a_closed_connection_ends_its_request() {
    smol::block_on(async {
        let front = front(|_, _| {});
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = Client::new(listener.local_addr().unwrap());
        let (shutdown, signal) = Shutdown::new();
        let shared = front.clone();
        let server = http::serve(listener, Limits::default(), signal, async move |request| {
            shared.serve(request).await
        });
        let calls = async {
            let request = request(&Method::POST, PATH, &GOOD, Bytes::new());
            let error = client
                .exchange(request, Duration::from_millis(50))
                .await
                .unwrap_err();
            assert!(error.sent);
            assert_eq!(front.drain(TIME).await, 0);
            shutdown.start();
        };
        zip(server, calls).await;
    });
}
