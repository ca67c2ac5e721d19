//! Single exchanges with the log service.

use super::{AppendError, Cause, Fault, Page, Read, Step};
use crate::http;
use bytes::Bytes;
use godwitstep_core::id::Offset;
use hyper::{Method, Request, Response, StatusCode, header};
use serde::Deserialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Connections to the service at a time: one long poll for each stream and the appends.
const CONNECTIONS: usize = 16;

/// Client of the log service. Clones share its connections.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    deadline: Duration,
    pool: Rc<RefCell<Rc<http::Client>>>,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct Gone {
    start: Offset,
}

impl Client {
    /// Returns a client whose exchanges take at most `deadline`, and long polls as much longer as
    /// they wait.
    #[must_use]
    pub fn new(address: SocketAddr, deadline: Duration) -> Self {
        Self {
            address,
            deadline,
            pool: Rc::new(RefCell::new(Rc::new(pool(address)))),
        }
    }

    /// Returns a client with another deadline that shares the connections.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Address of the service.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Appends a record of JSON text.
    ///
    /// # Errors
    ///
    /// Tells whether the record may have been appended all the same.
    pub async fn append(
        &self,
        stream: &str,
        value: impl Into<Bytes>,
    ) -> Result<Offset, AppendError> {
        let path = format!("/v1/streams/{stream}/records");
        let result = self
            .exchange(Method::POST, &path, value.into(), self.deadline)
            .await
            .and_then(|answer| match answer.status() {
                StatusCode::OK => parse::<Appended>(answer.body()),
                status => Err(Cause::Status { status }),
            });
        result
            .map(|appended| appended.offset)
            .map_err(|cause| AppendError::new(self.fault(Step::Append, stream, cause)))
    }

    /// Reads at most `limit` records from an offset on, and waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// The service cannot be reached, refuses, or does not answer in time.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Read, Fault> {
        let wait_ms = wait.as_millis();
        let path =
            format!("/v1/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}");
        let time = self.deadline + wait;
        let result = self
            .exchange(Method::GET, &path, Bytes::new(), time)
            .await
            .and_then(|answer| match answer.status() {
                StatusCode::OK => Page::parse(from, answer.body())
                    .map(Read::Page)
                    .map_err(Cause::Malformed),
                StatusCode::GONE => {
                    let gone = parse::<Gone>(answer.body())?;
                    // A start at or before the offset would make readers ask for it for ever.
                    let trimmed = gone.start > from;
                    let lie = || Cause::Malformed(format!("{from} is not before the start"));
                    trimmed
                        .then_some(Read::Trimmed { start: gone.start })
                        .ok_or_else(lie)
                }
                status => Err(Cause::Status { status }),
            });
        result.map_err(|cause| self.fault(Step::Read, stream, cause))
    }

    /// Returns the offset that the next record of a stream gets.
    ///
    /// # Errors
    ///
    /// As [`Client::read`].
    pub async fn tail(&self, stream: &str) -> Result<Offset, Fault> {
        let mut from = 0;
        loop {
            match self.read(stream, from, 1, Duration::ZERO).await? {
                Read::Page(page) => return Ok(page.tail),
                Read::Trimmed { start } => from = start,
            }
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        time: Duration,
    ) -> Result<Response<Bytes>, Cause> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|error| Cause::Malformed(error.to_string()))?;
        let pool = self.pool.borrow().clone();
        let result = pool.exchange(request, time).await;
        if let Err(http::Error {
            cause: http::Cause::Late { .. },
            ..
        }) = result
        {
            self.abandon(&pool);
        }
        Ok(result?)
    }

    /// Drops the idle connections. When one connection has gone silent, the others have probably
    /// done so too, and each of them would cost one more exchange its deadline.
    fn abandon(&self, silent: &Rc<http::Client>) {
        let mut current = self.pool.borrow_mut();
        if Rc::ptr_eq(&current, silent) {
            *current = Rc::new(pool(self.address));
        }
    }

    fn fault(&self, step: Step, stream: &str, cause: Cause) -> Fault {
        Fault {
            step,
            stream: stream.to_owned(),
            peer: self.address,
            cause,
        }
    }
}

fn pool(address: SocketAddr) -> http::Client {
    http::Client::new(address).options(http::Options {
        connections: CONNECTIONS,
        idle: 4,
        ..http::Options::default()
    })
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Cause> {
    serde_json::from_slice(body).map_err(|error| Cause::Malformed(error.to_string()))
}
