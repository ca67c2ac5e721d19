//! Responses and errors of the operator API.

use super::store::ChangeError;
use crate::http::{self, Body};
use godwitstep_core::id::Version;
use godwitstep_core::resource::Fault;
use hyper::header::{ALLOW, CONTENT_TYPE, ETAG, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use std::time::Duration;

/// Error response to a request.
#[derive(Debug)]
pub(super) struct Refusal {
    status: StatusCode,
    code: &'static str,
    message: String,
    faults: Vec<Fault>,
    header: Option<Box<(HeaderName, String)>>,
    /// Additional top-level members of the body besides `error`.
    extra: Vec<(&'static str, Value)>,
}

impl Refusal {
    fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            faults: Vec::new(),
            header: None,
            extra: Vec::new(),
        }
    }

    pub(super) fn bad_request(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    pub(super) fn invalid_field(path: &str, value: &str, allowed: &str) -> Self {
        let fault = Fault::new(path, format!("{value:?}"), allowed);
        Self::bad_request(fault.to_string()).faults(vec![fault])
    }

    pub(super) fn not_found(message: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", message)
    }

    pub(super) fn method_not_allowed(allowed: &str) -> Self {
        let message = format!("the method is not one of {allowed}");
        let mut refusal = Self::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "method_not_allowed",
            message,
        );
        refusal.header = Some(Box::new((ALLOW, allowed.to_owned())));
        refusal
    }

    /// The resource does not meet the precondition of the change.
    pub(super) fn conflict(message: impl Into<String>, current: Value) -> Self {
        let mut refusal = Self::new(StatusCode::CONFLICT, "conflict", message);
        refusal.extra.push(("current", current));
        refusal
    }

    /// The start of a watch is older than the retained history; the client must list again.
    pub(super) fn relist(oldest: Version, message: impl Into<String>) -> Self {
        let mut refusal = Self::new(StatusCode::GONE, "relist", message);
        refusal.extra.push(("relist", true.into()));
        refusal.extra.push(("oldest", oldest.into()));
        refusal
    }

    pub(super) fn invalid(faults: Vec<Fault>) -> Self {
        let message = "the resource has faults";
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid", message).faults(faults)
    }

    /// The resource is valid, but the capacity in service is not enough for it.
    pub(super) fn refused(faults: Vec<Fault>) -> Self {
        let message = "the change does not fit what is in service";
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, "refused", message).faults(faults)
    }

    pub(super) fn faults(mut self, faults: Vec<Fault>) -> Self {
        self.faults = faults;
        self
    }

    pub(super) fn response(self) -> Response<Body> {
        let mut body = json!({"error": {
            "code": self.code,
            "message": self.message,
            "faults": self.faults,
        }});
        for (name, value) in self.extra {
            body[name] = value;
        }
        let mut response = json(self.status, &body);
        if let Some((name, value)) = self.header.map(|header| *header)
            && let Ok(value) = HeaderValue::try_from(value)
        {
            response.headers_mut().insert(name, value);
        }
        response
    }
}

impl From<ChangeError> for Refusal {
    fn from(error: ChangeError) -> Self {
        let message = error.to_string();
        match error {
            ChangeError::NotRun { retry_after, .. } => {
                let mut refusal = Self::new(StatusCode::SERVICE_UNAVAILABLE, "not_run", message);
                refusal.header = Some(Box::new((
                    RETRY_AFTER,
                    whole_seconds(retry_after).to_string(),
                )));
                let milliseconds = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
                refusal.extra.push(("retry_after_ms", milliseconds.into()));
                refusal
            }
            ChangeError::Unknown => {
                Self::new(StatusCode::INTERNAL_SERVER_ERROR, "unknown", message)
            }
        }
    }
}

impl From<http::ReadError> for Refusal {
    fn from(error: http::ReadError) -> Self {
        let message = error.to_string();
        match error {
            http::ReadError::TooLarge { .. } => {
                Self::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
            }
            http::ReadError::Slow { .. } | http::ReadError::Stalled => {
                Self::new(StatusCode::REQUEST_TIMEOUT, "slow", message)
            }
            http::ReadError::Overloaded => {
                let mut refusal = Self::new(StatusCode::SERVICE_UNAVAILABLE, "not_run", message);
                refusal.header = Some(Box::new((RETRY_AFTER, "1".to_owned())));
                refusal.extra.push(("retry_after_ms", 1_000.into()));
                refusal
            }
            http::ReadError::Broken(_) => Self::bad_request(message),
        }
    }
}

/// Rounds up to whole seconds, so that clients don't retry too early.
fn whole_seconds(time: Duration) -> u64 {
    time.as_secs() + u64::from(time.subsec_nanos() > 0)
}

pub(super) fn json(status: StatusCode, body: &Value) -> Response<Body> {
    let mut response = http::respond(status, format!("{body}\n"));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Response header that states whether a change created, updated or left the resource unchanged.
const CHANGE_HEADER: HeaderName = HeaderName::from_static("godwitstep-change");

/// Returns the response to a change that is `created`, `updated` or `unchanged`.
pub(super) fn changed(change: &'static str, object: &Value) -> Response<Body> {
    let status = match change {
        "created" => StatusCode::CREATED,
        _ => StatusCode::OK,
    };
    let mut response = self::object(status, object);
    let change = HeaderValue::from_static(change);
    response.headers_mut().insert(CHANGE_HEADER, change);
    response
}

/// Returns a response with the object, and its version as `ETag`.
pub(super) fn object(status: StatusCode, object: &Value) -> Response<Body> {
    let mut response = json(status, object);
    let tag = format!("\"{}\"", object["version"]);
    if let Ok(tag) = HeaderValue::try_from(tag) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

pub(super) fn text(status: StatusCode, body: impl Into<String>) -> Response<Body> {
    let mut response = http::respond(status, body.into());
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
