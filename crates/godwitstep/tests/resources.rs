//! Tests of the operator API on a store that applies each record at once.

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

struct FakeStore {
    registry: RefCell<Registry>,
    /// Error of all changes, if set.
    change_error: RefCell<Option<ChangeError>>,
    /// Number of appended records.
    appends: Cell<u64>,
    shutdown: Shutdown,
    signal: Signal,
}

impl Store for FakeStore {
    fn read<T>(&self, query: impl FnOnce(&Registry) -> T) -> T {
        query(&self.registry.borrow())
    }

    async fn change(
        &self,
        stream: Stream,
        events: Vec<Event>,
    ) -> Result<Vec<Outcome>, ChangeError> {
        if let Some(error) = self.change_error.borrow().clone() {
            return Err(error);
        }
        self.appends.set(self.appends.get() + 1);
        let record = Envelope::new("entry-1", 1, self.appends.get(), events);
        let mut registry = self.registry.borrow_mut();
        let offset = registry.position(stream);
        let applied = registry.fold(stream, offset, &record, Duration::ZERO);
        Ok(applied.expect("no gap").outcomes)
    }

    async fn wait_past(&self, stream: Stream, position: Offset) {
        while self.registry.borrow().position(stream) <= position {
            Timer::after(Duration::from_millis(1)).await;
        }
    }

    /// Refuses workspaces with a rank above 100, as if the capacity were too small for their
    /// guarantees.
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

fn store() -> Rc<FakeStore> {
    let (shutdown, signal) = Shutdown::new();
    Rc::new(FakeStore {
        registry: RefCell::new(Registry::new("dk-vest")),
        change_error: RefCell::default(),
        appends: Cell::new(0),
        shutdown,
        signal,
    })
}

/// Sends a request, given as method, path and at most one header with its value, separated by spaces.
async fn send(store: &Rc<FakeStore>, line: &str, body: impl ToString) -> Response<http::Body> {
    let mut parts = line.split(' ');
    let mut request = Request::builder()
        .method(parts.next().expect("a method"))
        .uri(parts.next().expect("a path"));
    if let (Some(name), Some(value)) = (parts.next(), parts.next()) {
        request = request.header(name, value);
    }
    let body = Full::new(Bytes::from(body.to_string()));
    resources::handle(store, request.body(body).expect("legal")).await
}

/// Sends a request as [`send`] does, and returns the status and body of the response.
async fn call(store: &Rc<FakeStore>, line: &str, body: impl ToString) -> (u16, Value) {
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

/// Guards against an operator who overwrites a change that they have not read.
#[test]
fn conditional_changes_have_one_winner() {
    smol::block_on(async {
        let store = store();
        let (status, created) =
            call(&store, "PUT /v1/domains/a if-none-match *", domain(true)).await;
        assert_eq!(
            (status, &created["version"], &created["status"]["seen_in"]),
            (201, &json!(0), &json!("domains"))
        );
        let (status, refused) =
            call(&store, "PUT /v1/domains/a if-none-match *", domain(false)).await;
        assert_eq!((status, &refused["current"]["version"]), (409, &json!(0)));
        assert_eq!(refused["error"]["code"], "conflict");
        let (status, updated) =
            call(&store, "PUT /v1/domains/a if-match \"0\"", domain(false)).await;
        assert_eq!(
            (status, &updated["status"]["phase"]),
            (200, &json!("out_of_service"))
        );
        let newest = updated["version"].clone();
        let mut outdated = domain(true);
        outdated["version"] = json!(0);
        for (line, body) in [
            ("PUT /v1/domains/a if-match 0", domain(true)),
            ("PUT /v1/domains/a", outdated),
            ("DELETE /v1/domains/a if-match 0", Value::Null),
        ] {
            let (status, refused) = call(&store, line, body).await;
            assert_eq!(
                (status, &refused["current"]["version"]),
                (409, &newest),
                "{line}"
            );
        }
        let (status, unchanged) = call(&store, "PUT /v1/domains/a", domain(false)).await;
        assert_eq!((status, &unchanged["version"]), (200, &newest));
        assert_eq!(call(&store, "DELETE /v1/domains/a", "").await.0, 200);
        assert_eq!(call(&store, "DELETE /v1/domains/a", "").await.0, 404);
        assert_eq!(call(&store, "GET /v1/domains/a", "").await.0, 404);
    });
}

/// Guards against invalid requests that are accepted, and against errors without a code or the path of
/// the fault.
#[test]
fn errors_state_their_code_and_the_path_of_the_fault() {
    smol::block_on(async {
        let store = store();
        let three_faults = json!({"spec": {"kinds": [], "max_queued": 0}, "sepc": 1}).to_string();
        let large = " ".repeat(300 * 1024);
        for (line, body, status, path) in [
            ("PUT /v1/workspaces/w", "{", 400, "line 1 column 1"),
            ("PUT /v1/workspaces/w", "[]", 422, "(document)"),
            ("PUT /v1/workspaces/w", &*three_faults, 422, "sepc"),
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
            let (actual_status, error) = call(&store, line, body).await;
            assert_eq!(actual_status, status, "{line}: {error}");
            assert!(error["error"]["code"].is_string() && error["error"]["message"].is_string());
            let first_fault = &error["error"]["faults"][0];
            assert!(
                path.is_empty() || first_fault["path"] == path,
                "{line}: {error}"
            );
        }
        let (_, error) = call(&store, "PUT /v1/workspaces/w", three_faults).await;
        assert_eq!(error["error"]["faults"].as_array().map(Vec::len), Some(3));
        assert_eq!(store.appends.get(), 0);
    });
}

/// Guards against a dry run that changes the store, or that accepts what a real run would refuse.
#[test]
fn dry_run_changes_nothing() {
    smol::block_on(async {
        let store = store();
        let path = "/v1/domains/a?dry_run=true";
        let (status, preview) = call(&store, &format!("PUT {path}"), domain(true)).await;
        assert_eq!(
            (status, &preview["change"], &preview["effect"]["moved"][0]),
            (200, &json!("create"), &json!("job-1"))
        );
        call(&store, "PUT /v1/domains/a", domain(true)).await;
        let (_, preview) = call(&store, &format!("PUT {path}"), domain(false)).await;
        assert_eq!(
            (&preview["change"], &preview["current"]["version"]),
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

/// Guards against a submission that creates a second job when it is repeated after a lost reply.
#[test]
fn jobs_are_submitted_once_and_cancelled() {
    smol::block_on(async {
        let store = store();
        call(&store, "PUT /v1/workspaces/desk", workspace(1)).await;
        let mut named_job = job(2);
        named_job["name"] = "j".into();
        assert_eq!(call(&store, "POST /v1/jobs", &named_job).await.0, 201);
        let (status, existing) = call(&store, "PUT /v1/jobs/j", job(2)).await;
        assert_eq!(
            (status, &existing["status"]["phase"]),
            (200, &json!("queued"))
        );
        assert_eq!(call(&store, "PUT /v1/jobs/j", job(3)).await.0, 409);
        assert_eq!(call(&store, "DELETE /v1/jobs/k", "").await.0, 404);
        let (status, cancelled) = call(&store, "DELETE /v1/jobs/j", "").await;
        assert_eq!(
            (status, &cancelled["status"]["phase"]),
            (200, &json!("cancelled"))
        );
        assert_eq!(
            cancelled["status"]["reason"]["message"],
            "cancelled on request"
        );
        assert_eq!(call(&store, "DELETE /v1/jobs/j", "").await.0, 200);
    });
}

/// Guards against a response that states the wrong outcome of a change while the log is unavailable.
#[test]
fn errors_distinguish_changes_not_run_from_unknown_outcomes() {
    smol::block_on(async {
        let store = store();
        let retry_after = Duration::from_millis(2_100);
        let not_run = ChangeError::NotRun {
            reason: Reason::LogUnavailable,
            retry_after,
        };
        store.change_error.replace(Some(not_run));
        let response = send(&store, "PUT /v1/domains/a", domain(true)).await;
        assert_eq!(response.headers()["retry-after"], "3");
        let (status, error) = call(&store, "PUT /v1/domains/a", domain(true)).await;
        assert_eq!(
            (status, &error["error"]["code"], &error["retry_after_ms"]),
            (503, &json!("not_run"), &json!(2_100))
        );
        store.change_error.replace(Some(ChangeError::Unknown));
        let (status, error) = call(&store, "DELETE /v1/domains/a", "").await;
        assert_eq!((status, &error["error"]["code"]), (500, &json!("unknown")));
        assert_eq!(call(&store, "GET /readyz", "").await.0, 503);
    });
}

/// Guards against pages that overlap or omit resources.
#[test]
fn lists_are_paginated() {
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

/// Returns the next line of a watch, or `None` at its end.
async fn next_line(body: &mut (impl futures_util::Stream<Item = Bytes> + Unpin)) -> Option<Value> {
    body.next()
        .await
        .map(|bytes| serde_json::from_slice(&bytes).expect("one line"))
}

/// Guards against a watch that misses a change, includes those of other collections, does not end at
/// shutdown, or skips changes that are no longer retained without an error.
#[test]
fn watch_streams_changes_resumes_and_ends() {
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
        let first = next_line(&mut lines).await.expect("a line");
        assert_eq!(
            (&first["type"], &first["object"]["name"]),
            (&json!("put"), &json!("a"))
        );
        let change = async {
            Timer::after(Duration::from_millis(5)).await;
            call(&store, "PUT /v1/domains/a", domain(false)).await;
        };
        let (update, ()) = smol::future::zip(next_line(&mut lines), change).await;
        let update = update.expect("a line");
        assert_eq!(
            (&update["version"], &update["object"]["version"]),
            (&json!(3), &json!(2))
        );
        call(&store, "DELETE /v1/domains/a", "").await;
        let mut resumed = watch(&update["version"].to_string()).await;
        let next = next_line(&mut resumed).await.expect("a line");
        assert_eq!(
            (&next["type"], &next["object"]["name"]),
            (&json!("delete"), &json!("a"))
        );
        for _ in 0..2_500 {
            call(&store, "PUT /v1/domains/a", domain(true)).await;
            call(&store, "DELETE /v1/domains/a", "").await;
        }
        let (status, expired) = call(&store, "GET /v1/domains?watch=true&from=3", "").await;
        assert_eq!((status, &expired["relist"]), (410, &json!(true)));
        assert_eq!(
            next_line(&mut lines).await.expect("a line")["type"],
            "relist"
        );
        assert_eq!(next_line(&mut lines).await, None);
        let mut beyond_tail = watch("999999").await;
        assert_eq!(
            next_line(&mut beyond_tail).await.expect("a line")["type"],
            "bookmark"
        );
        store.shutdown.start();
        assert_eq!(next_line(&mut beyond_tail).await, None);
    });
}
