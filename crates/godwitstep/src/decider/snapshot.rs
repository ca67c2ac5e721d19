//! Appends snapshots to the log, so that current state outlives the log's retention.

use crate::entry::State;
use godwitstep_core::id::Epoch;
use godwitstep_core::record::Event;
use godwitstep_core::registry::Stream;
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time for which the append of a snapshot part may be queued.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(5);
/// Delay before the append of a snapshot part is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Starts a snapshot of each stream that has advanced by a quarter of the retention since its last snapshot.
pub(super) fn write_if_due(state: &Rc<State>) {
    let quarter = state.settings.retention_records / 4;
    for stream in [Stream::Config, Stream::Jobs] {
        let position = state.registry.borrow().position(stream);
        let mut slot = state.decider.borrow_mut();
        let Some(decider) = slot.as_mut() else { return };
        let last = &mut decider.snapshot_positions[stream as usize];
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

/// Appends the parts of a snapshot in order. An incomplete snapshot has no effect.
async fn write(state: Rc<State>, stream: Stream, epoch: Epoch, parts: Vec<Event>) {
    let count = parts.len();
    for part in parts {
        while state
            .append(stream, vec![part.clone()], MAX_QUEUE_TIME)
            .await
            .is_err()
        {
            let is_decider = state
                .decider
                .borrow()
                .as_ref()
                .is_some_and(|decider| decider.epoch == epoch);
            if !is_decider {
                return;
            }
            Timer::after(RETRY_DELAY).await;
        }
    }
    tracing::info!(%stream, count, "snapshot written");
}
