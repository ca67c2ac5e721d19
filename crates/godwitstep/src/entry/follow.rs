//! Follows the streams of the log and spreads what changed.

use super::{State, standing};
use crate::decider;
use crate::log::{Batch, Reader};
use godwitstep_core::id::Offset;
use godwitstep_core::record::Envelope;
use godwitstep_core::registry::{Change, Fold, Gap, Rebuild, Stream};
use godwitstep_core::router;
use std::rc::Rc;

/// Reads a stream for the life of the entry.
pub(super) async fn follow(state: Rc<State>, stream: Stream, mut reader: Reader) {
    loop {
        match reader.next().await {
            Batch::Records { records, .. } => {
                if let Err(gap) = take_all(&state, stream, &records) {
                    tracing::error!(%gap, "reading again from the position");
                    reader.seek(gap.expected);
                }
            }
            Batch::Trimmed { start } => restart(&state, stream, start),
        }
    }
}

/// Folds consecutive records. Those that are folded already have no effect.
///
/// # Errors
///
/// [`Gap`] if records before them are missing; the rest is not folded.
pub(super) fn take_all(
    state: &Rc<State>,
    stream: Stream,
    records: &[(Offset, String)],
) -> Result<(), Gap> {
    for (offset, text) in records {
        take(state, stream, *offset, text)?;
    }
    let position = state.registry.borrow().position(stream);
    let known = state.stream(stream);
    known.judge_ready(state.now(), position);
    if !records.is_empty() {
        known.wake();
    }
    Ok(())
}

/// Starts to rebuild the state from the oldest retained record.
fn restart(state: &Rc<State>, stream: Stream, start: Offset) {
    let position = state.registry.borrow().position(stream);
    if position >= start {
        return;
    }
    tracing::warn!(%stream, position, start, "records expired before they were read; rebuilding");
    let region = state.settings.region.clone();
    let rebuild = Rebuild::new(region, stream, start);
    *state.stream(stream).rebuild.borrow_mut() = Some(rebuild);
}

fn take(state: &Rc<State>, stream: Stream, offset: Offset, text: &str) -> Result<(), Gap> {
    let envelope = serde_json::from_str::<Envelope>(text)
        .inspect_err(|error| tracing::warn!(%stream, offset, %error, "record passed over"))
        .ok();
    let known = state.stream(stream);
    let rebuilding = known.rebuild.borrow().is_some();
    let changes = if rebuilding {
        rebuild(state, stream, offset, envelope.as_ref())?
    } else {
        if offset >= state.registry.borrow().position(stream) {
            known.keep(offset, text);
        }
        fold(state, stream, offset, envelope.as_ref())?.changes
    };
    spread(state, &changes);
    Ok(())
}

fn fold(
    state: &State,
    stream: Stream,
    offset: Offset,
    envelope: Option<&Envelope>,
) -> Result<Fold, Gap> {
    let mut registry = state.registry.borrow_mut();
    let Some(envelope) = envelope else {
        return registry.skip(stream, offset).map(|()| Fold::default());
    };
    let known = offset < registry.position(stream);
    let fold = registry.fold(stream, offset, envelope, state.now())?;
    let me = &state.identity;
    let own = envelope.writer == me.name && envelope.incarnation == me.incarnation;
    if own && !known {
        state.stream(stream).note(offset, fold.outcomes.clone());
    }
    Ok(fold)
}

/// Feeds the state under reconstruction; once it is whole, it replaces the one in force.
fn rebuild(
    state: &State,
    stream: Stream,
    offset: Offset,
    envelope: Option<&Envelope>,
) -> Result<Vec<Change>, Gap> {
    let now = state.now();
    let mut slot = state.stream(stream).rebuild.borrow_mut();
    let Some(mut rebuild) = slot.take() else {
        return Ok(Vec::new());
    };
    match envelope {
        Some(envelope) => rebuild.fold(offset, envelope, now).map(|_| ()),
        None => rebuild.skip(offset),
    }?;
    if rebuild.ready().is_none() {
        *slot = Some(rebuild);
        return Ok(Vec::new());
    }
    let position = rebuild.position();
    match state.registry.borrow_mut().adopt(rebuild, now) {
        Ok(changes) => {
            tracing::info!(%stream, position, "rebuilt from a snapshot");
            Ok(changes)
        }
        // The state in force has meanwhile advanced further by records that a peer passed on.
        Err(_) => Ok(Vec::new()),
    }
}

/// Tells the front and the decider what changed.
fn spread(state: &Rc<State>, changes: &[Change]) {
    for change in changes {
        if let Some(event) = routed(state, change)
            && let Some(front) = state.front()
        {
            front.handle(event);
        }
        decider::apply_change(state, change);
    }
    let urgent = |change: &Change| matches!(change, Change::Domain { .. } | Change::Claim(_));
    if changes.iter().any(urgent) {
        standing::announce(state);
    }
}

fn routed(state: &State, change: &Change) -> Option<router::Event> {
    match change {
        Change::Workspace { name, item } => Some(router::Event::Workspace {
            id: name.clone(),
            spec: item.as_ref().map(|item| item.spec.clone()),
        }),
        Change::Domain { name, item } => {
            let spec = item.as_ref().map(|item| &item.spec);
            let ours = spec.is_none_or(|spec| spec.region == state.settings.region);
            ours.then(|| router::Event::Domain {
                id: name.clone(),
                in_service: spec.is_some_and(|spec| spec.in_service),
            })
        }
        Change::Job { .. } | Change::Claim(_) => None,
    }
}
