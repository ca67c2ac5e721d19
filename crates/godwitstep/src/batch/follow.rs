//! Following a stream of the log: newest records first, then the tail.
//!
//! A tail that the log does not deliver in time is asked for through another process that may reach the log. The own
//! read goes on meanwhile, so that its end shows when the log answers again.

use super::SharedClock;
use super::log::{Item, Log, Newest, Page, ReadError, Stream};
use godwitstep_batch::id::Offset;
use smol::Timer;
use smol::future::FutureExt;
use std::pin::pin;
use std::time::Duration;

/// Longest wait of one read. An entry's view is as old as its newest read, so this bounds its age on
/// a quiet log.
const WAIT: Duration = Duration::from_millis(500);
/// Time after which the tail is asked for through another process, beyond the wait of a read.
const LATE: Duration = Duration::from_millis(150);
/// Pause between two such requests while a read is under way.
const RELAY_PAUSE: Duration = Duration::from_millis(250);
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
        /// Where the read was answered.
        source: Source,
    },
}

/// Where a read was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// By the log.
    Log,
    /// By another process that has read the log.
    Peer,
}

/// A stream and the ways to read it.
pub(super) struct Follower<'a, L, P> {
    pub log: &'a L,
    pub stream: Stream,
    pub clock: &'a SharedClock,
    /// Asks another process for what follows an offset.
    pub peer: P,
}

impl<L: Log, P: AsyncFn(Offset) -> Option<Page>> Follower<'_, L, P> {
    /// Follows the stream for good, with a pause between reads that gathers records for one read.
    pub async fn run(&self, pause_between: impl Fn() -> Duration, mut deliver: impl FnMut(Event)) {
        let mut next: Option<Offset> = None;
        let mut pause = PAUSE;
        let mut source = Source::Log;
        loop {
            let result = match next {
                None => self.reload(&mut deliver).await,
                Some(from) => self.tail(from, &mut deliver).await,
            };
            match result {
                Ok((offset, now_from)) => {
                    if next.is_none() {
                        tracing::info!(
                            stream = self.stream.name(),
                            end = offset,
                            "newest records read"
                        );
                    } else if pause > PAUSE || source != now_from {
                        tracing::info!(stream = self.stream.name(), end = offset, source = ?now_from, "log answers again");
                    }
                    source = now_from;
                    pause = PAUSE;
                    next = Some(offset);
                    Timer::after(pause_between()).await;
                }
                Err(ReadError::Expired { start }) => {
                    tracing::warn!(
                        stream = self.stream.name(),
                        start,
                        "tail expired; reading newest records"
                    );
                    next = None;
                }
                Err(ReadError::Failed(reason)) => {
                    if pause == PAUSE {
                        tracing::warn!(stream = self.stream.name(), reason, "log does not answer");
                    }
                    metrics::counter!("godwitstep_log_read_failures_total", "stream" => self.stream.name())
                        .increment(1);
                    Timer::after(pause).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    /// Delivers all newest records. Returns the end of the first page, from where the tail continues:
    /// what later pages miss comes after it.
    async fn reload(&self, deliver: &mut impl FnMut(Event)) -> Result<(Offset, Source), ReadError> {
        let sent = self.clock.now();
        let mut first: Option<Offset> = None;
        let mut after: Option<String> = None;
        let mut items = Vec::new();
        loop {
            let page: Newest = self.log.newest(self.stream, after.as_deref()).await?;
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
        let end = first.unwrap_or_default();
        let source = Source::Log;
        deliver(Event::Fresh { end, sent, source });
        Ok((end, source))
    }

    /// Delivers what follows an offset. Returns the next offset and where the newest read was answered.
    async fn tail(
        &self,
        from: Offset,
        deliver: &mut impl FnMut(Event),
    ) -> Result<(Offset, Source), ReadError> {
        let sent = self.clock.now();
        let mut next = from;
        let mut own = pin!(self.log.read(self.stream, from, WAIT));
        let mut patience = WAIT + LATE;
        loop {
            let late = async {
                Timer::after(patience).await;
                None
            };
            let answer = async { Some((&mut own).await) }.or(late).await;
            match answer {
                Some(Ok(page)) => {
                    next = pass_on(page, from, next, sent, Source::Log, deliver);
                    return Ok((next, Source::Log));
                }
                Some(Err(ReadError::Failed(reason))) => {
                    let read = self.ask_peer(&mut next, deliver).await;
                    return if read {
                        Ok((next, Source::Peer))
                    } else {
                        Err(ReadError::Failed(reason))
                    };
                }
                Some(Err(error)) => return Err(error),
                None => {
                    self.ask_peer(&mut next, deliver).await;
                    patience = RELAY_PAUSE;
                }
            }
        }
    }

    /// Delivers what follows an offset as another process has read it. Returns whether one has.
    async fn ask_peer(&self, next: &mut Offset, deliver: &mut impl FnMut(Event)) -> bool {
        let sent = self.clock.now();
        let Some(page) = (self.peer)(*next).await else {
            return false;
        };
        metrics::counter!("godwitstep_log_reads_by_peer_total", "stream" => self.stream.name())
            .increment(1);
        *next = pass_on(page, *next, *next, sent, Source::Peer, deliver);
        true
    }
}

/// Delivers a page that begins at an offset, from the next offset on. Returns the offset after it.
fn pass_on(
    page: Page,
    from: Offset,
    next: Offset,
    sent: Duration,
    source: Source,
    deliver: &mut impl FnMut(Event),
) -> Offset {
    let mut offset = from;
    for item in page.items {
        if offset >= next {
            deliver(Event::Record(offset, item));
        }
        offset += 1;
    }
    let end = page.end;
    if offset >= end {
        deliver(Event::Fresh { end, sent, source });
    }
    offset.max(next)
}
