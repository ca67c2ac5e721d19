//! Log service in memory, with faults that a test switches on.

use godwitstep::batch::log::{AppendError, Fence, Item, Log, Newest, Page, ReadError, Stream};
use godwitstep_batch::id::{Epoch, Offset};
use godwitstep_batch::record::Record;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after which a read that gets no response fails, in addition to the time for which it may wait for a record.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

#[derive(Default)]
struct Partition {
    items: RefCell<Vec<Item>>,
    /// First offset that has not expired.
    start: Cell<Offset>,
    /// Whether reads get no response.
    unreadable: Cell<bool>,
}

/// Log service with one partition for each stream. Clones share their content.
#[derive(Clone, Default)]
pub struct MemoryLog {
    records: Rc<Partition>,
    operator: Rc<Partition>,
    /// Highest epoch.
    epoch: Rc<Cell<Epoch>>,
}

impl MemoryLog {
    fn partition(&self, stream: Stream) -> &Partition {
        match stream {
            Stream::Records => &self.records,
            Stream::Operator => &self.operator,
        }
    }

    /// Appends an item. Returns its offset.
    pub fn push(&self, stream: Stream, item: Item) -> Offset {
        let mut items = self.partition(stream).items.borrow_mut();
        items.push(item);
        items.len() as Offset - 1
    }

    /// Appends a record of another process. Returns its offset.
    pub fn push_record(&self, record: &Record) -> Offset {
        let item = Item {
            key: record.key(),
            value: record.encode(),
        };
        self.push(Stream::Records, item)
    }

    /// Sets whether reads of a stream get no response.
    pub fn set_unreadable(&self, stream: Stream, unreadable: bool) {
        self.partition(stream).unreadable.set(unreadable);
    }

    /// Expires all records except the newest one of each key.
    pub fn expire_history(&self, stream: Stream) {
        let partition = self.partition(stream);
        partition
            .start
            .set(partition.items.borrow().len() as Offset);
    }

    async fn wait_until_readable(
        &self,
        stream: Stream,
        timeout: Duration,
    ) -> Result<(), ReadError> {
        if self.partition(stream).unreadable.get() {
            Timer::after(timeout).await;
            return Err(ReadError::Failed("no response".to_owned()));
        }
        Ok(())
    }
}

impl Log for MemoryLog {
    async fn append(&self, items: &[Item], fence: Option<Fence>) -> Result<Offset, AppendError> {
        if let Some(fence) = fence {
            if fence.epoch < self.epoch.get() {
                return Err(AppendError::Fenced);
            }
            self.epoch.set(fence.epoch);
        }
        let mut records = self.records.items.borrow_mut();
        records.extend_from_slice(items);
        Ok(records.len() as Offset)
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, ReadError> {
        let partition = self.partition(stream);
        let deadline = Instant::now() + wait;
        loop {
            self.wait_until_readable(stream, wait + READ_TIMEOUT_MARGIN)
                .await?;
            let start = partition.start.get();
            if from < start {
                return Err(ReadError::Expired { start });
            }
            {
                let items = partition.items.borrow();
                let unread = items.get(usize::try_from(from).unwrap_or(usize::MAX)..);
                let unread = unread.unwrap_or_default();
                if !unread.is_empty() || Instant::now() >= deadline {
                    return Ok(Page {
                        items: unread.iter().cloned().map(Some).collect(),
                        end: items.len() as Offset,
                    });
                }
            }
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    async fn newest(&self, stream: Stream, _after: Option<&str>) -> Result<Newest, ReadError> {
        self.wait_until_readable(stream, READ_TIMEOUT_MARGIN)
            .await?;
        let items = self.partition(stream).items.borrow();
        let mut newest: BTreeMap<&str, (Offset, &Item)> = BTreeMap::new();
        for (offset, item) in (0..).zip(items.iter()) {
            newest.insert(&item.key, (offset, item));
        }
        newest.retain(|_, (_, item)| !item.value.is_empty());
        Ok(Newest {
            items: newest
                .into_values()
                .map(|(offset, item)| (offset, item.clone()))
                .collect(),
            end: items.len() as Offset,
            incomplete: false,
            next: None,
        })
    }
}
