//! Validation of the path and headers of a request.

use super::answer::RequestError;
use super::{ATTEMPT, DEADLINE, IDEMPOTENT, KEY, KIND, WORKSPACE};
use godwitstep_core::id::{Attempt, Key, KindId, ServiceId, WorkspaceId};
use godwitstep_core::resource::{MAX_NAME_BYTES, MAX_OBJECTIVE, Workspace};
use hyper::header::{AUTHORIZATION, HeaderMap};
use hyper::{Method, StatusCode};
use std::str::FromStr;
use std::time::Duration;

/// Longest deadline that a caller may set.
pub const MAX_DEADLINE: Duration = MAX_OBJECTIVE;
/// Maximum length of a key. Unit: bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Prefix of the names of all headers of this interface.
const PREFIX: &str = "godwitstep-";

/// Validated path and headers of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Kind of work, declared in the workspace.
    pub kind: KindId,
    /// The caller's key, or `None` if one is to be generated.
    pub key: Option<Key>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// How often the caller has sent the key, this time included.
    pub attempt: Attempt,
    /// Time limit for the answer, counted from receipt.
    pub deadline: Duration,
    /// Time from receipt within which an answer counts as on time.
    pub objective: Duration,
    /// Refund due if the answer is late, as declared for the kind.
    pub refund: f64,
}

/// Returns the service that a path names.
///
/// # Errors
///
/// Returns an error if the method or path is not that of a request.
pub fn service(method: &Method, path: &str) -> Result<ServiceId, RequestError> {
    let name = path
        .strip_prefix("/v1/services/")
        .and_then(|rest| rest.strip_suffix("/requests"))
        .filter(|name| !name.contains('/'));
    let Some(name) = name else {
        let message = format!("path {path} is unknown; send to /v1/services/{{service}}/requests");
        return Err(RequestError::new(
            StatusCode::NOT_FOUND,
            "not_found",
            message,
        ));
    };
    if method != Method::POST {
        let message = format!("method {method} is not allowed; use POST");
        return Err(RequestError::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "method_not_allowed",
            message,
        ));
    }
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
        let message = format!(
            "service {name:?} in the path is not a name of 1 to {MAX_NAME_BYTES} letters, digits, '-', \
             '_' or '.'"
        );
        return Err(RequestError::invalid(message));
    }
    Ok(name.into())
}

impl RequestHead {
    /// Parses and validates the headers of a request to a service.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid header.
    pub fn parse<'a>(
        service: ServiceId,
        headers: &HeaderMap,
        workspace: impl FnOnce(&str) -> Option<&'a Workspace>,
    ) -> Result<Self, RequestError> {
        check_names(headers)?;
        let id = required(headers, WORKSPACE)?;
        let spec = workspace(id).ok_or_else(|| {
            let message = format!("{WORKSPACE}: workspace {id:?} is not declared");
            RequestError::new(StatusCode::NOT_FOUND, "not_found", message)
        })?;
        authorize(headers, spec.token.as_deref())?;
        let name = required(headers, KIND)?;
        let kind = spec.kind(name).ok_or_else(|| {
            let message = format!("{KIND}: kind {name:?} is not declared in workspace {id:?}");
            RequestError::new(StatusCode::NOT_FOUND, "not_found", message)
        })?;
        let objective = Duration::from_millis(kind.objective_ms);
        let idempotent = match single(headers, IDEMPOTENT)? {
            None | Some("false") => false,
            Some("true") => true,
            Some(other) => return Err(not_allowed(IDEMPOTENT, other, "true or false")),
        };
        let max_ms = u64::try_from(MAX_DEADLINE.as_millis()).unwrap_or(u64::MAX);
        let deadline = number(headers, DEADLINE, 1, max_ms)?;
        Ok(Self {
            service,
            workspace: id.into(),
            kind: kind.name.clone(),
            key: key(headers, idempotent)?,
            idempotent,
            attempt: number(headers, ATTEMPT, 1, Attempt::MAX)?.unwrap_or(2),
            deadline: deadline.map_or(objective, Duration::from_millis),
            objective,
            refund: kind.refund,
        })
    }

    /// Returns whether an earlier request with the key may have run; a refusal must then not claim
    /// that the request did not run.
    #[must_use]
    pub const fn is_repeated(&self) -> bool {
        !self.idempotent && self.attempt != 1
    }
}

/// Refuses unknown headers with the prefix, which may be misspelt: ignoring a misspelt key would
/// let a request run twice.
fn check_names(headers: &HeaderMap) -> Result<(), RequestError> {
    let known = [WORKSPACE, KIND, KEY, DEADLINE, IDEMPOTENT, ATTEMPT];
    for name in headers.keys().map(hyper::header::HeaderName::as_str) {
        if name.starts_with(PREFIX) && !known.contains(&name) {
            let message = format!("{name}: header is unknown; known are {}", known.join(", "));
            return Err(RequestError::invalid(message));
        }
    }
    Ok(())
}

fn not_allowed(name: &str, value: &str, allowed: &str) -> RequestError {
    RequestError::invalid(format!(
        "{name}: {value:?} is not allowed; allowed: {allowed}"
    ))
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(RequestError::invalid(format!(
            "{name}: header is given twice"
        )));
    }
    value
        .to_str()
        .map(Some)
        .map_err(|_| RequestError::invalid(format!("{name}: value is not visible ASCII")))
}

fn required<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, RequestError> {
    single(headers, name)?
        .ok_or_else(|| RequestError::invalid(format!("{name}: header is required")))
}

fn number<T>(headers: &HeaderMap, name: &str, min: T, max: T) -> Result<Option<T>, RequestError>
where
    T: Copy + FromStr + PartialOrd + std::fmt::Display,
{
    let Some(text) = single(headers, name)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) if value >= min && value <= max => Ok(Some(value)),
        _ => Err(not_allowed(name, text, &format!("{min} to {max}"))),
    }
}

fn key(headers: &HeaderMap, idempotent: bool) -> Result<Option<Key>, RequestError> {
    let Some(key) = single(headers, KEY)? else {
        return if idempotent {
            Ok(None)
        } else {
            let message = format!("{KEY}: header is required unless {IDEMPOTENT} is true");
            Err(RequestError::invalid(message))
        };
    };
    if key.is_empty()
        || key.len() > MAX_KEY_BYTES
        || !key.bytes().all(|byte| byte.is_ascii_graphic())
    {
        let allowed = format!("1 to {MAX_KEY_BYTES} visible ASCII characters");
        return Err(not_allowed(KEY, key, &allowed));
    }
    Ok(Some(key.into()))
}

fn authorize(headers: &HeaderMap, token: Option<&str>) -> Result<(), RequestError> {
    let Some(token) = token else {
        return Ok(());
    };
    let given = single(headers, AUTHORIZATION.as_str())?.and_then(|value| {
        let (scheme, token) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then_some(token)
    });
    let Some(given) = given else {
        let message = format!("{AUTHORIZATION}: a Bearer token of the workspace is required");
        return Err(RequestError::new(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            message,
        ));
    };
    if !constant_time_eq(given.as_bytes(), token.as_bytes()) {
        let message = format!("{AUTHORIZATION}: the token is not that of the workspace");
        return Err(RequestError::new(
            StatusCode::FORBIDDEN,
            "forbidden",
            message,
        ));
    }
    Ok(())
}

/// Compares in constant time, independent of where the values differ.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let differ = left
        .iter()
        .zip(right)
        .fold(0, |differ, (left, right)| differ | (left ^ right));
    left.len() == right.len() && differ == 0
}
