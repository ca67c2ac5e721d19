//! Answers of the interface.

use super::store::Unrecorded;
use crate::http::{self, Body};
use godwitstep_core::id::Version;
use godwitstep_core::resource::Fault;
use hyper::header::{ALLOW, CONTENT_TYPE, ETAG, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use std::time::Duration;

/// Why a request is refused.
#[derive(Debug)]
pub(super) struct Refusal {
    status: StatusCode,
    code: &'static str,
    message: String,
    faults: Vec<Fault>,
    header: Option<Box<(HeaderName, String)>>,
    /// Members of the body next to `error`.
    more: Vec<(&'static str, Value)>,
}

impl Refusal {
    fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            faults: Vec::new(),
            header: None,
            more: Vec::new(),
        }
    }

    pub(super) fn bad_request(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    pub(super) fn field(path: &str, value: &str, allowed: &str) -> Self {
        let fault = Fault::new(path, format!("{value:?}"), allowed);
        Self::bad_request(fault.to_string()).faults(vec![fault])
    }

    pub(super) fn not_found(message: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", message)
    }

    pub(super) fn method(allowed: &str) -> Self {
        let message = format!("the method is not one of {allowed}");
        let mut refusal = Self::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "method_not_allowed",
            message,
        );
        refusal.header = Some(Box::new((ALLOW, allowed.to_owned())));
        refusal
    }

    /// The resource is not in the state that the change expects.
    pub(super) fn conflict(message: impl Into<String>, current: Value) -> Self {
        let mut refusal = Self::new(StatusCode::CONFLICT, "conflict", message);
        refusal.more.push(("current", current));
        refusal
    }

    /// A watch starts before the history that is kept.
    pub(super) fn relist(oldest: Version, message: impl Into<String>) -> Self {
        let mut refusal = Self::new(StatusCode::GONE, "relist", message);
        refusal.more.push(("relist", true.into()));
        refusal.more.push(("oldest", oldest.into()));
        refusal
    }

    pub(super) fn invalid(faults: Vec<Fault>) -> Self {
        let message = "the resource has faults";
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid", message).faults(faults)
    }

    /// The resource is well formed, but what is in service can't carry it.
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
        for (name, value) in self.more {
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

impl From<Unrecorded> for Refusal {
    fn from(error: Unrecorded) -> Self {
        let message = error.to_string();
        match error {
            Unrecorded::NotRun { retry_after, .. } => {
                let mut refusal = Self::new(StatusCode::SERVICE_UNAVAILABLE, "not_run", message);
                refusal.header = Some(Box::new((RETRY_AFTER, seconds(retry_after).to_string())));
                let milliseconds = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
                refusal.more.push(("retry_after_ms", milliseconds.into()));
                refusal
            }
            Unrecorded::Unknown => Self::new(StatusCode::INTERNAL_SERVER_ERROR, "unknown", message),
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
            http::ReadError::Slow { .. } => Self::new(StatusCode::REQUEST_TIMEOUT, "slow", message),
            http::ReadError::Broken(_) => Self::bad_request(message),
        }
    }
}

/// Rounds up, so that nobody comes back too early.
fn seconds(time: Duration) -> u64 {
    time.as_secs() + u64::from(time.subsec_nanos() > 0)
}

pub(super) fn json(status: StatusCode, body: &Value) -> Response<Body> {
    let mut response = http::respond(status, format!("{body}\n"));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Tells a client whether a change made a difference.
const CHANGE: HeaderName = HeaderName::from_static("godwitstep-change");

/// Returns an object after a change: `created`, `updated` or `unchanged`.
pub(super) fn changed(change: &'static str, object: &Value) -> Response<Body> {
    let status = match change {
        "created" => StatusCode::CREATED,
        _ => StatusCode::OK,
    };
    let mut response = self::object(status, object);
    let change = HeaderValue::from_static(change);
    response.headers_mut().insert(CHANGE, change);
    response
}

/// Returns an object with its version as the entity tag.
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
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
