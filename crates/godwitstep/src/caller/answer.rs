//! Mapping of outcomes and request errors to HTTP responses.

use super::{OUTCOME, REQUEST};
use crate::http::{self, Body};
use bytes::Bytes;
use godwitstep_core::Reason;
use godwitstep_core::router::Outcome;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::time::Duration;

/// Maximum length of a target's error text in a response. Unit: bytes.
const MAX_ERROR_TEXT_BYTES: usize = 4 * 1024;

/// Error of a request that was refused before it reached the router.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct RequestError {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Stable, machine-readable name of the error.
    pub code: &'static str,
    /// One sentence that names the header or field.
    pub message: String,
}

impl RequestError {
    /// Returns an error with the given status, code and message.
    #[must_use]
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            status,
            code,
            message,
        }
    }

    /// Returns the error of a header or field whose value is not allowed.
    #[must_use]
    pub fn invalid(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "invalid_request", message)
    }

    /// Returns the HTTP response; `request` is the identifier of the request.
    #[must_use]
    pub fn respond(&self, request: &str) -> Response<Body> {
        let document = Document {
            outcome: "not_run",
            reason: self.code,
            message: self.message.clone(),
            request,
            retry_after_ms: None,
        };
        let mut response = document.respond(self.status);
        let headers = response.headers_mut();
        match self.status {
            StatusCode::UNAUTHORIZED => {
                headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
            }
            StatusCode::METHOD_NOT_ALLOWED => {
                headers.insert(ALLOW, HeaderValue::from_static("POST"));
            }
            _ => {}
        }
        response
    }
}

/// JSON body of every response other than a target's answer.
#[derive(Serialize)]
struct Document<'a> {
    outcome: &'a str,
    reason: &'a str,
    message: String,
    request: &'a str,
    retry_after_ms: Option<u64>,
}

impl Document<'_> {
    fn respond(&self, status: StatusCode) -> Response<Body> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut response = build_response(status, self.outcome, self.request, body.into());
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(millis) = self.retry_after_ms {
            headers.insert(RETRY_AFTER, millis.div_ceil(1_000).max(1).into());
        }
        response
    }
}

fn build_response(status: StatusCode, outcome: &str, request: &str, body: Bytes) -> Response<Body> {
    let mut response = http::respond(status, body);
    for (name, text) in [(OUTCOME, outcome), (REQUEST, request)] {
        if let Ok(value) = HeaderValue::from_str(text) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

/// Returns the name of an outcome, as in the [`OUTCOME`] header and in metrics.
pub(super) const fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered { .. } => "answered",
        Outcome::Failed { .. } => "failed",
        Outcome::NotRun(_) => "not_run",
        Outcome::Unknown { .. } => "unknown",
    }
}

/// Maps the outcome of a request to a response.
///
/// `body` is the target's answer, or its error text if the request failed. `unknown_retry` is the
/// delay after which a caller may retry if the outcome is unknown.
#[must_use]
pub fn respond(
    request: &str,
    outcome: &Outcome,
    body: Bytes,
    unknown_retry: Duration,
) -> Response<Body> {
    let name = name(outcome);
    let (status, reason, message, retry_after) = match outcome {
        Outcome::Answered { .. } => {
            let mut response = build_response(StatusCode::OK, name, request, body);
            let octet_stream = HeaderValue::from_static("application/octet-stream");
            response.headers_mut().insert(CONTENT_TYPE, octet_stream);
            return response;
        }
        Outcome::Failed { target } => {
            let error_text = String::from_utf8_lossy(&body[..body.len().min(MAX_ERROR_TEXT_BYTES)]);
            let message = format!("target {target} failed: {error_text}");
            (StatusCode::BAD_GATEWAY, "failed", message, None)
        }
        Outcome::NotRun(refusal) => (
            status(&refusal.reason),
            refusal.reason.code(),
            refusal.reason.to_string(),
            refusal.retry_after,
        ),
        Outcome::Unknown { reason } => (
            StatusCode::INTERNAL_SERVER_ERROR,
            reason.code(),
            format!("{reason}; the request may have run, ask again with the same key"),
            Some(unknown_retry),
        ),
    };
    let document = Document {
        outcome: name,
        reason,
        message,
        request,
        retry_after_ms: retry_after.map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX)),
    };
    document.respond(status)
}

const fn status(reason: &Reason) -> StatusCode {
    match reason {
        Reason::LimitReached => StatusCode::TOO_MANY_REQUESTS,
        Reason::DeadlineUnreachable => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
