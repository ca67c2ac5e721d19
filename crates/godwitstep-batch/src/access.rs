//! Routing and authorization of callers' requests.
//!
//! ```
//! use godwitstep_batch::access::{self, Refusal, View};
//! use godwitstep_batch::bounds::Bounds;
//! use std::time::Duration;
//!
//! let view = View { policy: None, policy_age: Duration::MAX, jobs_age: Duration::MAX };
//! let refusal = access::authorize(&view, &Bounds::default(), "jobs.example", "/nest/", None);
//! assert_eq!(refusal.unwrap_err(), Refusal::NotReady);
//! ```

use crate::bounds::Bounds;
use crate::id::Workspace;
use crate::policy::{Policy, Queue};
use std::time::Duration;

/// Maximum age of an entry's view of the jobs at which it answers that a job does not exist.
pub const MAX_JOBS_AGE: Duration = Duration::from_millis(1_500);
/// Maximum age of an entry's view of the jobs at which it says how many wait: callers take the number to be at most this
/// old.
pub const MAX_COUNT_AGE: Duration = Duration::from_secs(2);
/// Age of its views below which an entry is ready for new callers.
pub const READY_VIEW_AGE: Duration = Duration::from_millis(1_600);

/// An entry's policy and the ages of its views. Ages are counted from the sending of the newest answered request
/// to the log.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Newest policy; `None` if none has been read yet.
    pub policy: Option<&'a Policy>,
    /// Age of the view of the policy and the operators' orders.
    pub policy_age: Duration,
    /// Age of the view of the jobs.
    pub jobs_age: Duration,
}

/// Why a request is rejected before its body is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The entry has read no policy yet.
    #[error("no configuration has been read yet")]
    NotReady,
    /// The entry's policy is too old to tell whether the caller's key is still valid.
    #[error("the configuration could not be confirmed for too long")]
    Stale,
    /// No queue matches the host and path.
    #[error("no queue has this host and path")]
    NoQueue,
    /// The key is missing or unknown.
    #[error("the key is missing or unknown")]
    NoKey,
}

/// Result of a successful authorization.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant<'a> {
    /// Queue to which the request is routed.
    pub queue: &'a Queue,
    /// Workspace of the request's key; `None` for requests without a key to open queues.
    pub workspace: Option<Workspace>,
}

/// Routes a request to its queue and authorizes its key.
///
/// # Errors
///
/// Returns the reason if the request must be rejected.
pub fn authorize<'a>(
    view: &View<'a>,
    bounds: &Bounds,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<Grant<'a>, Refusal> {
    let policy = view.policy.ok_or(Refusal::NotReady)?;
    if view.policy_age > bounds.max_policy_age() {
        return Err(Refusal::Stale);
    }
    let queue = policy.route(host, path).ok_or(Refusal::NoQueue)?;
    let workspace = key.and_then(|key| policy.workspace_by_key(key));
    if workspace.is_none() && !queue.open {
        return Err(Refusal::NoKey);
    }
    Ok(Grant {
        queue,
        workspace: workspace.map(|workspace| workspace.name.clone()),
    })
}

impl View<'_> {
    /// Returns whether the entry is ready for new callers.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.policy.is_some() && self.policy_age < READY_VIEW_AGE && self.jobs_age < READY_VIEW_AGE
    }
}
