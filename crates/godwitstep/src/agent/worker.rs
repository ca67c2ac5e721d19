//! Client of the worker's HTTP API.

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

/// Timeout of an HTTP exchange, in addition to the wait time of a task list request.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// State of a task in the worker's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum TaskState {
    Running,
    Done,
    Failed,
    Stopped,
    Checkpointed,
}

/// An entry of the task list.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct ListedTask {
    pub(super) task: String,
    pub(super) state: TaskState,
}

/// The worker's task list.
#[derive(Debug, Deserialize)]
pub(super) struct TaskList {
    /// Changes whenever the list does.
    pub(super) sequence: u64,
    pub(super) tasks: Vec<ListedTask>,
}

/// The worker's token for a lease, which is opaque to the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Lease(Value);

/// Why a call to the worker failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// No complete response was received.
    #[error("{0}")]
    Exchange(#[from] Error),
    /// The worker responded with an error status.
    #[error("worker {peer} responded to {path} with {status}: {text}")]
    Refused {
        peer: SocketAddr,
        path: String,
        status: StatusCode,
        text: String,
    },
    /// The response body has an unexpected format.
    #[error("worker {peer} sent an unreadable response to {path}: {error}")]
    Malformed {
        peer: SocketAddr,
        path: String,
        error: serde_json::Error,
    },
}

impl CallError {
    /// Returns whether the call certainly had no effect on the worker.
    pub(super) const fn is_without_effect(&self) -> bool {
        match self {
            Self::Exchange(error) => !error.sent,
            Self::Refused { status, .. } => status.as_u16() < 500,
            Self::Malformed { .. } => false,
        }
    }
}

/// Body of a request to start a task.
#[derive(Debug, Serialize)]
pub(super) struct StartRequest<'a> {
    pub(super) lease: &'a Lease,
    pub(super) task: &'a str,
    pub(super) accelerators: Accelerators,
    pub(super) run_ms: u64,
}

/// HTTP client of one worker.
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

    /// Acquires or renews the lease for `ttl`.
    pub(super) async fn lease(&self, holder: &str, ttl: Duration) -> Result<Lease, CallError> {
        #[derive(Serialize)]
        struct LeaseBody<'a> {
            holder: &'a str,
            ttl_ms: u128,
        }
        #[derive(Deserialize)]
        struct LeaseResponse {
            lease: Lease,
        }
        let ttl_ms = ttl.as_millis();
        let response: LeaseResponse = self.post("/lease", &LeaseBody { holder, ttl_ms }).await?;
        Ok(response.lease)
    }

    /// Starts a task under a lease.
    pub(super) async fn start(&self, start: &StartRequest<'_>) -> Result<(), CallError> {
        self.post::<Value>("/tasks", start).await.map(drop)
    }

    /// Stops a task. If `checkpoint` is true, its state is saved first.
    pub(super) async fn stop(&self, task: &str, checkpoint: bool) -> Result<(), CallError> {
        let action = if checkpoint { "checkpoint" } else { "stop" };
        let path = format!("/tasks/{}/{action}", percent_encode(task));
        self.post::<Value>(&path, &Value::Object(serde_json::Map::new()))
            .await
            .map(drop)
    }

    /// Returns the task list, as soon as its sequence differs from `since` or `wait` has passed.
    pub(super) async fn list(
        &self,
        since: Option<u64>,
        wait: Duration,
    ) -> Result<TaskList, CallError> {
        let path = match since {
            Some(since) => format!("/tasks?wait_ms={}&since={since}", wait.as_millis()),
            None => "/tasks".to_owned(),
        };
        let request = Request::get(&path).body(Bytes::new());
        self.call(&path, request, wait + EXCHANGE_TIMEOUT).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CallError> {
        let body = serde_json::to_vec(body).expect("plain values serialize to JSON");
        let request = Request::post(path)
            .header("content-type", "application/json")
            .body(body.into());
        self.call(path, request, EXCHANGE_TIMEOUT).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        request: Result<Request<Bytes>, hyper::http::Error>,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let request = request.expect("escaped paths are valid URIs");
        let response: Response<Bytes> = self.client.exchange(request, timeout).await?;
        let peer = self.client.peer();
        let path = path.to_owned();
        if !response.status().is_success() {
            return Err(CallError::Refused {
                peer,
                path,
                status: response.status(),
                text: String::from_utf8_lossy(response.body()).into_owned(),
            });
        }
        let body = match response.body() {
            body if body.is_empty() => &b"null"[..],
            body => body,
        };
        serde_json::from_slice(body).map_err(|error| CallError::Malformed { peer, path, error })
    }
}

/// Percent-encodes a task name for a URL path. Names chosen by other programs may contain any
/// character.
fn percent_encode(name: &str) -> String {
    let mut path = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~') {
            path.push(byte.into());
        } else {
            write!(path, "%{byte:02X}").expect("writing to a String never fails");
        }
    }
    path
}
