//! Agents' reports and what they are told.

use super::{Decider, Entry, entries, handover, probe, relay, tail};
use crate::batch::log::Log;
use crate::http;
use bytes::Bytes;
use godwitstep_batch::bounds::VOICE;
use godwitstep_batch::id::Epoch;
use godwitstep_batch::message::{self, Directive, Reply, Report};
use godwitstep_batch::planner::Orders;
use godwitstep_batch::policy::Policy;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// Longest wait of a report for something new.
const WAIT: Duration = Duration::from_millis(500);
/// Time after which an agent is told again what it has been told.
const REPEAT: Duration = Duration::from_millis(400);
/// Greatest size of a report. Unit: bytes.
const MAX_REPORT: usize = 4 * 1024 * 1024;
/// Longest time for the body of a report.
const READ_TIME: Duration = Duration::from_secs(2);

impl<L: Log> Entry<L> {
    /// Serves one exchange with an agent.
    pub async fn serve_agent(&self, request: Request<Incoming>) -> Response<http::Body> {
        if request.uri().path() == probe::PATH {
            return self.tell_epoch();
        }
        if request.uri().path() == relay::PATH {
            return self.take_records(request).await;
        }
        if request.uri().path() == tail::PATH {
            return self.read_for_peer(request).await;
        }
        if [handover::OFFER, handover::SUCCEED].contains(&request.uri().path()) {
            return self.succeed(request).await;
        }
        let body = match http::read(request.into_body(), MAX_REPORT, READ_TIME).await {
            Ok(body) => body,
            Err(error) => return bad_request(&error),
        };
        match message::decode::<Report>(&body) {
            Ok(report) => {
                let reply = self.report(report).await;
                http::respond(StatusCode::OK, message::encode(&reply))
            }
            Err(error) => bad_request(&error),
        }
    }

    /// Tells another entry under which epoch this one decides. One that has named a successor says nothing, so
    /// that the others leave the place to that one.
    fn tell_epoch(&self) -> Response<http::Body> {
        let epoch = self.voiced_epoch();
        let state = self.state.borrow();
        let held = state.ledger.epoch();
        let followed = state.successor.is_some_and(|(epoch, _)| epoch == held);
        if epoch == 0 && state.decider.is_some() {
            http::respond(probe::STRUGGLES, Bytes::new())
        } else if epoch == 0 && followed {
            http::respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
        } else {
            http::respond(StatusCode::OK, epoch.to_string())
        }
    }

    /// Returns the epoch under which this entry decides, 0 if it does not.
    fn voiced_epoch(&self) -> Epoch {
        let now = self.clock.now();
        let state = self.state.borrow();
        let decider = state.decider.as_ref();
        decider
            .filter(|decider| decider.has_voice(now))
            .map_or(0, |decider| decider.planner.epoch())
    }

    /// Takes a report and answers it.
    pub async fn report(&self, report: Report) -> Reply {
        let host = report.host.clone();
        let wait = report.wait;
        let until = self.clock.now() + WAIT;
        if !self.take_report(&report) {
            return self.refer(&report, until).await;
        }
        loop {
            let version = self.directives.version();
            let now = self.clock.now();
            let Some((directive, news)) = self.directive(now, &host) else {
                return self.elsewhere();
            };
            if news || !wait || now >= until {
                return Reply::Directive(directive);
            }
            let left = until.saturating_sub(now);
            self.directives.changed(version, left).await;
        }
    }

    /// Hands a report to the planner. Returns whether this entry may decide.
    fn take_report(&self, report: &Report) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(decider) = state
            .decider
            .as_mut()
            .filter(|decider| decider.has_voice(now))
        else {
            return false;
        };
        if decider.planner.report(now, report.clone()) {
            drop(state);
            self.changes.notify();
        }
        true
    }

    /// Returns what a host is to be told, and whether that is news to it.
    fn directive(&self, now: Duration, host: &str) -> Option<(Directive, bool)> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let nothing = Rc::new(Policy::default());
        let policy = state.operator.policy().unwrap_or(&nothing).clone();
        let out = state.operator.out().clone();
        let age = state.operators.age(now);
        let addresses = entries(&state.ledger);
        let decider = state
            .decider
            .as_mut()
            .filter(|decider| decider.has_voice(now))?;
        let orders = Orders {
            policy: &policy,
            out: &out,
            age,
        };
        let directive = decider
            .planner
            .directive(host, &state.ledger, &orders, addresses);
        let digest = digest(&directive);
        let news = match decider.told.get(host) {
            Some((told, at)) => *told != digest || (orders_any(&directive) && now > *at + REPEAT),
            None => true,
        };
        if news {
            decider.told.insert(host.into(), (digest, now));
        }
        Some((directive, news))
    }

    /// Refers an agent to the decider. If the agent knows of no older one than this entry, the answer
    /// may wait for a new one.
    async fn refer(&self, report: &Report, until: Duration) -> Reply {
        loop {
            let version = self.changes.version();
            let now = self.clock.now();
            let reply = self.elsewhere();
            let newer = match reply {
                Reply::Elsewhere { decider } => {
                    decider.is_some_and(|(epoch, _)| epoch > report.epoch)
                }
                Reply::Directive(_) => true,
            };
            if newer || !report.wait || now >= until || self.decides() {
                return reply;
            }
            self.changes
                .changed(version, until.saturating_sub(now))
                .await;
        }
    }

    fn elsewhere(&self) -> Reply {
        let state = self.state.borrow();
        let claim = state.ledger.claim().filter(|claim| !claim.released);
        let decider = match claim {
            Some(claim) if claim.host == self.settings.host => {
                state.successor.filter(|(epoch, _)| *epoch == claim.epoch)
            }
            claim => claim.map(|claim| (claim.epoch, claim.address)),
        };
        Reply::Elsewhere { decider }
    }
}

impl Decider {
    /// Tells whether the claim was renewed recently enough to answer agents.
    pub(super) fn has_voice(&self, now: Duration) -> bool {
        now.saturating_sub(self.stored) < VOICE
    }
}

const fn orders_any(directive: &Directive) -> bool {
    !directive.start.is_empty() || !directive.stop.is_empty()
}

/// Digest of what an agent is told, report number aside.
fn digest(directive: &Directive) -> u64 {
    let mut hasher = DefaultHasher::new();
    directive.life.hash(&mut hasher);
    directive.recorded.hash(&mut hasher);
    directive.stop.hash(&mut hasher);
    for start in &directive.start {
        (start.task, start.run).hash(&mut hasher);
    }
    hasher.finish()
}

fn bad_request(error: &dyn std::error::Error) -> Response<http::Body> {
    http::respond(StatusCode::BAD_REQUEST, format!("{error}\n"))
}
