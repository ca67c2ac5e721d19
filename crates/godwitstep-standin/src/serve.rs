//! A thread that serves HTTP, and helpers for requests and answers.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::LocalExecutor;
use smol::channel::{Sender, bounded};
use smol::net::TcpListener;
use smol_hyper::rt::FuturesIo;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Buffer of one connection in bytes, which also bounds the head of a request.
const CONNECTION_BUFFER: usize = 64 * 1024;

/// Pause after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// An answer with its whole body.
pub type Answer = Response<Full<Bytes>>;

/// The connection closes without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection closes without an answer")]
pub struct Dropped;

/// Result of a request handler.
pub type Outcome = Result<Answer, Dropped>;

/// Starts tasks on the executor of a [`Thread`].
///
/// It does not keep the executor alive: the tasks, and with them the sockets, have to be dropped
/// when the thread ends.
#[derive(Debug, Clone)]
pub struct Spawner(Weak<LocalExecutor<'static>>);

impl Spawner {
    /// Runs a task until it is done or the thread ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}

/// A thread with an executor; stops and is joined when dropped.
#[derive(Debug)]
pub struct Thread {
    stop: Sender<()>,
    join: Option<JoinHandle<()>>,
}

impl Thread {
    /// Starts a thread. `main` sets up the tasks.
    ///
    /// # Errors
    ///
    /// The system cannot start a thread.
    pub fn start(name: &str, main: impl FnOnce(&Spawner) + Send + 'static) -> io::Result<Self> {
        let (stop, stopped) = bounded::<()>(1);
        let join = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let executor = Rc::new(LocalExecutor::new());
                main(&Spawner(Rc::downgrade(&executor)));
                smol::block_on(executor.run(async {
                    let _closed = stopped.recv().await;
                }));
            })?;
        Ok(Self {
            stop,
            join: Some(join),
        })
    }

    /// Waits until the thread ends, which it does by itself only if it panics.
    pub fn join(mut self) {
        if let Some(join) = self.join.take() {
            let _panic = join.join();
        }
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.stop.close();
        if let Some(join) = self.join.take() {
            let _panic = join.join();
        }
    }
}

/// Binds a listener and returns it with its address.
///
/// # Errors
///
/// The address cannot be bound.
pub fn bind(listen: SocketAddr) -> io::Result<(std::net::TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves HTTP/1.1 with `handler` on at most `limit` connections; more are closed at once.
pub fn http<H, F>(spawner: &Spawner, listener: std::net::TcpListener, limit: usize, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Outcome> + 'static,
{
    let tasks = spawner.clone();
    spawner.spawn(async move {
        let listener = match TcpListener::try_from(listener) {
            Ok(listener) => listener,
            Err(error) => return tracing::error!(%error, "cannot register the listener"),
        };
        let open = Rc::new(Cell::new(0_usize));
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    smol::Timer::after(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if open.get() >= limit {
                tracing::warn!(limit, "closed a connection over the limit");
                continue;
            }
            let _unsupported = stream.set_nodelay(true);
            let (handler, open) = (handler.clone(), Rc::clone(&open));
            open.set(open.get() + 1);
            tasks.spawn(async move {
                let served = http1::Builder::new()
                    .max_buf_size(CONNECTION_BUFFER)
                    .serve_connection(FuturesIo::new(stream), service_fn(handler))
                    .await;
                if let Err(error) = served {
                    tracing::debug!(%error, "connection ended");
                }
                open.set(open.get() - 1);
            });
        }
    });
}

/// Returns an answer with a JSON body.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    let text = serde_json::to_string(value).unwrap_or_else(|error| format!("\"{error}\""));
    text_answer(status, text)
}

/// Returns an answer whose body is JSON text.
#[must_use]
pub fn text_answer(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    answer
}

/// Returns an answer that says what is wrong.
#[must_use]
pub fn refusal(status: StatusCode, message: &str) -> Answer {
    json(status, &serde_json::json!({ "error": message }))
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// The answer to give if the body is too large or breaks off.
pub async fn body(request: Request<Incoming>, limit: usize) -> Result<Bytes, Answer> {
    match Limited::new(request.into_body(), limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(refusal(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        )),
        Err(error) => Err(refusal(StatusCode::BAD_REQUEST, &error.to_string())),
    }
}

/// Reads a JSON body of at most 64 KiB.
///
/// # Errors
///
/// The answer to give if the body is too large or not what is expected.
pub async fn parse<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Answer> {
    let bytes = body(request, 64 * 1024).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| refusal(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Returns a number of the query string.
#[must_use]
pub fn number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    values.next()?.parse().ok()
}

/// Locks state that stays whole even if a holder panics.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Wall clock in microseconds since 1970, which orders the ledgers of several processes of one
/// host.
pub(crate) fn wall_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |age| u64::try_from(age.as_micros()).unwrap_or(u64::MAX))
}
