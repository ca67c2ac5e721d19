//! Stand-in for the platform's log service, with append-only streams of limited retention.
//!
//! Faults can be injected at run time with [`Handle::control`] or `PUT /control`.
//!
//! ```
//! use godwitstep_standin::log::{Control, Mode, Server, Settings};
//!
//! let service = Server::start(Settings::default())?;
//! service.control(&Control { mode: Some(Mode::Down), ..Control::default() });
//! # Ok::<(), std::io::Error>(())
//! ```

mod fault;
mod stream;

pub use fault::{Control, Faults, Mode};

use crate::change_notifier::ChangeNotifier;
use crate::serve::{
    HandlerResult, HttpResponse, NoResponse, ServerThread, Spawner, bind, error_response,
    json_response, json_text_response, lock, query_number, read_body, read_json, serve_http,
};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use stream::Stream;

/// Maximum size of a record. Unit: bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;
/// Maximum time that a read waits for a record.
pub const MAX_WAIT: Duration = Duration::from_secs(10);
/// Maximum number of records in a page.
pub const MAX_PAGE_RECORDS: u64 = 1024;
/// Maximum number of streams.
const MAX_STREAMS: usize = 64;
/// Maximum length of a stream's name. Unit: bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of open connections; further ones are closed on accept.
const MAX_CONNECTIONS: usize = 512;

/// Settings of the log service.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Address to listen on; port 0 selects any free port.
    pub listen: SocketAddr,
    /// Initial faults.
    pub faults: Faults,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            faults: Faults {
                mode: Mode::Up,
                silent: false,
                delay_ms: 0,
                lose_reply_every: 0,
                retention_records: 100_000,
            },
        }
    }
}

struct State {
    faults: Faults,
    streams: BTreeMap<String, Stream>,
    /// Number of appends received over HTTP that took effect.
    appends: u64,
}

struct Shared {
    state: Mutex<State>,
    /// Notified when a record is added or the faults change.
    changed: ChangeNotifier,
}

/// The log service; see [`Server::start`].
#[derive(Debug)]
pub struct Server;

/// Handle of a running log service, which stops when the handle is dropped.
pub struct Handle {
    /// Address that the service listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    thread: ServerThread,
}

impl Server {
    /// Starts the service on its own thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(settings: Settings) -> io::Result<Handle> {
        let (listener, address) = bind(settings.listen)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                faults: settings.faults,
                streams: BTreeMap::new(),
                appends: 0,
            }),
            changed: ChangeNotifier::default(),
        });
        let thread_shared = Arc::clone(&shared);
        let thread = ServerThread::start("standin-log", move |spawner| {
            let append_spawner = spawner.clone();
            serve_http(spawner, listener, MAX_CONNECTIONS, move |request| {
                serve(Arc::clone(&thread_shared), append_spawner.clone(), request)
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
    /// Changes the faults.
    pub fn control(&self, control: &Control) {
        self.shared.control(control);
    }

    /// Appends a record directly, unaffected by the faults.
    ///
    /// # Errors
    ///
    /// Returns a message if the record is not JSON or a new stream would exceed the maximum
    /// number.
    pub fn append(&self, stream: &str, value: &str) -> Result<u64, String> {
        self.shared.append(stream, value.as_bytes())
    }

    /// Returns the retained records of a stream with their offsets.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<(u64, String)> {
        let state = lock(&self.shared.state);
        let stream = state.streams.get(stream);
        stream.map_or_else(Vec::new, |stream| {
            let records = stream.records_from(stream.start());
            records
                .map(|(offset, value)| (offset, value.clone()))
                .collect()
        })
    }

    /// Waits until the service ends.
    pub fn join(self) {
        self.thread.join();
    }
}

impl Shared {
    fn control(&self, control: &Control) -> Faults {
        let mut state = lock(&self.state);
        state.faults.apply(control);
        let faults = state.faults;
        for stream in state.streams.values_mut() {
            stream.trim(faults.retention_records);
        }
        drop(state);
        tracing::info!(?faults, "faults changed");
        self.changed.notify();
        faults
    }

    fn faults(&self) -> Faults {
        lock(&self.state).faults
    }

    fn append(&self, stream: &str, value: &[u8]) -> Result<u64, String> {
        let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
        serde_json::from_str::<serde::de::IgnoredAny>(text).map_err(|error| error.to_string())?;
        let mut state = lock(&self.state);
        if !state.streams.contains_key(stream) && state.streams.len() == MAX_STREAMS {
            return Err(format!("there are {MAX_STREAMS} streams already"));
        }
        let retention = state.faults.retention_records;
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let offset = stream.append(text.trim().to_owned(), retention);
        drop(state);
        self.changed.notify();
        Ok(offset)
    }

    /// Counts an append received over HTTP and returns whether its reply is to be lost.
    fn should_lose_reply(&self) -> bool {
        let mut state = lock(&self.state);
        state.appends += 1;
        let every = state.faults.lose_reply_every;
        every > 0 && state.appends.is_multiple_of(every)
    }
}

async fn serve(shared: Arc<Shared>, spawner: Spawner, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_owned();
    if path == "/control" {
        return Ok(match *request.method() {
            Method::PUT => match read_json(request).await {
                Ok(control) => json_response(StatusCode::OK, &shared.control(&control)),
                Err(response) => response,
            },
            _ => json_response(StatusCode::OK, &shared.faults()),
        });
    }
    let name = path
        .strip_prefix("/v1/streams/")
        .and_then(|rest| rest.strip_suffix("/records"))
        .filter(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains('/'));
    let Some(name) = name else {
        return Ok(error_response(
            StatusCode::NOT_FOUND,
            "there is no such path",
        ));
    };
    if let Some(response) = response_if_down(&shared).await {
        return Ok(response);
    }
    match *request.method() {
        Method::POST => append(shared, &spawner, name.to_owned(), request).await,
        Method::GET => Ok(read(&shared, name, &request).await),
        _ => Ok(error_response(
            StatusCode::METHOD_NOT_ALLOWED,
            "use GET or POST on records",
        )),
    }
}

/// Returns the error response to send if the service is down. Never completes if the service is
/// silent as well.
async fn response_if_down(shared: &Shared) -> Option<HttpResponse> {
    let faults = shared.faults();
    match (faults.mode, faults.silent) {
        (Mode::Down, true) => std::future::pending().await,
        (Mode::Down, false) => Some(error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the log service is down",
        )),
        _ => None,
    }
}

/// Delays an exchange in [`Mode::Slow`].
async fn apply_delay(faults: Faults) {
    if faults.mode == Mode::Slow && faults.delay_ms > 0 {
        smol::Timer::after(Duration::from_millis(faults.delay_ms)).await;
    }
}

async fn append(
    shared: Arc<Shared>,
    spawner: &Spawner,
    name: String,
    request: Request<Incoming>,
) -> HandlerResult {
    let value = match read_body(request, MAX_RECORD_BYTES).await {
        Ok(value) => value,
        Err(response) => return Ok(response),
    };
    // The HTTP server drops a handler when its caller disconnects. An append that has been received
    // takes effect nevertheless, so it runs as a separate task.
    let (reply, replied) = smol::channel::bounded(1);
    spawner.spawn(async move {
        apply_delay(shared.faults()).await;
        let response = match shared.append(&name, &value) {
            Ok(_) if shared.should_lose_reply() => Err(NoResponse),
            Ok(offset) => Ok(json_response(
                StatusCode::OK,
                &serde_json::json!({ "offset": offset }),
            )),
            Err(message) => Ok(error_response(StatusCode::BAD_REQUEST, &message)),
        };
        let _caller_disconnected = reply.send(response).await;
    });
    replied.recv().await.unwrap_or(Err(NoResponse))
}

async fn read(shared: &Shared, name: &str, request: &Request<Incoming>) -> HttpResponse {
    let from = query_number(request, "from").unwrap_or(0);
    let limit = query_number(request, "limit").unwrap_or(MAX_PAGE_RECORDS);
    let limit = usize::try_from(limit.min(MAX_PAGE_RECORDS)).unwrap_or(1);
    let wait = Duration::from_millis(query_number(request, "wait_ms").unwrap_or(0)).min(MAX_WAIT);
    apply_delay(shared.faults()).await;
    let deadline = Instant::now() + wait;
    loop {
        let change = shared.changed.subscribe();
        if let Some(response) = response_if_down(shared).await {
            return response;
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if let Some(response) = page_response(shared, name, from, limit, remaining.is_zero()) {
            return response;
        }
        change.wait_timeout(remaining).await;
    }
}

/// Returns the response to a read, or `None` to wait for a record. With `timed_out`, a page without
/// records is returned instead of waiting.
fn page_response(
    shared: &Shared,
    name: &str,
    from: u64,
    limit: usize,
    timed_out: bool,
) -> Option<HttpResponse> {
    let state = lock(&shared.state);
    let empty = Stream::default();
    let stream = state.streams.get(name).unwrap_or(&empty);
    if from < stream.start() {
        let start = serde_json::json!({ "start": stream.start() });
        return Some(json_response(StatusCode::GONE, &start));
    }
    let ready = from < stream.tail() || timed_out;
    ready.then(|| json_text_response(StatusCode::OK, stream.page(from, limit)))
}
