//! Handing the decider's place over to an entry that can write to the log.
//!
//! The log may turn one host away and serve the others. A decider there is alive and answers, so the
//! others would wait for the whole silence before they claim its place; meanwhile nothing starts and no
//! end is recorded. So it tells them itself.

use super::Entry;
use crate::batch::log::Log;
use crate::http::{self, Client};
use bytes::Bytes;
use futures_util::future::join_all;
use godwitstep_batch::id::Epoch;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use smol::Timer;
use std::net::SocketAddr;
use std::time::Duration;

/// Path on which a decider tells that it can't write. The body is its epoch.
pub(super) const PATH: &str = "/vacant";
/// Time without an answer to an append after which a decider hands over. Several times that of an append
/// to a slow log, so that a log that is slow for all does not move the place around.
pub(super) const UNSTORED: Duration = Duration::from_millis(500);
/// Time for which a decider keeps its place at least: its reports have to come in first.
pub(super) const MIN_TERM: Duration = Duration::from_secs(2);
/// Time for which an entry that has handed over does not claim the place again.
pub(super) const REST: Duration = Duration::from_secs(2);
/// Longest time for an answer.
const TIME: Duration = Duration::from_millis(300);
/// Longest body.
const MAX_BODY: usize = 64;

impl<L: Log> Entry<L> {
    /// Waits until an append has gone without an answer for too long and another entry is ready to take
    /// the place.
    pub(super) async fn hand_over(&self, epoch: Epoch, held: Duration) {
        Timer::after(UNSTORED.max(MIN_TERM.saturating_sub(held))).await;
        loop {
            let others: Vec<SocketAddr> = self
                .entries()
                .into_iter()
                .filter(|address| *address != self.settings.agents)
                .collect();
            let told = others.len();
            let answers = join_all(others.into_iter().map(|address| tell(address, epoch))).await;
            let ready = answers.into_iter().filter(|ready| *ready).count();
            tracing::info!(
                epoch,
                told,
                ready,
                "offered the place of the decider: the log does not answer"
            );
            if ready > 0 {
                return;
            }
            Timer::after(UNSTORED).await;
        }
    }

    /// Takes the message of a decider that it can't write. Answers whether this entry can take its place.
    pub(super) async fn take_over(&self, request: Request<Incoming>) -> Response<http::Body> {
        let body = http::read(request.into_body(), MAX_BODY, TIME).await;
        let text = body
            .ok()
            .and_then(|body| String::from_utf8(body.to_vec()).ok());
        let Some(epoch) = text.and_then(|text| text.parse::<Epoch>().ok()) else {
            return answer(StatusCode::BAD_REQUEST);
        };
        let ready = {
            let now = self.clock.now();
            let mut state = self.state.borrow_mut();
            let age = super::decide::age(state.records_read, now);
            let current = state.ledger.epoch() == epoch && state.operator.policy().is_some();
            let ready = current && !self.stopping.get() && state.watch.offered(now, epoch, age);
            tracing::info!(
                epoch,
                ready,
                view_ms = age.as_millis(),
                "the decider can't write to the log"
            );
            ready
        };
        if !ready {
            return answer(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.changes.notify();
        answer(StatusCode::OK)
    }
}

/// Tells an entry that the place is vacant. Returns whether it can take it.
async fn tell(address: SocketAddr, epoch: Epoch) -> bool {
    let body = Bytes::from(epoch.to_string());
    let Ok(request) = Request::post(PATH).body(body) else {
        return false;
    };
    let answer = Client::new(address).exchange(request, TIME).await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}

fn answer(status: StatusCode) -> Response<http::Body> {
    let mut response = Response::new(http::full(Bytes::new()));
    *response.status_mut() = status;
    response
}
