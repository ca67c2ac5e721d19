//! Registrations of workers, and the probes that tell which of them is the host's worker.

use super::{Agent, MAX_IDLE_PAUSE};
use crate::batch::log::Log;
use crate::batch::worker::Worker;
use godwitstep_batch::agent::{Contact, Probe, Registered, Registration, Transition};
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::Incarnation;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Minimum pause before a probe that is almost due.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(5);
/// Minimum time between two log lines on registrations of other incarnations, which other writers can send at any rate.
const CANDIDATE_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl<L: Log, W: Worker> Agent<L, W> {
    /// Processes a registration of a worker on this host.
    pub fn register(&self, registration: Registration, address: SocketAddr) {
        let now = self.clock.now();
        let address = self.settings.worker.unwrap_or(address);
        let (info, sequence) = (&registration.info, registration.sequence);
        let (incarnation, draining) = (info.incarnation.clone(), info.draining);
        let was_draining = self.state_machine.borrow().draining();
        let previous = self.current_room();
        let registered = self
            .state_machine
            .borrow_mut()
            .register(now, registration, address);
        match registered {
            Registered::Candidate { new } => {
                if new && self.may_log_candidate(now) {
                    let current = self.current_worker();
                    tracing::info!(worker = %incarnation, sequence, draining, %address, current, "registration waits for an answer of the worker");
                }
                self.work_changes.notify();
            }
            Registered::Current => {
                let begins_to_drain = draining && !was_draining;
                if begins_to_drain {
                    tracing::info!(worker = %incarnation, "worker is draining");
                }
                if self.log_room(previous, sequence) || begins_to_drain {
                    self.report_changes.notify();
                    self.work_changes.notify();
                }
            }
        }
    }

    /// Logs a change of the worker's room by a registration. Returns whether there was one.
    fn log_room(&self, previous: Option<Demand>, sequence: u64) -> bool {
        let state_machine = self.state_machine.borrow();
        let (Some(info), Some(previous)) = (state_machine.worker_info(), previous) else {
            return false;
        };
        if info.capacity == previous {
            return false;
        }
        let Demand {
            cpu,
            memory,
            accelerators,
        } = info.capacity;
        tracing::info!(worker = %info.incarnation, sequence, cpu, memory, accelerators, previous_cpu = previous.cpu, previous_memory = previous.memory, previous_accelerators = previous.accelerators, "worker's room changed");
        true
    }

    fn current_room(&self) -> Option<Demand> {
        let state_machine = self.state_machine.borrow();
        state_machine.worker_info().map(|info| info.capacity)
    }

    /// Processes the deregistration of a worker, which is shutting down.
    pub fn deregister(&self, worker: &str) {
        let now = self.clock.now();
        let current = self.state_machine.borrow_mut().deregister(now, worker);
        tracing::info!(worker, current, "worker deregistered");
        self.report_changes.notify();
        self.work_changes.notify();
    }

    /// Returns whether to log an event that other writers' registrations can cause at any rate.
    fn may_log_candidate(&self, now: Duration) -> bool {
        let last = self.candidate_logged_at.get();
        let allowed = last.is_none_or(|last| now >= last + CANDIDATE_LOG_INTERVAL);
        if allowed {
            self.candidate_logged_at.set(Some(now));
        }
        allowed
    }

    fn current_worker(&self) -> Option<String> {
        let state_machine = self.state_machine.borrow();
        state_machine.incarnation().map(ToString::to_string)
    }

    /// Probes registered incarnations in a loop, one at a time.
    pub(super) async fn probe_loop(&self) {
        loop {
            let version = self.work_changes.version();
            let now = self.clock.now();
            let probe = self.state_machine.borrow_mut().due_probe(now);
            if let Some(probe) = probe {
                self.probe_worker(&probe).await;
                continue;
            }
            let next = self.state_machine.borrow().next_probe();
            let pause = next.map_or(MAX_IDLE_PAUSE, |next| {
                let pause = next.saturating_sub(now);
                pause.clamp(MIN_PROBE_PAUSE, MAX_IDLE_PAUSE)
            });
            self.work_changes.changed(version, pause).await;
        }
    }

    /// Probes an incarnation of the worker on a new connection; an open one would not show that it is gone.
    async fn probe_worker(&self, probe: &Probe) {
        let worker = Rc::new((self.connect)(probe.address));
        let sent = self.clock.now();
        let result = worker.poll(&probe.request, Duration::ZERO).await;
        let now = self.clock.now();
        let transition =
            self.state_machine
                .borrow_mut()
                .probe_answered(now, sent, probe, Contact::from(result));
        self.log_refuted(now);
        self.on_transition(&transition, &worker);
    }

    /// Adopts the worker that has taken over, or forgets one that is gone.
    pub(super) fn on_transition(&self, transition: &Transition, answered: &Rc<W>) {
        match transition {
            Transition::Unchanged => return,
            Transition::Started { previous } => {
                self.log_started(previous.as_ref());
                *self.worker.borrow_mut() = Some(answered.clone());
            }
            Transition::Left(incarnation) => {
                tracing::info!(worker = %incarnation, "worker left");
                *self.worker.borrow_mut() = None;
            }
        }
        self.worker_changes.notify();
        self.report_changes.notify();
        self.work_changes.notify();
    }

    fn log_started(&self, previous: Option<&Incarnation>) {
        let state_machine = self.state_machine.borrow();
        let Some(info) = state_machine.worker_info() else {
            return;
        };
        let labels = info.labels.join(",");
        let Demand {
            cpu,
            memory,
            accelerators,
        } = info.capacity;
        let draining = info.draining;
        let previous = previous.map(ToString::to_string);
        tracing::info!(worker = %info.incarnation, previous, draining, labels, cpu, memory, accelerators, "worker registered");
    }

    /// Logs the incarnations whose registrations were dropped, because the current worker answered.
    pub(super) fn log_refuted(&self, now: Duration) {
        let refuted = self.state_machine.borrow_mut().take_refuted();
        for incarnation in refuted {
            if self.may_log_candidate(now) {
                let current = self.current_worker();
                tracing::warn!(worker = %incarnation, current, "registration dropped: the current worker answers");
            }
        }
    }
}
