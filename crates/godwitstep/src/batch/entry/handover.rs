//! Handing the decider's place over to an entry that can write to the log.
//!
//! The log may turn one host away and serve the others. A decider there is alive and answers, so the
//! others would wait for the whole silence before they claim its place; meanwhile nothing starts and no
//! end is recorded. So it asks the others how new their views of the log are, and names its successor. A log
//! that is slow for all is no reason: only an entry that the log answers promptly offers to take the place.

use super::Entry;
use crate::batch::log::{Log, Stream};
use crate::http::{self, Client};
use bytes::Bytes;
use futures_util::future::join_all;
use godwitstep_batch::claim;
use godwitstep_batch::id::Epoch;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use smol::Timer;
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Path on which a decider that can't write asks for successors. The body is its epoch; the answer is
/// the age of the view of the log in milliseconds.
pub(super) const OFFER: &str = "/offer";
/// Path on which it names its successor. The body is its epoch.
pub(super) const SUCCEED: &str = "/succeed";
/// Time without an answer to an append after which a decider hands over. Several times that of an append
/// to a slow log, so that a log that is slow for all does not move the place around.
const UNANSWERED: Duration = Duration::from_millis(500);
/// Time for which a decider keeps its place at least: its reports have to come in first.
const MIN_TERM: Duration = Duration::from_secs(2);
/// Time for which an entry that has handed over does not claim the place again.
pub(super) const REST: Duration = Duration::from_secs(2);
/// Longest time for an answer.
const TIME: Duration = Duration::from_millis(300);
/// Longest time for a read of the log by an entry that offers to take the place: below what a decider waits
/// for an append by several times.
const PROMPT: Duration = Duration::from_millis(100);
/// Longest body.
const MAX_BODY: usize = 64;

impl<L: Log> Entry<L> {
    /// Waits until an append has gone without an answer for too long and another entry takes the place.
    pub(super) async fn hand_over(&self, epoch: Epoch, held: Duration) {
        Timer::after(UNANSWERED.max(MIN_TERM.saturating_sub(held))).await;
        while !self.name_successor(epoch).await {
            Timer::after(UNANSWERED).await;
        }
    }

    /// Names the entry with the newest view of the log as the successor. Returns whether one takes it.
    async fn name_successor(&self, epoch: Epoch) -> bool {
        let others = self.others();
        let asked = others.len();
        let ages = join_all(others.into_iter().map(|address| offer(address, epoch))).await;
        let mut ready: Vec<(Duration, SocketAddr)> = ages.into_iter().flatten().collect();
        ready.sort_unstable();
        let count = ready.len();
        for (age, successor) in ready {
            let taken = tell(successor, SUCCEED, epoch).await.is_some();
            tracing::info!(epoch, asked, ready = count, %successor, view_ms = age.as_millis(), taken, "named a successor: the log does not answer");
            if taken {
                self.state.borrow_mut().successor = Some((epoch, successor));
                return true;
            }
        }
        if count == 0 {
            tracing::info!(epoch, asked, "no entry can take the place of the decider");
        }
        false
    }

    /// Serves a message of a decider that can't write.
    pub(super) async fn succeed(&self, request: Request<Incoming>) -> Response<http::Body> {
        let named = request.uri().path() == SUCCEED;
        let body = http::read(request.into_body(), MAX_BODY, TIME).await;
        let text = body
            .ok()
            .and_then(|body| String::from_utf8(body.to_vec()).ok());
        let Some(epoch) = text.and_then(|text| text.parse::<Epoch>().ok()) else {
            tracing::warn!("another entry's offer of the decider's place is malformed");
            return http::respond(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let prompt = named || self.is_served_promptly().await;
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let age = state.records.own_age(now);
        let current = state.ledger.epoch() == epoch && state.operator.policy().is_some();
        let ready = current && prompt && !self.stopping.get() && claim::informed(age);
        tracing::info!(
            epoch,
            ready,
            named,
            prompt,
            view_ms = age.as_millis(),
            "the decider can't write to the log"
        );
        if !ready {
            return http::respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        }
        if named {
            state.watch.named(epoch);
            drop(state);
            self.changes.notify();
        }
        http::respond(StatusCode::OK, age.as_millis().to_string())
    }

    /// Tells whether the log answers this entry's reads without delay.
    async fn is_served_promptly(&self) -> bool {
        let from = self.state.borrow().records_end;
        let read = async {
            let page = self.log.read(Stream::Records, from, Duration::ZERO).await;
            page.is_ok()
        };
        let late = async {
            Timer::after(PROMPT).await;
            false
        };
        read.or(late).await
    }
}

/// Offers the place to an entry. Returns the age of its view of the log and its address if it can take it.
async fn offer(address: SocketAddr, epoch: Epoch) -> Option<(Duration, SocketAddr)> {
    let body = tell(address, OFFER, epoch).await?;
    let age = std::str::from_utf8(&body).ok()?.parse().ok()?;
    Some((Duration::from_millis(age), address))
}

/// Sends a message and returns the body of the answer if that is positive.
async fn tell(address: SocketAddr, path: &str, epoch: Epoch) -> Option<Bytes> {
    let body = Bytes::from(epoch.to_string());
    let request = Request::post(path).body(body).ok()?;
    let answer = Client::new(address).exchange(request, TIME).await.ok()?;
    (answer.status() == StatusCode::OK).then(|| answer.into_body())
}
