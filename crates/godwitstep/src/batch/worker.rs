//! Interface to the worker on an agent's host.

use godwitstep_batch::agent::{Answer, Call, Contact, LeaseRequest, RunLists};
use std::time::Duration;

/// Result of polling the worker.
#[derive(Debug, Clone, PartialEq)]
pub enum PollResult {
    /// The worker's lists of runs.
    Lists(RunLists),
    /// The worker has received a higher fencing token.
    Fenced,
    /// A worker with another name answered.
    OtherLife,
    /// Another incarnation of the worker with the same name answered.
    Restarted,
    /// The worker's address refused the connection.
    Refused,
    /// The worker returned no usable answer, for this reason.
    Unanswered(String),
}

impl From<PollResult> for Contact {
    fn from(result: PollResult) -> Self {
        match result {
            PollResult::Lists(lists) => Self::Lists(lists),
            PollResult::OtherLife => Self::OtherLife,
            PollResult::Restarted => Self::Restarted,
            PollResult::Refused => Self::Refused,
            PollResult::Fenced | PollResult::Unanswered(_) => Self::Unanswered,
        }
    }
}

/// Client interface to a worker.
#[allow(async_fn_in_trait)] // Everything of a process runs on one thread.
pub trait Worker {
    /// Starts or stops a run.
    async fn call(&self, call: &Call) -> Answer;
    /// Polls the worker: renews its lease and returns its lists of runs. Waits up to `wait` for a run to end.
    async fn poll(&self, request: &LeaseRequest, wait: Duration) -> PollResult;
}
