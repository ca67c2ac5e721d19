//! HTTP interface through which callers send requests to services.
//!
//! [`RequestHead`] holds the validated headers of a request, [`Frontend`] passes the request to the
//! router and waits for its outcome, and [`respond`] maps the outcome to an HTTP response.

mod answer;
mod front;
mod head;
mod pending;
mod serve;

pub use answer::{RequestError, respond};
pub use front::{AgentCommand, Frontend, Options};
pub use head::{MAX_DEADLINE, MAX_KEY_BYTES, RequestHead, service};

/// Request header that names the caller's workspace.
pub const WORKSPACE: &str = "godwitstep-workspace";
/// Request header that names the kind of work, as declared in the workspace.
pub const KIND: &str = "godwitstep-kind";
/// Request header with the caller's idempotency key.
pub const KEY: &str = "godwitstep-key";
/// Request header with the time limit for the answer. Unit: milliseconds.
pub const DEADLINE: &str = "godwitstep-deadline-ms";
/// Request header that states whether the request may run more than once.
pub const IDEMPOTENT: &str = "godwitstep-idempotent";
/// Request header that counts how often the key was sent; 1 guarantees that it is new.
pub const ATTEMPT: &str = "godwitstep-attempt";
/// Response header with the outcome of the request.
pub const OUTCOME: &str = "godwitstep-outcome";
/// Response header with the identifier of the request.
pub const REQUEST: &str = "godwitstep-request";
