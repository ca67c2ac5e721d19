//! Policy declared by the operators: queues, pools of workers, workspaces and their keys.
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

/// Settings of a queue of jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue, unique in a policy.
    pub name: id::Queue,
    /// Host name by which callers address the queue; compared ignoring case.
    pub host: Arc<str>,
    /// Path prefix of the queue; the queue with the longest matching prefix gets a request.
    pub prefix: Arc<str>,
    /// Pool of the workers that run the queue's tasks.
    pub pool: id::Pool,
    /// Priority among the queues; 0 is the highest and may preempt the others.
    pub priority: u8,
    /// Number of failed runs after which a task, and with it its job, fails.
    pub attempts: u32,
    /// Part of a job's completion time objective that does not depend on its length.
    pub objective: Duration,
    /// Factor, at least 0, by which the length of a job's critical path counts towards its objective.
    pub stretch: f64,
    /// Whether callers are served without a key.
    pub open: bool,
    /// Whether an external adviser restricts the workers of each step.
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

/// Interchangeable workers that serve the same queues.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool, unique in a policy.
    pub name: id::Pool,
    /// Whether the workers reject runs that exceed their capacity.
    pub guarded: bool,
}

/// A workspace with its keys and its guaranteed accelerators.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace, unique in a policy.
    pub name: id::Workspace,
    /// API keys of the workspace's callers.
    pub keys: Vec<Arc<str>>,
    /// Number of accelerators that are always available to the workspace's jobs of priority 0.
    pub guaranteed: u64,
}

/// One version of the complete policy.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Version number, increasing with each change.
    pub version: u64,
    /// Queues to which jobs can be submitted.
    pub queues: Vec<Queue>,
    /// Pools to which workers can belong.
    pub pools: Vec<Pool>,
    /// Workspaces with access to queues that require a key.
    pub workspaces: Vec<Workspace>,
    /// Maximum size of a request body in bytes; `None` if the operators set no limit.
    pub body_limit: Option<usize>,
}

impl Policy {
    /// Returns the queue of a request, which is the one with the longest matching path prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| {
                queue.host.eq_ignore_ascii_case(host) && path.starts_with(&*queue.prefix)
            })
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue with this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// Returns the workspace to which a key belongs.
    #[must_use]
    pub fn workspace_by_key(&self, key: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.keys.iter().any(|own| &**own == key))
    }

    /// Returns the number of accelerators guaranteed to a workspace.
    #[must_use]
    pub fn guaranteed(&self, workspace: &str) -> u64 {
        self.workspaces
            .iter()
            .find(|own| &*own.name == workspace)
            .map_or(0, |own| own.guaranteed)
    }
}
