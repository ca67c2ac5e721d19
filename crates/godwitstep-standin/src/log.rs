//! The platform's log service: append-only streams with offsets and limited retention.
//!
//! Faults can be switched on at run time with [`Handle::control`] or `PUT /control`.
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

use crate::serve::{
    Answer, Dropped, Outcome, Spawner, Thread, bind, body, http, json, lock, number, parse,
    refusal, text_answer,
};
use crate::signal::Signal;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use stream::Stream;

/// Size of a record in bytes.
pub const RECORD_BYTES: usize = 256 * 1024;
/// Time that a read waits for a record.
pub const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Records in one page.
pub const PAGE_RECORDS: u64 = 1024;
/// Number of streams.
const STREAMS: usize = 64;
/// Bytes in the name of a stream.
const NAME_BYTES: usize = 128;
/// Connections at a time.
const CONNECTIONS: usize = 512;

/// How to start the service.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Address; port 0 for any free one.
    pub listen: SocketAddr,
    /// Faults at the start.
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
    /// Appends over the network that took effect.
    appends: u64,
}

struct Shared {
    state: Mutex<State>,
    /// A record was added or the faults changed.
    changed: Signal,
}

/// The log service.
#[derive(Debug)]
pub struct Server;

/// A running log service; it stops when this is dropped.
pub struct Handle {
    /// Address that it serves.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    thread: Thread,
}

impl Server {
    /// Starts the service on its own thread.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(settings: Settings) -> io::Result<Handle> {
        let (listener, address) = bind(settings.listen)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                faults: settings.faults,
                streams: BTreeMap::new(),
                appends: 0,
            }),
            changed: Signal::default(),
        });
        let served = Arc::clone(&shared);
        let thread = Thread::start("standin-log", move |spawner| {
            let tasks = spawner.clone();
            http(spawner, listener, CONNECTIONS, move |request| {
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
    /// Changes the faults.
    pub fn control(&self, control: &Control) {
        self.shared.control(control);
    }

    /// Adds a record without regard to the faults, as an operator's tool would.
    ///
    /// # Errors
    ///
    /// What is wrong with the record.
    pub fn append(&self, stream: &str, value: &str) -> Result<u64, String> {
        self.shared.append(stream, value.as_bytes())
    }

    /// Returns the retained records of a stream.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<(u64, String)> {
        let state = lock(&self.shared.state);
        let found = state.streams.get(stream);
        found.map_or_else(Vec::new, |stream| {
            let records = stream.from(stream.start());
            records.map(|(at, value)| (at, value.clone())).collect()
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
        tracing::info!(?faults, "control");
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
        if !state.streams.contains_key(stream) && state.streams.len() == STREAMS {
            return Err(format!("there are {STREAMS} streams already"));
        }
        let retention = state.faults.retention_records;
        let records = state.streams.entry(stream.to_owned()).or_default();
        let offset = records.append(text.trim().to_owned(), retention);
        drop(state);
        self.changed.notify();
        Ok(offset)
    }

    /// Counts an append of a caller and reports whether its reply is to be lost.
    fn loses_reply(&self) -> bool {
        let mut state = lock(&self.state);
        state.appends += 1;
        let every = state.faults.lose_reply_every;
        every > 0 && state.appends.is_multiple_of(every)
    }
}

async fn serve(shared: Arc<Shared>, tasks: Spawner, request: Request<Incoming>) -> Outcome {
    let path = request.uri().path().to_owned();
    if path == "/control" {
        return Ok(match *request.method() {
            Method::PUT => match parse(request).await {
                Ok(control) => json(StatusCode::OK, &shared.control(&control)),
                Err(answer) => answer,
            },
            _ => json(StatusCode::OK, &shared.faults()),
        });
    }
    let name = path
        .strip_prefix("/v1/streams/")
        .and_then(|rest| rest.strip_suffix("/records"))
        .filter(|name| !name.is_empty() && name.len() <= NAME_BYTES && !name.contains('/'));
    let Some(name) = name else {
        return Ok(refusal(StatusCode::NOT_FOUND, "there is no such path"));
    };
    if let Some(refused) = refuse_if_down(&shared).await {
        return Ok(refused);
    }
    match *request.method() {
        Method::POST => append(shared, &tasks, name.to_owned(), request).await,
        Method::GET => Ok(read(&shared, name, &request).await),
        _ => Ok(refusal(
            StatusCode::METHOD_NOT_ALLOWED,
            "use GET or POST on records",
        )),
    }
}

/// Returns the refusal of a service that is down; never returns if it is silent.
async fn refuse_if_down(shared: &Shared) -> Option<Answer> {
    let faults = shared.faults();
    match (faults.mode, faults.silent) {
        (Mode::Down, true) => std::future::pending().await,
        (Mode::Down, false) => Some(refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "the log service is down",
        )),
        _ => None,
    }
}

async fn delay(faults: Faults) {
    if faults.mode == Mode::Slow && faults.delay_ms > 0 {
        smol::Timer::after(Duration::from_millis(faults.delay_ms)).await;
    }
}

async fn append(
    shared: Arc<Shared>,
    tasks: &Spawner,
    name: String,
    request: Request<Incoming>,
) -> Outcome {
    let value = match body(request, RECORD_BYTES).await {
        Ok(value) => value,
        Err(answer) => return Ok(answer),
    };
    // The server drops a handler when its caller goes away. An append that has been received takes
    // effect all the same, so it runs as a task of its own.
    let (reply, replied) = smol::channel::bounded(1);
    tasks.spawn(async move {
        delay(shared.faults()).await;
        let answer = match shared.append(&name, &value) {
            Ok(_) if shared.loses_reply() => Err(Dropped),
            Ok(offset) => Ok(json(
                StatusCode::OK,
                &serde_json::json!({ "offset": offset }),
            )),
            Err(message) => Ok(refusal(StatusCode::BAD_REQUEST, &message)),
        };
        let _caller_gone = reply.send(answer).await;
    });
    replied.recv().await.unwrap_or(Err(Dropped))
}

async fn read(shared: &Shared, name: &str, request: &Request<Incoming>) -> Answer {
    let from = number(request, "from").unwrap_or(0);
    let limit = number(request, "limit").unwrap_or(PAGE_RECORDS);
    let limit = usize::try_from(limit.min(PAGE_RECORDS)).unwrap_or(1);
    let wait = Duration::from_millis(number(request, "wait_ms").unwrap_or(0)).min(WAIT_LIMIT);
    delay(shared.faults()).await;
    let deadline = Instant::now() + wait;
    loop {
        let change = shared.changed.subscribe();
        if let Some(refused) = refuse_if_down(shared).await {
            return refused;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if let Some(answer) = page(shared, name, from, limit, left.is_zero()) {
            return answer;
        }
        change.wait_for(left).await;
    }
}

/// Returns the answer to a read, or nothing if there is no record and the caller can wait.
fn page(shared: &Shared, name: &str, from: u64, limit: usize, at_once: bool) -> Option<Answer> {
    let state = lock(&shared.state);
    let empty = Stream::default();
    let stream = state.streams.get(name).unwrap_or(&empty);
    if from < stream.start() {
        let start = serde_json::json!({ "start": stream.start() });
        return Some(json(StatusCode::GONE, &start));
    }
    let ready = from < stream.tail() || at_once;
    ready.then(|| text_answer(StatusCode::OK, stream.page(from, limit)))
}
