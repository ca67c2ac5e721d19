//! Client of the log service.

use super::{AppendError, Cause, ExchangeError, Operation, Page, Read};
use crate::http;
use bytes::Bytes;
use godwitstep_core::id::Offset;
use hyper::{Method, Request, Response, StatusCode, header};
use serde::Deserialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of open connections: one long poll for each stream, and the appends.
const MAX_CONNECTIONS: usize = 16;

/// Client of the log service. Clones share a connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    deadline: Duration,
    pool: Rc<RefCell<Rc<http::Client>>>,
}

#[derive(Deserialize)]
struct AppendReply {
    offset: Offset,
}

#[derive(Deserialize)]
struct TrimmedReply {
    start: Offset,
}

impl Client {
    /// Returns a client whose exchanges take at most `deadline`; a long poll may take its wait in
    /// addition.
    #[must_use]
    pub fn new(address: SocketAddr, deadline: Duration) -> Self {
        Self {
            address,
            deadline,
            pool: Rc::new(RefCell::new(Rc::new(new_pool(address)))),
        }
    }

    /// Sets the deadline of an exchange. The connection pool stays shared.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Returns the address of the log service.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Appends a record of JSON text.
    ///
    /// # Errors
    ///
    /// The error says whether the record may have been appended despite the failure.
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
                StatusCode::OK => parse::<AppendReply>(answer.body()),
                status => Err(Cause::Status { status }),
            });
        result
            .map(|reply| reply.offset)
            .map_err(|cause| AppendError::new(self.error(Operation::Append, stream, cause)))
    }

    /// Reads at most `limit` records, starting at `from`, and waits up to `wait` for the first one.
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
    ) -> Result<Read, ExchangeError> {
        let wait_ms = wait.as_millis();
        let path =
            format!("/v1/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}");
        let timeout = self.deadline + wait;
        let result = self
            .exchange(Method::GET, &path, Bytes::new(), timeout)
            .await
            .and_then(|answer| match answer.status() {
                StatusCode::OK => Page::parse(from, answer.body())
                    .map(Read::Page)
                    .map_err(Cause::Malformed),
                StatusCode::GONE => {
                    let reply = parse::<TrimmedReply>(answer.body())?;
                    // With a start at or before the requested offset, readers would repeat the
                    // same read forever.
                    let trimmed = reply.start > from;
                    let invalid_start =
                        || Cause::Malformed(format!("{from} is not before the start"));
                    trimmed
                        .then_some(Read::Trimmed { start: reply.start })
                        .ok_or_else(invalid_start)
                }
                status => Err(Cause::Status { status }),
            });
        result.map_err(|cause| self.error(Operation::Read, stream, cause))
    }

    /// Returns the offset that the next record of a stream will get.
    ///
    /// # Errors
    ///
    /// As [`Client::read`].
    pub async fn tail(&self, stream: &str) -> Result<Offset, ExchangeError> {
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
        timeout: Duration,
    ) -> Result<Response<Bytes>, Cause> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|error| Cause::Malformed(error.to_string()))?;
        let pool = self.pool.borrow().clone();
        let result = pool.exchange(request, timeout).await;
        if let Err(http::Error {
            cause: http::Cause::TimedOut { .. },
            ..
        }) = result
        {
            self.replace_pool(&pool);
        }
        Ok(result?)
    }

    /// Replaces the connection pool after a timeout. If one connection no longer responds, the idle
    /// ones probably do not either, and each of them would make one more exchange time out.
    fn replace_pool(&self, unresponsive: &Rc<http::Client>) {
        let mut current = self.pool.borrow_mut();
        if Rc::ptr_eq(&current, unresponsive) {
            *current = Rc::new(new_pool(self.address));
        }
    }

    fn error(&self, operation: Operation, stream: &str, cause: Cause) -> ExchangeError {
        ExchangeError {
            operation,
            stream: stream.to_owned(),
            peer: self.address,
            cause,
        }
    }
}

fn new_pool(address: SocketAddr) -> http::Client {
    http::Client::new(address).options(http::Options {
        connections: MAX_CONNECTIONS,
        idle: 4,
        ..http::Options::default()
    })
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Cause> {
    serde_json::from_slice(body).map_err(|error| Cause::Malformed(error.to_string()))
}
