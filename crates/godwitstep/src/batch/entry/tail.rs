//! Reads of the log through another entry.
//!
//! The log may reject single hosts, or be unreachable from them, while it serves the others. An entry on such a
//! host still has callers that query jobs and submit new ones, which it relays to the decider. It therefore
//! requests the records that it cannot read itself from another entry. That entry reads the log when it receives
//! the request, so the view is as recent as after a direct read. While an entry depends on other entries, it accepts
//! no new callers and does not claim the decider role.

use super::Entry;
use crate::batch::log::{Item, Log, Page, Stream};
use crate::http::{self, Client};
use bytes::Bytes;
use godwitstep_batch::id::Offset;
use godwitstep_batch::message::{self, Tail, TailRequest, Value};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Path on which an entry reads the log for another one.
pub(super) const TAIL_PATH: &str = "/tail";
/// Timeout of a read through another entry.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a request's body. Unit: bytes.
const MAX_BODY_BYTES: usize = 1_024;

impl<L: Log> Entry<L> {
    /// Reads a stream from an offset on through another entry: the decider first, then the next one after each
    /// failure. Returns `None` if that fails, or if this entry is the decider.
    pub(super) async fn read_from_peer(&self, stream: Stream, from: Offset) -> Option<Page> {
        if self.is_decider() {
            return None;
        }
        let address = self.select_peer()?;
        let page = request_tail(address, stream, from).await;
        if page.is_none() {
            self.peer_index.set(self.peer_index.get().wrapping_add(1));
        }
        page
    }

    /// Returns the address of the entry to read the log through.
    fn select_peer(&self) -> Option<SocketAddr> {
        let mut others = self.other_entries();
        let decider = {
            let state = self.state.borrow();
            state.ledger.claim().map(|claim| claim.address)
        };
        others.sort_by_key(|address| Some(*address) != decider);
        let index = self.peer_index.get().checked_rem(others.len())?;
        others.get(index).copied()
    }

    /// Handles a request of another entry that cannot read the log.
    pub(super) async fn handle_tail_read(
        &self,
        request: Request<http::RequestBody>,
    ) -> Response<http::Body> {
        let body = match http::read(request.into_body(), MAX_BODY_BYTES, REQUEST_TIMEOUT).await {
            Ok(body) => body,
            Err(error) => {
                tracing::warn!(%error, "another entry's request to read the log could not be read");
                return http::refuse(&error);
            }
        };
        let tail_request = message::decode::<TailRequest>(&body).ok();
        let tail_request = tail_request.and_then(|tail_request| {
            Some((Stream::from_name(&tail_request.stream)?, tail_request.from))
        });
        let Some((stream, from)) = tail_request else {
            tracing::warn!("another entry's request to read the log is malformed");
            return http::respond(StatusCode::BAD_REQUEST, Bytes::new());
        };
        match self.log.read(stream, from, Duration::ZERO).await {
            Ok(page) => http::respond(StatusCode::OK, message::encode(&to_tail(page))),
            Err(error) => {
                tracing::info!(stream = stream.name(), from, %error, "reading the log for another entry failed");
                http::respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
            }
        }
    }
}

async fn request_tail(address: SocketAddr, stream: Stream, from: Offset) -> Option<Page> {
    let tail_request = TailRequest {
        stream: stream.name().to_owned(),
        from,
    };
    let request = Request::post(TAIL_PATH)
        .body(message::encode(&tail_request))
        .ok()?;
    let response = Client::new(address)
        .exchange(request, REQUEST_TIMEOUT)
        .await
        .ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let tail = message::decode::<Tail>(response.body())
        .inspect_err(|error| tracing::warn!(%address, %error, "another entry's page of the log is malformed"))
        .ok()?;
    if tail.end < from.saturating_add(tail.items.len() as u64) {
        tracing::warn!(%address, from, end = tail.end, "another entry's page of the log ends before its records");
        return None;
    }
    Some(to_page(tail))
}

fn to_tail(page: Page) -> Tail {
    let record = |item: Item| (item.key, Value(item.value));
    Tail {
        items: page
            .items
            .into_iter()
            .map(|item| item.map(record))
            .collect(),
        end: page.end,
    }
}

fn to_page(tail: Tail) -> Page {
    let item = |(key, Value(value))| Item { key, value };
    Page {
        items: tail
            .items
            .into_iter()
            .map(|record| record.map(item))
            .collect(),
        end: tail.end,
    }
}
