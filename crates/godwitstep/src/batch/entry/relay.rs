//! Callers' records go to the log with those of the decider.
//!
//! The log takes the appends of a partition one after the other. With many entries each of which appends what
//! its own callers send, a log that is slow gets more appends than it can take, and the decider's wait behind
//! them. So an entry hands its records to the decider, which appends all that came meanwhile together with its
//! own. Any trouble on that way leaves the entry's own append, which may store a record a second time: the
//! same name is one job, and a cancellation says the same twice.

use super::Entry;
use super::writer::Error;
use crate::batch::log::{Item, Log};
use crate::http::{self, Client};
use bytes::Bytes;
use godwitstep_batch::id::{Epoch, Offset};
use godwitstep_batch::ledger::Status;
use godwitstep_batch::message::{self, Records, Value};
use godwitstep_batch::record::Record;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use smol::future::FutureExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Path that takes records of callers. The body is a list of keys and values.
pub(super) const PATH: &str = "/records";
/// Time after which a decider that has not stored records yet says that it will.
const PATIENCE: Duration = Duration::from_millis(500);
/// Longest time for the decider's answer. One that says nothing by then is gone or frozen.
const TIME: Duration = PATIENCE.saturating_add(Duration::from_millis(200));
/// Time for records that the decider will store to show in the log: two of its appends and a read, while the log
/// is eighty times slower than usual. Callers wait for 3 s.
const SLOW_TIME: Duration = Duration::from_millis(1_700);
/// Time after a failed attempt for which the entry appends by itself.
const PAUSE: Duration = Duration::from_secs(1);
/// Most bytes of callers' records in one append of the decider. The log takes 2 MB in one call.
const MAX_BYTES: usize = 512 * 1024;
/// Most bytes that wait at the decider; more is refused, and the entries append by themselves.
const MAX_WAITING: usize = 4 * 1024 * 1024;
/// Greatest size of a message.
const MAX_BODY: usize = 2 * 1024 * 1024;

/// What became of records that were handed to the decider.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// They are stored.
    Stored,
    /// They wait for the next append of a decider that is there.
    Waits,
    /// They were not taken and won't be stored by this attempt.
    NotTaken,
    /// They may be stored, or may still be.
    Unknown,
}

/// Records of one entry that wait for the decider's next append.
struct Batch {
    items: Vec<Item>,
    outcome: Sender<Outcome>,
}

impl Batch {
    fn size(&self) -> usize {
        let sizes = self
            .items
            .iter()
            .map(|item| item.key.len() + item.value.len());
        sizes.sum()
    }
}

/// Records of callers that the decider is to store.
#[derive(Default)]
pub(super) struct Intake {
    waiting: RefCell<Vec<Batch>>,
}

/// Batches that are being appended. Dropped without [`Taken::tell`], it leaves their fate open.
#[derive(Default)]
pub(super) struct Taken {
    batches: Vec<Batch>,
}

impl Intake {
    /// Takes records. Returns what tells their outcome, or `None` if too many wait.
    fn push(&self, items: Vec<Item>) -> Option<Receiver<Outcome>> {
        let (outcome, receiver) = bounded(1);
        let batch = Batch { items, outcome };
        let mut waiting = self.waiting.borrow_mut();
        let size: usize = waiting.iter().map(Batch::size).sum();
        if size + batch.size() > MAX_WAITING {
            return None;
        }
        waiting.push(batch);
        Some(receiver)
    }

    /// Returns the batches for the next append, oldest first.
    pub fn take(&self) -> Taken {
        let mut waiting = self.waiting.borrow_mut();
        let mut size = 0;
        let fitting = waiting.iter().take_while(|batch| {
            size += batch.size();
            size <= MAX_BYTES
        });
        let count = fitting.count().max(1).min(waiting.len());
        Taken {
            batches: waiting.drain(..count).collect(),
        }
    }

    /// Gives back all that waits.
    pub fn give_back(&self) {
        let batches = self.waiting.take();
        Taken { batches }.tell(Outcome::NotTaken);
    }
}

impl Taken {
    /// Tells whether there is nothing.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Returns the records.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.batches.iter().flat_map(|batch| &batch.items)
    }

    /// Tells the senders what became of their records.
    pub fn tell(&self, outcome: Outcome) {
        for batch in &self.batches {
            // An entry that no longer waits has appended by itself.
            let _ = batch.outcome.try_send(outcome);
        }
    }
}

/// The way to the decider.
#[derive(Default)]
pub(super) struct Way {
    client: RefCell<Option<(Epoch, Rc<Client>)>>,
    /// When an attempt last failed, and under which epoch.
    failed: Cell<Option<(Epoch, Duration)>>,
}

impl Way {
    /// Returns a client of the decider of an epoch.
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

    /// Tells whether to spare an attempt, as one has failed lately.
    fn is_closed(&self, now: Duration, epoch: Epoch) -> bool {
        self.failed
            .get()
            .is_some_and(|(failed, at)| failed == epoch && now < at + PAUSE)
    }
}

impl<L: Log> Entry<L> {
    /// Has records stored: by the decider, or else by an append of this entry's own.
    ///
    /// # Errors
    ///
    /// Tells whether the records may be stored all the same.
    pub(super) async fn store_items(&self, items: &[Item]) -> Result<(), Error> {
        let outcome = self.relay(items).await;
        if outcome == Outcome::Stored
            || (outcome == Outcome::Waits && self.come_to_show(items).await)
        {
            return Ok(());
        }
        let began = self.clock.now();
        let result = self.log.append(items, None).await;
        let result = self.writer.note(began, self.clock.now(), result);
        match (result, outcome) {
            (Err(Error::Refused), Outcome::Unknown | Outcome::Waits) => Err(Error::Unknown),
            (result, _) => result,
        }
    }

    async fn relay(&self, items: &[Item]) -> Outcome {
        let now = self.clock.now();
        let claim = {
            let state = self.state.borrow();
            state
                .ledger
                .claim()
                .filter(|claim| !claim.released)
                .cloned()
        };
        let Some(claim) = claim.filter(|claim| !self.way.is_closed(now, claim.epoch)) else {
            return Outcome::NotTaken;
        };
        let outcome = if claim.host == self.settings.host {
            self.take_in(items.to_vec()).await
        } else {
            let client = self.way.client(claim.epoch, claim.address);
            hand_over(&client, items).await
        };
        if !matches!(outcome, Outcome::Stored | Outcome::Waits) {
            let took = self.clock.now().saturating_sub(now);
            tracing::info!(epoch = claim.epoch, host = %claim.host, records = items.len(), outcome = ?outcome, took_ms = took.as_millis(), "the decider did not store records");
            self.way.failed.set(Some((claim.epoch, self.clock.now())));
        }
        outcome
    }

    /// Stores records with the decisions of this entry, if it decides.
    async fn take_in(&self, items: Vec<Item>) -> Outcome {
        let now = self.clock.now();
        let decides = {
            let state = self.state.borrow();
            let decider = state.decider.as_ref();
            decider.is_some_and(|decider| decider.has_voice(now) && !decider.refused)
        };
        if !decides {
            return Outcome::NotTaken;
        }
        let Some(outcome) = self.intake.push(items) else {
            return Outcome::NotTaken;
        };
        self.changes.notify();
        let waiting = async {
            let told = outcome.recv().await;
            told.unwrap_or(Outcome::Unknown)
        };
        let late = async {
            Timer::after(PATIENCE).await;
            Outcome::Waits
        };
        waiting.or(late).await
    }

    /// Waits until the log shows records that the decider is about to store. Returns whether it does in time.
    async fn come_to_show(&self, items: &[Item]) -> bool {
        let until = self.clock.now() + SLOW_TIME;
        let decode = |item: &Item| Record::decode(&item.key, &item.value).ok().flatten();
        let records: Vec<Option<Record>> = items.iter().map(decode).collect();
        let shown = |record: &Option<Record>| record.as_ref().is_some_and(|own| self.shows(own));
        loop {
            let version = self.changes.version();
            if records.iter().all(shown) {
                return true;
            }
            let left = until.saturating_sub(self.clock.now());
            if left.is_zero() {
                tracing::info!(
                    records = items.len(),
                    "the decider stores records too slowly"
                );
                return false;
            }
            self.changes.changed(version, left).await;
        }
    }

    /// Tells whether the ledger shows a record of a caller.
    fn shows(&self, record: &Record) -> bool {
        match record {
            Record::Submitted(job) => self.status(job.id).is_some(),
            Record::Cancelled { job } => matches!(self.status(*job), Some(Status::Ended(_))),
            Record::Announced(entry) => {
                let state = self.state.borrow();
                state.ledger.entries().any(|known| known == entry)
            }
            Record::Progressed { .. } | Record::Dropped { .. } | Record::Claimed(_) => false,
        }
    }

    /// Serves another entry that hands records over.
    pub(super) async fn take_records(&self, request: Request<Incoming>) -> Response<http::Body> {
        let body = match http::read(request.into_body(), MAX_BODY, TIME).await {
            Ok(body) => body,
            Err(error) => {
                tracing::warn!(%error, "records of another entry could not be read");
                return http::respond(StatusCode::BAD_REQUEST, format!("{error}\n"));
            }
        };
        let items = match message::decode::<Records>(&body) {
            Ok(items) => items,
            Err(error) => {
                tracing::warn!(%error, "records of another entry could not be read");
                return http::respond(StatusCode::BAD_REQUEST, format!("{error}\n"));
            }
        };
        let item = |(key, Value(value))| Item { key, value };
        let status = match self.take_in(items.into_iter().map(item).collect()).await {
            Outcome::Stored => StatusCode::OK,
            Outcome::Waits => StatusCode::ACCEPTED,
            Outcome::NotTaken => StatusCode::SERVICE_UNAVAILABLE,
            Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
        };
        http::respond(status, Bytes::new())
    }

    /// Applies callers' records that were just stored, ahead of the tail.
    pub(super) fn apply_taken(&self, first: Offset, taken: &Taken) {
        if taken.is_empty() {
            return;
        }
        let mut state = self.state.borrow_mut();
        for (offset, item) in (first..).zip(taken.items()) {
            match Record::decode(&item.key, &item.value) {
                Ok(Some(record @ (Record::Submitted(_) | Record::Cancelled { .. }))) => {
                    state.ledger.apply(offset, record);
                }
                // The tail brings the others.
                Ok(_) => {}
                Err(error) => tracing::warn!(offset, %error, "skipped a record"),
            }
        }
        drop(state);
        taken.tell(Outcome::Stored);
        self.changes.notify();
    }
}

/// Hands records to the decider at the other end.
async fn hand_over(client: &Client, items: &[Item]) -> Outcome {
    let records: Records = items
        .iter()
        .map(|item| (item.key.clone(), Value(item.value.clone())))
        .collect();
    let Ok(request) = Request::post(PATH).body(message::encode(&records)) else {
        return Outcome::NotTaken;
    };
    match client.exchange(request, TIME).await {
        Ok(response) => match response.status() {
            StatusCode::OK => Outcome::Stored,
            StatusCode::ACCEPTED => Outcome::Waits,
            StatusCode::GATEWAY_TIMEOUT => Outcome::Unknown,
            _ => Outcome::NotTaken,
        },
        Err(error) if error.sent => Outcome::Unknown,
        Err(_) => Outcome::NotTaken,
    }
}
