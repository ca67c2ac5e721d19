//! An agent: keeps the lease of the worker beside it, carries orders out and reports.

mod decider;

use super::SharedClock;
use super::change_notifier::ChangeNotifier;
use super::log::Log;
use super::settings::Settings;
use super::wall_millis;
use super::worker::{Look, Worker};
use decider::Contact;
use futures_util::stream::{FuturesUnordered, StreamExt};
use godwitstep_batch::agent::{self as core, Answer, Call, Deed, Registration};
use godwitstep_batch::bounds::COAST;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::message::{Reply, Report};
use smol::future::{self, FutureExt};
use smol::{LocalExecutor, Timer};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of a look for an end, while something runs. Bounds the age of the progress that the
/// decider sees.
const WATCH: Duration = Duration::from_millis(500);
/// Longest wait of a look for an end, while nothing runs.
const IDLE_WATCH: Duration = Duration::from_secs(2);
/// Pause between looks while ends wait to be recorded.
const RECORDING: Duration = Duration::from_millis(250);
/// Pause after a look that failed.
const LOOK_RETRY: Duration = Duration::from_millis(200);
/// Longest pause of the loops that wait for something to do.
const TICK: Duration = Duration::from_millis(250);
/// Shortest time between two reports that wait.
const REPORT_GAP: Duration = Duration::from_millis(40);

/// An agent.
pub struct Agent<L, W> {
    log: L,
    clock: SharedClock,
    settings: Settings,
    connect: fn(SocketAddr) -> W,
    worker: RefCell<Option<Rc<W>>>,
    core: RefCell<core::Agent>,
    contact: RefCell<Contact>,
    /// Changes that the decider should hear of at once.
    news: ChangeNotifier,
    /// Changes of what there is to do at the worker.
    work: ChangeNotifier,
}

impl<L: Log, W: Worker> Agent<L, W> {
    /// Returns an agent that knows nothing yet; `connect` makes a client of the worker at an address.
    #[must_use]
    pub fn new(
        log: L,
        clock: SharedClock,
        settings: Settings,
        connect: fn(SocketAddr) -> W,
    ) -> Rc<Self> {
        let incarnation = wall_millis(&*clock);
        let bounds = settings.bounds.bounds();
        let core = core::Agent::new(settings.host.clone(), incarnation, bounds);
        let contact = Contact::new(&settings);
        Rc::new(Self {
            log,
            clock,
            worker: RefCell::default(),
            settings,
            connect,
            core: RefCell::new(core),
            contact: RefCell::new(contact),
            news: ChangeNotifier::default(),
            work: ChangeNotifier::default(),
        })
    }

    /// Returns the name of the host.
    #[must_use]
    pub const fn host(&self) -> &Arc<str> {
        &self.settings.host
    }

    /// Tells whether the worker beside the agent may belong to a pool.
    #[must_use]
    pub fn serves(&self, pool: &str) -> bool {
        self.settings.pool.as_deref().is_none_or(|own| own == pool)
    }

    /// Takes what the worker says of itself.
    pub fn register(&self, registration: Registration, address: SocketAddr) {
        let about = registration.about.clone();
        let (life, draining) = (about.life, about.draining);
        let was_draining = self.core.borrow().draining();
        let new = self.core.borrow_mut().register(registration);
        if new {
            let labels = about.labels.join(",");
            let Demand {
                cpu,
                memory,
                accelerators,
            } = about.room;
            tracing::info!(worker = %life, draining, labels, cpu, memory, accelerators, "worker registered");
            let address = self.settings.worker.unwrap_or(address);
            *self.worker.borrow_mut() = Some(Rc::new((self.connect)(address)));
        } else if draining && !was_draining {
            tracing::info!(worker = %life, "worker is about to leave");
        }
        if new || draining != was_draining {
            self.news.notify();
            self.work.notify();
        }
    }

    /// Takes the worker's farewell.
    pub fn leave(&self, worker: &str) {
        let now = self.clock.now();
        let current = self.core.borrow_mut().leave(now, worker);
        tracing::info!(worker, current, "worker left");
        self.news.notify();
    }

    /// Works until it is dropped.
    pub async fn run(self: Rc<Self>)
    where
        L: 'static,
        W: 'static,
    {
        let tasks = LocalExecutor::new();
        let agent = self.clone();
        tasks
            .spawn(async move { agent.report_for_good().await })
            .detach();
        let agent = self.clone();
        tasks.spawn(async move { agent.tell_news().await }).detach();
        let agent = self.clone();
        tasks
            .spawn(async move { agent.look_for_good().await })
            .detach();
        tasks
            .spawn(async move { self.call_for_good().await })
            .detach();
        tasks.run(std::future::pending::<()>()).await;
    }

    /// Reports again and again; each answer may wait until there is an order.
    async fn report_for_good(&self) {
        loop {
            let began = self.clock.now();
            self.report(true).await;
            let took = self.clock.now().saturating_sub(began);
            Timer::after(REPORT_GAP.saturating_sub(took)).await;
        }
    }

    /// Reports at once when something has changed.
    async fn tell_news(&self) {
        let mut version = self.news.version();
        loop {
            if self.news.changed(version, Duration::from_secs(60)).await {
                version = self.news.version();
                if self.contact.borrow().known() {
                    self.report(false).await;
                }
            }
        }
    }

    async fn report(&self, wait: bool) {
        let Some(address) = self.find_decider().await else {
            Timer::after(TICK).await;
            return;
        };
        let now = self.clock.now();
        let report: Report = self.core.borrow_mut().report(now, wait);
        let reply = decider::exchange(&self.contact, address, &report).await;
        let now = self.clock.now();
        match reply {
            Ok(Reply::Directive(directive)) => {
                self.contact.borrow_mut().heard(address, &directive);
                let followed = self.core.borrow_mut().directive(now, directive);
                if followed {
                    self.work.notify();
                }
            }
            Ok(Reply::Elsewhere { decider }) => {
                self.contact.borrow_mut().elsewhere(now, address, decider);
            }
            Err(error) => {
                let silence = self.core.borrow().silence(now);
                self.contact
                    .borrow_mut()
                    .failed(now, address, &error, silence);
            }
        }
    }

    /// Looks at the worker again and again, which also prolongs its lease.
    async fn look_for_good(&self) {
        loop {
            let version = self.work.version();
            if !self.look().await {
                self.work.changed(version, TICK).await;
            }
        }
    }

    /// Looks once. Returns whether to look again at once.
    async fn look(&self) -> bool {
        let now = self.clock.now();
        let worker = self.worker.borrow().clone();
        let hold = self.core.borrow_mut().hold(now);
        let (Some(worker), Some(hold)) = (worker, hold) else {
            return false;
        };
        let busy = self.core.borrow().busy();
        let wait = match (hold.wait && hold.deadline.is_some(), busy) {
            (false, _) => Duration::ZERO,
            (true, true) => WATCH,
            (true, false) => IDLE_WATCH,
        };
        let sent = self.clock.now();
        let look = worker.hold(&hold, wait).await;
        let now = self.clock.now();
        match look {
            Look::Lists(lists) => {
                let changed = self.core.borrow_mut().look(now, sent, &hold.life, lists);
                if changed {
                    self.news.notify();
                }
                if hold.deadline.is_none() {
                    self.note_coasting(now);
                }
                if self.core.borrow().unrecorded() {
                    let version = self.work.version();
                    self.work.changed(version, RECORDING).await;
                } else if hold.deadline.is_none()
                    && self
                        .core
                        .borrow()
                        .silence(now)
                        .is_some_and(|silence| silence > COAST)
                {
                    Timer::after(TICK).await;
                }
                self.work.notify();
                true
            }
            Look::Fenced => {
                tracing::warn!(epoch = hold.epoch, "worker has seen a higher epoch");
                Timer::after(LOOK_RETRY).await;
                true
            }
            Look::OtherLife => {
                tracing::warn!(worker = %hold.life, "another life of the worker answered");
                self.core.borrow_mut().unanswered(&hold.life);
                Timer::after(LOOK_RETRY).await;
                true
            }
            Look::Unanswered(reason) => {
                tracing::warn!(worker = %hold.life, reason, "worker did not answer");
                metrics::counter!("godwitstep_worker_failures_total").increment(1);
                self.core.borrow_mut().unanswered(&hold.life);
                self.news.notify();
                Timer::after(LOOK_RETRY).await;
                true
            }
        }
    }

    fn note_coasting(&self, now: Duration) {
        let silence = self.core.borrow().silence(now);
        if let Some(silence) = silence.filter(|silence| *silence > COAST) {
            tracing::warn!(
                silence_ms = silence.as_millis(),
                "no decider answers; the lease is left to end"
            );
        }
    }

    /// Carries orders out, all that are due at the same time.
    async fn call_for_good(&self) {
        let mut calls = FuturesUnordered::new();
        loop {
            let version = self.work.version();
            let now = self.clock.now();
            let worker = self.worker.borrow().clone();
            if let Some(worker) = worker {
                for call in self.core.borrow_mut().calls(now) {
                    calls.push(self.call(worker.clone(), call));
                }
            }
            let due = self.core.borrow().next_call();
            let pause = due.map_or(TICK, |due| due.saturating_sub(now).min(TICK));
            let finished = async {
                if calls.next().await.is_none() {
                    future::pending::<()>().await;
                }
            };
            let woken = async {
                self.work
                    .changed(version, pause.max(Duration::from_millis(5)))
                    .await;
            };
            finished.or(woken).await;
        }
    }

    async fn call(&self, worker: Rc<W>, call: Call) {
        let began = self.clock.now();
        let answer = worker.call(&call).await;
        let now = self.clock.now();
        self.explain(&call, answer, now.saturating_sub(began));
        if self.core.borrow_mut().called(now, &call, answer) {
            self.news.notify();
        }
        self.work.notify();
    }

    fn explain(&self, call: &Call, answer: Answer, took: Duration) {
        let (task, run) = call.key;
        let deed = match &call.deed {
            Deed::Start(_) => "start",
            Deed::Stop(_) => "stop",
        };
        metrics::counter!("godwitstep_calls_total", "deed" => deed).increment(1);
        metrics::histogram!("godwitstep_call_seconds").record(took);
        tracing::info!(%task, run, deed, answer = ?answer, worker = %call.life, epoch = call.epoch, took_ms = took.as_millis(), host = %self.settings.host, "worker called");
    }

    /// Prolongs the lease once more before the process ends.
    pub async fn stop(&self) {
        let now = self.clock.now();
        let worker = self.worker.borrow().clone();
        let hold = self.core.borrow_mut().hold(now);
        if let (Some(worker), Some(hold)) = (worker, hold) {
            let look = worker.hold(&hold, Duration::ZERO).await;
            if !matches!(look, Look::Lists(_)) {
                tracing::warn!(worker = %hold.life, answer = ?look, "the last look failed");
            }
        }
    }
}
