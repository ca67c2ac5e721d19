//! Preconditions of a change: the headers `If-Match` and `If-None-Match`.

use super::reply::Refusal;
use godwitstep_core::id::Version;
use godwitstep_core::record::Expect;
use hyper::HeaderMap;
use hyper::header::{IF_MATCH, IF_NONE_MATCH};

/// Parses the precondition of a request. Without a header, the version in the body applies.
pub(super) fn read(headers: &HeaderMap, version: Option<Version>) -> Result<Expect, Refusal> {
    match (headers.get(IF_MATCH), headers.get(IF_NONE_MATCH)) {
        (None, None) => Ok(version.map_or(Expect::Any, Expect::Version)),
        (Some(value), None) => {
            let text = value.to_str().unwrap_or_default().trim().trim_matches('"');
            text.parse().map(Expect::Version).map_err(|_| {
                Refusal::invalid_field(
                    "if-match",
                    text,
                    "the version of a resource, a whole number",
                )
            })
        }
        (None, Some(value)) if value == "*" => Ok(Expect::Absent),
        (None, Some(value)) => Err(Refusal::invalid_field(
            "if-none-match",
            &String::from_utf8_lossy(value.as_bytes()),
            "*",
        )),
        (Some(_), Some(_)) => Err(Refusal::invalid_field(
            "if-match",
            "a condition next to if-none-match",
            "one condition",
        )),
    }
}
