//! Acquires and renews the worker's lease, which is required to start tasks.

use super::parts::WorkerHandle;
use super::state::Agent;
use super::worker::{CallError, Lease};
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Validity of the lease after each renewal.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// Time between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Time between two attempts after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Acquires the lease and renews it for as long as the agent runs.
pub(super) async fn maintain(agent: Rc<Agent>) {
    let Some(worker) = &agent.worker else { return };
    let mut last_error = String::new();
    loop {
        let wait = match acquire(&agent, worker).await {
            Ok(_) => {
                last_error.clear();
                RENEWAL_INTERVAL
            }
            Err(error) => {
                let text = error.to_string();
                if text != last_error {
                    tracing::warn!(error = text, "can't acquire the worker's lease");
                    last_error = text;
                }
                RETRY_INTERVAL
            }
        };
        Timer::after(wait).await;
    }
}

/// Returns the current lease while it is certainly valid, and otherwise acquires it again.
pub(super) async fn ensure_valid(agent: &Agent, worker: &WorkerHandle) -> Result<Lease, CallError> {
    let now = agent.now();
    let held = worker.parts.borrow().lease.clone();
    match held {
        Some((lease, until)) if now < until => Ok(lease),
        _ => acquire(agent, worker).await,
    }
}

/// Acquires or renews the lease. Its validity is counted from before the call, so that it never
/// ends later here than on the worker.
async fn acquire(agent: &Agent, worker: &WorkerHandle) -> Result<Lease, CallError> {
    let until = agent.now() + LEASE_TTL;
    let lease = worker.client.lease(&agent.settings.name, LEASE_TTL).await?;
    worker.parts.borrow_mut().lease = Some((lease.clone(), until));
    Ok(lease)
}
