//! A worker: a machine with accelerators that runs tasks under a lease.
//!
//! `POST /lease` takes or renews the lease; all tasks stop when it lapses. `GET /usage` reports the
//! accelerators in use as of a settable delay ago.
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

pub use report::{Entry, Listed, Usage};
pub use task::{How, Phase, Spec};

use crate::change_notifier::ChangeNotifier;
use crate::serve::{
    Answer, HandlerResult, Thread, bind, error_response, http, json_response, lock, query_number,
    read_json,
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

/// Time that a read of the task list waits for a change.
pub const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Longest lease.
pub const LEASE_LIMIT: Duration = Duration::from_secs(60);
/// Connections at a time.
const CONNECTIONS: usize = 64;

/// State of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Accelerators of the machine.
    pub accelerators: u32,
    /// Whether every task that starts fails after 50 ms.
    pub failing: bool,
    /// Age of the usage that is reported, at most 10 min.
    pub usage_delay_ms: u64,
    /// Time that a checkpoint takes.
    pub checkpoint_ms: u64,
}

/// Change of the state; fields that are absent stay as they are.
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

/// How to start a worker.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Address; port 0 for any free one.
    pub listen: SocketAddr,
    /// State at the start.
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
    changed: ChangeNotifier,
}

/// The worker.
#[derive(Debug)]
pub struct Server;

/// A running worker; it stops, with its tasks, when this is dropped.
pub struct Handle {
    /// Address that it serves.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    thread: Thread,
}

impl Server {
    /// Starts a worker on its own thread.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(settings: Settings) -> io::Result<Handle> {
        let (listener, address) = bind(settings.listen)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(settings.status, Instant::now())),
            changed: ChangeNotifier::default(),
        });
        let served = Arc::clone(&shared);
        let thread = Thread::start("standin-worker", move |spawner| {
            spawner.spawn(run_timer(Arc::clone(&served)));
            http(spawner, listener, CONNECTIONS, move |request| {
                serve(Arc::clone(&served), request)
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
    pub fn ledger(&self) -> Vec<Entry> {
        lock(&self.shared.state).ledger.page(0).entries
    }

    /// Stops the worker at once and returns the ledger as it stood then.
    #[must_use]
    pub fn stop(self) -> Vec<Entry> {
        drop(self.thread);
        lock(&self.shared.state).ledger.page(0).entries
    }

    /// Waits until the worker ends.
    pub fn join(self) {
        self.thread.join();
    }
}

impl Shared {
    /// Applies a change and wakes the timer and all who wait for the task list.
    fn apply<T: Serialize>(
        &self,
        change: impl FnOnce(&mut State, Instant) -> Result<T, Refusal>,
    ) -> Answer {
        let result = change(&mut lock(&self.state), Instant::now());
        self.changed.notify();
        match result {
            Ok(value) => json_response(StatusCode::OK, &value),
            Err(reason) => reason.into(),
        }
    }
}

/// Ends tasks and the lease when they are due.
async fn run_timer(shared: Arc<Shared>) {
    loop {
        let change = shared.changed.subscribe();
        let (due, ended) = {
            let mut state = lock(&shared.state);
            let before = state.sequence;
            state.advance(Instant::now());
            (state.due(), state.sequence != before)
        };
        if ended {
            shared.changed.notify();
        }
        match due {
            Some(at) => {
                let left = at.saturating_duration_since(Instant::now());
                change.wait_timeout(left).await;
            }
            None => change.wait().await,
        }
    }
}

#[derive(Deserialize)]
struct Lease {
    holder: String,
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct Throttle {
    /// Share of the full speed, from 0 to 1.
    fraction: f64,
}

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_owned();
    let answer = match (request.method(), path.as_str()) {
        (&Method::POST, "/lease") => read_json(request).await.map(|Lease { holder, ttl_ms }| {
            let ttl = Duration::from_millis(ttl_ms).min(LEASE_LIMIT);
            shared.apply(|state, now| {
                let lease = state.lease(holder, ttl, now)?;
                Ok(serde_json::json!({ "lease": lease }))
            })
        }),
        (&Method::POST, "/tasks") => read_json(request)
            .await
            .map(|spec| shared.apply(|state, now| state.start(&spec, now))),
        (&Method::GET, "/tasks") => Ok(list(&shared, &request).await),
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
        (&Method::POST, path) => change(&shared, path, request).await,
        _ => Err(error_response(
            StatusCode::NOT_FOUND,
            "there is no such path",
        )),
    };
    Ok(answer.unwrap_or_else(|refused| refused))
}

/// Serves `POST /tasks/{id}/stop`, `/checkpoint` and `/throttle`.
async fn change(shared: &Shared, path: &str, request: Request<Incoming>) -> Result<Answer, Answer> {
    let parts = path
        .strip_prefix("/tasks/")
        .and_then(|p| p.rsplit_once('/'));
    let (task, action) = parts.unwrap_or_default();
    match action {
        "stop" => Ok(shared.apply(|state, now| state.stop(task, now))),
        "checkpoint" => Ok(shared.apply(|state, now| state.checkpoint(task, now))),
        "throttle" => {
            let Throttle { fraction } = read_json(request).await?;
            let fraction = if fraction.is_finite() { fraction } else { 1.0 };
            let fraction = fraction.clamp(0.0, 1.0);
            Ok(shared.apply(|state, now| state.throttle(task, fraction, now)))
        }
        _ => Err(error_response(
            StatusCode::NOT_FOUND,
            "there is no such path",
        )),
    }
}

async fn list(shared: &Shared, request: &Request<Incoming>) -> Answer {
    let since = query_number(request, "since");
    let wait = Duration::from_millis(query_number(request, "wait_ms").unwrap_or(0)).min(WAIT_LIMIT);
    let deadline = Instant::now() + wait;
    loop {
        let change = shared.changed.subscribe();
        let left = deadline.saturating_duration_since(Instant::now());
        let sequence = lock(&shared.state).sequence;
        if since != Some(sequence) || left.is_zero() {
            let now = Instant::now();
            let mut state = lock(&shared.state);
            state.advance(now);
            let (sequence, tasks) = (state.sequence, state.list(now));
            return json_response(
                StatusCode::OK,
                &serde_json::json!({ "sequence": sequence, "tasks": tasks }),
            );
        }
        change.wait_timeout(left).await;
    }
}
