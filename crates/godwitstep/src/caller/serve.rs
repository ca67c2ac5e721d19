//! Handles a caller's request from its headers to the response.

use super::Frontend;
use super::answer::{RequestError, name, respond};
use super::head::{RequestHead, service};
use super::pending::Pending;
use crate::http::budget::admission::Group;
use crate::http::{Body, ReadError, Source, read};
use bytes::Bytes;
use godwitstep_core::Reason;
use godwitstep_core::backoff::add_jitter;
use godwitstep_core::id::{Key, WorkspaceId};
use godwitstep_core::router::{Event, Outcome, Refusal, Request, Sequence};
use godwitstep_wire as wire;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Response, StatusCode};
use smol::channel;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Time limit for receiving a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay, before jitter, after which a caller may retry a request whose outcome is unknown.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Reports the caller as disconnected on drop, if its request has not been answered.
struct CallerGuard<'a> {
    front: &'a Frontend,
    sequence: Sequence,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        let sequence = self.sequence;
        let open = self.front.state.borrow().pending.contains_key(&sequence);
        if open {
            self.front.handle(Event::CallerDisconnected { sequence });
        }
    }
}

impl Frontend {
    /// Handles one HTTP request of a caller and returns the response.
    pub async fn serve<B>(&self, request: hyper::Request<B>) -> Response<Body>
    where
        B: Source,
    {
        let arrived = self.clock.now();
        let sequence = self.next_sequence(arrived);
        let id = format!("{}-{sequence}", self.incarnation);
        let result = self.process(arrived, sequence, request).await;
        let mut response = match result {
            Ok((outcome, body)) => {
                let retry = add_jitter(UNKNOWN_RETRY_DELAY, &mut self.state.borrow_mut().rng);
                record_metrics(name(&outcome), reason(&outcome), self.clock.now(), arrived);
                respond(&id, &outcome, body, retry)
            }
            Err(error) => {
                record_metrics("not_run", error.code, self.clock.now(), arrived);
                error.respond(&id)
            }
        };
        if self.stopping.get() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn process<B>(
        &self,
        arrived: Duration,
        sequence: Sequence,
        request: hyper::Request<B>,
    ) -> Result<(Outcome, Bytes), RequestError>
    where
        B: Source,
    {
        let (parts, mut body) = request.into_parts();
        let service = service(&parts.method, parts.uri.path())?;
        let head = {
            let state = self.state.borrow();
            RequestHead::parse(service, &parts.headers, |id| state.router.workspace(id))?
        };
        body.set_group(group(&head.workspace));
        let guard = CallerGuard {
            front: self,
            sequence,
        };
        let timeout = head.deadline.min(BODY_READ_TIMEOUT);
        let body = match read(body, wire::MAX_BODY_BYTES, timeout).await {
            Ok(body) => body,
            Err(ReadError::TooLarge { .. }) => return Err(too_large()),
            Err(ReadError::Overloaded) => {
                let rng = &mut self.state.borrow_mut().rng;
                let retry_after = Some(add_jitter(UNKNOWN_RETRY_DELAY, rng));
                return Ok((limit_reached(&head, retry_after), Bytes::new()));
            }
            Err(error @ (ReadError::Slow { .. } | ReadError::Stalled)) => {
                let message = format!("body: {error}");
                return Err(RequestError::new(error.status(), "slow", message));
            }
            Err(error @ ReadError::Broken(_)) => {
                return Err(RequestError::invalid(format!("body: {error}")));
            }
        };
        // The body is needed until the request has its outcome, as it may be sent to another target.
        let (body, kept) = body.split();
        let result = self.submit(arrived, sequence, head, body).await;
        drop((guard, kept));
        Ok(result)
    }

    /// Passes a request to the router and waits for its outcome.
    async fn submit(
        &self,
        arrived: Duration,
        sequence: Sequence,
        head: RequestHead,
        body: Bytes,
    ) -> (Outcome, Bytes) {
        let key = head.key.as_deref().map_or_else(
            || format!("~{}-{sequence}", self.incarnation),
            str::to_owned,
        );
        let key: Key = format!("{}/{key}", head.workspace).into();
        let request = Request {
            sequence,
            service: head.service.clone(),
            workspace: head.workspace.clone(),
            kind: head.kind.clone(),
            key: key.clone(),
            idempotent: head.idempotent,
            attempt: head.attempt,
            deadline: arrived + head.deadline,
        };
        let (answer, answered) = channel::bounded(1);
        let pending = Pending {
            head,
            key,
            body,
            arrived,
            sent: None,
            answer,
        };
        self.state.borrow_mut().pending.insert(sequence, pending);
        self.handle(Event::Arrive(request));
        answered.recv().await.unwrap_or_else(|_| {
            let reason = Reason::Cancelled;
            (Outcome::Unknown { reason }, Bytes::new())
        })
    }

    /// Returns the next sequence number: microseconds since the start of this process, so that
    /// agents can determine which of two requests with the same key is the later one. See
    /// [`godwitstep_core::key::Owner`].
    fn next_sequence(&self, now: Duration) -> Sequence {
        let mut state = self.state.borrow_mut();
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        state.last_sequence = micros.max(state.last_sequence + 1);
        state.last_sequence
    }
}

/// Returns the group by which memory for bodies is shared among workspaces.
fn group(workspace: &WorkspaceId) -> Group {
    let mut hasher = DefaultHasher::new();
    workspace.hash(&mut hasher);
    hasher.finish()
}

fn too_large() -> RequestError {
    let message = format!("body: exceeds {} bytes", wire::MAX_BODY_BYTES);
    RequestError::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
}

fn limit_reached(head: &RequestHead, retry_after: Option<Duration>) -> Outcome {
    let reason = Reason::LimitReached;
    if head.is_repeated() {
        Outcome::Unknown { reason }
    } else {
        Outcome::NotRun(Refusal {
            reason,
            retry_after,
        })
    }
}

const fn reason(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered { .. } => "answered",
        Outcome::Failed { .. } => "failed",
        Outcome::NotRun(refusal) => refusal.reason.code(),
        Outcome::Unknown { reason } => reason.code(),
    }
}

fn record_metrics(outcome: &'static str, reason: &'static str, now: Duration, arrived: Duration) {
    metrics::counter!("godwitstep_requests_total", "outcome" => outcome, "reason" => reason)
        .increment(1);
    metrics::histogram!("godwitstep_request_seconds", "outcome" => outcome)
        .record(now.saturating_sub(arrived).as_secs_f64());
}
