//! Whether and how an entry serves a caller's request.
//!
//! ```
//! use godwitstep_batch::access::{self, Refusal, View};
//! use godwitstep_batch::bounds::Bounds;
//! use std::time::Duration;
//!
//! let view = View { policy: None, policy_age: Duration::MAX, jobs_age: Duration::MAX };
//! let refusal = access::check(&view, &Bounds::default(), "jobs.example", "/nest/", None);
//! assert_eq!(refusal.unwrap_err(), Refusal::NotReady);
//! ```

use crate::bounds::Bounds;
use crate::id::Workspace;
use crate::policy::{Policy, Queue};
use std::time::Duration;

/// Age of an entry's view of the jobs up to which it says that a job does not exist.
pub const JOBS_LIFE: Duration = Duration::from_millis(1_500);
/// Age of the views up to which an entry takes new callers.
pub const READY_LIFE: Duration = Duration::from_millis(1_600);

/// What an entry knows, and how old that is. Ages count from the sending of the newest answered
/// request to the log.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Newest policy; `None` before the first.
    pub policy: Option<&'a Policy>,
    /// Age of the policy and of the operators' orders.
    pub policy_age: Duration,
    /// Age of the jobs.
    pub jobs_age: Duration,
}

/// Why a request is refused before it is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The entry knows no policy yet.
    #[error("no configuration has been read yet")]
    NotReady,
    /// The entry can't tell whether the caller's key still holds.
    #[error("the configuration could not be confirmed for too long")]
    Stale,
    /// There is no such queue.
    #[error("no queue has this host and path")]
    NoQueue,
    /// The key is missing or unknown.
    #[error("the key is missing or unknown")]
    NoKey,
}

/// A request that may be served.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant<'a> {
    /// Queue that it is for.
    pub queue: &'a Queue,
    /// Workspace of its key.
    pub workspace: Option<Workspace>,
}

/// Checks a request's queue and key.
///
/// # Errors
///
/// Returns why it is refused.
pub fn check<'a>(
    view: &View<'a>,
    bounds: &Bounds,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<Grant<'a>, Refusal> {
    let policy = view.policy.ok_or(Refusal::NotReady)?;
    if view.policy_age > bounds.serve() {
        return Err(Refusal::Stale);
    }
    let queue = policy.route(host, path).ok_or(Refusal::NoQueue)?;
    let holder = key.and_then(|key| policy.holder(key));
    if holder.is_none() && !queue.open {
        return Err(Refusal::NoKey);
    }
    Ok(Grant {
        queue,
        workspace: holder.map(|holder| holder.name.clone()),
    })
}

impl View<'_> {
    /// Tells whether the entry should take new callers.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.policy.is_some() && self.policy_age < READY_LIFE && self.jobs_age < READY_LIFE
    }
}
