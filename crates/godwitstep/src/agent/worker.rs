//! The worker's HTTP interface.

use crate::http::{Client, Error};
use bytes::Bytes;
use godwitstep_core::id::Accelerators;
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest exchange, apart from the time that a task list is asked to wait.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(2);

/// State of a task as the worker lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum State {
    Running,
    Done,
    Failed,
    Stopped,
    Checkpointed,
}

/// A listed task.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct Listed {
    pub(super) task: String,
    pub(super) state: State,
}

/// The task list.
#[derive(Debug, Deserialize)]
pub(super) struct List {
    /// Changes whenever the list does.
    pub(super) sequence: u64,
    pub(super) tasks: Vec<Listed>,
}

/// A lease as the worker names it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Lease(Value);

/// Why a call to the worker did not succeed.
#[derive(Debug, thiserror::Error)]
pub(super) enum Failure {
    /// No whole answer came.
    #[error("{0}")]
    Exchange(#[from] Error),
    /// The worker refused.
    #[error("worker {peer} answered {status} to {path}: {text}")]
    Refused {
        peer: SocketAddr,
        path: String,
        status: StatusCode,
        text: String,
    },
    /// The answer has another form than expected.
    #[error("answer of worker {peer} to {path} can't be read: {error}")]
    Malformed {
        peer: SocketAddr,
        path: String,
        error: serde_json::Error,
    },
}

impl Failure {
    /// Reports whether the worker certainly did not act on the call.
    pub(super) const fn is_without_effect(&self) -> bool {
        match self {
            Self::Exchange(error) => !error.sent,
            Self::Refused { status, .. } => status.as_u16() < 500,
            Self::Malformed { .. } => false,
        }
    }
}

/// A task to start.
#[derive(Debug, Serialize)]
pub(super) struct Start<'a> {
    pub(super) lease: &'a Lease,
    pub(super) task: &'a str,
    pub(super) accelerators: Accelerators,
    pub(super) run_ms: u64,
}

/// Client of the worker.
#[derive(Debug)]
pub(super) struct Worker {
    client: Client,
}

impl Worker {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(address),
        }
    }

    /// Takes or renews the lease.
    pub(super) async fn lease(&self, holder: &str, ttl: Duration) -> Result<Lease, Failure> {
        #[derive(Serialize)]
        struct Ask<'a> {
            holder: &'a str,
            ttl_ms: u128,
        }
        #[derive(Deserialize)]
        struct Taken {
            lease: Lease,
        }
        let ttl_ms = ttl.as_millis();
        let taken: Taken = self.post("/lease", &Ask { holder, ttl_ms }).await?;
        Ok(taken.lease)
    }

    /// Starts a task.
    pub(super) async fn start(&self, start: &Start<'_>) -> Result<(), Failure> {
        self.post::<Value>("/tasks", start).await.map(drop)
    }

    /// Stops a task, after its state was saved if `checkpoint`.
    pub(super) async fn stop(&self, task: &str, checkpoint: bool) -> Result<(), Failure> {
        let action = if checkpoint { "checkpoint" } else { "stop" };
        let path = format!("/tasks/{}/{action}", escape(task));
        self.post::<Value>(&path, &Value::Object(serde_json::Map::new()))
            .await
            .map(drop)
    }

    /// Returns the task list, once it differs from `since` or `wait` is over.
    pub(super) async fn list(&self, since: Option<u64>, wait: Duration) -> Result<List, Failure> {
        let path = match since {
            Some(since) => format!("/tasks?wait_ms={}&since={since}", wait.as_millis()),
            None => "/tasks".to_owned(),
        };
        let request = Request::get(&path).body(Bytes::new());
        self.call(&path, request, wait + EXCHANGE_LIMIT).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(body).expect("plain values encode to memory");
        let request = Request::post(path)
            .header("content-type", "application/json")
            .body(body.into());
        self.call(path, request, EXCHANGE_LIMIT).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        request: Result<Request<Bytes>, hyper::http::Error>,
        limit: Duration,
    ) -> Result<T, Failure> {
        let request = request.expect("paths are built from legal parts");
        let answer: Response<Bytes> = self.client.exchange(request, limit).await?;
        let peer = self.client.peer();
        let path = path.to_owned();
        if !answer.status().is_success() {
            return Err(Failure::Refused {
                peer,
                path,
                status: answer.status(),
                text: String::from_utf8_lossy(answer.body()).into_owned(),
            });
        }
        let body = match answer.body() {
            body if body.is_empty() => &b"null"[..],
            body => body,
        };
        serde_json::from_slice(body).map_err(|error| Failure::Malformed { peer, path, error })
    }
}

/// Escapes a task name for use in a path. Names of other programs may hold any character.
fn escape(name: &str) -> String {
    let mut path = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~') {
            path.push(byte.into());
        } else {
            write!(path, "%{byte:02X}").expect("strings take any text");
        }
    }
    path
}
