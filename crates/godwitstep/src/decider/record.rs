//! Appends the planner's records to the log and reports the results to the planner.

use super::send_event;
use crate::entry::State;
use crate::resources::ChangeError;
use godwitstep_core::id::{Attempt, Epoch, JobId};
use godwitstep_core::planner;
use godwitstep_core::record::Event;
use godwitstep_core::registry::{Outcome, Stream};
use godwitstep_core::resource::Phase;
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Delay before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum time for which an append may be queued.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(2);

/// Appends a record of the planner that runs under `epoch`.
///
/// A start that could not be recorded is not retried, but reported to the planner. Other records, such as ends of runs,
/// are retried until the registry has applied them, because agents repeat their ends until then.
pub(super) async fn write(state: Rc<State>, epoch: Epoch, event: Event) {
    match &event {
        Event::Start { job, attempt, .. } => {
            let (job, attempt) = (job.clone(), *attempt);
            let recorded = append_start(&state, epoch, &event, &job, attempt).await;
            report_start(&state, epoch, job, attempt, recorded);
        }
        _ => append_until_applied(&state, epoch, event).await,
    }
}

/// Appends a start and returns whether it took effect; `None` if this entry is no longer the decider.
async fn append_start(
    state: &Rc<State>,
    epoch: Epoch,
    event: &Event,
    job: &JobId,
    attempt: Attempt,
) -> Option<bool> {
    match state
        .append(Stream::Jobs, vec![event.clone()], MAX_QUEUE_TIME)
        .await
    {
        Ok(outcomes) => Some(matches!(outcomes.first(), Some(Outcome::Applied(_)))),
        Err(ChangeError::NotRun { .. }) => Some(false),
        Err(ChangeError::Unknown) => {
            append_marker(state, epoch).await?;
            Some(is_running(state, job, attempt))
        }
    }
}

/// Appends a renewal and waits until the registry has applied it. The results of all earlier appends by this writer are
/// certain then. Returns `None` if this entry is no longer the decider.
async fn append_marker(state: &Rc<State>, epoch: Epoch) -> Option<()> {
    let renew = Event::Renew {
        region: state.settings.region.clone(),
        epoch,
    };
    while is_decider(state, epoch) {
        let result = state
            .append(Stream::Jobs, vec![renew.clone()], MAX_QUEUE_TIME)
            .await;
        if result.is_ok() {
            return Some(());
        }
        Timer::after(RETRY_DELAY).await;
    }
    None
}

fn is_running(state: &State, job: &str, attempt: Attempt) -> bool {
    let registry = state.registry.borrow();
    registry
        .job(job)
        .is_some_and(|job| job.status.attempt == attempt && job.status.phase == Phase::Running)
}

/// Reports to the planner whether a start took effect.
fn report_start(
    state: &Rc<State>,
    epoch: Epoch,
    job: JobId,
    attempt: Attempt,
    recorded: Option<bool>,
) {
    if !is_decider(state, epoch) {
        return;
    }
    match recorded {
        Some(true) => send_event(state, planner::Event::Recorded { job, attempt }),
        Some(false) => send_event(state, planner::Event::NotRecorded { job, attempt }),
        None => {}
    }
}

/// Appends an event, with retries until the registry has applied it, whatever its effect. A repetition of an event that
/// has already taken effect is ignored.
async fn append_until_applied(state: &Rc<State>, epoch: Epoch, event: Event) {
    while is_decider(state, epoch) {
        match state
            .append(Stream::Jobs, vec![event.clone()], MAX_QUEUE_TIME)
            .await
        {
            Ok(outcomes) => {
                tracing::debug!(?event, ?outcomes, "recorded");
                return;
            }
            Err(error) => tracing::debug!(%error, ?event, "event not recorded yet; retrying"),
        }
        Timer::after(RETRY_DELAY).await;
    }
}

fn is_decider(state: &State, epoch: Epoch) -> bool {
    let slot = state.decider.borrow();
    slot.as_ref().is_some_and(|decider| decider.epoch == epoch)
}
