//! Service of callers' requests: from the head to the response.

use super::Front;
use super::answer::{Fault, name, respond};
use super::head::{Ask, service};
use super::pending::Pending;
use crate::http::{Body, BoxError, ReadError, read};
use bytes::Bytes;
use godwitstep_core::Reason;
use godwitstep_core::backoff::add_jitter;
use godwitstep_core::id::Key;
use godwitstep_core::router::{Event, Outcome, Refusal, Request, Sequence};
use godwitstep_wire as wire;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Response, StatusCode};
use smol::channel;
use std::time::Duration;

/// Longest wait for a body.
const BODY_TIME: Duration = Duration::from_secs(30);
/// Time after which a caller may ask again about a request whose outcome is unknown.
const UNKNOWN_RETRY: Duration = Duration::from_secs(1);
/// Greatest size of all bodies that callers have announced and that are held. Unit: bytes.
const MAX_HELD: usize = 256 * 1024 * 1024;

/// Reports a caller as gone if its request is dropped before it is answered.
struct Waiting<'a> {
    front: &'a Front,
    sequence: Sequence,
    size: usize,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let held = self.front.held.get();
        self.front.held.set(held.saturating_sub(self.size));
        let sequence = self.sequence;
        let open = self.front.state.borrow().pending.contains_key(&sequence);
        if open {
            self.front.handle(Event::CallerDisconnected { sequence });
        }
    }
}

impl Front {
    /// Serves one request of a caller.
    pub async fn serve<B>(&self, request: hyper::Request<B>) -> Response<Body>
    where
        B: hyper::body::Body<Data = Bytes>,
        B::Error: Into<BoxError>,
    {
        let arrived = self.clock.now();
        let sequence = self.next_sequence(arrived);
        let id = format!("{}-{sequence}", self.incarnation);
        let result = self.pursue(arrived, sequence, request).await;
        let mut response = match result {
            Ok((outcome, body)) => {
                let retry = add_jitter(UNKNOWN_RETRY, &mut self.state.borrow_mut().rng);
                count(name(&outcome), reason(&outcome), self.clock.now(), arrived);
                respond(&id, &outcome, body, retry)
            }
            Err(fault) => {
                count("not_run", fault.code, self.clock.now(), arrived);
                fault.respond(&id)
            }
        };
        if self.stopping.get() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn pursue<B>(
        &self,
        arrived: Duration,
        sequence: Sequence,
        request: hyper::Request<B>,
    ) -> Result<(Outcome, Bytes), Fault>
    where
        B: hyper::body::Body<Data = Bytes>,
        B::Error: Into<BoxError>,
    {
        let (head, body) = request.into_parts();
        let service = service(&head.method, head.uri.path())?;
        let ask = {
            let state = self.state.borrow();
            Ask::check(service, &head.headers, |id| state.router.workspace(id))?
        };
        let announced = body.size_hint().upper().unwrap_or(wire::MAX_BODY as u64);
        let size = usize::try_from(announced).unwrap_or(usize::MAX);
        if size > wire::MAX_BODY {
            return Err(too_large());
        }
        if self.held.get() + size > MAX_HELD {
            let retry_after = Some(add_jitter(UNKNOWN_RETRY, &mut self.state.borrow_mut().rng));
            return Ok((limit_reached(&ask, retry_after), Bytes::new()));
        }
        self.held.set(self.held.get() + size);
        let front = self;
        let waiting = Waiting {
            front,
            sequence,
            size,
        };
        let time = ask.deadline.min(BODY_TIME);
        let body = read(body, wire::MAX_BODY, time)
            .await
            .map_err(|error| match error {
                ReadError::TooLarge { .. } => too_large(),
                error => Fault::invalid(format!("body: {error}")),
            })?;
        let result = self.submit(arrived, sequence, ask, body).await;
        drop(waiting);
        Ok(result)
    }

    /// Hands a request to the router and waits for its outcome.
    async fn submit(
        &self,
        arrived: Duration,
        sequence: Sequence,
        ask: Ask,
        body: Bytes,
    ) -> (Outcome, Bytes) {
        let key = ask.key.as_deref().map_or_else(
            || format!("~{}-{sequence}", self.incarnation),
            str::to_owned,
        );
        let key: Key = format!("{}/{key}", ask.workspace).into();
        let request = Request {
            sequence,
            service: ask.service.clone(),
            workspace: ask.workspace.clone(),
            kind: ask.kind.clone(),
            key: key.clone(),
            idempotent: ask.idempotent,
            attempt: ask.attempt,
            deadline: arrived + ask.deadline,
        };
        let (answer, answered) = channel::bounded(1);
        let pending = Pending {
            ask,
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

    /// Numbers requests by the microseconds since the start of this process: agents take the later
    /// of two requests with one key by that number. See [`godwitstep_core::key::Owner`].
    fn next_sequence(&self, now: Duration) -> Sequence {
        let mut state = self.state.borrow_mut();
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        state.last = micros.max(state.last + 1);
        state.last
    }
}

fn too_large() -> Fault {
    let message = format!("body: exceeds {} bytes", wire::MAX_BODY);
    Fault::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
}

fn limit_reached(ask: &Ask, retry_after: Option<Duration>) -> Outcome {
    let reason = Reason::LimitReached;
    if ask.is_repeated() {
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

fn count(outcome: &'static str, reason: &'static str, now: Duration, arrived: Duration) {
    metrics::counter!("godwitstep_requests_total", "outcome" => outcome, "reason" => reason)
        .increment(1);
    metrics::histogram!("godwitstep_request_seconds", "outcome" => outcome)
        .record(now.saturating_sub(arrived).as_secs_f64());
}
