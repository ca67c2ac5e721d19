//! An entry: serves callers, follows the log, and decides while it holds the claim.

mod decide;
mod handover;
mod probe;
mod relay;
mod report;
mod submit;
mod tail;
mod writer;

pub use submit::{COME_BACK, Verdict};

use super::SharedClock;
use super::follow::{Event, Follower, Source};
use super::log::{Item, Log, Stream};
use super::notice::Notice;
use super::operator::{Operator, Order};
use super::settings::Settings;
use super::wall_millis;
use godwitstep_batch::access::{self, Grant, Refusal, View};
use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::claim::Watch;
use godwitstep_batch::id::{Domain, Epoch, Offset};
use godwitstep_batch::ledger::Ledger;
use godwitstep_batch::planner::Planner;
use godwitstep_batch::record::Record;
use smol::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use writer::Writer;

/// Longest delay of this entry's claims beyond the shortest silence of a decider.
const CLAIM_SPREAD: Duration = Duration::from_millis(500);

/// Pause between two reads of the records by the decider. Its own records come back in each.
const DECIDER_PAUSE: Duration = Duration::from_millis(5);
/// Pause between two reads of the records by other entries. Each read is paid for.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(250);

/// Reads a record of the operators' stream: from its key and value, an empty one for a deletion.
/// `None` stands for a record that means nothing here.
pub type ReadOrder = fn(&Item) -> Result<Option<Order>, String>;

/// What an entry knows.
struct State {
    ledger: Ledger,
    operator: Operator,
    /// Domains out of service in the newest records that are being read again.
    reloaded_out: Option<BTreeSet<Domain>>,
    records: Reading,
    operators: Reading,
    /// Offset after the newest record that was applied.
    records_end: Offset,
    watch: Watch,
    /// Who was named to take this entry's place as the decider of an epoch.
    successor: Option<(Epoch, SocketAddr)>,
    /// The decisions, while this entry decides.
    decider: Option<Decider>,
}

/// How new the view of a stream is.
#[derive(Debug, Clone, Copy, Default)]
struct Reading {
    /// Sending time of the newest read that reached the end.
    newest: Option<Duration>,
    /// Sending time of the newest one that the log itself answered: whether this host reaches the log.
    own: Option<Duration>,
}

impl Reading {
    fn note(&mut self, sent: Duration, source: Source) {
        self.newest = self.newest.max(Some(sent));
        if source == Source::Log {
            self.own = self.own.max(Some(sent));
        }
    }

    /// Returns the age of the view.
    fn age(&self, now: Duration) -> Duration {
        age(self.newest, now)
    }

    /// Returns the age of the newest answer of the log itself.
    fn own_age(&self, now: Duration) -> Duration {
        age(self.own, now)
    }
}

/// What the entry keeps while it decides.
struct Decider {
    planner: Planner,
    /// Sending time of the newest append that was stored.
    stored: Duration,
    /// Whether the log refused the newest append.
    refused: bool,
    /// Number of the next append.
    sequence: u64,
    /// What each host was last told, and when.
    told: HashMap<Arc<str>, (u64, Duration)>,
}

/// An entry.
pub struct Entry<L> {
    log: L,
    clock: SharedClock,
    settings: Settings,
    bounds: Bounds,
    /// Number that tells this process's claims apart.
    claimant: u64,
    read_order: ReadOrder,
    state: RefCell<State>,
    writer: Writer,
    /// Records of callers that this entry is to store while it decides.
    intake: relay::Intake,
    /// Way to the decider for the records of this entry's callers.
    way: relay::Way,
    /// Place of the entry through which the log is read, among the others.
    peer_turn: Cell<usize>,
    /// Changes of anything that decisions depend on.
    changes: Notice,
    /// Changes of what agents are told.
    directives: Notice,
    stopping: Cell<bool>,
}

impl<L: Log> Entry<L> {
    /// Returns an entry that knows nothing yet.
    #[must_use]
    pub fn new(log: L, clock: SharedClock, settings: Settings, read_order: ReadOrder) -> Rc<Self> {
        let mut rng = fastrand::Rng::new();
        let delay = CLAIM_SPREAD.mul_f64(rng.f64());
        let bounds = settings.bounds.bounds();
        Rc::new(Self {
            log,
            clock,
            bounds,
            claimant: rng.u64(..),
            read_order,
            state: RefCell::new(State {
                ledger: Ledger::default(),
                operator: Operator::default(),
                reloaded_out: None,
                records: Reading::default(),
                operators: Reading::default(),
                records_end: 0,
                watch: Watch::new(delay),
                successor: None,
                decider: None,
            }),
            settings,
            writer: Writer::default(),
            intake: relay::Intake::default(),
            way: relay::Way::default(),
            peer_turn: Cell::new(0),
            changes: Notice::default(),
            directives: Notice::default(),
            stopping: Cell::new(false),
        })
    }

    /// Works until it is dropped: follows the log, writes, decides.
    pub async fn run(self: Rc<Self>)
    where
        L: 'static,
    {
        let tasks = LocalExecutor::new();
        let entry = self.clone();
        let records = async move {
            let take = |event| entry.take_record(event);
            entry.follow(Stream::Records, || entry.pause(), take).await;
        };
        let entry = self.clone();
        let operator = async move {
            let take = |event| entry.take_order(event);
            entry
                .follow(Stream::Operator, || Duration::ZERO, take)
                .await;
        };
        let entry = self.clone();
        let writing = async move {
            let store = async |items: &[Item]| entry.store_items(items).await;
            entry.writer.run(store).await;
        };
        let entry = self.clone();
        let deciding = async move { entry.decide().await };
        let announcing = async move { self.announce().await };
        tasks.spawn(records).detach();
        tasks.spawn(operator).detach();
        tasks.spawn(writing).detach();
        tasks.spawn(deciding).detach();
        tasks.spawn(announcing).detach();
        tasks.run(std::future::pending::<()>()).await;
    }

    async fn follow(&self, stream: Stream, pause: impl Fn() -> Duration, take: impl FnMut(Event)) {
        let follower = Follower {
            log: &self.log,
            stream,
            clock: &self.clock,
            peer: async |from| self.read_through_peer(stream, from).await,
        };
        follower.run(pause, take).await;
    }

    /// Returns the pause between two reads of the records: decisions rest on new ones, while callers
    /// may be told of a job's state a little later.
    fn pause(&self) -> Duration {
        if self.decides() {
            DECIDER_PAUSE
        } else {
            FOLLOWER_PAUSE
        }
    }

    fn take_record(&self, event: Event) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match event {
            Event::Record(offset, item) => {
                let Some(item) = item else {
                    tracing::warn!(offset, "skipped a record that has no readable key");
                    return;
                };
                match Record::decode(&item.key, &item.value) {
                    Ok(Some(record)) => {
                        let from_decider = matches!(
                            record,
                            Record::Claimed(_) | Record::Progressed { .. } | Record::Dropped { .. }
                        );
                        if from_decider {
                            state.watch.heard(now);
                        }
                        if let Record::Claimed(claim) = &record
                            && claim.epoch > state.ledger.epoch()
                        {
                            tracing::info!(epoch = claim.epoch, host = %claim.host, offset, "decider changed");
                        }
                        state.ledger.apply(offset, record);
                    }
                    Ok(None) => {}
                    Err(error) => tracing::warn!(offset, %error, "skipped a record"),
                }
                drop(state);
                self.changes.notify();
            }
            Event::Fresh { end, sent, source } => {
                state.records_end = state.records_end.max(end);
                state.records.note(sent, source);
                drop(state);
                self.changes.notify();
            }
            Event::Reload | Event::Reloaded => {}
        }
    }

    fn take_order(&self, event: Event) {
        let mut state = self.state.borrow_mut();
        match event {
            Event::Reload => state.reloaded_out = Some(BTreeSet::new()),
            Event::Reloaded => {
                if let Some(out) = state.reloaded_out.take() {
                    state.operator.replace_out(out);
                }
            }
            Event::Record(offset, item) => {
                let order = item.as_ref().map(self.read_order);
                match order {
                    Some(Ok(Some(order))) => apply_order(&mut state, offset, order),
                    Some(Ok(None)) => {}
                    Some(Err(reason)) => {
                        tracing::warn!(offset, reason, "skipped an operator's record");
                    }
                    None => tracing::warn!(offset, "skipped an operator's unreadable record"),
                }
                drop(state);
                self.changes.notify();
            }
            Event::Fresh { sent, source, .. } => state.operators.note(sent, source),
        }
    }

    /// Tells the other processes that this entry serves.
    async fn announce(&self) {
        let entry = godwitstep_batch::record::Announcement {
            host: self.settings.host.clone(),
            address: self.settings.agents,
        };
        let record = Record::Announced(entry);
        while self.writer.write(&record).await.is_err() {
            smol::Timer::after(Duration::from_millis(500)).await;
        }
    }

    /// Returns whether the entry takes new callers: not while its host does not reach the log itself.
    #[must_use]
    pub fn ready(&self) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        let policy = state.operator.policy().cloned();
        let view = View {
            policy: policy.as_deref(),
            policy_age: state.operators.own_age(now),
            jobs_age: state.records.own_age(now),
        };
        !self.stopping.get() && view.ready()
    }

    fn with_view<R>(&self, act: impl FnOnce(View) -> R) -> R {
        let now = self.clock.now();
        let state = self.state.borrow();
        let policy = state.operator.policy().cloned();
        act(View {
            policy: policy.as_deref(),
            policy_age: state.operators.age(now),
            jobs_age: state.records.age(now),
        })
    }

    /// Checks the queue and the key of a request, and hands the grant on.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    pub fn check<R>(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        act: impl FnOnce(Grant) -> R,
    ) -> Result<R, Refusal> {
        self.with_view(|view| access::check(&view, &self.bounds, host, path, key).map(act))
    }

    /// Returns the greatest size of a request's body that operators allow.
    #[must_use]
    pub fn body_limit(&self) -> Option<usize> {
        let state = self.state.borrow();
        state.operator.policy().and_then(|policy| policy.body_limit)
    }

    /// Returns the Unix milliseconds of the entry's clock.
    #[must_use]
    pub fn wall(&self) -> u64 {
        wall_millis(&*self.clock)
    }

    /// Begins to stop: takes no new callers and hands the claim on.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.changes.notify();
    }

    /// Returns the addresses of all other announced entries.
    fn others(&self) -> Vec<SocketAddr> {
        let mut addresses = entries(&self.state.borrow().ledger);
        addresses.retain(|address| *address != self.settings.agents);
        addresses
    }

    /// Tells whether this entry decides.
    #[must_use]
    pub fn decides(&self) -> bool {
        self.state.borrow().decider.is_some()
    }
}

fn apply_order(state: &mut State, offset: Offset, order: Order) {
    if let Some(out) = &mut state.reloaded_out {
        match &order {
            Order::TakeOut(domain) => {
                out.insert(domain.clone());
                return;
            }
            Order::BringBack(domain) => {
                out.remove(domain);
                return;
            }
            Order::Declare(_) => {}
        }
    }
    let what = match &order {
        Order::Declare(policy) => format!("version {}", policy.version),
        Order::TakeOut(domain) => format!("domain {domain} out of service"),
        Order::BringBack(domain) => format!("domain {domain} back in service"),
    };
    let changed = state.operator.apply(order);
    tracing::info!(offset, what, changed, "operator's record applied");
}

/// Returns the age of a view whose newest read was sent at a time.
fn age(read: Option<Duration>, now: Duration) -> Duration {
    read.map_or(Duration::MAX, |read| now.saturating_sub(read))
}

/// Addresses of all announced entries.
fn entries(ledger: &Ledger) -> Vec<SocketAddr> {
    ledger.entries().map(|entry| entry.address).collect()
}
