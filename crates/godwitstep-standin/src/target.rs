//! Stand-in for a target: a back-end process that serves requests.
//!
//! `POST /run` responds with the request's own body after the service time. A body of the form
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
    HandlerResult, HttpResponse, NoResponse, ServerThread, Spawner, bind, error_response,
    json_response, json_text_response, lock, query_number, read_body, read_json, serve_http,
    unix_micros,
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

/// Maximum size of a request body. Unit: bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024 + 16 * 1024;
/// Maximum size of a body that is parsed as JSON with a service time. Unit: bytes.
const MAX_RUN_TIME_BODY_BYTES: usize = 4096;
/// Maximum service time.
const MAX_SERVICE_TIME: Duration = Duration::from_secs(600);

/// Whether the target accepts new requests, as reported at `GET /health`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// The target accepts new requests.
    #[default]
    Ready,
    /// The target is about to leave. Requests that reach it are still served, and marked in the
    /// ledger.
    Leaving,
}

/// Distribution of the service times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceTime {
    /// The same time for every request. Unit: microseconds.
    FixedUs(u64),
    /// Mean of exponentially distributed times. Unit: microseconds.
    ExponentialUs(u64),
}

/// State of the target, which can be changed at run time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Whether the target accepts new requests.
    pub state: Availability,
    /// Whether every request fails immediately.
    pub failing: bool,
    /// Distribution of the service times.
    pub service: ServiceTime,
}

/// Change of the state. A field that is absent leaves its value unchanged.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// See [`Status::state`].
    pub state: Option<Availability>,
    /// See [`Status::failing`].
    pub failing: Option<bool>,
    /// See [`Status::service`].
    pub service: Option<ServiceTime>,
}

/// Settings of a target.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Address to listen on; port 0 selects any free port.
    pub listen: SocketAddr,
    /// Initial state.
    pub status: Status,
    /// Maximum number of requests that run at a time; further ones wait in the target.
    pub slots: usize,
    /// Maximum number of open connections; further ones are closed on accept.
    pub connections: usize,
    /// Seed of the service times.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            status: Status {
                state: Availability::Ready,
                failing: false,
                service: ServiceTime::FixedUs(0),
            },
            slots: 8,
            // Four times the 64 connections of the two deployments, so that a load tool can
            // also send requests directly to the target in the same run.
            connections: 256,
            seed: 1,
        }
    }
}

/// Ledger entry of a request that acquired a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Value of the header `godwitstep-key`.
    pub key: String,
    /// Value of the header `godwitstep-request`.
    pub request: String,
    /// Wall-clock time of the start. Unit: microseconds since 1970.
    pub started: u64,
    /// Wall-clock time of the end; `None` while the request runs. Unit: microseconds since 1970.
    pub ended: Option<u64>,
    /// Whether the request failed.
    pub failed: bool,
    /// Whether the target was leaving when the request started.
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

/// The target; see [`Server::start`].
#[derive(Debug)]
pub struct Server;

/// Handle of a running target, which stops when the handle is dropped.
pub struct Handle {
    /// Address that the target listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    thread: ServerThread,
}

impl Server {
    /// Starts a target on its own thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
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
        let thread_shared = Arc::clone(&shared);
        let thread = ServerThread::start("standin-target", move |spawner| {
            let request_spawner = spawner.clone();
            serve_http(spawner, listener, settings.connections, move |request| {
                serve(Arc::clone(&thread_shared), request_spawner.clone(), request)
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

    /// Stops the target immediately and returns the final ledger.
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
        tracing::info!(?status, "state changed");
        *status
    }

    fn status(&self) -> Status {
        lock(&self.state).status
    }

    /// Adds a request to the ledger. Returns the number of its entry, whether it fails, and its
    /// service time.
    fn start_request(
        &self,
        key: String,
        request: String,
        requested_time: Option<Duration>,
    ) -> (u64, bool, Duration) {
        let mut state = lock(&self.state);
        let status = state.status;
        let number = state.ledger.push(Entry {
            key,
            request,
            started: unix_micros(),
            ended: None,
            failed: status.failing,
            leaving: status.state == Availability::Leaving,
        });
        let time = match (status.failing, requested_time, status.service) {
            (true, ..) => Duration::ZERO,
            (false, Some(requested), _) => requested,
            (false, None, ServiceTime::FixedUs(us)) => Duration::from_micros(us),
            (false, None, ServiceTime::ExponentialUs(mean)) => {
                Duration::from_micros(mean).mul_f64(-(1.0 - state.rng.f64()).ln())
            }
        };
        (number, status.failing, time.min(MAX_SERVICE_TIME))
    }

    /// Records the end of a request in the ledger.
    fn end_request(&self, number: u64) {
        if let Some(entry) = lock(&self.state).ledger.get_mut(number) {
            entry.ended = Some(unix_micros());
        }
    }
}

/// Body of a request that sets its own service time.
#[derive(Deserialize)]
struct RunTimeBody {
    run_ms: u64,
}

async fn serve(shared: Arc<Shared>, spawner: Spawner, request: Request<Incoming>) -> HandlerResult {
    let response = match (request.method(), request.uri().path()) {
        (&Method::POST, "/run") => return run_request(shared, &spawner, request).await,
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
            Err(response) => response,
        },
        _ => error_response(StatusCode::NOT_FOUND, "there is no such path"),
    };
    Ok(response)
}

/// Serves `POST /run`.
async fn run_request(
    shared: Arc<Shared>,
    spawner: &Spawner,
    request: Request<Incoming>,
) -> HandlerResult {
    let header = |name| {
        let value = request.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    };
    let (key, request_id) = (header("godwitstep-key"), header("godwitstep-request"));
    let body = match read_body(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(response) => return Ok(response),
    };
    let run_time = (body.len() <= MAX_RUN_TIME_BODY_BYTES && body.first() == Some(&b'{'))
        .then(|| serde_json::from_slice::<RunTimeBody>(&body).ok())
        .flatten();
    let requested_time = run_time.map(|body| Duration::from_millis(body.run_ms));
    // The HTTP server drops a handler when its caller disconnects. A request that has been received
    // runs to completion nevertheless, so it runs as a separate task.
    let (reply, replied) = smol::channel::bounded(1);
    spawner.spawn(async move {
        let slot = shared.slots.acquire().await;
        let (number, failed, time) = shared.start_request(key, request_id, requested_time);
        if !time.is_zero() {
            smol::Timer::after(time).await;
        }
        shared.end_request(number);
        drop(slot);
        let _caller_disconnected = reply.send(build_response(body, failed)).await;
    });
    replied.recv().await.map_err(|_| NoResponse)
}

fn build_response(body: Bytes, failed: bool) -> HttpResponse {
    if failed {
        error_response(StatusCode::INTERNAL_SERVER_ERROR, "the target is failing")
    } else {
        json_text_response(StatusCode::OK, body)
    }
}
