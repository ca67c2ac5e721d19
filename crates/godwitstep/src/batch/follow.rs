//! Following a stream of the log: newest records first, then the tail.

use super::SharedClock;
use super::log::{Item, Log, Newest, ReadError, Stream};
use godwitstep_batch::id::Offset;
use smol::Timer;
use std::time::Duration;

/// Longest wait of one read. An entry's view is as old as its newest read, so this bounds its age on
/// a quiet log.
const WAIT: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed reads.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// What a follower delivers.
pub(super) enum Event {
    /// All newest records are about to follow, out of order.
    Reload,
    /// A record; `None` for one that can't be read.
    Record(Offset, Option<Item>),
    /// All newest records were delivered.
    Reloaded,
    /// Everything before this offset was delivered, by a read that was sent at this time and reached
    /// the end.
    Fresh {
        /// Offset after the last record.
        end: Offset,
        /// When the read was sent.
        sent: Duration,
    },
}

/// Follows a stream for good, with a pause between reads that gathers records for one read.
pub(super) async fn follow<L: Log>(
    log: &L,
    stream: Stream,
    clock: &SharedClock,
    pause_between: impl Fn() -> Duration,
    mut deliver: impl FnMut(Event),
) {
    let mut next: Option<Offset> = None;
    let mut pause = PAUSE;
    loop {
        let sent = clock.now();
        let result = match next {
            None => reload(log, stream, &mut deliver)
                .await
                .map(|end| (end, end)),
            Some(from) => tail(log, stream, from, &mut deliver).await,
        };
        match result {
            Ok((offset, end)) => {
                if next.is_none() {
                    tracing::info!(stream = stream.name(), end, "newest records read");
                } else if pause > PAUSE {
                    tracing::info!(stream = stream.name(), end, "log answers again");
                }
                pause = PAUSE;
                if offset >= end {
                    deliver(Event::Fresh { end, sent });
                }
                next = Some(offset);
                Timer::after(pause_between()).await;
            }
            Err(ReadError::Expired { start }) => {
                tracing::warn!(
                    stream = stream.name(),
                    start,
                    "tail expired; reading newest records"
                );
                next = None;
            }
            Err(ReadError::Failed(reason)) => {
                if pause == PAUSE {
                    tracing::warn!(stream = stream.name(), reason, "log does not answer");
                }
                metrics::counter!("godwitstep_log_read_failures_total", "stream" => stream.name())
                    .increment(1);
                Timer::after(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Delivers all newest records. Returns the end of the first page, from where the tail continues:
/// what later pages miss comes after it.
async fn reload<L: Log>(
    log: &L,
    stream: Stream,
    deliver: &mut impl FnMut(Event),
) -> Result<Offset, ReadError> {
    let mut first: Option<Offset> = None;
    let mut after: Option<String> = None;
    let mut items = Vec::new();
    loop {
        let page: Newest = log.newest(stream, after.as_deref()).await?;
        first.get_or_insert(page.end);
        items.extend(page.items);
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    deliver(Event::Reload);
    for (offset, item) in items {
        deliver(Event::Record(offset, Some(item)));
    }
    deliver(Event::Reloaded);
    Ok(first.unwrap_or_default())
}

/// Delivers what follows an offset. Returns the next offset and the end of the stream.
async fn tail<L: Log>(
    log: &L,
    stream: Stream,
    from: Offset,
    deliver: &mut impl FnMut(Event),
) -> Result<(Offset, Offset), ReadError> {
    let page = log.read(stream, from, WAIT).await?;
    let mut offset = from;
    for item in page.items {
        deliver(Event::Record(offset, item));
        offset += 1;
    }
    Ok((offset, page.end))
}
