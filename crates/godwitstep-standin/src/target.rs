//! A target: a back-end process that serves requests.
//!
//! `POST /run` answers with the request's own body after the service time. A body of the form
//! `{"run_ms": 5}` sets the service time of its request.
//!
//! ```
//! use godwitstep_standin::target::{Control, Server, Settings};
//!
//! let target = Server::start(Settings::default())?;
//! target.control(&Control { failing: Some(true), ..Control::default() });
//! assert!(target.ledger().is_empty());
//! # Ok::<(), std::io::Error>(())
//! ```

use crate::ledger::Ledger;
use crate::serve::{
    Answer, HandlerResult, NoResponse, Spawner, Thread, bind, body, error_response, http,
    json_response, lock, query_number, read_json, text_answer, unix_micros,
};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use smol::lock::Semaphore;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Size of a request in bytes.
const BODY_BYTES: usize = 1024 * 1024 + 16 * 1024;
/// Longest body that is tried as JSON with a service time.
const OWN_TIME_BYTES: usize = 4096;
/// Longest service time.
const RUN_LIMIT: Duration = Duration::from_secs(600);

/// Whether the target takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// It takes new work.
    #[default]
    Ready,
    /// It is about to leave. Requests that reach it are still served, and marked in the ledger.
    Leaving,
}

/// How long a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// Microseconds of every request.
    FixedUs(u64),
    /// Mean microseconds of exponentially distributed times.
    ExponentialUs(u64),
}

/// State of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Whether the target takes new work.
    pub state: Condition,
    /// Whether every request fails at once.
    pub failing: bool,
    /// How long a request takes.
    pub service: Service,
}

/// Change of the state; fields that are absent stay as they are.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// See [`Status::state`].
    pub state: Option<Condition>,
    /// See [`Status::failing`].
    pub failing: Option<bool>,
    /// See [`Status::service`].
    pub service: Option<Service>,
}

/// How to start a target.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Address; port 0 for any free one.
    pub listen: SocketAddr,
    /// State at the start.
    pub status: Status,
    /// Requests that run at a time; more wait in the target.
    pub slots: usize,
    /// Connections at a time; more are closed at once.
    pub connections: usize,
    /// Seed of the service times.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            status: Status {
                state: Condition::Ready,
                failing: false,
                service: Service::FixedUs(0),
            },
            slots: 8,
            // Four times the 64 of the two deployments, so that a load tool can ask the target
            // directly in the same run.
            connections: 256,
            seed: 1,
        }
    }
}

/// A request that reached a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Header `godwitstep-key`.
    pub key: String,
    /// Header `godwitstep-request`.
    pub request: String,
    /// When it started, in microseconds since 1970.
    pub started: u64,
    /// When it ended; absent while it runs.
    pub ended: Option<u64>,
    /// Whether it failed.
    pub failed: bool,
    /// Whether the target was leaving when it started.
    pub leaving: bool,
}

struct State {
    status: Status,
    rng: fastrand::Rng,
    ledger: Ledger<Entry>,
}

struct Shared {
    state: Mutex<State>,
    slots: Semaphore,
}

/// The target.
#[derive(Debug)]
pub struct Server;

/// A running target; it stops when this is dropped.
pub struct Handle {
    /// Address that it serves.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    thread: Thread,
}

impl Server {
    /// Starts a target on its own thread.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(settings: Settings) -> io::Result<Handle> {
        let (listener, address) = bind(settings.listen)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                status: settings.status,
                rng: fastrand::Rng::with_seed(settings.seed),
                ledger: Ledger::default(),
            }),
            slots: Semaphore::new(settings.slots),
        });
        let served = Arc::clone(&shared);
        let thread = Thread::start("standin-target", move |spawner| {
            let tasks = spawner.clone();
            http(spawner, listener, settings.connections, move |request| {
                serve(Arc::clone(&served), tasks.clone(), request)
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
        self.shared.control(control);
    }

    /// Returns the ledger.
    #[must_use]
    pub fn ledger(&self) -> Vec<Entry> {
        lock(&self.shared.state).ledger.page(0).entries
    }

    /// Stops the target at once and returns the ledger as it stood then.
    #[must_use]
    pub fn stop(self) -> Vec<Entry> {
        drop(self.thread);
        lock(&self.shared.state).ledger.page(0).entries
    }

    /// Waits until the target ends.
    pub fn join(self) {
        self.thread.join();
    }
}

impl Shared {
    fn control(&self, control: &Control) -> Status {
        let status = &mut lock(&self.state).status;
        status.state = control.state.unwrap_or(status.state);
        status.failing = control.failing.unwrap_or(status.failing);
        status.service = control.service.unwrap_or(status.service);
        tracing::info!(?status, "control");
        *status
    }

    fn status(&self) -> Status {
        lock(&self.state).status
    }

    /// Adds a request to the ledger and returns its number there, whether it fails, and its time.
    fn begin(&self, key: String, request: String, own: Option<Duration>) -> (u64, bool, Duration) {
        let mut state = lock(&self.state);
        let status = state.status;
        let number = state.ledger.push(Entry {
            key,
            request,
            started: unix_micros(),
            ended: None,
            failed: status.failing,
            leaving: status.state == Condition::Leaving,
        });
        let time = match (status.failing, own, status.service) {
            (true, ..) => Duration::ZERO,
            (false, Some(own), _) => own,
            (false, None, Service::FixedUs(us)) => Duration::from_micros(us),
            (false, None, Service::ExponentialUs(mean)) => {
                Duration::from_micros(mean).mul_f64(-(1.0 - state.rng.f64()).ln())
            }
        };
        (number, status.failing, time.min(RUN_LIMIT))
    }

    fn end(&self, number: u64) {
        if let Some(entry) = lock(&self.state).ledger.get_mut(number) {
            entry.ended = Some(unix_micros());
        }
    }
}

#[derive(Deserialize)]
struct Own {
    run_ms: u64,
}

async fn serve(shared: Arc<Shared>, tasks: Spawner, request: Request<Incoming>) -> HandlerResult {
    let answer = match (request.method(), request.uri().path()) {
        (&Method::POST, "/run") => return run(shared, &tasks, request).await,
        (&Method::GET, "/health") => {
            let state = shared.status().state;
            json_response(StatusCode::OK, &serde_json::json!({ "state": state }))
        }
        (&Method::GET, "/ledger") => {
            let from = query_number(&request, "from").unwrap_or(0);
            let page = lock(&shared.state).ledger.page(from);
            json_response(StatusCode::OK, &page)
        }
        (&Method::GET, "/control") => json_response(StatusCode::OK, &shared.status()),
        (&Method::PUT, "/control") => match read_json(request).await {
            Ok(control) => json_response(StatusCode::OK, &shared.control(&control)),
            Err(answer) => answer,
        },
        _ => error_response(StatusCode::NOT_FOUND, "there is no such path"),
    };
    Ok(answer)
}

async fn run(shared: Arc<Shared>, tasks: &Spawner, request: Request<Incoming>) -> HandlerResult {
    let header = |name| {
        let value = request.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    };
    let (key, id) = (header("godwitstep-key"), header("godwitstep-request"));
    let body = match body(request, BODY_BYTES).await {
        Ok(body) => body,
        Err(answer) => return Ok(answer),
    };
    let own = (body.len() <= OWN_TIME_BYTES && body.first() == Some(&b'{'))
        .then(|| serde_json::from_slice::<Own>(&body).ok())
        .flatten();
    let own = own.map(|own| Duration::from_millis(own.run_ms));
    // A request that has been received runs to its end even if its caller goes away.
    let (reply, replied) = smol::channel::bounded(1);
    tasks.spawn(async move {
        let slot = shared.slots.acquire().await;
        let (number, failed, time) = shared.begin(key, id, own);
        if !time.is_zero() {
            smol::Timer::after(time).await;
        }
        shared.end(number);
        drop(slot);
        let _caller_gone = reply.send(reply_to(body, failed)).await;
    });
    replied.recv().await.map_err(|_| NoResponse)
}

fn reply_to(body: Bytes, failed: bool) -> Answer {
    if failed {
        error_response(StatusCode::INTERNAL_SERVER_ERROR, "the target is failing")
    } else {
        text_answer(StatusCode::OK, body)
    }
}
