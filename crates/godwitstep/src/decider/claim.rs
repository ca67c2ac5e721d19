//! Takes, renews and loses the claim of the region.

use super::{Decider, drive, snapshot, standing_for, tell};
use crate::entry::State;
use godwitstep_core::id::Epoch;
use godwitstep_core::planner::{Event, Planner, Settings};
use godwitstep_core::record;
use godwitstep_core::registry::{Registry, Stream};
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Time between two ticks of the planner.
const TICK: Duration = Duration::from_millis(100);
/// Time between two renewals.
const RENEWAL: Duration = Duration::from_secs(2);
/// Time without a renewal, as seen by a reader of the tail, after which the claim may be replaced:
/// three renewals.
const LAPSE: Duration = Duration::from_secs(6);
/// Longest random delay before a claim, so that not all entries append one at the same time.
const SPREAD: Duration = Duration::from_millis(500);
/// Time for which an append of a claim or renewal may wait for its turn.
const LIMIT: Duration = Duration::from_secs(1);

/// Claims the region when it has no live decider, renews the claim while it is held, and lets the
/// planner's time pass. Runs for the life of the entry.
pub(crate) async fn keep(state: Rc<State>) {
    let mut fresh_since = None;
    loop {
        Timer::after(TICK).await;
        tell(&state, Event::Tick);
        let now = state.now();
        if !state.standing.get().may_promise() {
            fresh_since = None;
            continue;
        }
        let fresh = now.saturating_sub(*fresh_since.get_or_insert(now));
        if state.decider.borrow().is_some() {
            renew(&state, now);
            snapshot::write_if_due(&state);
        } else if vacant(&state, now, fresh) {
            claim(&state, now).await;
        }
    }
}

/// Reports whether the region has no claim, or one that was not renewed for too long while this
/// entry could read the tail.
fn vacant(state: &State, now: Duration, fresh: Duration) -> bool {
    let registry = state.registry.borrow();
    let mine = registry.claim().is_some_and(|claim| {
        claim.holder == state.identity.name && claim.incarnation == state.identity.incarnation
    });
    // A claim of this life without a planner was given up after a violation; another entry takes
    // over.
    !mine
        && registry
            .claim_age(now)
            .is_none_or(|age| age.min(fresh) > LAPSE)
}

async fn claim(state: &Rc<State>, before: Duration) {
    let replaces = state.registry.borrow().epoch();
    Timer::after(SPREAD.mul_f64(fastrand::f64())).await;
    let unchanged = state.registry.borrow().epoch() == replaces;
    let renewed = state.registry.borrow().claim_age(state.now());
    let waited = state.now().saturating_sub(before);
    if !unchanged || renewed.is_some_and(|age| age < waited) {
        return;
    }
    let event = record::Event::Claim {
        region: state.settings.region.clone(),
        holder: state.identity.name.clone(),
        incarnation: state.identity.incarnation,
        replaces,
    };
    match state.append(Stream::Jobs, vec![event], LIMIT).await {
        Ok(outcomes) => tracing::info!(?outcomes, replaces, "claimed the region"),
        Err(error) => tracing::warn!(%error, "the claim of the region was not recorded"),
    }
}

fn renew(state: &Rc<State>, now: Duration) {
    let mut slot = state.decider.borrow_mut();
    let Some(decider) = slot.as_mut() else { return };
    if now.saturating_sub(decider.renewed) < RENEWAL {
        return;
    }
    decider.renewed = now;
    let event = record::Event::Renew {
        region: state.settings.region.clone(),
        epoch: decider.epoch,
    };
    drop(slot);
    let task = Rc::clone(state);
    state.spawn(async move {
        if let Err(error) = task.append(Stream::Jobs, vec![event], LIMIT).await {
            tracing::warn!(%error, "the claim of the region was not renewed");
        }
    });
}

/// Starts to decide under an epoch, with what the registry holds. Workers come in as their agents
/// announce themselves under this epoch.
pub(super) fn take_over(state: &Rc<State>, epoch: Epoch) {
    tracing::info!(epoch, region = %state.settings.region, "deciding for the region");
    let seed = epoch ^ state.identity.incarnation;
    let mut decider = Decider {
        planner: Planner::new(Settings::default(), seed),
        epoch,
        actions: Vec::new(),
        renewed: state.now(),
        snapshots: [0, 0],
    };
    let now = state.now();
    let mut events = vec![
        Event::Epoch(epoch),
        Event::Standing(standing_for(state.standing.get())),
    ];
    events.extend(known(&state.registry.borrow(), now));
    for event in events {
        decider.planner.handle(now, event, &mut decider.actions);
    }
    *state.decider.borrow_mut() = Some(decider);
    metrics::gauge!("godwitstep_decider").set(1);
    drive::perform(state);
}

/// Returns what a new planner has to know of the folded state.
fn known(registry: &Registry, now: Duration) -> Vec<Event> {
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
    for (job, found) in registry.jobs() {
        if found.status.phase.is_final() {
            continue;
        }
        let age = registry.job_age(job, now).unwrap_or_default();
        let (job, spec, attempt) = (job.clone(), found.spec.clone(), found.status.attempt);
        events.push(if found.parts.is_empty() {
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
                parts: found.parts.clone(),
                age,
            }
        });
        if found.cancelled {
            events.push(Event::Cancel { job });
        }
    }
    events
}

/// Stops to decide.
pub(super) fn give_up(state: &State, why: &str) {
    if let Some(decider) = state.decider.borrow_mut().take() {
        tracing::warn!(
            epoch = decider.epoch,
            why,
            "no longer deciding for the region"
        );
        metrics::gauge!("godwitstep_decider").set(0);
    }
}
