//! Announcements of entries in the log: this entry's own, and the withdrawal of those that are gone.

use super::{Decider, Entry, State, probe};
use crate::batch::log::{Item, Log};
use futures_util::StreamExt;
use futures_util::stream;
use godwitstep_batch::id::{Epoch, Host};
use godwitstep_batch::membership::PROBE_INTERVAL;
use godwitstep_batch::record::{Announcement, Record};
use smol::Timer;
use std::net::SocketAddr;
use std::time::Duration;

/// Delay before an announcement that was not written is written again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after which an announcement that was written but not read is written again. The log may store an append seconds
/// after it was sent.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time between two checks whether this entry is announced.
const CHECK_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of entries that are probed at a time, each over a connection of its own.
const MAX_CONCURRENT_PROBES: usize = 16;

impl<L: Log> Entry<L> {
    /// Announces this entry in the log, so that the other processes find it, and again whenever its announcement was
    /// withdrawn: it was silent for a while, but it is not gone. Never returns.
    pub(super) async fn keep_announced(&self) {
        let record = Item::from(&Record::Announced(Announcement {
            host: self.settings.host.clone(),
            address: self.settings.agents,
            job_memory: u64::try_from(self.job_memory).ok(),
        }));
        loop {
            while let Err(error) = self.writer.write(&record).await {
                tracing::info!(%error, "announcing this entry failed; retrying");
                Timer::after(RETRY_DELAY).await;
            }
            self.wait_until_announced(true, READ_TIMEOUT).await;
            while !self.wait_until_announced(false, CHECK_INTERVAL).await {}
            tracing::info!("this entry is not announced any more; announcing it again");
        }
    }

    /// Waits until the ledger does or does not hold an announcement of this host. Returns false on timeout.
    async fn wait_until_announced(&self, expected: bool, timeout: Duration) -> bool {
        let deadline = self.clock.now() + timeout;
        loop {
            let version = self.changes.version();
            let announced = self.state.borrow().ledger.is_announced(&self.settings.host);
            if announced == expected {
                return true;
            }
            let remaining = deadline.saturating_sub(self.clock.now());
            if remaining.is_zero() {
                return false;
            }
            self.changes.changed(version, remaining).await;
        }
    }

    /// Probes all other entries at intervals while this entry is the decider, and withdraws the announcements of those
    /// that are gone. Never returns.
    pub(super) async fn watch_entries(&self) {
        loop {
            Timer::after(PROBE_INTERVAL).await;
            let Some((epoch, entries)) = self.entries_to_probe() else {
                continue;
            };
            let probes = stream::iter(entries).map(async |(host, address)| {
                let answered = probe::is_answered(address).await;
                self.record_probe(epoch, &host, answered);
            });
            let probes = probes.buffer_unordered(MAX_CONCURRENT_PROBES);
            probes.for_each(async |()| ()).await;
            self.plan_withdrawals(epoch);
        }
    }

    /// Returns the epoch of this decider, and the entries that it has to probe; `None` if it does not decide.
    fn entries_to_probe(&self) -> Option<(Epoch, Vec<(Host, SocketAddr)>)> {
        let now = self.clock.now();
        let state = &mut *self.state.borrow_mut();
        let decider = state.decider.as_mut()?;
        decider.membership.update(now, state.ledger.announcements());
        publish(state.ledger.announcements().count());
        let entries = decider.membership.to_probe();
        let entries = entries.map(|(host, address)| (host.clone(), address));
        Some((decider.planner.epoch(), entries.collect()))
    }

    fn record_probe(&self, epoch: Epoch, host: &Host, answered: bool) {
        if !answered {
            metrics::counter!("godwitstep_entry_probes_failed_total").increment(1);
        }
        let now = self.clock.now();
        if let Some(decider) = self.state.borrow_mut().decider_of(epoch) {
            decider.membership.record_probe(now, host, answered);
        }
    }

    /// Plans the withdrawal of the entries that are gone, for the next round.
    fn plan_withdrawals(&self, epoch: Epoch) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(decider) = state.decider_of(epoch) else {
            return;
        };
        decider.withdrawals = decider.membership.gone(now);
        if !decider.withdrawals.is_empty() {
            drop(state);
            self.changes.notify();
        }
    }

    /// Takes the planned withdrawals as records.
    pub(super) fn take_withdrawals(&self) -> Vec<Record> {
        let mut state = self.state.borrow_mut();
        let Some(decider) = &mut state.decider else {
            return Vec::new();
        };
        let epoch = decider.planner.epoch();
        let gone = std::mem::take(&mut decider.withdrawals).into_iter();
        gone.map(|host| {
            metrics::counter!("godwitstep_entries_withdrawn_total").increment(1);
            tracing::info!(%host, epoch, "withdrawing the announcement of an entry that is gone");
            Record::Withdrawn { host }
        })
        .collect()
    }
}

impl State {
    /// Returns the state of the decider role if this entry holds it under an epoch.
    fn decider_of(&mut self, epoch: Epoch) -> Option<&mut Decider> {
        let decider = self.decider.as_mut();
        decider.filter(|decider| decider.planner.epoch() == epoch)
    }
}

#[allow(clippy::cast_precision_loss)] // A metric needs no exact value.
fn publish(entries: usize) {
    metrics::gauge!("godwitstep_entries").set(entries as f64);
}
