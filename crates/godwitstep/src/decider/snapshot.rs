//! Writes snapshots, so that what still counts outlives the log's retention.

use crate::entry::State;
use godwitstep_core::id::Epoch;
use godwitstep_core::record::Event;
use godwitstep_core::registry::Stream;
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Time for which the append of a part may wait for its turn.
const LIMIT: Duration = Duration::from_secs(5);
/// Delay before the append of a part is repeated.
const RETRY: Duration = Duration::from_secs(1);

/// Starts to write a snapshot of each stream that has advanced by a quarter of the retention since
/// the last one.
pub(super) fn write_if_due(state: &Rc<State>) {
    let quarter = state.settings.retention_records / 4;
    for stream in [Stream::Config, Stream::Jobs] {
        let position = state.registry.borrow().position(stream);
        let mut slot = state.decider.borrow_mut();
        let Some(decider) = slot.as_mut() else { return };
        let last = &mut decider.snapshots[stream as usize];
        if position.saturating_sub(*last) < quarter {
            continue;
        }
        *last = position;
        let epoch = decider.epoch;
        drop(slot);
        let parts = state.registry.borrow().snapshot(stream);
        state.spawn(write(Rc::clone(state), stream, epoch, parts));
    }
}

/// Appends the parts in order. A snapshot that stays incomplete has no effect.
async fn write(state: Rc<State>, stream: Stream, epoch: Epoch, parts: Vec<Event>) {
    let count = parts.len();
    for part in parts {
        while state
            .append(stream, vec![part.clone()], LIMIT)
            .await
            .is_err()
        {
            let decides = state
                .decider
                .borrow()
                .as_ref()
                .is_some_and(|decider| decider.epoch == epoch);
            if !decides {
                return;
            }
            Timer::after(RETRY).await;
        }
    }
    tracing::info!(%stream, count, "snapshot written");
}
