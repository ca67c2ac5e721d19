//! Handling of agents' reports, and the directives that answer them.

use super::{Decider, Entry, entry_addresses, handover, probe, relay, tail};
use crate::batch::log::Log;
use crate::http;
use bytes::Bytes;
use godwitstep_batch::bounds::DECIDER_LEASE;
use godwitstep_batch::id::{AgentProcess, Epoch};
use godwitstep_batch::message::{self, Directive, Reply, Report};
use godwitstep_batch::planner::OperatorView;
use godwitstep_batch::policy::Policy;
use hyper::{Request, Response, StatusCode};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// Maximum time for which the reply to a report is held back until there is a new directive (long poll).
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an unchanged directive that holds orders is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum size of a report. Unit: bytes.
const MAX_REPORT_BYTES: usize = 4 * 1024 * 1024;
/// Timeout for reading the body of a report.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

impl<L: Log> Entry<L> {
    /// Serves a request on the internal address: a report of an agent, or a message of another entry.
    pub async fn serve_agent(&self, request: Request<http::RequestBody>) -> Response<http::Body> {
        if request.uri().path() == probe::PROBE_PATH {
            return self.handle_probe();
        }
        if request.uri().path() == relay::RELAY_PATH {
            return self.handle_records(request).await;
        }
        if request.uri().path() == tail::TAIL_PATH {
            return self.handle_tail_read(request).await;
        }
        if [handover::OFFER_PATH, handover::SUCCEED_PATH].contains(&request.uri().path()) {
            return self.handle_handover(request).await;
        }
        let body = match http::read(request.into_body(), MAX_REPORT_BYTES, BODY_TIMEOUT).await {
            Ok(body) => body,
            Err(error) => return http::refuse(&error),
        };
        match message::decode::<Report>(&body) {
            Ok(report) => {
                let reply = self.handle_report(report).await;
                http::respond(StatusCode::OK, message::encode(&reply))
            }
            Err(error) => bad_request(&error),
        }
    }

    /// Handles a probe: returns the epoch under which this entry is the decider. An entry that has named a successor
    /// answers 503, so that the other entries leave the role to the successor.
    fn handle_probe(&self) -> Response<http::Body> {
        let epoch = self.leased_epoch();
        let state = self.state.borrow();
        let current = state.ledger.epoch();
        let handed_over = state.successor.is_some_and(|(epoch, _)| epoch == current);
        if epoch == 0 && state.decider.is_some() {
            http::respond(probe::CANNOT_WRITE_STATUS, Bytes::new())
        } else if epoch == 0 && handed_over {
            http::respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
        } else {
            http::respond(StatusCode::OK, epoch.to_string())
        }
    }

    /// Returns the epoch under which this entry is the decider, or 0 if it is not or its lease has expired.
    fn leased_epoch(&self) -> Epoch {
        let now = self.clock.now();
        let state = self.state.borrow();
        let decider = state.decider.as_ref();
        decider
            .filter(|decider| decider.holds_lease(now))
            .map_or(0, |decider| decider.planner.epoch())
    }

    /// Handles a report and returns the reply.
    pub async fn handle_report(&self, report: Report) -> Reply {
        let deadline = self.clock.now() + LONG_POLL_TIMEOUT;
        if !self.accept_report(&report) {
            return self.refer_to_decider(&report, deadline).await;
        }
        loop {
            let version = self.directives.version();
            let now = self.clock.now();
            let Some((directive, due)) = self.directive_for(now, &report) else {
                return self.referral();
            };
            if due || !report.wait || now >= deadline {
                return Reply::Directive(directive);
            }
            let remaining = deadline.saturating_sub(now);
            self.directives.changed(version, remaining).await;
        }
    }

    /// Passes a report to the planner. Returns false if this entry does not hold the decider's lease.
    fn accept_report(&self, report: &Report) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(decider) = state
            .decider
            .as_mut()
            .filter(|decider| decider.holds_lease(now))
        else {
            return false;
        };
        if decider.planner.report(now, report.clone()) {
            drop(state);
            self.changes.notify();
        }
        true
    }

    /// Returns the reply to a report, and whether to send it at once: because it has changed, to repeat its orders, or
    /// because the agent has to report again before it gets any.
    fn directive_for(&self, now: Duration, report: &Report) -> Option<(Directive, bool)> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let default_policy = Rc::new(Policy::default());
        let policy = state.operator.policy().unwrap_or(&default_policy).clone();
        let out = state.operator.domains_out().clone();
        let age = state.operator_reads.age(now);
        let jobs_age = state.record_reads.age(now);
        let addresses = entry_addresses(&state.ledger);
        let decider = state
            .decider
            .as_mut()
            .filter(|decider| decider.holds_lease(now))?;
        let view = OperatorView {
            policy: &policy,
            domains_out: &out,
            age,
            jobs_age,
        };
        let directive = decider
            .planner
            .directive(report, &state.ledger, &view, addresses);
        if directive.sequence == 0 {
            return Some((directive, true));
        }
        let digest = digest(report.process(), &directive);
        let due = match decider.last_directives.get(&report.host) {
            Some((sent, at)) => {
                *sent != digest || (has_orders(&directive) && now > *at + RESEND_INTERVAL)
            }
            None => true,
        };
        if due {
            decider
                .last_directives
                .insert(report.host.clone(), (digest, now));
        }
        Some((directive, due))
    }

    /// Refers an agent to the decider. If the agent already knows the newest decider that this entry knows, the
    /// reply may wait for a newer one.
    async fn refer_to_decider(&self, report: &Report, deadline: Duration) -> Reply {
        loop {
            let version = self.changes.version();
            let now = self.clock.now();
            let reply = self.referral();
            let newer = match reply {
                Reply::NotDecider { decider } => {
                    decider.is_some_and(|(epoch, _)| epoch > report.epoch)
                }
                Reply::Directive(_) => true,
            };
            if newer || !report.wait || now >= deadline || self.is_decider() {
                return reply;
            }
            self.changes
                .changed(version, deadline.saturating_sub(now))
                .await;
        }
    }

    /// Returns the reply that names the decider. An entry that has handed over names its successor.
    fn referral(&self) -> Reply {
        let state = self.state.borrow();
        let claim = state.ledger.claim().filter(|claim| !claim.released);
        let decider = match claim {
            Some(claim) if claim.host == self.settings.host => {
                state.successor.filter(|(epoch, _)| *epoch == claim.epoch)
            }
            claim => claim.map(|claim| (claim.epoch, claim.address)),
        };
        Reply::NotDecider { decider }
    }
}

impl Decider {
    /// Returns whether the claim was renewed recently enough to answer agents.
    pub(super) fn holds_lease(&self, now: Duration) -> bool {
        now.saturating_sub(self.renewed_at) < DECIDER_LEASE
    }
}

const fn has_orders(directive: &Directive) -> bool {
    !directive.start.is_empty() || !directive.stop.is_empty()
}

/// Returns a digest of a directive to a process of an agent that ignores the sequence number of the report.
fn digest(process: AgentProcess, directive: &Directive) -> u64 {
    let mut hasher = DefaultHasher::new();
    process.hash(&mut hasher);
    directive.incarnation.hash(&mut hasher);
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
