//! Client helper: a pool of kept-alive connections to one address.

use super::body::Body;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
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
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

mod error;
mod streaming;
mod witness;

pub use error::{Cause, Error, Step};
use streaming::Streaming;
use witness::Witness;

type Driver = Pin<Box<http1::Connection<FuturesIo<Witness<TcpStream>>, Full<Bytes>>>>;

/// Bounds of a client.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Greatest number of open connections; further exchanges wait for one.
    pub connections: usize,
    /// Greatest number of idle connections that are kept.
    pub idle: usize,
    /// Longest time that an idle connection is used again. Shorter than the time after which the
    /// servers here close one, so that a request seldom meets a closing connection.
    pub idle_time: Duration,
    /// Greatest size of an answer's body. Unit: bytes.
    pub body: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connections: 64,
            idle: 16,
            idle_time: Duration::from_secs(10),
            body: 4 * 1024 * 1024,
        }
    }
}

/// Client of one server.
#[derive(Debug)]
pub struct Client {
    peer: SocketAddr,
    host: HeaderValue,
    options: Options,
    open: Semaphore,
    idle: RefCell<Vec<Connection>>,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// `None` once the connection has ended.
    driver: Option<Driver>,
    /// Whether bytes were written since the flag was last cleared.
    written: Rc<Cell<bool>>,
    idle_since: Instant,
}

/// What an exchange under way has come to; outlives the exchange when its time is over.
#[derive(Default)]
struct Progress {
    step: Cell<Option<Step>>,
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
    /// Never: the text of an address is a legal header value.
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
        }
    }

    /// Sets the bounds.
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

    /// Sends a request and reads the whole answer within `time`.
    ///
    /// Dropping the returned future closes the connection that it uses.
    ///
    /// # Errors
    ///
    /// Returns an error that tells the step and whether bytes of the request were sent.
    pub async fn exchange(
        &self,
        request: Request<Bytes>,
        time: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let progress = Progress::default();
        let work = self.attempt(request, &progress);
        self.within(time, work, &progress).await
    }

    /// Sends a request on a connection of its own and returns once the head of the answer has come,
    /// within `time`. The body is read as it comes, without a bound on time or size.
    ///
    /// # Errors
    ///
    /// Returns an error that tells the step and whether bytes of the request were sent.
    pub async fn stream(
        &self,
        mut request: Request<Bytes>,
        time: Duration,
    ) -> Result<Response<Body>, Error> {
        let progress = Progress::default();
        self.name_host(&mut request);
        let work = async {
            progress.step.set(Some(Step::Connect));
            let mut connection = self.connect().await?;
            let head = self.head(&mut connection, request, &progress).await?;
            Ok(head.map(|body| -> Body { Box::pin(Streaming { connection, body }) }))
        };
        self.within(time, work, &progress).await
    }

    fn name_host(&self, request: &mut Request<Bytes>) {
        if !request.headers().contains_key(HOST) {
            request.headers_mut().insert(HOST, self.host.clone());
        }
    }

    async fn within<T>(
        &self,
        time: Duration,
        work: impl Future<Output = Result<T, (Step, Cause)>>,
        progress: &Progress,
    ) -> Result<T, Error> {
        let late = async {
            Timer::after(time).await;
            Err((Step::Wait, Cause::Late { time }))
        };
        work.or(late).await.map_err(|(step, cause)| Error {
            step: progress.step.get().unwrap_or(step),
            peer: self.peer,
            sent: progress.sent(),
            cause,
        })
    }

    async fn attempt(
        &self,
        mut request: Request<Bytes>,
        progress: &Progress,
    ) -> Result<Response<Bytes>, (Step, Cause)> {
        self.name_host(&mut request);
        let _permit = self.open.acquire().await;
        while let Some(mut connection) = self.reuse().await {
            match self
                .converse(&mut connection, request.clone(), progress)
                .await
            {
                // The server closed the idle connection; no byte was sent, so another may be used.
                Err(_) if !progress.sent() => {}
                result => return self.settle(connection, result).await,
            }
        }
        progress.step.set(Some(Step::Connect));
        let mut connection = self.connect().await?;
        let result = self.converse(&mut connection, request, progress).await;
        self.settle(connection, result).await
    }

    /// Takes an idle connection that still seems open.
    async fn reuse(&self) -> Option<Connection> {
        loop {
            let mut connection = self.idle.borrow_mut().pop()?;
            let young = connection.idle_since.elapsed() < self.options.idle_time;
            if young && connection.is_open().await {
                return Some(connection);
            }
        }
    }

    async fn connect(&self) -> Result<Connection, (Step, Cause)> {
        let failed = |error| (Step::Connect, Cause::Io(error));
        let stream = TcpStream::connect(self.peer).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let written = Rc::new(Cell::new(false));
        let io = FuturesIo::new(Witness::new(stream, written.clone()));
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

    /// Sends a request and waits for the head of the answer.
    async fn head(
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

    async fn converse(
        &self,
        connection: &mut Connection,
        request: Request<Bytes>,
        progress: &Progress,
    ) -> Result<Response<Bytes>, (Step, Cause)> {
        let response = self.head(connection, request, progress).await?;
        progress.step.set(Some(Step::Body));
        let (head, body) = response.into_parts();
        let limit = self.options.body;
        let body = drive(&mut connection.driver, Limited::new(body, limit).collect())
            .await
            .map_err(|error| match error.downcast::<LengthLimitError>() {
                Ok(_) => (Step::Body, Cause::TooLarge { limit }),
                Err(error) => (Step::Body, Cause::Other(error)),
            })?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    /// Keeps the connection for later if the exchange went well.
    async fn settle(
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

/// Runs `work` while the connection is served.
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
