//! A thread that serves HTTP, and helpers that read requests and build responses.

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

/// Size of the buffer of a connection, which also limits the head of a request. Unit: bytes.
const CONNECTION_BUFFER_BYTES: usize = 64 * 1024;

/// Delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A response with a buffered body.
pub type HttpResponse = Response<Full<Bytes>>;

/// Error of a request handler that closes the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("connection closed without a response")]
pub struct NoResponse;

/// Result of a request handler.
pub type HandlerResult = Result<HttpResponse, NoResponse>;

/// Starts tasks on the executor of a [`ServerThread`].
///
/// Its reference to the executor is weak: a task that owns a spawner does not keep the executor
/// alive, so all tasks and their sockets are dropped when the thread ends.
#[derive(Debug, Clone)]
pub struct Spawner(Weak<LocalExecutor<'static>>);

impl Spawner {
    /// Runs a task until it completes or the thread ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}

/// A thread that runs an executor; it is stopped and joined when this is dropped.
#[derive(Debug)]
pub struct ServerThread {
    stop: Sender<()>,
    join: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Starts a thread on which `main` spawns the first tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot start a thread.
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

    /// Waits until the thread ends. As nothing stops it meanwhile, it ends only if it panics.
    pub fn join(mut self) {
        if let Some(join) = self.join.take() {
            let _panic = join.join();
        }
    }
}

impl Drop for ServerThread {
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
/// Returns an error if the address cannot be bound.
pub fn bind(listen: SocketAddr) -> io::Result<(std::net::TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves HTTP/1.1 with `handler` on at most `limit` connections; further ones are closed on
/// accept.
pub fn serve_http<H, F>(
    spawner: &Spawner,
    listener: std::net::TcpListener,
    limit: usize,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = HandlerResult> + 'static,
{
    let connection_spawner = spawner.clone();
    spawner.spawn(async move {
        let listener = match TcpListener::try_from(listener) {
            Ok(listener) => listener,
            Err(error) => return tracing::error!(%error, "cannot register the listener"),
        };
        let open_connections = Rc::new(Cell::new(0_usize));
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if open_connections.get() >= limit {
                tracing::warn!(limit, "connection closed: connection limit reached");
                continue;
            }
            let _unsupported = stream.set_nodelay(true);
            let (handler, open_connections) = (handler.clone(), Rc::clone(&open_connections));
            open_connections.set(open_connections.get() + 1);
            connection_spawner.spawn(async move {
                let served = http1::Builder::new()
                    .max_buf_size(CONNECTION_BUFFER_BYTES)
                    .serve_connection(FuturesIo::new(stream), service_fn(handler))
                    .await;
                if let Err(error) = served {
                    tracing::debug!(%error, "connection failed");
                }
                open_connections.set(open_connections.get() - 1);
            });
        }
    });
}

/// Returns a response whose body is `value` as JSON.
#[must_use]
pub fn json_response(status: StatusCode, value: &impl Serialize) -> HttpResponse {
    let text = serde_json::to_string(value).unwrap_or_else(|error| format!("\"{error}\""));
    json_text_response(status, text)
}

/// Returns a response whose body is the given JSON text.
#[must_use]
pub fn json_text_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns a response whose JSON body carries an error message.
#[must_use]
pub fn error_response(status: StatusCode, message: &str) -> HttpResponse {
    json_response(status, &serde_json::json!({ "error": message }))
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns the error response to send if the body is too large or cut off.
pub async fn read_body(request: Request<Incoming>, limit: usize) -> Result<Bytes, HttpResponse> {
    match Limited::new(request.into_body(), limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        )),
        Err(error) => Err(error_response(StatusCode::BAD_REQUEST, &error.to_string())),
    }
}

/// Reads a JSON body of at most 64 KiB.
///
/// # Errors
///
/// Returns the error response to send if the body is too large, cut off or not of the expected
/// form.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, HttpResponse> {
    let bytes = read_body(request, 64 * 1024).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Returns the value of an integer parameter in the query string.
#[must_use]
pub fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    values.next()?.parse().ok()
}

/// Locks state that remains consistent even if a thread panics while it holds the lock.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the wall-clock time in microseconds since 1970. Entries in the ledgers of several
/// processes on the same host can be ordered by it.
pub(crate) fn unix_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| {
        u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
    })
}
