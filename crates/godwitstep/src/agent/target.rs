//! The target's HTTP interface.

use crate::http::{Cause, Client, Error, Options};
use crate::settings;
use bytes::Bytes;
use godwitstep_core::reason::Reason;
use godwitstep_wire::{MAX_BODY, Outcome, Request};
use hyper::{Method, Response, StatusCode};
use serde::Deserialize;
use std::time::Duration;

/// Greatest part of a failed answer that is passed on. Unit: bytes.
const MAX_FAILURE: usize = 4 * 1024;
/// Time beyond the deadline for which a target may hold its slot. Its answer is late, but the slot
/// is in use until then, and the result is kept for a caller that asks again.
const LATE_LIMIT: Duration = Duration::from_secs(10);
/// Longest health check.
const HEALTH_LIMIT: Duration = Duration::from_secs(1);

/// What the target says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Health {
    /// It takes requests.
    Ready,
    /// It takes no new requests.
    Leaving,
    /// Nothing listens at its address.
    #[serde(skip)]
    Gone,
}

/// Client of the target.
#[derive(Debug)]
pub(super) struct Target {
    requests: Client,
    /// Apart from the requests, so that a check never waits for a slot.
    health: Client,
}

impl Target {
    pub(super) fn new(settings: &settings::Target) -> Self {
        let slots = settings.slots as usize;
        let options = Options {
            connections: slots,
            idle: slots,
            body: MAX_BODY,
            ..Options::default()
        };
        Self {
            requests: Client::new(settings.address).options(options),
            health: Client::new(settings.address),
        }
    }

    /// Runs a request and tells what is certain about it.
    pub(super) async fn run(&self, request: Request) -> Outcome {
        let name = format!("{}-{}", request.id.incarnation, request.id.sequence);
        let call = hyper::Request::post("/run")
            .header("godwitstep-key", &*request.key)
            .header("godwitstep-request", name)
            .body(request.body);
        let call = match call {
            Ok(call) => call,
            Err(error) => {
                let detail = format!("the request can't be put in HTTP: {error}");
                let reason = Reason::Other { detail };
                return Outcome::NotStarted { reason };
            }
        };
        let limit = request.left + LATE_LIMIT;
        match self.requests.exchange(call, limit).await {
            Ok(answer) => judge(answer),
            Err(error) => fail(&error),
        }
    }

    /// Asks the target for its state. `None` if it gave none but may be there.
    pub(super) async fn health(&self) -> Option<Health> {
        #[derive(Deserialize)]
        struct Answer {
            state: Health,
        }
        let call = hyper::Request::builder()
            .method(Method::GET)
            .uri("/health")
            .body(Bytes::new())
            .expect("constant parts make a request");
        match self.health.exchange(call, HEALTH_LIMIT).await {
            Ok(answer) => {
                let answer: Option<Answer> = serde_json::from_slice(answer.body()).ok();
                answer.map(|answer| answer.state)
            }
            Err(error) => is_refused(&error).then_some(Health::Gone),
        }
    }
}

fn is_refused(error: &Error) -> bool {
    matches!(&error.cause, Cause::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn judge(answer: Response<Bytes>) -> Outcome {
    let status = answer.status();
    let mut body = answer.into_body();
    if status == StatusCode::OK {
        return Outcome::Answered { body };
    }
    body.truncate(MAX_FAILURE);
    Outcome::Failed { body }
}

fn fail(error: &Error) -> Outcome {
    if !error.sent {
        let reason = Reason::TargetLost;
        return Outcome::NotStarted { reason };
    }
    match &error.cause {
        Cause::TooLarge { .. } => Outcome::Failed {
            body: error.to_string().into(),
        },
        _ => Outcome::Unknown {
            reason: Reason::TargetLost,
        },
    }
}
