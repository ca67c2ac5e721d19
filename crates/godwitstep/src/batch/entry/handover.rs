//! Handover of the decider role to an entry that can append to the log.
//!
//! The log may reject one host while it serves the others. A decider on that host still answers probes, so
//! the other entries would wait for the full takeover timeout before they claim the role; meanwhile no task
//! starts and no end is recorded. The decider therefore asks the other entries how recent their views of the
//! log are and names a successor. A log that is slow for every host does not cause a handover: an entry
//! accepts an offer only if the log answers its own reads promptly.

use super::Entry;
use crate::batch::log::{Log, Stream};
use crate::http::{self, Client};
use bytes::Bytes;
use futures_util::future::join_all;
use godwitstep_batch::claim;
use godwitstep_batch::id::Epoch;
use hyper::{Request, Response, StatusCode};
use smol::Timer;
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Path on which a decider that cannot append offers the role to other entries. The body is its epoch; the
/// response is the age of the entry's view of the log in milliseconds.
pub(super) const OFFER_PATH: &str = "/offer";
/// Path on which the decider names its successor. The body is the decider's epoch.
pub(super) const SUCCEED_PATH: &str = "/succeed";
/// Time without an answer to an append after which a decider hands over. Several times as long as an append
/// to a slow log takes, so that a log that is slow for every host does not cause repeated handovers.
const APPEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time for which a decider keeps the role before it hands over: the agents' reports have to arrive before it
/// can decide.
const MIN_TENURE: Duration = Duration::from_secs(2);
/// Time for which an entry does not claim the role again after it has handed over.
pub(super) const CLAIM_COOLDOWN: Duration = Duration::from_secs(2);
/// Timeout of a handover request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time that a read of the log may take for an entry to accept an offer. Several times shorter than
/// [`APPEND_TIMEOUT`].
const READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum size of a handover request's body. Unit: bytes.
const MAX_BODY_BYTES: usize = 64;

impl<L: Log> Entry<L> {
    /// Waits until an append has gone unanswered for too long and another entry has accepted the role. `tenure` is
    /// the time since this entry became the decider.
    pub(super) async fn hand_over(&self, epoch: Epoch, tenure: Duration) {
        Timer::after(APPEND_TIMEOUT.max(MIN_TENURE.saturating_sub(tenure))).await;
        while !self.name_successor(epoch).await {
            Timer::after(APPEND_TIMEOUT).await;
        }
    }

    /// Names a successor, trying entries with the most recent view of the log first. Returns whether one accepted.
    async fn name_successor(&self, epoch: Epoch) -> bool {
        let entries = self.other_entries();
        let asked = entries.len();
        let ages = join_all(
            entries
                .into_iter()
                .map(|address| offer_role(address, epoch)),
        )
        .await;
        let mut ready: Vec<(Duration, SocketAddr)> = ages.into_iter().flatten().collect();
        ready.sort_unstable();
        let count = ready.len();
        for (age, successor) in ready {
            let taken = send(successor, SUCCEED_PATH, epoch).await.is_some();
            tracing::info!(epoch, asked, ready = count, %successor, view_ms = age.as_millis(), taken, "log does not answer; named a successor");
            if taken {
                self.state.borrow_mut().successor = Some((epoch, successor));
                return true;
            }
        }
        if count == 0 {
            tracing::info!(epoch, asked, "no entry is ready to succeed the decider");
        }
        false
    }

    /// Handles an offer or a nomination by a decider that cannot append.
    pub(super) async fn handle_handover(
        &self,
        request: Request<http::RequestBody>,
    ) -> Response<http::Body> {
        let named = request.uri().path() == SUCCEED_PATH;
        let body = http::read(request.into_body(), MAX_BODY_BYTES, REQUEST_TIMEOUT).await;
        let text = body
            .ok()
            .and_then(|body| String::from_utf8(body.to_vec()).ok());
        let Some(epoch) = text.and_then(|text| text.parse::<Epoch>().ok()) else {
            tracing::warn!("another entry's offer of the decider's place is malformed");
            return http::respond(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let prompt = named || self.log_reads_promptly().await;
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let age = state.record_reads.direct_age(now);
        let current = state.ledger.epoch() == epoch && state.operator.policy().is_some();
        let ready = current && prompt && !self.stopping.get() && claim::view_is_recent(age);
        tracing::info!(
            epoch,
            ready,
            named,
            prompt,
            view_ms = age.as_millis(),
            "handover request: the decider cannot write to the log"
        );
        if !ready {
            return http::respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        }
        if named {
            state.detector.mark_successor(epoch);
            drop(state);
            self.changes.notify();
        }
        http::respond(StatusCode::OK, age.as_millis().to_string())
    }

    /// Returns whether the log answers a read of this entry within [`READ_TIMEOUT`].
    async fn log_reads_promptly(&self) -> bool {
        let from = self.state.borrow().records_end;
        let read = async {
            let page = self.log.read(Stream::Records, from, Duration::ZERO).await;
            page.is_ok()
        };
        let timeout = async {
            Timer::after(READ_TIMEOUT).await;
            false
        };
        read.or(timeout).await
    }
}

/// Offers the decider role to an entry. Returns the age of its view of the log and its address if it is ready.
async fn offer_role(address: SocketAddr, epoch: Epoch) -> Option<(Duration, SocketAddr)> {
    let body = send(address, OFFER_PATH, epoch).await?;
    let age = std::str::from_utf8(&body).ok()?.parse().ok()?;
    Some((Duration::from_millis(age), address))
}

/// Sends a handover request. Returns the body of the response if its status is 200.
async fn send(address: SocketAddr, path: &str, epoch: Epoch) -> Option<Bytes> {
    let body = Bytes::from(epoch.to_string());
    let request = Request::post(path).body(body).ok()?;
    let response = Client::new(address)
        .exchange(request, REQUEST_TIMEOUT)
        .await
        .ok()?;
    (response.status() == StatusCode::OK).then(|| response.into_body())
}
