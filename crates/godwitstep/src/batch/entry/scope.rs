//! Whether trouble with the log is this host's own or everybody's.
//!
//! A caller that is turned away should come back at once if another entry can serve it, and after a while
//! if none can: its attempts are few. So an entry in trouble asks the others.

use super::Entry;
use super::submit::LOG_FAILING;
use crate::batch::log::Log;
use crate::http::{self, Client};
use bytes::Bytes;
use futures_util::future::join_all;
use hyper::{Request, Response, StatusCode};
use smol::Timer;
use std::net::SocketAddr;
use std::time::Duration;

/// Path that tells whether an entry reaches the log: 200 or 503.
pub(super) const PATH: &str = "/log";
/// Time between two looks at the own view of the log.
const TICK: Duration = Duration::from_millis(250);
/// Age of the view of the log at which the others are asked. Above that of a quiet log, which answers each
/// 500 ms and is read again after 250 ms.
const DOUBTFUL: Duration = Duration::from_millis(1_350);
/// Longest time for an answer.
const TIME: Duration = Duration::from_millis(250);
/// When a caller should come back if no entry reaches the log.
const COME_BACK: Duration = Duration::from_secs(1);

/// Answer of another entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Reaches,
    Fails,
    None,
}

impl<L: Log> Entry<L> {
    /// Returns when a caller should come back whom this entry can't serve for the moment.
    #[must_use]
    pub fn come_back(&self) -> Duration {
        if self.alone.get() {
            Duration::ZERO
        } else {
            COME_BACK
        }
    }

    /// Tells another entry whether this one reaches the log.
    pub(super) fn reaches_log(&self) -> Response<http::Body> {
        let status = if self.in_doubt() {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        };
        http::respond(status, Bytes::new())
    }

    fn in_doubt(&self) -> bool {
        let now = self.clock.now();
        self.state.borrow().records.own_age(now) > DOUBTFUL || self.writer.failing(now) > TICK
    }

    /// Asks the others while the log does not answer, for good.
    pub(super) async fn watch_scope(&self) {
        loop {
            Timer::after(TICK).await;
            let alone = self.in_doubt() && self.ask_others().await;
            if alone != self.alone.replace(alone) {
                let age = self.with_view(|view| view.jobs_age);
                tracing::info!(
                    alone,
                    view_ms = age.as_millis(),
                    "scope of the trouble with the log"
                );
            }
        }
    }

    /// Returns whether only this host fails to reach the log, as far as the others tell. A host that
    /// reaches neither the log nor the others is cut off.
    async fn ask_others(&self) -> bool {
        let answers = join_all(self.others().into_iter().map(ask)).await;
        let fails = answers.contains(&Answer::Fails);
        let reaches = answers.contains(&Answer::Reaches);
        !answers.is_empty() && (reaches || !fails)
    }
}

async fn ask(address: SocketAddr) -> Answer {
    let Ok(request) = Request::get(PATH).body(Bytes::new()) else {
        return Answer::None;
    };
    match Client::new(address).exchange(request, TIME).await {
        Ok(response) if response.status() == StatusCode::OK => Answer::Reaches,
        Ok(_) => Answer::Fails,
        Err(_) => Answer::None,
    }
}

// An entry that refuses for want of the log counts as one that does not reach it.
const _: () = assert!(DOUBTFUL.as_millis() < LOG_FAILING.as_millis());
const _: () = assert!(TICK.as_millis() < LOG_FAILING.as_millis());
