//! Follows the streams of the log, folds their records and dispatches the resulting changes.

use super::{State, operating_mode};
use crate::decider;
use crate::log::{Batch, Reader};
use godwitstep_core::id::Offset;
use godwitstep_core::record::Envelope;
use godwitstep_core::registry::{Change, Fold, Gap, Rebuild, Stream};
use godwitstep_core::router;
use std::rc::Rc;

/// Reads a stream until the entry stops.
pub(super) async fn follow(state: Rc<State>, stream: Stream, mut reader: Reader) {
    loop {
        match reader.next().await {
            Batch::Records { records, .. } => {
                if let Err(gap) = fold_records(&state, stream, &records) {
                    tracing::error!(%gap, "gap in the stream; rereading from the folded position");
                    reader.seek(gap.expected);
                }
            }
            Batch::Trimmed { start } => start_rebuild(&state, stream, start),
        }
    }
}

/// Folds consecutive records. Records that were folded before have no effect.
///
/// # Errors
///
/// [`Gap`] if earlier records are missing; folding stops at the gap.
pub(super) fn fold_records(
    state: &Rc<State>,
    stream: Stream,
    records: &[(Offset, String)],
) -> Result<(), Gap> {
    for (offset, text) in records {
        process_record(state, stream, *offset, text)?;
    }
    let position = state.registry.borrow().position(stream);
    let stream = state.stream(stream);
    stream.update_ready(state.now(), position);
    if !records.is_empty() {
        stream.notify_waiters();
    }
    Ok(())
}

/// Starts rebuilding the state from the oldest retained record, unless the folded state already
/// covers the trimmed records.
fn start_rebuild(state: &Rc<State>, stream: Stream, start: Offset) {
    let position = state.registry.borrow().position(stream);
    if position >= start {
        return;
    }
    tracing::warn!(%stream, position, start, "records trimmed before they were read; rebuilding");
    let region = state.settings.region.clone();
    let rebuild = Rebuild::new(region, stream, start);
    *state.stream(stream).rebuild.borrow_mut() = Some(rebuild);
}

fn process_record(
    state: &Rc<State>,
    stream: Stream,
    offset: Offset,
    text: &str,
) -> Result<(), Gap> {
    let envelope = serde_json::from_str::<Envelope>(text)
        .inspect_err(
            |error| tracing::warn!(%stream, offset, %error, "cannot decode record; skipping it"),
        )
        .ok();
    let stream_state = state.stream(stream);
    let rebuilding = stream_state.rebuild.borrow().is_some();
    let changes = if rebuilding {
        rebuild(state, stream, offset, envelope.as_ref())?
    } else {
        if offset >= state.registry.borrow().position(stream) {
            stream_state.push_recent(offset, text);
        }
        fold(state, stream, offset, envelope.as_ref())?.changes
    };
    apply_changes(state, &changes);
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
    let already_folded = offset < registry.position(stream);
    let fold = registry.fold(stream, offset, envelope, state.now())?;
    let identity = &state.identity;
    let own = envelope.writer == identity.name && envelope.incarnation == identity.incarnation;
    if own && !already_folded {
        state
            .stream(stream)
            .store_outcomes(offset, fold.outcomes.clone());
    }
    Ok(fold)
}

/// Folds a record into the state that is being rebuilt. Once that state is complete, it replaces
/// the current one.
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
            tracing::info!(%stream, position, "state rebuilt from a snapshot");
            Ok(changes)
        }
        // Records forwarded by a peer have moved the current state past the rebuilt one.
        Err(_) => Ok(Vec::new()),
    }
}

/// Applies changes to the caller front end and the decider, and sends the rules to all agents at
/// once if a failure domain or the claim changed.
fn apply_changes(state: &Rc<State>, changes: &[Change]) {
    for change in changes {
        if let Some(event) = router_event(state, change)
            && let Some(front) = state.front()
        {
            front.handle(event);
        }
        decider::apply_change(state, change);
    }
    let urgent = |change: &Change| matches!(change, Change::Domain { .. } | Change::Claim(_));
    if changes.iter().any(urgent) {
        operating_mode::broadcast_rules(state);
    }
}

fn router_event(state: &State, change: &Change) -> Option<router::Event> {
    match change {
        Change::Workspace { name, item } => Some(router::Event::Workspace {
            id: name.clone(),
            spec: item.as_ref().map(|item| item.spec.clone()),
        }),
        Change::Domain { name, item } => {
            let spec = item.as_ref().map(|item| &item.spec);
            let in_region = spec.is_none_or(|spec| spec.region == state.settings.region);
            in_region.then(|| router::Event::Domain {
                id: name.clone(),
                in_service: spec.is_some_and(|spec| spec.in_service),
            })
        }
        Change::Job { .. } | Change::Claim(_) => None,
    }
}
