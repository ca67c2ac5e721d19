//! An entry: serves callers, follows the log, and schedules jobs while it holds the decider role.

mod append;
mod backlog;
mod decide;
mod handover;
mod membership;
mod probe;
mod relay;
mod report;
mod submit;
mod tail;
mod writer;

pub use submit::{CALLER_RETRY_DELAY, Verdict};

use super::SharedClock;
use super::change_notifier::ChangeNotifier;
use super::follow::{Event, Follower, Source};
use super::log::{Item, Log, Stream};
use super::operator::{OperatorRecord, OperatorState};
use super::settings::Settings;
use super::wall_millis;
use crate::http::budget::Partition;
use futures_util::future::join_all;
use godwitstep_batch::access::{self, Grant, Refusal, View};
use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::claim::FailureDetector;
use godwitstep_batch::fragment::Assembler;
use godwitstep_batch::id::{Domain, Epoch, Host, Offset};
use godwitstep_batch::job::{Job, Step};
use godwitstep_batch::ledger::Ledger;
use godwitstep_batch::membership::Membership;
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

/// Maximum random delay of a claim by an entry without a rank, so that such entries don't claim at the same time.
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(500);

/// Pause between two reads of the records by the decider. Each read also returns the decider's own records.
const DECIDER_READ_PAUSE: Duration = Duration::from_millis(5);
/// Pause between two reads of the records by other entries, because each read is billed.
const FOLLOWER_READ_PAUSE: Duration = Duration::from_millis(250);

/// Decodes a record of the operators' stream. An empty value is a deletion. Returns `None` for a record that does
/// not concern the scheduler.
pub type ReadOperatorRecord = fn(&Item) -> Result<Option<OperatorRecord>, String>;

/// State of an entry, built from the log.
struct State {
    ledger: Ledger,
    /// Fragments of records that have not been read completely.
    assembler: Assembler,
    operator: OperatorState,
    /// Keys of the newest records, while these are being reloaded.
    reloaded_keys: Option<BTreeSet<String>>,
    /// Number of reloads of the records.
    reloads: u64,
    /// Domains out of service according to the newest records, while these are being reloaded.
    reloaded_domains_out: Option<BTreeSet<Domain>>,
    /// Reads of the stream of records.
    record_reads: ReadTimes,
    /// Reads of the operators' stream.
    operator_reads: ReadTimes,
    /// Offset after the newest record that was applied.
    records_end: Offset,
    detector: FailureDetector,
    /// Epoch in which this entry named a successor, and the successor's address.
    successor: Option<(Epoch, SocketAddr)>,
    /// State of the decider role, while this entry holds it.
    decider: Option<Decider>,
}

/// Times of the newest reads of a stream, from which the age of the view follows.
#[derive(Debug, Clone, Copy, Default)]
struct ReadTimes {
    /// When the newest read that reached the end of the stream was sent.
    newest: Option<Duration>,
    /// When the newest such read was sent that the log itself answered. Its age shows whether this host reaches the
    /// log.
    direct: Option<Duration>,
}

impl ReadTimes {
    /// Records a read that reached the end of the stream.
    fn record(&mut self, sent: Duration, source: Source) {
        self.newest = self.newest.max(Some(sent));
        if source == Source::Log {
            self.direct = self.direct.max(Some(sent));
        }
    }

    /// Returns the age of the view, including reads through other entries.
    fn age(&self, now: Duration) -> Duration {
        age(self.newest, now)
    }

    /// Returns the age of the newest view that the log itself returned to this entry.
    fn direct_age(&self, now: Duration) -> Duration {
        age(self.direct, now)
    }
}

/// State of the decider role.
struct Decider {
    planner: Planner,
    membership: Membership,
    /// Hosts of entries whose announcements the next round withdraws.
    withdrawals: Vec<Host>,
    /// When the newest successful append was sent for the first time. Each append renews the claim.
    renewed_at: Duration,
    /// Whether the log refused an append since the last successful one.
    last_append_refused: bool,
    /// Sequence number of the next append.
    sequence: u64,
    /// Digest and time of the last directive sent to each host.
    last_directives: HashMap<Arc<str>, (u64, Duration)>,
}

/// An entry process.
pub struct Entry<L> {
    log: L,
    clock: SharedClock,
    settings: Settings,
    bounds: Bounds,
    /// Random number that makes the epochs of this process's claims unique.
    claimant: u64,
    read_operator_record: ReadOperatorRecord,
    state: RefCell<State>,
    writer: Writer,
    /// Callers' records that this entry appends while it is the decider.
    relay_queue: relay::RelayQueue,
    /// Jobs of the records in `relay_queue`, and of those that are being appended.
    queued_jobs: backlog::Queued,
    /// Jobs that this entry has accepted and not read from the log yet.
    unseen: RefCell<backlog::Unseen>,
    /// Memory of this entry for jobs. Unit: bytes.
    job_memory: usize,
    /// Client that relays the records of this entry's callers to the decider.
    relay_client: relay::RelayClient,
    /// Newest known epoch and this entry's own one when the log last fenced a claim.
    fenced_claim: Cell<Option<(Epoch, Epoch)>>,
    /// Counter that selects the other entry through which the log is read.
    peer_index: Cell<usize>,
    /// Signals changes of anything that decisions depend on.
    changes: ChangeNotifier,
    /// Signals changes of the agents' directives.
    directives: ChangeNotifier,
    stopping: Cell<bool>,
}

impl<L: Log> Entry<L> {
    /// Returns an entry with an empty state. `read_operator_record` decodes records of the operators' stream.
    #[must_use]
    pub fn new(
        log: L,
        clock: SharedClock,
        settings: Settings,
        read_operator_record: ReadOperatorRecord,
    ) -> Rc<Self> {
        let mut rng = fastrand::Rng::new();
        let jitter = MAX_CLAIM_JITTER.mul_f64(rng.f64());
        let bounds = settings.bounds.bounds();
        Rc::new(Self {
            log,
            clock,
            bounds,
            claimant: rng.u64(..),
            read_operator_record,
            state: RefCell::new(State {
                ledger: Ledger::default(),
                assembler: Assembler::default(),
                operator: OperatorState::default(),
                reloaded_keys: None,
                reloads: 0,
                reloaded_domains_out: None,
                record_reads: ReadTimes::default(),
                operator_reads: ReadTimes::default(),
                records_end: 0,
                detector: FailureDetector::new(jitter),
                successor: None,
                decider: None,
            }),
            job_memory: Partition::new(settings.limits.resources()).jobs,
            settings,
            writer: Writer::default(),
            relay_queue: relay::RelayQueue::default(),
            queued_jobs: backlog::Queued::default(),
            unseen: RefCell::default(),
            relay_client: relay::RelayClient::default(),
            fenced_claim: Cell::new(None),
            peer_index: Cell::new(0),
            changes: ChangeNotifier::default(),
            directives: ChangeNotifier::default(),
            stopping: Cell::new(false),
        })
    }

    /// Runs the entry's tasks until it is dropped: follows the log, stores callers' records and runs the decider role.
    pub async fn run(self: Rc<Self>)
    where
        L: 'static,
    {
        let tasks = LocalExecutor::new();
        let entry = self.clone();
        let records = async move {
            let handle = |event| entry.handle_record(event);
            entry
                .follow(Stream::Records, || entry.read_pause(), handle)
                .await;
        };
        let entry = self.clone();
        let operator = async move {
            let handle = |event| entry.handle_operator_record(event);
            entry
                .follow(Stream::Operator, || Duration::ZERO, handle)
                .await;
        };
        let entry = self.clone();
        let writing = async move {
            let store = async |items: &[Item]| entry.store_items(items).await;
            entry.writer.run(store).await;
        };
        let entry = self.clone();
        let deciding = async move { entry.decider_loop().await };
        let entry = self.clone();
        let watching = async move { entry.watch_entries().await };
        let announcing = async move { self.keep_announced().await };
        // A panic in a loop ends the process, which is restarted; it does not go on without the loop.
        let loops = [
            tasks.spawn(records),
            tasks.spawn(operator),
            tasks.spawn(writing),
            tasks.spawn(deciding),
            tasks.spawn(watching),
            tasks.spawn(announcing),
        ];
        tasks.run(join_all(loops)).await;
    }

    async fn follow(
        &self,
        stream: Stream,
        pause: impl Fn() -> Duration,
        handle: impl FnMut(Event),
    ) {
        let follower = Follower {
            log: &self.log,
            stream,
            clock: &self.clock,
            peer: async |from| self.read_from_peer(stream, from).await,
        };
        follower.run(pause, handle).await;
    }

    /// Returns the pause between two reads of the records. Decisions need recent records; a job's state may reach
    /// callers a little later.
    fn read_pause(&self) -> Duration {
        if self.is_decider() {
            DECIDER_READ_PAUSE
        } else {
            FOLLOWER_READ_PAUSE
        }
    }

    fn handle_record(&self, event: Event) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match event {
            Event::Record(offset, item) => {
                let Some(item) = item else {
                    tracing::warn!(offset, "skipped a record with an unreadable key");
                    return;
                };
                if let Some(keys) = &mut state.reloaded_keys {
                    keys.insert(item.key.clone());
                }
                let decoded = Record::decode(&item.key, &item.value);
                let assembled = decoded.and_then(|record| match record {
                    Some(record) => state.assembler.add(offset, record),
                    None => Ok(None),
                });
                match assembled {
                    Ok(Some((offset, record))) => {
                        let from_decider = matches!(
                            record,
                            Record::Claimed(_)
                                | Record::Progressed { .. }
                                | Record::Dropped { .. }
                                | Record::Withdrawn { .. }
                                | Record::Expectations(_)
                        );
                        if from_decider {
                            state.detector.reset_timeout(now);
                        }
                        if let Record::Claimed(claim) = &record
                            && claim.epoch > state.ledger.epoch()
                        {
                            tracing::info!(epoch = claim.epoch, host = %claim.host, offset, "decider changed");
                        }
                        if let Record::Expectations(snapshot) = &record
                            && state
                                .ledger
                                .knows_later_expectations(offset, snapshot.epoch)
                        {
                            let (learned_in, epoch) = (snapshot.epoch, state.ledger.epoch());
                            tracing::warn!(
                                offset,
                                learned_in,
                                epoch,
                                "skipped run-time expectations of an older epoch"
                            );
                        }
                        state.ledger.apply(offset, record);
                    }
                    Ok(None) => {}
                    Err(error) => tracing::warn!(offset, %error, "skipped a malformed record"),
                }
                drop(state);
                self.changes.notify();
            }
            Event::CaughtUp { end, sent, source } => {
                state.records_end = state.records_end.max(end);
                state.record_reads.record(sent, source);
                drop(state);
                self.changes.notify();
            }
            Event::ReloadStarted => {
                state.reloaded_keys = Some(BTreeSet::new());
                state.assembler.reset();
            }
            Event::ReloadFinished { end, incomplete } => {
                let listed = state.reloaded_keys.take().unwrap_or_default();
                if !incomplete {
                    state.ledger.finish_reload(&listed, end);
                }
                state.reloads += 1;
            }
        }
    }

    fn handle_operator_record(&self, event: Event) {
        let mut state = self.state.borrow_mut();
        match event {
            Event::ReloadStarted => state.reloaded_domains_out = Some(BTreeSet::new()),
            Event::ReloadFinished { incomplete, .. } => {
                if let Some(mut out) = state.reloaded_domains_out.take() {
                    if incomplete {
                        out.extend(state.operator.domains_out().iter().cloned());
                    }
                    state.operator.replace_domains_out(out);
                }
            }
            Event::Record(offset, item) => {
                let record = item.as_ref().map(self.read_operator_record);
                match record {
                    Some(Ok(Some(record))) => apply_operator_record(&mut state, offset, record),
                    Some(Ok(None)) => {}
                    Some(Err(reason)) => {
                        tracing::warn!(offset, reason, "skipped a malformed operator record");
                    }
                    None => tracing::warn!(offset, "skipped an unreadable operator record"),
                }
                drop(state);
                self.changes.notify();
            }
            Event::CaughtUp { sent, source, .. } => state.operator_reads.record(sent, source),
        }
    }

    /// Returns whether the entry accepts new callers. It does not while its own host cannot reach the log.
    #[must_use]
    pub fn ready(&self) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        let policy = state.operator.policy().cloned();
        let view = View {
            policy: policy.as_deref(),
            policy_age: state.operator_reads.direct_age(now),
            jobs_age: state.record_reads.direct_age(now),
        };
        !self.stopping.get() && view.ready()
    }

    /// Calls `f` with the entry's policy and the ages of its views, including reads through other entries.
    fn with_view<R>(&self, f: impl FnOnce(View) -> R) -> R {
        let now = self.clock.now();
        let state = self.state.borrow();
        let policy = state.operator.policy().cloned();
        f(View {
            policy: policy.as_deref(),
            policy_age: state.operator_reads.age(now),
            jobs_age: state.record_reads.age(now),
        })
    }

    /// Routes a request to its queue, authorizes its key and passes the grant to `f`.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    pub fn authorize<R>(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        f: impl FnOnce(Grant) -> R,
    ) -> Result<R, Refusal> {
        self.with_view(|view| access::authorize(&view, &self.bounds, host, path, key).map(f))
    }

    /// Returns the maximum size of a request's body that operators have set. Unit: bytes.
    #[must_use]
    pub fn body_limit(&self) -> Option<usize> {
        let state = self.state.borrow();
        state.operator.policy().and_then(|policy| policy.body_limit)
    }

    /// Returns the wall-clock time of the entry in Unix milliseconds.
    #[must_use]
    pub fn unix_millis(&self) -> u64 {
        wall_millis(&*self.clock)
    }

    /// Starts the shutdown: the entry accepts no new callers and releases its claim.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.changes.notify();
    }

    /// Returns the addresses of all other announced entries.
    fn other_entries(&self) -> Vec<SocketAddr> {
        let mut addresses = entry_addresses(&self.state.borrow().ledger);
        addresses.retain(|address| *address != self.settings.agents);
        addresses
    }

    /// Returns the typical run time that the decider expects of a step's tasks; `None` if this entry does not decide.
    #[must_use]
    pub fn expected_run_time(&self, job: &Job, step: &Step) -> Option<Duration> {
        let state = self.state.borrow();
        let planner = state.decider.as_ref().map(|decider| &decider.planner);
        planner.map(|planner| planner.expected_run_time(job, step).typical())
    }

    /// Returns whether this entry is the decider.
    #[must_use]
    pub fn is_decider(&self) -> bool {
        self.state.borrow().decider.is_some()
    }
}

fn apply_operator_record(state: &mut State, offset: Offset, record: OperatorRecord) {
    if let Some(out) = &mut state.reloaded_domains_out {
        match &record {
            OperatorRecord::TakeOutOfService(domain) => {
                out.insert(domain.clone());
                return;
            }
            OperatorRecord::ReturnToService(domain) => {
                out.remove(domain);
                return;
            }
            OperatorRecord::SetPolicy(_) => {}
        }
    }
    let what = match &record {
        OperatorRecord::SetPolicy(policy) => format!("version {}", policy.version),
        OperatorRecord::TakeOutOfService(domain) => format!("domain {domain} out of service"),
        OperatorRecord::ReturnToService(domain) => format!("domain {domain} back in service"),
    };
    let changed = state.operator.apply(record);
    tracing::info!(offset, what, changed, "operator record applied");
}

/// Returns the age of a view whose newest read was sent at `read`; [`Duration::MAX`] if there was none.
fn age(read: Option<Duration>, now: Duration) -> Duration {
    read.map_or(Duration::MAX, |read| now.saturating_sub(read))
}

/// Returns the addresses of all announced entries.
fn entry_addresses(ledger: &Ledger) -> Vec<SocketAddr> {
    ledger.entries().map(|entry| entry.address).collect()
}
