//! Writes the planner's records and tells it what became of them.

use super::tell;
use crate::entry::State;
use crate::resources::Unrecorded;
use godwitstep_core::id::{Attempt, Epoch, JobId};
use godwitstep_core::planner;
use godwitstep_core::record::Event;
use godwitstep_core::registry::{Outcome, Stream};
use godwitstep_core::resource::Phase;
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Delay before an append is repeated.
const RETRY: Duration = Duration::from_millis(500);
/// Time for which an append may wait for its turn.
const LIMIT: Duration = Duration::from_secs(2);

/// Writes one record of the planner that decides under `epoch`.
///
/// A start that is not recorded is given up; the ends of runs are written until they are folded,
/// because agents repeat them until they are.
pub(super) async fn write(state: Rc<State>, epoch: Epoch, event: Event) {
    match &event {
        Event::Start { job, attempt, .. } => {
            let (job, attempt) = (job.clone(), *attempt);
            let recorded = start(&state, epoch, &event, &job, attempt).await;
            report(&state, epoch, job, attempt, recorded);
        }
        _ => repeat(&state, epoch, event).await,
    }
}

/// Appends a start and reports whether it took effect; `None` if this entry no longer decides.
async fn start(
    state: &Rc<State>,
    epoch: Epoch,
    event: &Event,
    job: &JobId,
    attempt: Attempt,
) -> Option<bool> {
    match state.append(Stream::Jobs, vec![event.clone()], LIMIT).await {
        Ok(outcomes) => Some(matches!(outcomes.first(), Some(Outcome::Won(_)))),
        Err(Unrecorded::NotRun { .. }) => Some(false),
        Err(Unrecorded::Unknown) => {
            resolve(state, epoch).await?;
            Some(runs(state, job, attempt))
        }
    }
}

/// Waits until a later record of this writer is folded. What became of every earlier append is
/// certain then. `None` if this entry no longer decides.
async fn resolve(state: &Rc<State>, epoch: Epoch) -> Option<()> {
    let renew = Event::Renew {
        region: state.settings.region.clone(),
        epoch,
    };
    while decides(state, epoch) {
        let result = state.append(Stream::Jobs, vec![renew.clone()], LIMIT).await;
        if result.is_ok() {
            return Some(());
        }
        Timer::after(RETRY).await;
    }
    None
}

fn runs(state: &State, job: &str, attempt: Attempt) -> bool {
    let registry = state.registry.borrow();
    registry.job(job).is_some_and(|found| {
        found.status.attempt == attempt && found.status.phase == Phase::Running
    })
}

fn report(state: &Rc<State>, epoch: Epoch, job: JobId, attempt: Attempt, recorded: Option<bool>) {
    if !decides(state, epoch) {
        return;
    }
    match recorded {
        Some(true) => tell(state, planner::Event::Recorded { job, attempt }),
        Some(false) => tell(state, planner::Event::NotRecorded { job, attempt }),
        None => {}
    }
}

/// Appends an event until it is folded, whatever its effect: an event that is repeated after it
/// took effect folds to nothing.
async fn repeat(state: &Rc<State>, epoch: Epoch, event: Event) {
    while decides(state, epoch) {
        match state.append(Stream::Jobs, vec![event.clone()], LIMIT).await {
            Ok(outcomes) => {
                tracing::debug!(?event, ?outcomes, "recorded");
                return;
            }
            Err(error) => tracing::debug!(%error, ?event, "not recorded yet; trying again"),
        }
        Timer::after(RETRY).await;
    }
}

fn decides(state: &State, epoch: Epoch) -> bool {
    let slot = state.decider.borrow();
    slot.as_ref().is_some_and(|decider| decider.epoch == epoch)
}
