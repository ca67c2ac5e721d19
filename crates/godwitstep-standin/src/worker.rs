//! Stand-in for a worker: a machine with accelerators that runs tasks under a lease.
//!
//! `POST /lease` acquires or renews the lease; all tasks are stopped when it lapses. `GET /usage`
//! reports the accelerators that were in use a configurable delay ago.
//!
//! ```
//! use godwitstep_standin::worker::{Control, Server, Settings};
//!
//! let worker = Server::start(Settings::default())?;
//! worker.control(&Control { failing: Some(true), ..Control::default() });
//! assert!(worker.ledger().is_empty());
//! # Ok::<(), std::io::Error>(())
//! ```

mod report;
mod state;
mod task;

pub use report::{ListedTask, TaskRecord, Usage};
pub use task::{EndReason, Spec, TaskState};

use crate::change_notifier::ChangeNotifier;
use crate::serve::{
    HandlerResult, HttpResponse, ServerThread, bind, error_response, json_response, lock,
    query_number, read_json, serve_http,
};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use report::Refusal;
use serde::{Deserialize, Serialize};
use state::State;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Maximum time that a read of the task list waits for a change.
pub const MAX_WAIT: Duration = Duration::from_secs(10);
/// Maximum time to live of a lease.
pub const MAX_LEASE_TTL: Duration = Duration::from_secs(60);
/// Maximum number of open connections; further ones are closed on accept.
const MAX_CONNECTIONS: usize = 64;

/// State of the worker. All but the number of accelerators can be changed at run time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Number of accelerators of the machine.
    pub accelerators: u32,
    /// Whether every task that starts fails after 50 ms.
    pub failing: bool,
    /// Age of the reported usage, at most 10 min. Unit: milliseconds.
    pub usage_delay_ms: u64,
    /// Duration of a checkpoint. Unit: milliseconds.
    pub checkpoint_ms: u64,
}

/// Change of the state. A field that is absent leaves its value unchanged.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// See [`Status::failing`].
    pub failing: Option<bool>,
    /// See [`Status::usage_delay_ms`].
    pub usage_delay_ms: Option<u64>,
    /// See [`Status::checkpoint_ms`].
    pub checkpoint_ms: Option<u64>,
}

/// Settings of a worker.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Address to listen on; port 0 selects any free port.
    pub listen: SocketAddr,
    /// Initial state.
    pub status: Status,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            status: Status {
                accelerators: 8,
                failing: false,
                usage_delay_ms: 0,
                checkpoint_ms: 200,
            },
        }
    }
}

struct Shared {
    state: Mutex<State>,
    /// Notified when the lease or the task list may have changed.
    changed: ChangeNotifier,
}

/// The worker; see [`Server::start`].
#[derive(Debug)]
pub struct Server;

/// Handle of a running worker, which stops with its tasks when the handle is dropped.
pub struct Handle {
    /// Address that the worker listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    thread: ServerThread,
}

impl Server {
    /// Starts a worker on its own thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(settings: Settings) -> io::Result<Handle> {
        let (listener, address) = bind(settings.listen)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(settings.status, Instant::now())),
            changed: ChangeNotifier::default(),
        });
        let thread_shared = Arc::clone(&shared);
        let thread = ServerThread::start("standin-worker", move |spawner| {
            spawner.spawn(run_expiry_timer(Arc::clone(&thread_shared)));
            serve_http(spawner, listener, MAX_CONNECTIONS, move |request| {
                serve(Arc::clone(&thread_shared), request)
            });
        })?;
        Ok(Handle {
            address,
            shared,
            thread,
        })
    }
}

impl Handle {
    /// Changes the state.
    pub fn control(&self, control: &Control) {
        lock(&self.shared.state).control(control);
    }

    /// Returns the ledger.
    #[must_use]
    pub fn ledger(&self) -> Vec<TaskRecord> {
        lock(&self.shared.state).ledger.page(0).entries
    }

    /// Stops the worker immediately and returns the final ledger.
    #[must_use]
    pub fn stop(self) -> Vec<TaskRecord> {
        drop(self.thread);
        lock(&self.shared.state).ledger.page(0).entries
    }

    /// Waits until the worker ends.
    pub fn join(self) {
        self.thread.join();
    }
}

impl Shared {
    /// Applies a change to the state and wakes the timer and all reads that wait for the task list.
    fn apply<T: Serialize>(
        &self,
        change: impl FnOnce(&mut State, Instant) -> Result<T, Refusal>,
    ) -> HttpResponse {
        let result = change(&mut lock(&self.state), Instant::now());
        self.changed.notify();
        match result {
            Ok(value) => json_response(StatusCode::OK, &value),
            Err(refusal) => refusal.into(),
        }
    }
}

/// Ends tasks and the lease at the time they are due.
async fn run_expiry_timer(shared: Arc<Shared>) {
    loop {
        let change = shared.changed.subscribe();
        let (next_due, changed) = {
            let mut state = lock(&shared.state);
            let previous_sequence = state.sequence;
            state.advance(Instant::now());
            (state.next_due(), state.sequence != previous_sequence)
        };
        if changed {
            shared.changed.notify();
        }
        match next_due {
            Some(due) => {
                let remaining = due.saturating_duration_since(Instant::now());
                change.wait_timeout(remaining).await;
            }
            None => change.wait().await,
        }
    }
}

/// Body of `POST /lease`.
#[derive(Deserialize)]
struct Lease {
    holder: String,
    ttl_ms: u64,
}

/// Body of `POST /tasks/{id}/throttle`.
#[derive(Deserialize)]
struct Throttle {
    /// Fraction of the full speed, from 0 to 1.
    fraction: f64,
}

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_owned();
    let response = match (request.method(), path.as_str()) {
        (&Method::POST, "/lease") => read_json(request).await.map(|Lease { holder, ttl_ms }| {
            let ttl = Duration::from_millis(ttl_ms).min(MAX_LEASE_TTL);
            shared.apply(|state, now| {
                let lease = state.acquire_or_renew_lease(holder, ttl, now)?;
                Ok(serde_json::json!({ "lease": lease }))
            })
        }),
        (&Method::POST, "/tasks") => read_json(request)
            .await
            .map(|spec| shared.apply(|state, now| state.start_task(&spec, now))),
        (&Method::GET, "/tasks") => Ok(list_tasks(&shared, &request).await),
        (&Method::GET, "/usage") => {
            let usage = lock(&shared.state).usage(Instant::now());
            Ok(json_response(StatusCode::OK, &usage))
        }
        (&Method::GET, "/ledger") => {
            let from = query_number(&request, "from").unwrap_or(0);
            Ok(json_response(
                StatusCode::OK,
                &lock(&shared.state).ledger.page(from),
            ))
        }
        (&Method::GET, "/control") => {
            Ok(json_response(StatusCode::OK, &lock(&shared.state).status))
        }
        (&Method::PUT, "/control") => read_json(request)
            .await
            .map(|control| json_response(StatusCode::OK, &lock(&shared.state).control(&control))),
        (&Method::POST, path) => change_task(&shared, path, request).await,
        _ => Err(error_response(
            StatusCode::NOT_FOUND,
            "there is no such path",
        )),
    };
    Ok(response.unwrap_or_else(|error| error))
}

/// Serves `POST /tasks/{id}/stop`, `/checkpoint` and `/throttle`.
async fn change_task(
    shared: &Shared,
    path: &str,
    request: Request<Incoming>,
) -> Result<HttpResponse, HttpResponse> {
    let parts = path
        .strip_prefix("/tasks/")
        .and_then(|rest| rest.rsplit_once('/'));
    let (task, action) = parts.unwrap_or_default();
    match action {
        "stop" => Ok(shared.apply(|state, now| state.stop_task(task, now))),
        "checkpoint" => Ok(shared.apply(|state, now| state.checkpoint_task(task, now))),
        "throttle" => {
            let Throttle { fraction } = read_json(request).await?;
            let fraction = if fraction.is_finite() { fraction } else { 1.0 };
            let fraction = fraction.clamp(0.0, 1.0);
            Ok(shared.apply(|state, now| state.throttle_task(task, fraction, now)))
        }
        _ => Err(error_response(
            StatusCode::NOT_FOUND,
            "there is no such path",
        )),
    }
}

/// Serves `GET /tasks`. While the list has the sequence number `since`, waits for a change, for at
/// most `wait_ms`.
async fn list_tasks(shared: &Shared, request: &Request<Incoming>) -> HttpResponse {
    let since = query_number(request, "since");
    let wait = Duration::from_millis(query_number(request, "wait_ms").unwrap_or(0)).min(MAX_WAIT);
    let deadline = Instant::now() + wait;
    loop {
        let change = shared.changed.subscribe();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let sequence = lock(&shared.state).sequence;
        if since != Some(sequence) || remaining.is_zero() {
            let now = Instant::now();
            let mut state = lock(&shared.state);
            state.advance(now);
            let (sequence, tasks) = (state.sequence, state.list_tasks(now));
            return json_response(
                StatusCode::OK,
                &serde_json::json!({ "sequence": sequence, "tasks": tasks }),
            );
        }
        change.wait_timeout(remaining).await;
    }
}
