//! Relays callers' records to the decider, which appends them with its own.
//!
//! The log handles the appends of a partition one at a time. If every entry appended its callers' records
//! itself, a slow log would receive more appends than it can handle, and those of the decider would queue
//! behind them. An entry therefore sends its records to the decider, which appends all records received
//! meanwhile together with its own. If relaying fails, the entry appends its records itself. That may store
//! a record twice, which is harmless: a job is identified by its name, and a cancellation is idempotent.

use super::Entry;
use super::backlog::Reservation;
use super::writer::Error;
use crate::batch::log::{Item, Log};
use crate::http::{self, Client};
use bytes::Bytes;
use godwitstep_batch::id::{Epoch, Offset};
use godwitstep_batch::message::{self, Records, Value};
use godwitstep_batch::record::Record;
use hyper::{Request, Response, StatusCode};
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use smol::future::FutureExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Path that accepts relayed records of callers. The body is a list of keys and values.
pub(super) const RELAY_PATH: &str = "/records";
/// Time after which the decider answers that records are queued but not yet stored.
const STORE_WAIT: Duration = Duration::from_millis(500);
/// Timeout of a relay request. A decider that has not answered by then has failed or is suspended.
const REQUEST_TIMEOUT: Duration = STORE_WAIT.saturating_add(Duration::from_millis(200));
/// Timeout for queued records to appear in the log: two appends of the decider and a read, while the log is
/// eighty times slower than usual. Callers wait for 3 s.
const VISIBILITY_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Time after a failed relay for which the entry appends its records itself.
const BACKOFF: Duration = Duration::from_secs(1);
/// Maximum size of the relayed records in one append of the decider. The log accepts 2 MB per call.
const MAX_BATCH_BYTES: usize = 512 * 1024;
/// Maximum size of the records in the decider's queue. Records beyond that are rejected, and the entries append them
/// themselves.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of a relay request's body. Unit: bytes.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;
/// Maximum length of a record's key in the log. Unit: bytes.
const MAX_KEY_BYTES: usize = 255;

/// Outcome of relaying records to the decider.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The records are stored.
    Stored,
    /// The records are queued for the next append of a decider that responds.
    Waits,
    /// The records were rejected; this attempt does not store them.
    NotTaken,
    /// The decider refuses one of the records, because the memory for jobs is short. None of them is stored.
    Full,
    /// The records may have been stored, or may be stored later.
    Unknown,
}

/// Records of one relay request, queued for the decider's next append.
struct RelayRequest {
    items: Vec<Item>,
    outcome: Sender<Outcome>,
    /// Memory of the jobs among the records, until the ledger has them.
    _reservation: Reservation,
}

impl RelayRequest {
    fn size(&self) -> usize {
        let sizes = self
            .items
            .iter()
            .map(|item| item.key.len() + item.value.len());
        sizes.sum()
    }
}

/// Queue of callers' records that the decider appends with its own.
#[derive(Default)]
pub(super) struct RelayQueue {
    queue: RefCell<Vec<RelayRequest>>,
}

/// Relay requests whose records are being appended. Dropping it without [`RelayBatch::report`] reports
/// [`Outcome::Unknown`] to the senders.
#[derive(Default)]
pub(super) struct RelayBatch {
    requests: Vec<RelayRequest>,
}

impl RelayQueue {
    /// Queues records. Returns a receiver for their outcome, or `None` if the queue is full.
    fn enqueue(&self, items: Vec<Item>, reservation: Reservation) -> Option<Receiver<Outcome>> {
        let (outcome, receiver) = bounded(1);
        let request = RelayRequest {
            items,
            outcome,
            _reservation: reservation,
        };
        let mut queue = self.queue.borrow_mut();
        let size: usize = queue.iter().map(RelayRequest::size).sum();
        if size + request.size() > MAX_QUEUED_BYTES {
            return None;
        }
        queue.push(request);
        Some(receiver)
    }

    /// Removes and returns the requests for the next append, oldest first: at least one if any is queued.
    pub fn next_batch(&self) -> RelayBatch {
        let mut queue = self.queue.borrow_mut();
        let mut size = 0;
        let within_limit = queue.iter().take_while(|request| {
            size += request.size();
            size <= MAX_BATCH_BYTES
        });
        let count = within_limit.count().max(1).min(queue.len());
        RelayBatch {
            requests: queue.drain(..count).collect(),
        }
    }

    /// Rejects all queued records.
    pub fn reject_all(&self) {
        let requests = self.queue.take();
        RelayBatch { requests }.report(Outcome::NotTaken);
    }
}

impl RelayBatch {
    /// Returns whether the batch holds no requests.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the records of all requests in the order of arrival.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.requests.iter().flat_map(|request| &request.items)
    }

    /// Reports the outcome to the senders.
    pub fn report(&self, outcome: Outcome) {
        for request in &self.requests {
            // A sender that no longer waits has appended its records itself.
            let _ = request.outcome.try_send(outcome);
        }
    }
}

/// Client for relaying records to the decider.
#[derive(Default)]
pub(super) struct RelayClient {
    client: RefCell<Option<(Epoch, Rc<Client>)>>,
    /// Epoch and time of the last failed relay.
    failed: Cell<Option<(Epoch, Duration)>>,
}

impl RelayClient {
    /// Returns the client for the decider of an epoch, creating it on first use.
    fn client(&self, epoch: Epoch, address: SocketAddr) -> Rc<Client> {
        let mut client = self.client.borrow_mut();
        match &*client {
            Some((known, client)) if *known == epoch => client.clone(),
            _ => {
                let new = Rc::new(Client::new(address));
                *client = Some((epoch, new.clone()));
                new
            }
        }
    }

    /// Returns whether relaying is suspended because it failed within the last [`BACKOFF`].
    fn in_backoff(&self, now: Duration, epoch: Epoch) -> bool {
        self.failed
            .get()
            .is_some_and(|(failed, at)| failed == epoch && now < at + BACKOFF)
    }
}

impl<L: Log> Entry<L> {
    /// Stores records through the decider, or by an append of this entry if relaying fails.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] if the records are not stored, and [`Error::Unknown`] if they may be.
    pub(super) async fn store_items(&self, items: &[Item]) -> Result<(), Error> {
        let outcome = self.relay_to_decider(items).await;
        if outcome == Outcome::Stored
            || (outcome == Outcome::Waits && self.wait_until_visible(items).await)
        {
            return Ok(());
        }
        if outcome == Outcome::Full {
            return Err(Error::Full);
        }
        let started_at = self.clock.now();
        let result = self.log.append(items, None).await;
        let result = self
            .writer
            .record_append(started_at, self.clock.now(), result);
        match (result, outcome) {
            (Err(Error::Refused), Outcome::Unknown | Outcome::Waits) => Err(Error::Unknown),
            (result, _) => result,
        }
    }

    /// Relays records to the decider, which may be this entry itself.
    async fn relay_to_decider(&self, items: &[Item]) -> Outcome {
        let now = self.clock.now();
        let claim = {
            let state = self.state.borrow();
            state
                .ledger
                .claim()
                .filter(|claim| !claim.released)
                .cloned()
        };
        let Some(claim) = claim.filter(|claim| !self.relay_client.in_backoff(now, claim.epoch))
        else {
            return Outcome::NotTaken;
        };
        let outcome = if claim.host == self.settings.host {
            self.accept_records(items.to_vec()).await
        } else {
            let client = self.relay_client.client(claim.epoch, claim.address);
            send_records(&client, items).await
        };
        if !matches!(outcome, Outcome::Stored | Outcome::Waits | Outcome::Full) {
            let elapsed = self.clock.now().saturating_sub(now);
            tracing::info!(epoch = claim.epoch, host = %claim.host, records = items.len(), outcome = ?outcome, took_ms = elapsed.as_millis(), "relaying records to the decider failed");
            self.relay_client
                .failed
                .set(Some((claim.epoch, self.clock.now())));
        }
        outcome
    }

    /// Queues records for this entry's next append and waits for the outcome. Rejects them unless this entry holds
    /// the decider's lease and the log has not refused its last append.
    async fn accept_records(&self, items: Vec<Item>) -> Outcome {
        let now = self.clock.now();
        let accepts = {
            let state = self.state.borrow();
            let decider = state.decider.as_ref();
            decider.is_some_and(|decider| decider.holds_lease(now) && !decider.last_append_refused)
        };
        if !accepts {
            return Outcome::NotTaken;
        }
        let Some(reservation) = self.reserve_records(&items) else {
            return Outcome::Full;
        };
        let Some(outcome) = self.relay_queue.enqueue(items, reservation) else {
            return Outcome::NotTaken;
        };
        self.changes.notify();
        let stored = async {
            let reported = outcome.recv().await;
            reported.unwrap_or(Outcome::Unknown)
        };
        let timeout = async {
            Timer::after(STORE_WAIT).await;
            Outcome::Waits
        };
        stored.or(timeout).await
    }

    /// Waits until records that the decider has queued appear in the log. Returns false on timeout.
    async fn wait_until_visible(&self, items: &[Item]) -> bool {
        let deadline = self.clock.now() + VISIBILITY_TIMEOUT;
        let decode = |item: &Item| Record::decode(&item.key, &item.value).ok().flatten();
        let records: Vec<Option<Record>> = items.iter().map(decode).collect();
        let visible = |record: &Option<Record>| {
            record
                .as_ref()
                .is_some_and(|record| self.is_visible(record))
        };
        loop {
            let version = self.changes.version();
            if records.iter().all(visible) {
                return true;
            }
            let remaining = deadline.saturating_sub(self.clock.now());
            if remaining.is_zero() {
                tracing::info!(
                    records = items.len(),
                    "relayed records did not appear in the log in time"
                );
                return false;
            }
            self.changes.changed(version, remaining).await;
        }
    }

    /// Returns whether the ledger already reflects a caller's record.
    fn is_visible(&self, record: &Record) -> bool {
        match record {
            Record::Submitted(job) => self.status(job.id).is_some(),
            Record::Cancelled { job } => self.state.borrow().ledger.is_cancelled(*job),
            Record::Announced(entry) => {
                let state = self.state.borrow();
                state.ledger.entries().any(|known| known == entry)
            }
            Record::Progressed { .. }
            | Record::Dropped { .. }
            | Record::Withdrawn { .. }
            | Record::Claimed(_)
            | Record::Expectations(_)
            | Record::Fragment(_) => false,
        }
    }

    /// Handles a relay request of another entry.
    pub(super) async fn handle_records(
        &self,
        request: Request<http::RequestBody>,
    ) -> Response<http::Body> {
        let body = match http::read(request.into_body(), MAX_BODY_BYTES, REQUEST_TIMEOUT).await {
            Ok(body) => body,
            Err(error) => {
                tracing::warn!(%error, "records of another entry could not be read");
                return http::refuse(&error);
            }
        };
        let items = match message::decode::<Records>(&body) {
            Ok(items) => items,
            Err(error) => {
                tracing::warn!(%error, "records of another entry could not be read");
                return http::respond(StatusCode::BAD_REQUEST, format!("{error}\n"));
            }
        };
        if !items
            .iter()
            .all(|(key, Value(value))| is_relayed(key, value))
        {
            tracing::warn!("records of another entry are not those of callers");
            return http::respond(StatusCode::BAD_REQUEST, Bytes::new());
        }
        let item = |(key, Value(value))| Item { key, value };
        let status = match self
            .accept_records(items.into_iter().map(item).collect())
            .await
        {
            Outcome::Stored => StatusCode::OK,
            Outcome::Waits => StatusCode::ACCEPTED,
            Outcome::NotTaken => StatusCode::SERVICE_UNAVAILABLE,
            Outcome::Full => StatusCode::INSUFFICIENT_STORAGE,
            Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
        };
        http::respond(status, Bytes::new())
    }

    /// Applies relayed records right after the append, before they are read back, and reports them stored.
    pub(super) fn apply_relayed(&self, first: Offset, batch: &RelayBatch) {
        if batch.is_empty() {
            return;
        }
        let mut state = self.state.borrow_mut();
        for (offset, item) in (first..).zip(batch.items()) {
            match Record::decode(&item.key, &item.value) {
                Ok(Some(record @ (Record::Submitted(_) | Record::Cancelled { .. }))) => {
                    state.ledger.apply(offset, record);
                }
                // Other records are applied when they are read back.
                Ok(_) => {}
                Err(error) => tracing::warn!(offset, %error, "skipped a malformed record"),
            }
        }
        drop(state);
        batch.report(Outcome::Stored);
        self.changes.notify();
    }
}

/// Returns whether entries relay this record. The decider writes the others itself, under its epoch.
fn is_relayed(key: &str, value: &[u8]) -> bool {
    key.len() <= MAX_KEY_BYTES
        && matches!(
            Record::decode(key, value),
            Ok(Some(
                Record::Submitted(_) | Record::Cancelled { .. } | Record::Announced(_)
            ))
        )
}

/// Sends records to the decider.
async fn send_records(client: &Client, items: &[Item]) -> Outcome {
    let records: Records = items
        .iter()
        .map(|item| (item.key.clone(), Value(item.value.clone())))
        .collect();
    let Ok(request) = Request::post(RELAY_PATH).body(message::encode(&records)) else {
        return Outcome::NotTaken;
    };
    match client.exchange(request, REQUEST_TIMEOUT).await {
        Ok(response) => match response.status() {
            StatusCode::OK => Outcome::Stored,
            StatusCode::ACCEPTED => Outcome::Waits,
            StatusCode::GATEWAY_TIMEOUT => Outcome::Unknown,
            StatusCode::INSUFFICIENT_STORAGE => Outcome::Full,
            _ => Outcome::NotTaken,
        },
        Err(error) if error.sent => Outcome::Unknown,
        Err(_) => Outcome::NotTaken,
    }
}
