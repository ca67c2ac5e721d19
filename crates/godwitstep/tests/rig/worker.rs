//! A small worker with a lease and tasks.

use godwitstep::http::{self, Limits, Shutdown};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use smol::net::TcpListener;
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

#[derive(Default)]
pub struct Worker {
    pub lease: Cell<u64>,
    /// State of each task by its name.
    pub tasks: RefCell<BTreeMap<String, String>>,
    pub sequence: Cell<u64>,
    /// Names of all tasks that were started, in order.
    pub starts: RefCell<Vec<String>>,
    /// Starts whose reply is cut off after the effect.
    pub lost_replies: Cell<u32>,
}

impl Worker {
    pub fn set(&self, task: &str, state: &str) {
        self.tasks.borrow_mut().insert(task.into(), state.into());
        self.sequence.set(self.sequence.get() + 1);
    }

    pub fn state(&self, task: &str) -> Option<String> {
        self.tasks.borrow().get(task).cloned()
    }

    async fn list(&self, query: &str) -> Value {
        let number = |name: &str| -> Option<u64> {
            let fields = query.split('&').filter_map(|field| field.split_once('='));
            let (_, value) = { fields }.find(|(field, _)| *field == name)?;
            value.parse().ok()
        };
        let mut left = number("wait_ms").unwrap_or(0) / 10;
        while left > 0 && number("since") == Some(self.sequence.get()) {
            Timer::after(Duration::from_millis(10)).await;
            left -= 1;
        }
        let tasks = self.tasks.borrow();
        let listed = tasks
            .iter()
            .map(|(task, state)| json!({"task": task, "state": state}));
        json!({"sequence": self.sequence.get(), "tasks": listed.collect::<Vec<_>>()})
    }

    fn start(&self, body: &Value) -> Result<Value, &'static str> {
        let name = body["task"].as_str().expect("a name");
        if body["lease"] != json!(self.lease.get()) {
            return Err("lease");
        }
        if self.tasks.borrow().contains_key(name) {
            return Err("exists");
        }
        self.set(name, "running");
        self.starts.borrow_mut().push(name.to_owned());
        Ok(json!({}))
    }

    fn stop(&self, task: &str, state: &str) -> Result<Value, &'static str> {
        if self.state(task).as_deref() != Some("running") {
            return Err("ended");
        }
        self.set(task, state);
        Ok(json!({}))
    }

    async fn serve(
        self: Rc<Self>,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> Response<http::Body> {
        let uri = request.uri().clone();
        let body = http::read(request.into_body(), 1 << 16, Duration::from_secs(1)).await;
        let body: Value = serde_json::from_slice(&body.expect("arrives")).unwrap_or_default();
        let path: Vec<&str> = uri.path().split('/').skip(1).collect();
        let result = match path[..] {
            ["lease"] => {
                self.lease.set(self.lease.get().max(1));
                Ok(json!({"lease": self.lease.get()}))
            }
            ["tasks"] if body.is_null() => Ok(self.list(uri.query().unwrap_or("")).await),
            ["tasks"] => self.start(&body),
            ["tasks", task, "stop"] => self.stop(task, "stopped"),
            ["tasks", task, "checkpoint"] => self.stop(task, "checkpointed"),
            _ => Err("path"),
        };
        if path == ["tasks"] && !body.is_null() && self.lost_replies.get() > 0 {
            self.lost_replies.set(self.lost_replies.get() - 1);
            return Response::new(http::stream(futures_util::stream::iter([Err(
                "lost".into()
            )])));
        }
        match result {
            Ok(answer) => Response::new(http::full(answer.to_string())),
            Err(text) => {
                let mut answer = Response::new(http::full(text));
                *answer.status_mut() = StatusCode::CONFLICT;
                answer
            }
        }
    }
}

/// Starts the worker at an address and returns what stops it.
pub async fn worker(
    executor: &LocalExecutor<'_>,
    worker: &Rc<Worker>,
    address: SocketAddr,
) -> (SocketAddr, Shutdown) {
    let listener = TcpListener::bind(address).await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let (shutdown, signal) = Shutdown::new();
    let worker = Rc::clone(worker);
    let serve = http::serve(listener, Limits::default(), signal, async move |request| {
        Rc::clone(&worker).serve(request).await
    });
    executor.spawn(serve).detach();
    (address, shutdown)
}
