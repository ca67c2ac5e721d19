//! Acquires and renews the claim of the region, and creates and drops the planner accordingly.

use super::{Decider, actions, planner_operating_mode, send_event, snapshot};
use crate::entry::State;
use godwitstep_core::id::Epoch;
use godwitstep_core::planner::{Event, Planner, Settings};
use godwitstep_core::record;
use godwitstep_core::registry::{Registry, Stream};
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two ticks of the planner.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two renewals of the claim.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a renewal in the log after which another entry may replace the claim: three renewal intervals.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum random delay before a claim, so that entries don't all claim at the same time.
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(500);
/// Maximum time for which the append of a claim or renewal may be queued.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// Claims the region when it has no live decider, renews the claim while this entry holds it, and sends ticks to
/// the planner. Runs until the entry's process ends.
pub(crate) async fn maintain_claim(state: Rc<State>) {
    let mut fresh_since = None;
    loop {
        Timer::after(TICK_INTERVAL).await;
        send_event(&state, Event::Tick);
        let now = state.now();
        if !state.operating_mode.get().may_record() {
            fresh_since = None;
            continue;
        }
        let fresh_for = now.saturating_sub(*fresh_since.get_or_insert(now));
        if state.decider.borrow().is_some() {
            renew(&state, now);
            snapshot::write_if_due(&state);
        } else if claim_is_due(&state, now, fresh_for) {
            claim(&state, now).await;
        }
    }
}

/// Returns whether to claim the region: it has no claim, or one that was not renewed for [`CLAIM_TIMEOUT`] while this
/// entry could read the log. `fresh_for` is the time for which this entry could read the log without interruption.
fn claim_is_due(state: &State, now: Duration, fresh_for: Duration) -> bool {
    let registry = state.registry.borrow();
    let own = registry.claim().is_some_and(|claim| {
        claim.holder == state.identity.name && claim.incarnation == state.identity.incarnation
    });
    // A claim of this incarnation without a planner is left from an invariant violation, after which this process
    // stepped down; another entry has to take over.
    !own && registry
        .claim_age(now)
        .is_none_or(|age| age.min(fresh_for) > CLAIM_TIMEOUT)
}

/// Claims the region after a random delay, unless another claim or renewal is read meanwhile.
async fn claim(state: &Rc<State>, started: Duration) {
    let replaces = state.registry.borrow().epoch();
    Timer::after(MAX_CLAIM_JITTER.mul_f64(fastrand::f64())).await;
    let unchanged = state.registry.borrow().epoch() == replaces;
    let claim_age = state.registry.borrow().claim_age(state.now());
    let waited = state.now().saturating_sub(started);
    if !unchanged || claim_age.is_some_and(|age| age < waited) {
        return;
    }
    let event = record::Event::Claim {
        region: state.settings.region.clone(),
        holder: state.identity.name.clone(),
        incarnation: state.identity.incarnation,
        replaces,
    };
    match state
        .append(Stream::Jobs, vec![event], MAX_QUEUE_TIME)
        .await
    {
        Ok(outcomes) => tracing::info!(?outcomes, replaces, "claimed the region"),
        Err(error) => tracing::warn!(%error, "failed to record the claim of the region"),
    }
}

/// Appends a renewal of the claim if [`RENEWAL_INTERVAL`] has passed since the last one.
fn renew(state: &Rc<State>, now: Duration) {
    let mut slot = state.decider.borrow_mut();
    let Some(decider) = slot.as_mut() else { return };
    if now.saturating_sub(decider.last_renewal) < RENEWAL_INTERVAL {
        return;
    }
    decider.last_renewal = now;
    let event = record::Event::Renew {
        region: state.settings.region.clone(),
        epoch: decider.epoch,
    };
    drop(slot);
    let task = Rc::clone(state);
    state.spawn(async move {
        if let Err(error) = task.append(Stream::Jobs, vec![event], MAX_QUEUE_TIME).await {
            tracing::warn!(%error, "failed to renew the claim of the region");
        }
    });
}

/// Creates the planner for an epoch and initializes it from the registry. Workers are added as their agents announce
/// themselves under this epoch.
pub(super) fn take_over(state: &Rc<State>, epoch: Epoch) {
    tracing::info!(epoch, region = %state.settings.region, "became the decider of the region");
    let seed = epoch ^ state.identity.incarnation;
    let mut decider = Decider {
        planner: Planner::new(Settings::default(), seed),
        epoch,
        actions: Vec::new(),
        last_renewal: state.now(),
        snapshot_positions: [0, 0],
    };
    let now = state.now();
    let mut events = vec![
        Event::Epoch(epoch),
        Event::OperatingMode(planner_operating_mode(state.operating_mode.get())),
    ];
    events.extend(initial_events(&state.registry.borrow(), now));
    for event in events {
        decider.planner.handle(now, event, &mut decider.actions);
    }
    *state.decider.borrow_mut() = Some(decider);
    metrics::gauge!("godwitstep_decider").set(1);
    actions::perform(state);
}

/// Returns the events that initialize a new planner from the registry.
fn initial_events(registry: &Registry, now: Duration) -> Vec<Event> {
    let mut events = Vec::new();
    for (id, item) in registry.workspaces() {
        events.push(Event::Workspace {
            id: id.clone(),
            spec: Some(item.spec.clone()),
        });
    }
    for (id, item) in registry.domains() {
        if item.spec.region == *registry.region() {
            events.push(Event::Domain {
                id: id.clone(),
                in_service: item.spec.in_service,
            });
        }
    }
    for (job, job_state) in registry.jobs() {
        if job_state.status.phase.is_final() {
            continue;
        }
        let age = registry.job_age(job, now).unwrap_or_default();
        let (job, spec, attempt) = (
            job.clone(),
            job_state.spec.clone(),
            job_state.status.attempt,
        );
        events.push(if job_state.parts.is_empty() {
            Event::Submit {
                job: job.clone(),
                spec,
                attempt,
                age,
            }
        } else {
            Event::Adopt {
                job: job.clone(),
                spec,
                attempt,
                parts: job_state.parts.clone(),
                age,
            }
        });
        if job_state.cancelled {
            events.push(Event::Cancel { job });
        }
    }
    events
}

/// Drops the planner, so that this entry is no longer the decider.
pub(super) fn step_down(state: &State, reason: &str) {
    if let Some(decider) = state.decider.borrow_mut().take() {
        tracing::warn!(
            epoch = decider.epoch,
            why = reason,
            "no longer the decider of the region"
        );
        metrics::gauge!("godwitstep_decider").set(0);
    }
}
