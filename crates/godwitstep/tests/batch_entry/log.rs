//! Log service in memory, with faults that a test switches on.

use godwitstep::batch::log::{AppendError, Fence, Item, Log, Newest, Page, ReadError, Stream};
use godwitstep::batch::settings::SizeLimits;
use godwitstep_batch::id::Offset;
use godwitstep_batch::record::Record;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after which a read that gets no response fails, in addition to the time for which it may wait for a record.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// How the service handles appends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AppendMode {
    #[default]
    Up,
    /// Stores appends, but does not answer them.
    LosesResponses,
    /// Neither stores nor answers appends.
    Silent,
    /// Answers repeated appends as the first time, and is silent otherwise.
    RepeatsOnly,
}

#[derive(Default)]
struct Partition {
    items: RefCell<Vec<Item>>,
    /// First offset that has not expired.
    start: Cell<Offset>,
    /// Whether reads get no response.
    unreadable: Cell<bool>,
}

impl Partition {
    /// Returns the records from an offset on.
    fn page(&self, from: Offset) -> Page {
        let items = self.items.borrow();
        let unread = items.get(usize::try_from(from).unwrap_or(usize::MAX)..);
        Page {
            items: unread
                .unwrap_or_default()
                .iter()
                .cloned()
                .map(Some)
                .collect(),
            end: items.len() as Offset,
        }
    }
}

/// Log service with one partition for each stream. Clones share their content.
#[derive(Clone, Default)]
pub struct MemoryLog {
    records: Rc<Partition>,
    operator: Rc<Partition>,
    append_mode: Rc<Cell<AppendMode>>,
    /// Limits beyond which an append is never accepted.
    sizes: Rc<Cell<SizeLimits>>,
    /// Key of a record that is never accepted.
    rejected_key: Rc<RefCell<Option<String>>>,
    /// Last fenced append and the offset after it.
    last_append: Rc<Cell<Option<(Fence, Offset)>>>,
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
        self.push(Stream::Records, record.into())
    }

    /// Sets whether reads of a stream get no response.
    pub fn set_unreadable(&self, stream: Stream, unreadable: bool) {
        self.partition(stream).unreadable.set(unreadable);
    }

    /// Sets how appends are handled.
    pub fn set_append_mode(&self, mode: AppendMode) {
        self.append_mode.set(mode);
    }

    /// Sets the limits beyond which an append is never accepted.
    pub fn set_sizes(&self, sizes: SizeLimits) {
        self.sizes.set(sizes);
    }

    /// Never accepts an append of a record under a key.
    pub fn reject_key(&self, key: String) {
        *self.rejected_key.borrow_mut() = Some(key);
    }

    /// Returns whether the log accepts an append at all.
    fn accepts(&self, items: &[Item]) -> bool {
        let SizeLimits {
            record_bytes,
            append_bytes,
        } = self.sizes.get();
        let rejected = self.rejected_key.borrow();
        let total: usize = items.iter().map(Item::size).sum();
        let valid = |item: &Item| {
            item.record_size() <= record_bytes && rejected.as_ref() != Some(&item.key)
        };
        total <= append_bytes && items.iter().all(valid)
    }

    /// Returns the keys that have a record.
    pub fn keys(&self) -> Vec<String> {
        let items = self.records.items.borrow();
        let mut newest: BTreeMap<&str, bool> = BTreeMap::new();
        for item in items.iter() {
            newest.insert(&item.key, !item.value.is_empty());
        }
        newest.retain(|_, exists| *exists);
        newest.into_keys().map(str::to_owned).collect()
    }

    /// Returns the offset after the last record.
    pub fn end(&self, stream: Stream) -> Offset {
        self.partition(stream).items.borrow().len() as Offset
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
        let unanswered = || AppendError::Unanswered("no response".to_owned());
        if !self.accepts(items) {
            return Err(AppendError::Invalid("beyond a limit".to_owned()));
        }
        let mode = self.append_mode.get();
        let first_response = self
            .last_append
            .get()
            .filter(|(last, _)| fence == Some(*last));
        let fenced =
            |(last, _): (Fence, Offset)| fence.is_some_and(|fence| fence.epoch < last.epoch);
        let end = match (mode, first_response) {
            (AppendMode::Silent, _) | (AppendMode::RepeatsOnly, None) => return Err(unanswered()),
            (_, Some((_, end))) => end,
            _ if self.last_append.get().is_some_and(fenced) => return Err(AppendError::Fenced),
            _ => {
                let mut records = self.records.items.borrow_mut();
                records.extend_from_slice(items);
                let end = records.len() as Offset;
                if let Some(fence) = fence {
                    self.last_append.set(Some((fence, end)));
                }
                end
            }
        };
        match mode {
            AppendMode::LosesResponses => Err(unanswered()),
            _ => Ok(end),
        }
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
            let page = partition.page(from);
            if !page.items.is_empty() || Instant::now() >= deadline {
                return Ok(page);
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
