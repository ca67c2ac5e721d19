//! The operators' interface over a store that folds each record at once.

use bytes::Bytes;
use futures_util::StreamExt;
use godwitstep::http::{self, Shutdown, Signal};
use godwitstep::resources::{self, ChangeError, Collection, Proposal, Review, Spec, Store};
use godwitstep_core::id::Offset;
use godwitstep_core::reason::Reason;
use godwitstep_core::record::{Envelope, Event};
use godwitstep_core::registry::{Outcome, Registry, Stream};
use godwitstep_core::resource::Fault;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use serde_json::{Map, Value, json};
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

struct Fake {
    registry: RefCell<Registry>,
    failure: RefCell<Option<ChangeError>>,
    appends: Cell<u64>,
    shutdown: Shutdown,
    signal: Signal,
}

impl Store for Fake {
    fn read<T>(&self, look: impl FnOnce(&Registry) -> T) -> T {
        look(&self.registry.borrow())
    }

    async fn change(
        &self,
        stream: Stream,
        events: Vec<Event>,
    ) -> Result<Vec<Outcome>, ChangeError> {
        if let Some(failure) = self.failure.borrow().clone() {
            return Err(failure);
        }
        self.appends.set(self.appends.get() + 1);
        let record = Envelope::new("entry-1", 1, self.appends.get(), events);
        let mut registry = self.registry.borrow_mut();
        let offset = registry.position(stream);
        let fold = registry.fold(stream, offset, &record, Duration::ZERO);
        Ok(fold.expect("no gap").outcomes)
    }

    async fn wait_past(&self, stream: Stream, position: Offset) {
        while self.registry.borrow().position(stream) <= position {
            Timer::after(Duration::from_millis(1)).await;
        }
    }

    fn review(&self, proposal: Proposal<'_>) -> Review {
        let mut review = Review::default();
        if let Proposal::Put(document) = proposal
            && let Spec::Workspace(spec) = &document.spec
            && spec.rank > 100
        {
            let fault = Fault::new("spec.guarantees", "96 accelerators", "80 in service");
            review.faults.push(fault);
        }
        review.effect = json!({"moved": ["job-1"]});
        review
    }

    fn status(&self, collection: Collection, _name: &str) -> Map<String, Value> {
        let mut status = Map::new();
        status.insert("seen_in".to_owned(), collection.plural().into());
        status
    }

    fn signal(&self) -> Signal {
        self.signal.clone()
    }

    fn ready(&self) -> Result<(), Reason> {
        Err(Reason::LogUnavailable)
    }

    fn metrics(&self) -> String {
        "up 1\n".to_owned()
    }

    fn overview(&self) -> Value {
        json!({})
    }

    fn report(&self) -> Value {
        json!({})
    }
}

fn store() -> Rc<Fake> {
    let (shutdown, signal) = Shutdown::new();
    Rc::new(Fake {
        registry: RefCell::new(Registry::new("dk-vest")),
        failure: RefCell::default(),
        appends: Cell::new(0),
        shutdown,
        signal,
    })
}

async fn send(store: &Rc<Fake>, line: &str, body: impl ToString) -> Response<http::Body> {
    let mut words = line.split(' ');
    let mut request = Request::builder()
        .method(words.next().expect("a method"))
        .uri(words.next().expect("a path"));
    if let (Some(name), Some(value)) = (words.next(), words.next()) {
        request = request.header(name, value);
    }
    let body = Full::new(Bytes::from(body.to_string()));
    resources::handle(store, request.body(body).expect("legal")).await
}

/// Sends a request, given as method, path and at most one header, and returns the status and body.
async fn call(store: &Rc<Fake>, line: &str, body: impl ToString) -> (u16, Value) {
    let response = send(store, line, body).await;
    let status = response.status().as_u16();
    let body = http::read(response.into_body(), 1 << 20, Duration::from_secs(5)).await;
    let bytes = body.expect("a body");
    (status, serde_json::from_slice(&bytes).unwrap_or_default())
}

fn domain(in_service: bool) -> Value {
    json!({"spec": {"region": "dk-vest", "in_service": in_service}})
}

fn workspace(rank: u32) -> Value {
    let kind = json!({"name": "confirmation", "priority": "normal", "objective_ms": 500});
    json!({"spec": {"rank": rank, "kinds": [kind]}})
}

fn job(tasks: u32) -> Value {
    let shape = json!({"tasks": tasks, "accelerators": 1});
    json!({"spec": {"workspace": "desk", "kind": "confirmation", "shape": shape}})
}

/// Guards against an operator overwriting a change that they have not seen.
#[test]
fn conditional_changes_have_one_winner() {
    smol::block_on(async {
        let store = store();
        let (status, made) = call(&store, "PUT /v1/domains/a if-none-match *", domain(true)).await;
        assert_eq!(
            (status, &made["version"], &made["status"]["seen_in"]),
            (201, &json!(0), &json!("domains"))
        );
        let (status, lost) = call(&store, "PUT /v1/domains/a if-none-match *", domain(false)).await;
        assert_eq!((status, &lost["current"]["version"]), (409, &json!(0)));
        assert_eq!(lost["error"]["code"], "conflict");
        let (status, won) = call(&store, "PUT /v1/domains/a if-match \"0\"", domain(false)).await;
        assert_eq!(
            (status, &won["status"]["phase"]),
            (200, &json!("out_of_service"))
        );
        let newest = won["version"].clone();
        let mut edited = domain(true);
        edited["version"] = json!(0);
        for (line, body) in [
            ("PUT /v1/domains/a if-match 0", domain(true)),
            ("PUT /v1/domains/a", edited),
            ("DELETE /v1/domains/a if-match 0", Value::Null),
        ] {
            let (status, lost) = call(&store, line, body).await;
            assert_eq!(
                (status, &lost["current"]["version"]),
                (409, &newest),
                "{line}"
            );
        }
        let (status, same) = call(&store, "PUT /v1/domains/a", domain(false)).await;
        assert_eq!((status, &same["version"]), (200, &newest));
        assert_eq!(call(&store, "DELETE /v1/domains/a", "").await.0, 200);
        assert_eq!(call(&store, "DELETE /v1/domains/a", "").await.0, 404);
        assert_eq!(call(&store, "GET /v1/domains/a", "").await.0, 404);
    });
}

/// Guards against a fault that is taken for success, and against errors without code or faults.
#[test]
fn faulty_requests_are_named() {
    smol::block_on(async {
        let store = store();
        let faulty = json!({"spec": {"kinds": [], "max_queued": 0}, "sepc": 1}).to_string();
        let large = " ".repeat(300 * 1024);
        for (line, body, status, path) in [
            ("PUT /v1/workspaces/w", "{", 400, "line 1 column 1"),
            ("PUT /v1/workspaces/w", "[]", 422, "(document)"),
            ("PUT /v1/workspaces/w", &*faulty, 422, "sepc"),
            (
                "PUT /v1/workspaces/w",
                "{\"name\": \"v\", \"spec\": {}}",
                422,
                "name",
            ),
            (
                "PUT /v1/workspaces/w",
                "{\"spec\": {\"rnak\": 1}}",
                422,
                "spec.rnak",
            ),
            ("PUT /v1/workspaces/w+", "{}", 422, "name"),
            (
                "PUT /v1/workspaces/w if-match old",
                &workspace(1).to_string(),
                400,
                "if-match",
            ),
            (
                "PUT /v1/workspaces/w",
                &workspace(101).to_string(),
                422,
                "spec.guarantees",
            ),
            ("PUT /v1/jobs/j", &job(1).to_string(), 422, "spec.workspace"),
            ("PUT /v1/workspaces/w", &large, 413, ""),
            ("GET /v1/workspaces?limit=0&form=1", "", 400, "query.limit"),
            ("GET /v1/pods", "", 404, ""),
            ("PATCH /v1/workspaces/w", "", 405, ""),
            ("POST /v1/workspaces", "", 405, ""),
        ] {
            let (got, error) = call(&store, line, body).await;
            assert_eq!(got, status, "{line}: {error}");
            assert!(error["error"]["code"].is_string() && error["error"]["message"].is_string());
            let first = &error["error"]["faults"][0];
            assert!(path.is_empty() || first["path"] == path, "{line}: {error}");
        }
        let (_, error) = call(&store, "PUT /v1/workspaces/w", faulty).await;
        assert_eq!(error["error"]["faults"].as_array().map(Vec::len), Some(3));
        assert_eq!(store.appends.get(), 0);
    });
}

/// Guards against a dry run that changes something or passes over what a real run would refuse.
#[test]
fn dry_run_changes_nothing() {
    smol::block_on(async {
        let store = store();
        let path = "/v1/domains/a?dry_run=true";
        let (status, shown) = call(&store, &format!("PUT {path}"), domain(true)).await;
        assert_eq!(
            (status, &shown["change"], &shown["effect"]["moved"][0]),
            (200, &json!("create"), &json!("job-1"))
        );
        call(&store, "PUT /v1/domains/a", domain(true)).await;
        let (_, shown) = call(&store, &format!("PUT {path}"), domain(false)).await;
        assert_eq!(
            (&shown["change"], &shown["current"]["version"]),
            (&json!("update"), &json!(0))
        );
        assert_eq!(
            call(&store, &format!("PUT {path} if-match 7"), domain(false))
                .await
                .0,
            409
        );
        assert_eq!(
            call(&store, &format!("DELETE {path}"), "").await.1["change"],
            "remove"
        );
        assert_eq!(store.appends.get(), 1);
    });
}

/// Guards against a submission that is repeated after a lost reply and makes two jobs.
#[test]
fn jobs_are_submitted_once_and_cancelled() {
    smol::block_on(async {
        let store = store();
        call(&store, "PUT /v1/workspaces/desk", workspace(1)).await;
        let mut named = job(2);
        named["name"] = "j".into();
        assert_eq!(call(&store, "POST /v1/jobs", &named).await.0, 201);
        let (status, same) = call(&store, "PUT /v1/jobs/j", job(2)).await;
        assert_eq!((status, &same["status"]["phase"]), (200, &json!("queued")));
        assert_eq!(call(&store, "PUT /v1/jobs/j", job(3)).await.0, 409);
        assert_eq!(call(&store, "DELETE /v1/jobs/k", "").await.0, 404);
        let (status, ended) = call(&store, "DELETE /v1/jobs/j", "").await;
        assert_eq!(
            (status, &ended["status"]["phase"]),
            (200, &json!("cancelled"))
        );
        assert_eq!(ended["status"]["reason"]["message"], "cancelled on request");
        assert_eq!(call(&store, "DELETE /v1/jobs/j", "").await.0, 200);
    });
}

/// Guards against an operator being told the wrong outcome while the log is away.
#[test]
fn log_outages_are_told_apart() {
    smol::block_on(async {
        let store = store();
        let retry_after = Duration::from_millis(2_100);
        let not_run = ChangeError::NotRun {
            reason: Reason::LogUnavailable,
            retry_after,
        };
        store.failure.replace(Some(not_run));
        let response = send(&store, "PUT /v1/domains/a", domain(true)).await;
        assert_eq!(response.headers()["retry-after"], "3");
        let (status, error) = call(&store, "PUT /v1/domains/a", domain(true)).await;
        assert_eq!(
            (status, &error["error"]["code"], &error["retry_after_ms"]),
            (503, &json!("not_run"), &json!(2_100))
        );
        store.failure.replace(Some(ChangeError::Unknown));
        let (status, error) = call(&store, "DELETE /v1/domains/a", "").await;
        assert_eq!((status, &error["error"]["code"]), (500, &json!("unknown")));
        assert_eq!(call(&store, "GET /readyz", "").await.0, 503);
    });
}

/// Guards against pages that overlap or leave resources out.
#[test]
fn lists_come_in_pages() {
    smol::block_on(async {
        let store = store();
        for index in 0..5 {
            call(&store, &format!("PUT /v1/domains/d{index}"), domain(true)).await;
        }
        let mut names = Vec::new();
        let mut after = String::new();
        loop {
            let line = format!("GET /v1/domains?limit=2&after={after}");
            let (_, page) = call(&store, &line, "").await;
            assert_eq!(page["version"], 5);
            let items = page["items"].as_array().cloned().unwrap_or_default();
            names.extend(items.iter().map(|item| item["name"].to_string()));
            match page["next"].as_str() {
                Some(next) => next.clone_into(&mut after),
                None => break,
            }
        }
        assert_eq!(names, ["\"d0\"", "\"d1\"", "\"d2\"", "\"d3\"", "\"d4\""]);
    });
}

async fn line(body: &mut (impl futures_util::Stream<Item = Bytes> + Unpin)) -> Option<Value> {
    body.next()
        .await
        .map(|bytes| serde_json::from_slice(&bytes).expect("one line"))
}

/// Guards against a watch that misses a change, shows those of others, hangs at shutdown, or starts
/// silently after history that is gone.
#[test]
fn watch_follows_resumes_and_ends() {
    smol::block_on(async {
        let store = store();
        call(&store, "PUT /v1/workspaces/desk", workspace(1)).await;
        call(&store, "PUT /v1/domains/a", domain(true)).await;
        let watch = async |from: &str| {
            let line = format!("GET /v1/domains?watch=true&from={from}");
            let response = send(&store, &line, "").await;
            assert_eq!(response.status(), 200);
            let data = response.into_body().into_data_stream();
            Box::pin(data.map(|part| part.expect("a part")))
        };
        let mut lines = watch("0").await;
        let first = line(&mut lines).await.expect("a line");
        assert_eq!(
            (&first["type"], &first["object"]["name"]),
            (&json!("put"), &json!("a"))
        );
        let change = async {
            Timer::after(Duration::from_millis(5)).await;
            call(&store, "PUT /v1/domains/a", domain(false)).await;
        };
        let (seen, ()) = smol::future::zip(line(&mut lines), change).await;
        let seen = seen.expect("a line");
        assert_eq!(
            (&seen["version"], &seen["object"]["version"]),
            (&json!(3), &json!(2))
        );
        call(&store, "DELETE /v1/domains/a", "").await;
        let mut resumed = watch(&seen["version"].to_string()).await;
        let next = line(&mut resumed).await.expect("a line");
        assert_eq!(
            (&next["type"], &next["object"]["name"]),
            (&json!("delete"), &json!("a"))
        );
        for _ in 0..2_500 {
            call(&store, "PUT /v1/domains/a", domain(true)).await;
            call(&store, "DELETE /v1/domains/a", "").await;
        }
        let (status, gone) = call(&store, "GET /v1/domains?watch=true&from=3", "").await;
        assert_eq!((status, &gone["relist"]), (410, &json!(true)));
        assert_eq!(line(&mut lines).await.expect("a line")["type"], "relist");
        assert_eq!(line(&mut lines).await, None);
        let mut late = watch("999999").await;
        assert_eq!(line(&mut late).await.expect("a line")["type"], "bookmark");
        store.shutdown.start();
        assert_eq!(line(&mut late).await, None);
    });
}
