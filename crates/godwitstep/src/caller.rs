//! The callers' interface: requests to services.
//!
//! [`Ask`] is a request that has been checked, [`respond`] maps an outcome to HTTP, and [`Front`]
//! drives the router between the two.

mod answer;
mod front;
mod head;
mod pending;
mod serve;

pub use answer::{Fault, respond};
pub use front::{Front, Options, Order};
pub use head::{Ask, MAX_DEADLINE, MAX_KEY, service};

/// Header with the workspace.
pub const WORKSPACE: &str = "godwitstep-workspace";
/// Header with the kind of work.
pub const KIND: &str = "godwitstep-kind";
/// Header with the caller's idempotency key.
pub const KEY: &str = "godwitstep-key";
/// Header with the time within which the answer must come. Unit: milliseconds.
pub const DEADLINE: &str = "godwitstep-deadline-ms";
/// Header that tells whether the request may run more than once.
pub const IDEMPOTENT: &str = "godwitstep-idempotent";
/// Header that counts how often the key was sent; 1 promises that it was never sent before.
pub const ATTEMPT: &str = "godwitstep-attempt";
/// Header of an answer with its outcome.
pub const OUTCOME: &str = "godwitstep-outcome";
/// Header of an answer with the identity of the request.
pub const REQUEST: &str = "godwitstep-request";
