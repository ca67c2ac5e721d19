//! HTTP client with a pool of keep-alive connections to one address.
//!
//! Connections may fall silent without a reset while new ones work, for example after a network device has lost their
//! state. A timeout on a reused connection therefore also removes the connections that have been idle since before.

use super::body::Body;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};
use smol::Timer;
use smol::future::{FutureExt, poll_once};
use smol::lock::Semaphore;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

mod check;
mod error;
mod response;
mod streaming;
mod write_tracker;

pub use check::{Check, Checked};
pub use error::{Cause, Error, Step};
use streaming::Streaming;
use write_tracker::WriteTracker;

type Driver = Pin<Box<http1::Connection<FuturesIo<WriteTracker<TcpStream>>, Full<Bytes>>>>;

/// Limits of a client.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum number of open connections; further exchanges wait for one.
    pub connections: usize,
    /// Maximum number of idle connections in the pool.
    pub idle: usize,
    /// Longest idle time after which a connection is still reused. Shorter than the time after
    /// which the servers of this crate close one, so that a request rarely meets a closing
    /// connection.
    pub idle_timeout: Duration,
    /// Maximum size of a response body. Unit: bytes.
    pub body: usize,
    /// Maximum size of all response bodies that are being received. Unit: bytes.
    pub bodies: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connections: 64,
            idle: 16,
            idle_timeout: Duration::from_secs(10),
            body: 4 * 1024 * 1024,
            bodies: 8 * 1024 * 1024,
        }
    }
}

/// HTTP client of one server.
#[derive(Debug)]
pub struct Client {
    peer: SocketAddr,
    host: HeaderValue,
    options: Options,
    open: Semaphore,
    idle: RefCell<Vec<Connection>>,
    /// Memory of the response bodies that are being received. Unit: bytes.
    receiving: Cell<usize>,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Future that performs the I/O of the connection; `None` once the connection has ended.
    driver: Option<Driver>,
    /// Whether bytes were written since the flag was last cleared.
    written: Rc<Cell<bool>>,
    idle_since: Instant,
}

/// Progress of an exchange. It is read after a timeout has dropped the exchange itself.
#[derive(Default)]
struct Progress {
    step: Cell<Option<Step>>,
    /// Whether the exchange uses a connection of the pool.
    reused: Cell<bool>,
    /// Whether a new connection has been opened and is checked first, which has a time limit of its own.
    checking: Cell<bool>,
    written: RefCell<Option<Rc<Cell<bool>>>>,
}

impl Progress {
    fn sent(&self) -> bool {
        let written = self.written.borrow();
        written.as_ref().is_some_and(|flag| flag.get())
    }
}

impl Client {
    /// Returns a client of the server at an address.
    ///
    /// # Panics
    ///
    /// Never: the text of an address is a valid header value.
    #[must_use]
    pub fn new(peer: SocketAddr) -> Self {
        let host = HeaderValue::try_from(peer.to_string()).expect("an address is a header value");
        let options = Options::default();
        Self {
            peer,
            host,
            options,
            open: Semaphore::new(options.connections),
            idle: RefCell::default(),
            receiving: Cell::new(0),
        }
    }

    /// Sets the limits.
    #[must_use]
    pub fn options(mut self, options: Options) -> Self {
        self.open = Semaphore::new(options.connections);
        self.options = options;
        self
    }

    /// Returns the address of the server.
    #[must_use]
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends a request and reads the whole response within `time`. If a connection of the pool does not respond in
    /// time, the connections that have been idle since the beginning of the exchange are closed as well.
    ///
    /// Dropping the returned future closes the connection that it uses.
    ///
    /// # Errors
    ///
    /// The error says which step failed and whether bytes of the request were sent.
    pub async fn exchange(
        &self,
        request: Request<Bytes>,
        time: Duration,
    ) -> Result<Response<Bytes>, Error> {
        match self.exchange_within(request, None, time).await? {
            Checked::Response(response) | Checked::Rejected(response) => Ok(response),
        }
    }

    /// Sends a request and reads the whole response within `time`, like [`Client::exchange`]. If a new connection has
    /// to be opened for it, `check` is sent on that connection first, and the request only if its response is accepted.
    ///
    /// The process at the other end of a connection does not change, so one check holds for all requests on it.
    ///
    /// # Errors
    ///
    /// As [`Client::exchange`]. `sent` concerns the request, not the check.
    pub async fn exchange_checked(
        &self,
        request: Request<Bytes>,
        check: &Check<'_>,
        time: Duration,
    ) -> Result<Checked, Error> {
        self.exchange_within(request, Some(check), time).await
    }

    async fn exchange_within(
        &self,
        request: Request<Bytes>,
        check: Option<&Check<'_>>,
        time: Duration,
    ) -> Result<Checked, Error> {
        let progress = Progress::default();
        let started_at = Instant::now();
        let check = check.map(|check| (check, time));
        let work = self.attempt(request, check, &progress);
        let result = self.with_timeout(time, work, &progress).await;
        let timed_out =
            matches!(&result, Err(error) if matches!(error.cause, Cause::TimedOut { .. }));
        if timed_out && progress.reused.get() {
            let mut idle = self.idle.borrow_mut();
            idle.retain(|connection| connection.idle_since > started_at);
        }
        result
    }

    /// Sends a request on a new connection and returns when the head of the response has arrived,
    /// within `time`. The body is streamed, without a limit on time or size.
    ///
    /// # Errors
    ///
    /// The error says which step failed and whether bytes of the request were sent.
    pub async fn stream(
        &self,
        mut request: Request<Bytes>,
        time: Duration,
    ) -> Result<Response<Body>, Error> {
        let progress = Progress::default();
        self.set_host_header(&mut request);
        let work = async {
            progress.step.set(Some(Step::Connect));
            let mut connection = self.connect().await?;
            let head = self.send_head(&mut connection, request, &progress).await?;
            Ok(head.map(|body| -> Body { Box::pin(Streaming { connection, body }) }))
        };
        self.with_timeout(time, work, &progress).await
    }

    fn set_host_header(&self, request: &mut Request<Bytes>) {
        if !request.headers().contains_key(HOST) {
            request.headers_mut().insert(HOST, self.host.clone());
        }
    }

    async fn with_timeout<T>(
        &self,
        time: Duration,
        work: impl Future<Output = Result<T, (Step, Cause)>>,
        progress: &Progress,
    ) -> Result<T, Error> {
        let timeout = async {
            Timer::after(time).await;
            if progress.checking.get() {
                Timer::after(time).await;
            }
            Err((Step::Wait, Cause::TimedOut { time }))
        };
        work.or(timeout).await.map_err(|(step, cause)| Error {
            step: progress.step.get().unwrap_or(step),
            peer: self.peer,
            sent: progress.sent(),
            cause,
        })
    }

    async fn attempt(
        &self,
        mut request: Request<Bytes>,
        check: Option<(&Check<'_>, Duration)>,
        progress: &Progress,
    ) -> Result<Checked, (Step, Cause)> {
        self.set_host_header(&mut request);
        let _permit = self.open.acquire().await;
        while let Some(mut connection) = self.reuse().await {
            progress.reused.set(true);
            match self
                .send_and_read(&mut connection, request.clone(), progress)
                .await
            {
                // The server closed the idle connection. No byte was sent, so the request can be
                // retried on another one.
                Err(_) if !progress.sent() => {}
                result => {
                    return self
                        .recycle(connection, result)
                        .await
                        .map(Checked::Response);
                }
            }
        }
        progress.reused.set(false);
        progress.step.set(Some(Step::Connect));
        let mut connection = self.connect().await?;
        if let Some((check, time)) = check {
            progress.checking.set(true);
            let rejected = self.check_within(&mut connection, check, time).await?;
            if let Some(rejected) = rejected {
                return Ok(Checked::Rejected(rejected));
            }
        }
        let result = self.send_and_read(&mut connection, request, progress).await;
        self.recycle(connection, result)
            .await
            .map(Checked::Response)
    }

    /// Sends the check of a new connection within `time`. The request that follows has as much time as on a connection
    /// of the pool.
    async fn check_within(
        &self,
        connection: &mut Connection,
        check: &Check<'_>,
        time: Duration,
    ) -> Result<Option<Response<Bytes>>, (Step, Cause)> {
        let timeout = async {
            Timer::after(time).await;
            Err((Step::Connect, Cause::TimedOut { time }))
        };
        self.check(connection, check).or(timeout).await
    }

    /// Sends the check of a new connection. Returns the response if it is not accepted.
    async fn check(
        &self,
        connection: &mut Connection,
        check: &Check<'_>,
    ) -> Result<Option<Response<Bytes>>, (Step, Cause)> {
        let mut request = check.request.clone();
        self.set_host_header(&mut request);
        // The progress of the exchange is that of the request which follows.
        let progress = Progress::default();
        let response = self.send_and_read(connection, request, &progress).await?;
        if !(check.accepts)(&response) {
            return Ok(Some(response));
        }
        if connection.is_open().await {
            Ok(None)
        } else {
            Err((Step::Connect, Cause::Io(ErrorKind::ConnectionReset.into())))
        }
    }

    /// Takes an idle connection that still appears to be open from the pool.
    async fn reuse(&self) -> Option<Connection> {
        loop {
            let mut connection = self.idle.borrow_mut().pop()?;
            let reusable = connection.idle_since.elapsed() < self.options.idle_timeout;
            if reusable && connection.is_open().await {
                return Some(connection);
            }
        }
    }

    async fn connect(&self) -> Result<Connection, (Step, Cause)> {
        let failed = |error| (Step::Connect, Cause::Io(error));
        let stream = TcpStream::connect(self.peer).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let written = Rc::new(Cell::new(false));
        let io = FuturesIo::new(WriteTracker::new(stream, written.clone()));
        let (sender, driver) = http1::handshake(io)
            .await
            .map_err(|error| (Step::Connect, Cause::Protocol(error)))?;
        Ok(Connection {
            sender,
            driver: Some(Box::pin(driver)),
            written,
            idle_since: Instant::now(),
        })
    }

    /// Sends a request and waits for the head of the response.
    async fn send_head(
        &self,
        connection: &mut Connection,
        request: Request<Bytes>,
        progress: &Progress,
    ) -> Result<Response<Incoming>, (Step, Cause)> {
        connection.written.set(false);
        *progress.written.borrow_mut() = Some(connection.written.clone());
        progress.step.set(Some(Step::Exchange));
        let Connection { sender, driver, .. } = connection;
        drive(driver, sender.send_request(request.map(Full::new)))
            .await
            .map_err(|error| (Step::Exchange, Cause::Protocol(error)))
    }

    async fn send_and_read(
        &self,
        connection: &mut Connection,
        request: Request<Bytes>,
        progress: &Progress,
    ) -> Result<Response<Bytes>, (Step, Cause)> {
        let response = self.send_head(connection, request, progress).await?;
        progress.step.set(Some(Step::Body));
        let (head, body) = response.into_parts();
        let reading = response::read(body, &self.options, &self.receiving);
        let body = drive(&mut connection.driver, reading).await;
        let body = body.map_err(|cause| (Step::Body, cause))?;
        Ok(Response::from_parts(head, body))
    }

    /// Returns the connection to the pool if the exchange succeeded.
    async fn recycle(
        &self,
        mut connection: Connection,
        result: Result<Response<Bytes>, (Step, Cause)>,
    ) -> Result<Response<Bytes>, (Step, Cause)> {
        if result.is_ok() && connection.is_open().await {
            let mut idle = self.idle.borrow_mut();
            if idle.len() < self.options.idle {
                connection.idle_since = Instant::now();
                idle.push(connection);
            }
        }
        result
    }
}

impl Connection {
    async fn is_open(&mut self) -> bool {
        let Some(driver) = &mut self.driver else {
            return false;
        };
        poll_once(driver).await.is_none() && self.sender.is_ready()
    }
}

/// Polls `work` together with the I/O of the connection.
async fn drive<T>(driver: &mut Option<Driver>, work: impl Future<Output = T>) -> T {
    let mut work = pin!(work);
    poll_fn(|context| {
        if let Poll::Ready(result) = work.as_mut().poll(context) {
            return Poll::Ready(result);
        }
        let ended = driver
            .as_mut()
            .is_some_and(|driver| driver.as_mut().poll(context).is_ready());
        if ended {
            *driver = None;
        }
        work.as_mut().poll(context)
    })
    .await
}
