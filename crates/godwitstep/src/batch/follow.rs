//! Following a stream of the log: first the newest record of each key, then the tail.
//!
//! If the log does not return the tail in time, the follower reads it through another process that may reach the
//! log. Its own read stays open meanwhile, so that it resumes reading directly once the log answers again.

use super::SharedClock;
use super::log::{Item, Log, Newest, Page, ReadError, Stream};
use godwitstep_batch::id::Offset;
use smol::Timer;
use smol::future::FutureExt;
use std::pin::pin;
use std::time::Duration;

/// Maximum time for which a read waits for new records. An entry's view is as old as its newest read, so this
/// bounds the view's age while nothing is written to the log.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Time beyond [`READ_WAIT`] after which the tail is read through another process.
const PEER_READ_DELAY: Duration = Duration::from_millis(150);
/// Time between two reads through another process while this process's own read is open.
const PEER_READ_INTERVAL: Duration = Duration::from_millis(250);
/// Delay after the first failed read. It doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of the delay after failed reads.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Event that a follower delivers.
pub(super) enum Event {
    /// The newest records of all keys follow, not in the order of their offsets.
    ReloadStarted,
    /// A record at an offset; `None` for one that cannot be decoded.
    Record(Offset, Option<Item>),
    /// The newest records of all keys have been delivered. Keys without a record were deleted, unless their record is
    /// at this offset or after it.
    ReloadFinished {
        /// Offset after the last record when the reload began.
        end: Offset,
        /// Whether some records could not be read. Then keys without a record may exist.
        incomplete: bool,
    },
    /// A read has reached the end of the stream, and all records before the end have been delivered.
    CaughtUp {
        /// Offset after the last record.
        end: Offset,
        /// When the read was sent.
        sent: Duration,
        /// What answered the read.
        source: Source,
    },
}

/// What answered a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// The log.
    Log,
    /// Another process that read the log on behalf of this one.
    Peer,
}

/// Reader of one stream, with its fallback.
pub(super) struct Follower<'a, L, P> {
    pub log: &'a L,
    pub stream: Stream,
    pub clock: &'a SharedClock,
    /// Reads the records from an offset on through another process.
    pub peer: P,
}

impl<L: Log, P: AsyncFn(Offset) -> Option<Page>> Follower<'_, L, P> {
    /// Follows the stream; never returns. `pause_between` returns the pause between two reads, during which records
    /// accumulate for the next one.
    pub async fn run(&self, pause_between: impl Fn() -> Duration, mut deliver: impl FnMut(Event)) {
        let mut next: Option<Offset> = None;
        let mut retry_delay = MIN_RETRY_DELAY;
        let mut source = Source::Log;
        loop {
            let result = match next {
                None => self.reload(&mut deliver).await,
                Some(from) => self.tail(from, &mut deliver).await,
            };
            match result {
                Ok((offset, answered_by)) => {
                    if next.is_none() {
                        tracing::info!(
                            stream = self.stream.name(),
                            end = offset,
                            "newest records read"
                        );
                    } else if retry_delay > MIN_RETRY_DELAY || source != answered_by {
                        tracing::info!(stream = self.stream.name(), end = offset, source = ?answered_by, "log answers again");
                    }
                    source = answered_by;
                    retry_delay = MIN_RETRY_DELAY;
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
                    if retry_delay == MIN_RETRY_DELAY {
                        tracing::warn!(stream = self.stream.name(), reason, "log does not answer");
                    }
                    metrics::counter!("godwitstep_log_read_failures_total", "stream" => self.stream.name())
                        .increment(1);
                    Timer::after(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    /// Delivers the newest records of all keys. Returns the end offset of the first page as the start of the tail,
    /// because records that later pages miss have offsets after it.
    async fn reload(&self, deliver: &mut impl FnMut(Event)) -> Result<(Offset, Source), ReadError> {
        let sent = self.clock.now();
        let mut first_end: Option<Offset> = None;
        let mut after: Option<String> = None;
        let mut items = Vec::new();
        let mut incomplete = false;
        loop {
            let page: Newest = self.log.newest(self.stream, after.as_deref()).await?;
            first_end.get_or_insert(page.end);
            incomplete |= page.incomplete;
            items.extend(page.items);
            after = page.next;
            if after.is_none() {
                break;
            }
        }
        deliver(Event::ReloadStarted);
        for (offset, item) in items {
            deliver(Event::Record(offset, Some(item)));
        }
        let end = first_end.unwrap_or_default();
        deliver(Event::ReloadFinished { end, incomplete });
        let source = Source::Log;
        deliver(Event::CaughtUp { end, sent, source });
        Ok((end, source))
    }

    /// Delivers the records from an offset on. Returns the next offset and the source of the newest read.
    async fn tail(
        &self,
        from: Offset,
        deliver: &mut impl FnMut(Event),
    ) -> Result<(Offset, Source), ReadError> {
        let sent = self.clock.now();
        let mut next = from;
        let mut log_read = pin!(self.log.read(self.stream, from, READ_WAIT));
        let mut delay = READ_WAIT + PEER_READ_DELAY;
        loop {
            let timeout = async {
                Timer::after(delay).await;
                None
            };
            let answer = async { Some((&mut log_read).await) }.or(timeout).await;
            match answer {
                Some(Ok(page)) => {
                    next = deliver_page(page, from, next, sent, Source::Log, deliver);
                    return Ok((next, Source::Log));
                }
                Some(Err(ReadError::Failed(reason))) => {
                    let succeeded = self.read_from_peer(&mut next, deliver).await;
                    return if succeeded {
                        Ok((next, Source::Peer))
                    } else {
                        Err(ReadError::Failed(reason))
                    };
                }
                Some(Err(error)) => return Err(error),
                None => {
                    self.read_from_peer(&mut next, deliver).await;
                    delay = PEER_READ_INTERVAL;
                }
            }
        }
    }

    /// Reads the records from an offset on through another process and delivers them. Returns false if that failed.
    async fn read_from_peer(&self, next: &mut Offset, deliver: &mut impl FnMut(Event)) -> bool {
        let sent = self.clock.now();
        let Some(page) = (self.peer)(*next).await else {
            return false;
        };
        metrics::counter!("godwitstep_log_reads_by_peer_total", "stream" => self.stream.name())
            .increment(1);
        *next = deliver_page(page, *next, *next, sent, Source::Peer, deliver);
        true
    }
}

/// Delivers the records of a page that starts at offset `from`, skipping those before `next`. Returns the next
/// offset.
fn deliver_page(
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
        deliver(Event::CaughtUp { end, sent, source });
    }
    offset.max(next)
}
