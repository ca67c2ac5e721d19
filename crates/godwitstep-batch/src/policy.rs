//! What operators declare: queues, pools of workers, workspaces and their keys.
//!
//! ```
//! use godwitstep_batch::policy::{Policy, Queue};
//!
//! let queue = Queue { host: "jobs.example".into(), prefix: "/nest/".into(), ..Queue::default() };
//! let policy = Policy { queues: vec![queue], ..Policy::default() };
//! assert!(policy.route("jobs.example", "/nest/5c0e7a21d94b36f8").is_some());
//! assert!(policy.route("jobs.example", "/fade/5c0e7a21d94b36f8").is_none());
//! ```

use crate::id;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name, unique in a policy.
    pub name: id::Queue,
    /// Host name that callers use.
    pub host: Arc<str>,
    /// Beginning of the paths that belong to the queue.
    pub prefix: Arc<str>,
    /// Workers that run its tasks.
    pub pool: id::Pool,
    /// Order among the queues; 0 comes first and may preempt others.
    pub priority: u8,
    /// Failed runs after which a task is given up.
    pub attempts: u32,
    /// Part of a job's objective that is independent of its length.
    pub objective: Duration,
    /// Times the length of a job's longest chain that its objective allows. At least 0.
    pub stretch: f64,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether an adviser restricts the workers of each step.
    pub advised: bool,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            name: "".into(),
            host: "".into(),
            prefix: "/".into(),
            pool: "".into(),
            priority: 0,
            attempts: 1,
            objective: Duration::ZERO,
            stretch: 1.0,
            open: false,
            advised: false,
        }
    }
}

/// Workers that serve the same queues.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name, unique in a policy.
    pub name: id::Pool,
    /// Whether the workers refuse what exceeds their room.
    pub guarded: bool,
}

/// A workspace, its keys and its guarantee.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name, unique in a policy.
    pub name: id::Workspace,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Accelerators that belong to its jobs of priority 0 at all times.
    pub guaranteed: u64,
}

/// A whole version of what operators declare.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Rises with each change.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools.
    pub pools: Vec<Pool>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Greatest size of a request's body in bytes; `None` for no limit of the operators' own.
    pub body_limit: Option<usize>,
}

impl Policy {
    /// Returns the queue of a request: the longest prefix that the path begins with.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| {
                queue.host.eq_ignore_ascii_case(host) && path.starts_with(&*queue.prefix)
            })
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue of a name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// Returns the workspace that a key belongs to.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.keys.iter().any(|own| &**own == key))
    }

    /// Returns the accelerators that a workspace is guaranteed.
    #[must_use]
    pub fn guaranteed(&self, workspace: &str) -> u64 {
        self.workspaces
            .iter()
            .find(|own| &*own.name == workspace)
            .map_or(0, |own| own.guaranteed)
    }
}
