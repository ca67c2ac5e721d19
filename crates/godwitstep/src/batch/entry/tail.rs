//! Reading the log through another entry.
//!
//! The log may turn single hosts away, or be cut off from them, while it serves the others. An entry there still has
//! callers: they ask for their jobs' states, and hand jobs in, which go to the log by the decider. So it asks another
//! entry, which reads the log at that moment, for what it can't read itself. Its view is then as new as its
//! own read would make it. It takes no new callers and claims nothing on such a view.

use super::Entry;
use crate::batch::log::{Item, Log, Page, Stream};
use crate::http::{self, Client};
use bytes::Bytes;
use godwitstep_batch::id::Offset;
use godwitstep_batch::message::{self, Tail, TailRequest, Value};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Path that reads the log for another entry.
pub(super) const PATH: &str = "/tail";
/// Longest time for the answer of another entry.
const TIME: Duration = Duration::from_millis(400);
/// Greatest size of a request. Unit: bytes.
const MAX_BODY: usize = 1_024;

impl<L: Log> Entry<L> {
    /// Returns what follows an offset of a stream, as another entry reads it: the decider, or the others in turns.
    pub(super) async fn read_through_peer(&self, stream: Stream, from: Offset) -> Option<Page> {
        if self.decides() {
            return None;
        }
        let address = self.peer()?;
        let page = ask(address, stream, from).await;
        if page.is_none() {
            self.peer_turn.set(self.peer_turn.get().wrapping_add(1));
        }
        page
    }

    /// Returns the entry to read the log through.
    fn peer(&self) -> Option<SocketAddr> {
        let mut others = self.others();
        let decider = {
            let state = self.state.borrow();
            state.ledger.claim().map(|claim| claim.address)
        };
        others.sort_by_key(|address| Some(*address) != decider);
        let turn = self.peer_turn.get().checked_rem(others.len())?;
        others.get(turn).copied()
    }

    /// Serves another entry that can't read the log.
    pub(super) async fn read_for_peer(&self, request: Request<Incoming>) -> Response<http::Body> {
        let body = match http::read(request.into_body(), MAX_BODY, TIME).await {
            Ok(body) => body,
            Err(error) => {
                tracing::warn!(%error, "another entry's request to read the log could not be read");
                return http::respond(StatusCode::BAD_REQUEST, format!("{error}\n"));
            }
        };
        let wanted = message::decode::<TailRequest>(&body).ok();
        let wanted = wanted.and_then(|wanted| Some((Stream::named(&wanted.stream)?, wanted.from)));
        let Some((stream, from)) = wanted else {
            tracing::warn!("another entry's request to read the log is malformed");
            return http::respond(StatusCode::BAD_REQUEST, Bytes::new());
        };
        match self.log.read(stream, from, Duration::ZERO).await {
            Ok(page) => http::respond(StatusCode::OK, message::encode(&tail(page))),
            Err(error) => {
                tracing::info!(stream = stream.name(), from, %error, "the log could not be read for another entry");
                http::respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
            }
        }
    }
}

async fn ask(address: SocketAddr, stream: Stream, from: Offset) -> Option<Page> {
    let wanted = TailRequest {
        stream: stream.name().to_owned(),
        from,
    };
    let request = Request::post(PATH).body(message::encode(&wanted)).ok()?;
    let answer = Client::new(address).exchange(request, TIME).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    let tail = message::decode::<Tail>(answer.body())
        .inspect_err(|error| tracing::warn!(%address, %error, "another entry's page of the log is malformed"))
        .ok()?;
    Some(page(tail))
}

fn tail(page: Page) -> Tail {
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

fn page(tail: Tail) -> Page {
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
