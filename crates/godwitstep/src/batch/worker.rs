//! The worker beside an agent.

use godwitstep_batch::agent::{Answer, Call, Hold, Lists};
use std::time::Duration;

/// Answer to a look at the worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Look {
    /// Its lists.
    Lists(Lists),
    /// It has seen a higher epoch.
    Fenced,
    /// Another life of the worker answered.
    OtherLife,
    /// There is no usable answer.
    Unanswered(String),
}

/// Client of the worker.
#[allow(async_fn_in_trait)] // Everything of a process runs on one thread.
pub trait Worker {
    /// Starts or stops a run.
    async fn call(&self, call: &Call) -> Answer;
    /// Prolongs the lease and reads the lists; waits for an end for at most `wait`.
    async fn hold(&self, hold: &Hold, wait: Duration) -> Look;
}
