//! Interface to the worker on an agent's host.

use godwitstep_batch::agent::{Answer, Call, LeaseRequest, RunLists};
use std::time::Duration;

/// Result of polling the worker.
#[derive(Debug, Clone, PartialEq)]
pub enum PollResult {
    /// The worker's lists of runs.
    Lists(RunLists),
    /// The worker has received a higher epoch.
    Fenced,
    /// Another incarnation of the worker answered.
    OtherLife,
    /// The worker returned no usable answer, for this reason.
    Unanswered(String),
}

/// Client interface to a worker.
#[allow(async_fn_in_trait)] // Everything of a process runs on one thread.
pub trait Worker {
    /// Starts or stops a run.
    async fn call(&self, call: &Call) -> Answer;
    /// Polls the worker: renews its lease and returns its lists of runs. Waits up to `wait` for a run to end.
    async fn poll(&self, request: &LeaseRequest, wait: Duration) -> PollResult;
}
