//! An agent: renews the lease of the worker on its host, executes the decider's orders and reports to the decider.

mod decider;
mod replacement;

use super::SharedClock;
use super::change_notifier::ChangeNotifier;
use super::log::Log;
use super::settings::Settings;
use super::wall_millis;
use super::worker::{PollResult, Worker};
use decider::DeciderConnection;
use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use godwitstep_batch::agent::{self as state_machine, Answer, Call, Contact, Operation};
use godwitstep_batch::bounds::AGENT_LEASE;
use godwitstep_batch::message::{Reachability, Reply, Report};
use smol::future::{self, FutureExt};
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time for which a poll of the worker waits for a run to end, while something runs. Bounds the age of
/// the progress that the decider receives.
const BUSY_POLL_WAIT: Duration = Duration::from_millis(500);
/// Maximum time for which a poll of the worker waits for a run to end, while nothing runs.
const IDLE_POLL_WAIT: Duration = Duration::from_secs(2);
/// Pause between polls while ends of runs wait for the decider to record them.
const UNRECORDED_POLL_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum pause of a loop that waits for work.
const MAX_IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Minimum time between the starts of two long-polling reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(40);

/// An agent process.
pub struct Agent<L, W> {
    log: L,
    clock: SharedClock,
    settings: Settings,
    /// Random number that tells this process from others with the same start time.
    nonce: u64,
    connect: fn(SocketAddr) -> W,
    worker: RefCell<Option<Rc<W>>>,
    state_machine: RefCell<state_machine::Agent>,
    decider: RefCell<DeciderConnection>,
    /// Signals changes that are to be reported to the decider at once.
    report_changes: ChangeNotifier,
    /// Signals changes of the pending calls, polls and probes of the worker.
    work_changes: ChangeNotifier,
    /// Signals that another worker has taken over.
    worker_changes: ChangeNotifier,
    /// When an event of a candidate was last logged.
    candidate_logged_at: Cell<Option<Duration>>,
    /// Whether the last report said that the worker's lease has expired.
    lease_expired: Cell<bool>,
}

impl<L: Log, W: Worker> Agent<L, W> {
    /// Returns an agent without a registered worker. `connect` creates a client for the worker at an address.
    #[must_use]
    pub fn new(
        log: L,
        clock: SharedClock,
        settings: Settings,
        connect: fn(SocketAddr) -> W,
    ) -> Rc<Self> {
        let incarnation = wall_millis(&*clock);
        let bounds = settings.bounds.bounds();
        let state_machine =
            state_machine::Agent::new(clock.now(), settings.host.clone(), incarnation, bounds);
        let decider = DeciderConnection::new(&settings);
        Rc::new(Self {
            log,
            clock,
            worker: RefCell::default(),
            settings,
            nonce: fastrand::u64(1..),
            connect,
            state_machine: RefCell::new(state_machine),
            decider: RefCell::new(decider),
            report_changes: ChangeNotifier::default(),
            work_changes: ChangeNotifier::default(),
            worker_changes: ChangeNotifier::default(),
            candidate_logged_at: Cell::default(),
            lease_expired: Cell::default(),
        })
    }

    /// Returns the name of the host.
    #[must_use]
    pub const fn host(&self) -> &Arc<str> {
        &self.settings.host
    }

    /// Returns the failure domain of the host.
    #[must_use]
    pub const fn domain(&self) -> &Arc<str> {
        &self.settings.domain
    }

    /// Returns whether the agent accepts workers of a pool.
    #[must_use]
    pub fn accepts_pool(&self, pool: &str) -> bool {
        self.settings.pool.as_deref().is_none_or(|own| own == pool)
    }

    /// Runs the agent's tasks until it is dropped.
    pub async fn run(self: Rc<Self>)
    where
        L: 'static,
        W: 'static,
    {
        let tasks = LocalExecutor::new();
        let agent = self.clone();
        let reports = async move { agent.report_loop().await };
        let agent = self.clone();
        let changes = async move { agent.report_changes_at_once().await };
        let agent = self.clone();
        let polls = async move { agent.poll_loop().await };
        let agent = self.clone();
        let probes = async move { agent.probe_loop().await };
        let calls = async move { self.call_loop().await };
        // A panic in a loop ends the process, which is restarted; it does not go on without the loop.
        let loops = [
            tasks.spawn(reports),
            tasks.spawn(changes),
            tasks.spawn(polls),
            tasks.spawn(probes),
            tasks.spawn(calls),
        ];
        tasks.run(join_all(loops)).await;
    }

    /// Sends long-polling reports in a loop. The decider may hold each reply back until it has a new directive.
    async fn report_loop(&self) {
        loop {
            let started_at = self.clock.now();
            self.report(true).await;
            let elapsed = self.clock.now().saturating_sub(started_at);
            Timer::after(MIN_REPORT_INTERVAL.saturating_sub(elapsed)).await;
        }
    }

    /// Sends a report at once whenever something has changed.
    async fn report_changes_at_once(&self) {
        let mut version = self.report_changes.version();
        loop {
            if self
                .report_changes
                .changed(version, Duration::from_secs(60))
                .await
            {
                version = self.report_changes.version();
                if self.decider.borrow().is_known() {
                    self.report(false).await;
                }
            }
        }
    }

    async fn report(&self, wait: bool) {
        let Some(address) = self.find_decider().await else {
            Timer::after(MAX_IDLE_PAUSE).await;
            return;
        };
        let now = self.clock.now();
        let report = Report {
            nonce: self.nonce,
            ..self.state_machine.borrow_mut().report(now, wait)
        };
        self.log_lease(&report);
        let reply = decider::exchange(&self.decider, address, &report).await;
        let now = self.clock.now();
        match reply {
            Ok(Reply::Directive(directive)) => {
                self.decider.borrow_mut().on_directive(address, &directive);
                let epoch = self.state_machine.borrow().epoch();
                let newer = directive.epoch > epoch;
                let applied = self
                    .state_machine
                    .borrow_mut()
                    .apply_directive(now, directive);
                if applied {
                    self.work_changes.notify();
                } else if newer {
                    // A decider that has taken over uses only reports that carry its epoch.
                    self.report_changes.notify();
                }
            }
            Ok(Reply::NotDecider { decider }) => {
                self.decider.borrow_mut().on_referral(now, address, decider);
            }
            Err(error) => {
                let silence = self.state_machine.borrow().time_since_answer(now);
                self.decider
                    .borrow_mut()
                    .on_failure(now, address, &error, silence);
            }
        }
    }

    /// Logs when reports begin or cease to say that the worker's lease has expired. The decider ends all its runs on such
    /// a report.
    fn log_lease(&self, report: &Report) {
        let expired = report
            .worker
            .as_ref()
            .filter(|worker| worker.reachability == Reachability::LeaseExpired);
        if expired.is_some() == self.lease_expired.replace(expired.is_some()) {
            return;
        }
        let (report, pending) = (
            report.sequence,
            self.state_machine.borrow().pending_orders(),
        );
        if let Some(worker) = expired {
            let worker = &worker.info.incarnation;
            tracing::info!(%worker, report, pending, "reporting that the worker's lease has expired");
        } else {
            tracing::info!(report, pending, "worker is in reach again");
        }
    }

    /// Polls the worker in a loop, which also renews its lease.
    async fn poll_loop(&self) {
        loop {
            let version = self.work_changes.version();
            if !self.poll_worker().await {
                self.work_changes.changed(version, MAX_IDLE_PAUSE).await;
            }
        }
    }

    /// Polls the worker once. Returns whether to poll again at once.
    async fn poll_worker(&self) -> bool {
        let now = self.clock.now();
        let worker = self.worker.borrow().clone();
        let request = self.state_machine.borrow_mut().lease_request(now);
        let (Some(worker), Some(request)) = (worker, request) else {
            return false;
        };
        let busy = self.state_machine.borrow().busy();
        let wait = match (request.wait && request.deadline.is_some(), busy) {
            (false, _) => Duration::ZERO,
            (true, true) => BUSY_POLL_WAIT,
            (true, false) => IDLE_POLL_WAIT,
        };
        let sent = self.clock.now();
        let version = self.worker_changes.version();
        let replaced = async {
            self.worker_changes.changed(version, Duration::MAX).await;
            None
        };
        let poll = async { Some(worker.poll(&request, wait).await) };
        let Some(result) = poll.or(replaced).await else {
            return true;
        };
        let now = self.clock.now();
        match result {
            PollResult::Lists(lists) => {
                let changed = self.state_machine.borrow_mut().poll_answered(
                    now,
                    sent,
                    &request.incarnation,
                    lists,
                );
                if changed {
                    self.report_changes.notify();
                }
                self.log_refuted(now);
                if request.deadline.is_none() {
                    self.warn_of_lease_expiry(now);
                }
                if self.state_machine.borrow().has_unrecorded_ends() {
                    let version = self.work_changes.version();
                    self.work_changes
                        .changed(version, UNRECORDED_POLL_PAUSE)
                        .await;
                } else if request.deadline.is_none()
                    && self
                        .state_machine
                        .borrow()
                        .time_since_answer(now)
                        .is_some_and(|silence| silence > AGENT_LEASE)
                {
                    Timer::after(MAX_IDLE_PAUSE).await;
                }
                self.work_changes.notify();
                true
            }
            PollResult::Fenced => {
                tracing::warn!(token = request.token, "worker has seen a higher token");
                Timer::after(POLL_RETRY_DELAY).await;
                true
            }
            failure => {
                tracing::warn!(worker = %request.incarnation, reason = ?failure, "worker did not answer");
                metrics::counter!("godwitstep_worker_failures_total").increment(1);
                let transition = self.state_machine.borrow_mut().poll_failed(
                    now,
                    &request.incarnation,
                    &Contact::from(failure),
                );
                self.on_transition(&transition, &worker);
                self.report_changes.notify();
                self.work_changes.notify();
                Timer::after(POLL_RETRY_DELAY).await;
                true
            }
        }
    }

    /// Logs a warning if the worker's lease is not renewed because no decider answers.
    fn warn_of_lease_expiry(&self, now: Duration) {
        let silence = self.state_machine.borrow().time_since_answer(now);
        if let Some(silence) = silence.filter(|silence| *silence > AGENT_LEASE) {
            tracing::warn!(
                silence_ms = silence.as_millis(),
                "no decider answers; letting the worker's lease expire"
            );
        }
    }

    /// Executes orders in a loop. All calls that are due run concurrently.
    async fn call_loop(&self) {
        let mut calls = FuturesUnordered::new();
        loop {
            let version = self.work_changes.version();
            let now = self.clock.now();
            let worker = self.worker.borrow().clone();
            if let Some(worker) = worker {
                for call in self.state_machine.borrow_mut().due_calls(now) {
                    calls.push(self.call_worker(worker.clone(), call));
                }
            }
            let retry_at = self.state_machine.borrow().next_retry();
            let pause = retry_at.map_or(MAX_IDLE_PAUSE, |retry_at| {
                retry_at.saturating_sub(now).min(MAX_IDLE_PAUSE)
            });
            let finished = async {
                if calls.next().await.is_none() {
                    future::pending::<()>().await;
                }
            };
            let woken = async {
                self.work_changes
                    .changed(version, pause.max(Duration::from_millis(5)))
                    .await;
            };
            finished.or(woken).await;
        }
    }

    async fn call_worker(&self, worker: Rc<W>, call: Call) {
        let started_at = self.clock.now();
        let answer = worker.call(&call).await;
        let now = self.clock.now();
        self.log_call(&call, answer, now.saturating_sub(started_at));
        if self
            .state_machine
            .borrow_mut()
            .call_answered(now, &call, answer)
        {
            self.report_changes.notify();
        }
        self.work_changes.notify();
    }

    fn log_call(&self, call: &Call, answer: Answer, elapsed: Duration) {
        let (task, run) = call.key;
        let operation = match &call.operation {
            Operation::Start(_) => "start",
            Operation::Stop(_) => "stop",
        };
        metrics::counter!("godwitstep_calls_total", "deed" => operation).increment(1);
        metrics::histogram!("godwitstep_call_seconds").record(elapsed);
        tracing::info!(%task, run, deed = operation, answer = ?answer, worker = %call.incarnation, token = call.token, took_ms = elapsed.as_millis(), order = call.order, attempt = call.attempt, clock = call.clock, deadline = call.deadline, host = %self.settings.host, "worker called");
    }

    /// Renews the worker's lease a last time before the process ends, so that runs stay active while the agent
    /// restarts.
    pub async fn stop(&self) {
        let now = self.clock.now();
        let worker = self.worker.borrow().clone();
        let request = self.state_machine.borrow_mut().lease_request(now);
        if let (Some(worker), Some(request)) = (worker, request) {
            let result = worker.poll(&request, Duration::ZERO).await;
            if !matches!(result, PollResult::Lists(_)) {
                tracing::warn!(worker = %request.incarnation, answer = ?result, "final renewal of the worker's lease failed");
            }
        }
    }
}
