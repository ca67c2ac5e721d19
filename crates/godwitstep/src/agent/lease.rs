//! The worker's lease, without which nothing starts.

use super::parts::Beside;
use super::state::Agent;
use super::worker::{Failure, Lease};
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Life of the lease.
const LIFE: Duration = Duration::from_secs(10);
/// Time between two renewals.
const RENEWAL: Duration = Duration::from_secs(3);
/// Time between two attempts while there is no answer.
const RETRY: Duration = Duration::from_millis(500);

/// Takes the lease and renews it for as long as the agent runs.
pub(super) async fn keep(agent: Rc<Agent>) {
    let Some(beside) = &agent.worker else { return };
    let mut last = String::new();
    loop {
        let wait = match take(&agent, beside).await {
            Ok(_) => {
                last.clear();
                RENEWAL
            }
            Err(error) => {
                let text = error.to_string();
                if text != last {
                    tracing::warn!(error = text, "can't take the worker's lease");
                    last = text;
                }
                RETRY
            }
        };
        Timer::after(wait).await;
    }
}

/// Returns the lease if it is certainly valid, and else takes it anew.
pub(super) async fn current(agent: &Agent, beside: &Beside) -> Result<Lease, Failure> {
    let now = agent.now();
    let held = beside.parts.borrow().lease.clone();
    match held {
        Some((lease, until)) if now < until => Ok(lease),
        _ => take(agent, beside).await,
    }
}

/// Takes or renews the lease. Its life is counted from before the call, so that this agent never
/// believes in it for longer than the worker does.
async fn take(agent: &Agent, beside: &Beside) -> Result<Lease, Failure> {
    let until = agent.now() + LIFE;
    let lease = beside.client.lease(&agent.settings.name, LIFE).await?;
    beside.parts.borrow_mut().lease = Some((lease.clone(), until));
    Ok(lease)
}
