//! Client of the target's HTTP API.

use crate::http::{Cause, Client, Error, Options};
use crate::settings;
use bytes::Bytes;
use godwitstep_core::reason::Reason;
use godwitstep_wire::{MAX_BODY_BYTES, Outcome, Request};
use hyper::{Method, Response, StatusCode};
use serde::Deserialize;
use std::time::Duration;

/// Longest body of a failed response that is forwarded, in bytes. The rest is dropped.
const MAX_ERROR_BODY: usize = 4 * 1024;
/// Time past the deadline for which a request may still run. Its response is late, but its slot
/// stays in use until it ends, and the result is stored for a caller that retries.
const MAX_OVERRUN: Duration = Duration::from_secs(10);
/// Timeout of a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Health that the target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Health {
    /// It accepts requests.
    Ready,
    /// It accepts no new requests.
    Leaving,
    /// Nothing listens at its address.
    #[serde(skip)]
    Gone,
}

/// HTTP client of one target.
#[derive(Debug)]
pub(super) struct Target {
    requests: Client,
    /// Separate from `requests`, so that a health check never waits for a slot.
    health: Client,
}

impl Target {
    pub(super) fn new(settings: &settings::Target) -> Self {
        let slots = settings.slots as usize;
        let options = Options {
            connections: slots,
            idle: slots,
            body: MAX_BODY_BYTES,
            ..Options::default()
        };
        Self {
            requests: Client::new(settings.address).options(options),
            health: Client::new(settings.address),
        }
    }

    /// Runs a request and returns what is certain about its outcome.
    pub(super) async fn run(&self, request: Request) -> Outcome {
        let request_id = format!("{}-{}", request.id.incarnation, request.id.sequence);
        let call = hyper::Request::post("/run")
            .header("godwitstep-key", &*request.key)
            .header("godwitstep-request", request_id)
            .body(request.body);
        let call = match call {
            Ok(call) => call,
            Err(error) => {
                let detail = format!("the request can't be put in HTTP: {error}");
                let reason = Reason::Other { detail };
                return Outcome::NotStarted { reason };
            }
        };
        let timeout = request.left + MAX_OVERRUN;
        match self.requests.exchange(call, timeout).await {
            Ok(response) => outcome_of_response(response),
            Err(error) => outcome_of_error(&error),
        }
    }

    /// Checks the target's health. `None` if it gave no valid response but may still be running.
    pub(super) async fn health(&self) -> Option<Health> {
        #[derive(Deserialize)]
        struct HealthResponse {
            state: Health,
        }
        let call = hyper::Request::builder()
            .method(Method::GET)
            .uri("/health")
            .body(Bytes::new())
            .expect("constant parts make a request");
        match self.health.exchange(call, HEALTH_CHECK_TIMEOUT).await {
            Ok(response) => {
                let response: Option<HealthResponse> = serde_json::from_slice(response.body()).ok();
                response.map(|response| response.state)
            }
            Err(error) => is_connection_refused(&error).then_some(Health::Gone),
        }
    }
}

fn is_connection_refused(error: &Error) -> bool {
    matches!(&error.cause, Cause::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn outcome_of_response(response: Response<Bytes>) -> Outcome {
    let status = response.status();
    let mut body = response.into_body();
    if status == StatusCode::OK {
        return Outcome::Answered { body };
    }
    body.truncate(MAX_ERROR_BODY);
    Outcome::Failed { body }
}

fn outcome_of_error(error: &Error) -> Outcome {
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
