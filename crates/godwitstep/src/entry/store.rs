//! Implements the operator API for an entry.

use super::State;
use super::{gauges, operating_mode};
use crate::http::Signal;
use crate::log;
use crate::resources::{ChangeError, Collection, Proposal, Review, Spec, Store};
use godwitstep_core::authority::OperatingMode;
use godwitstep_core::guarantee;
use godwitstep_core::id::{Name, Offset};
use godwitstep_core::planner::Worker;
use godwitstep_core::reason::Reason;
use godwitstep_core::record::Event;
use godwitstep_core::registry::{Outcome, Registry, Stream};
use godwitstep_core::resource::{Domain, Fault, Workspace};
use serde_json::{Map, Value, json};
use smol::Timer;
use std::time::Duration;

/// Time for which an operator's change may wait in the queue for appending.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait until an appended record is folded. After it, the effect is reported as unknown.
const FOLD_TIMEOUT: Duration = Duration::from_secs(3);
/// Retry-after time sent while the log is unavailable.
const RETRY_AFTER: Duration = Duration::from_secs(2);

impl State {
    /// Appends events as one record, waits until it is folded and returns the effect of each.
    pub(crate) async fn append(
        &self,
        stream: Stream,
        events: Vec<Event>,
        limit: Duration,
    ) -> Result<Vec<Outcome>, ChangeError> {
        let count = events.len();
        let stream_state = self.stream(stream);
        let appended = stream_state.writer.append(events, limit).await;
        let outcome = match appended {
            log::Outcome::Appended { .. } => "appended",
            log::Outcome::NotAppended => "not_appended",
            log::Outcome::Unknown => "unknown",
        };
        metrics::counter!("godwitstep_appends_total", "outcome" => outcome).increment(1);
        match appended {
            log::Outcome::Appended { offset, index } => {
                let folded = async {
                    self.wait_folded(stream, offset).await;
                    stream_state
                        .outcomes(offset, index, count)
                        .ok_or(ChangeError::Unknown)
                };
                let timeout = async {
                    Timer::after(FOLD_TIMEOUT).await;
                    Err(ChangeError::Unknown)
                };
                smol::future::or(folded, timeout).await
            }
            log::Outcome::NotAppended => Err(ChangeError::NotRun {
                reason: Reason::LogUnavailable,
                retry_after: RETRY_AFTER,
            }),
            log::Outcome::Unknown => Err(ChangeError::Unknown),
        }
    }

    /// Waits until the record at an offset is folded.
    async fn wait_folded(&self, stream: Stream, offset: Offset) {
        loop {
            let advance = self.stream(stream).subscribe();
            if self.registry.borrow().position(stream) > offset {
                return;
            }
            // The channel is closed when the position advances.
            let _ = advance.recv().await;
        }
    }

    /// Returns the workers linked to this entry whose failure domain satisfies `usable`.
    fn workers(&self, usable: impl Fn(&str) -> bool) -> Vec<Worker> {
        let links = self.links.borrow();
        let announced = links.agents().filter_map(|agent| agent.announce.as_ref());
        let workers = announced.filter_map(|announce| announce.worker.clone());
        workers.filter(|worker| usable(&worker.domain)).collect()
    }

    fn in_service(&self, domain: &str) -> bool {
        let registry = self.registry.borrow();
        registry
            .domain(domain)
            .is_some_and(|item| item.spec.in_service)
    }

    /// Returns the failure domains in which a job runs. Workers without a link here are omitted.
    fn job_domains(&self, job: &str) -> Vec<String> {
        let links = self.links.borrow();
        let registry = self.registry.borrow();
        let parts = registry.job(job).map_or(&[][..], |job| &job.parts);
        let agents = parts.iter().filter_map(|part| links.agent(&part.worker));
        let mut domains: Vec<_> = agents
            .map(|agent| agent.link.peer().domain.to_string())
            .collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    /// Returns the guarantees that would not fit the capacity in service if one workspace had the
    /// given spec.
    fn unmet_guarantees(&self, name: &Name, spec: &Workspace) -> Vec<guarantee::Shortfall> {
        let workers = self.workers(|domain| self.in_service(domain));
        let registry = self.registry.borrow();
        let others = registry.workspaces().filter(|(id, _)| *id != name);
        let all = others
            .map(|(id, item)| (id, &item.spec))
            .chain([(name, spec)]);
        guarantee::find_shortfalls(&workers, all)
    }

    /// Reviews the guarantees of a workspace. Changed guarantees are refused if they do not fit the
    /// capacity in service. Unchanged ones are accepted: if they do not fit, this change is not
    /// the cause.
    fn review_workspace(&self, name: &Name, spec: &Workspace) -> Review {
        let unmet = self.unmet_guarantees(name, spec);
        let before = {
            let registry = self.registry.borrow();
            registry.workspace(name).map(|item| item.spec.clone())
        };
        let changed = before.is_none_or(|before| before.guarantees != spec.guarantees);
        let refused = changed && !spec.guarantees.is_empty() && !unmet.is_empty();
        let faults = unmet.iter().filter(|_| refused).map(|shortfall| {
            let allowed = format!("guarantees that fit the capacity in service: {shortfall}");
            Fault::new("spec.guarantees", shortfall.needed, allowed)
        });
        Review {
            faults: faults.collect(),
            effect: json!({ "suspended": unmet_guarantees_json(&unmet) }),
        }
    }

    /// Previews the effect of a change to a failure domain, such as taking it out of service.
    fn review_domain(&self, name: &Name, spec: &Domain) -> Review {
        let usable = |domain: &str| domain != &**name && self.in_service(domain);
        let remaining = if spec.in_service {
            self.workers(|domain| domain == &**name || usable(domain))
        } else {
            self.workers(usable)
        };
        let inside = self.workers(|domain| domain == &**name);
        let registry = self.registry.borrow();
        let all = registry.workspaces().map(|(id, item)| (id, &item.spec));
        let unmet = guarantee::find_shortfalls(&remaining, all);
        let moved = registry.jobs().filter(|(_, job)| {
            let mut parts = job.parts.iter();
            parts.any(|part| inside.iter().any(|worker| worker.id == part.worker))
        });
        let moved: Vec<_> = moved.map(|(id, _)| id.to_string()).collect();
        Review {
            faults: Vec::new(),
            effect: json!({
                "workers": inside.len(),
                "workers_left": remaining.len(),
                "jobs_moved": if spec.in_service { Vec::new() } else { moved },
                "guarantees_suspended": unmet_guarantees_json(&unmet),
            }),
        }
    }
}

fn unmet_guarantees_json(unmet: &[guarantee::Shortfall]) -> Vec<Value> {
    let listed = unmet.iter().map(|shortfall| {
        json!({
            "workspace": &*shortfall.workspace,
            "needed": shortfall.needed,
            "available": shortfall.available,
        })
    });
    listed.collect()
}

impl Store for State {
    fn read<T>(&self, reader: impl FnOnce(&Registry) -> T) -> T {
        reader(&self.registry.borrow())
    }

    async fn change(
        &self,
        stream: Stream,
        events: Vec<Event>,
    ) -> Result<Vec<Outcome>, ChangeError> {
        let refuse = |reason| {
            Err(ChangeError::NotRun {
                reason,
                retry_after: RETRY_AFTER,
            })
        };
        if self.stopping.get() {
            return refuse(Reason::Stopping);
        }
        if !self.operating_mode.get().may_record() {
            return refuse(Reason::LogUnavailable);
        }
        self.append(stream, events, APPEND_TIMEOUT).await
    }

    async fn wait_past(&self, stream: Stream, position: Offset) {
        self.wait_folded(stream, position).await;
    }

    fn review(&self, proposal: Proposal<'_>) -> Review {
        match proposal {
            Proposal::Put(document) => match &document.spec {
                Spec::Workspace(spec) => self.review_workspace(&document.name, spec),
                Spec::Domain(spec) => self.review_domain(&document.name, spec),
                Spec::Job(_) => Review::default(),
            },
            Proposal::Remove(..) => Review::default(),
        }
    }

    fn status(&self, collection: Collection, name: &str) -> Map<String, Value> {
        let mut status = Map::new();
        if collection == Collection::Jobs {
            status.insert("domains".to_owned(), self.job_domains(name).into());
        }
        let slot = self.decider.borrow();
        let Some(decider) = slot.as_ref() else {
            return status;
        };
        match collection {
            Collection::Jobs => {
                if let Some(reason) = decider.planner.reason(name) {
                    let mut shown = serde_json::to_value(reason).unwrap_or_default();
                    shown["message"] = reason.to_string().into();
                    status.insert("reason".to_owned(), shown);
                }
            }
            Collection::Domains => {
                let summary = decider.planner.summary();
                let found = summary.domains.iter().find(|domain| &*domain.id == name);
                if let Some(found) = found {
                    status.insert("usable".to_owned(), found.usable.into());
                    status.insert("free".to_owned(), found.free.into());
                    status.insert("borrowed".to_owned(), found.borrowed.into());
                    status.insert("largest_worker".to_owned(), found.largest_worker.into());
                    status.insert("largest_rack".to_owned(), found.largest_rack.into());
                }
            }
            Collection::Workspaces => {
                let summary = decider.planner.summary();
                let found = summary.workspaces.iter().find(|found| &*found.id == name);
                if let Some(found) = found {
                    status.insert("guaranteed".to_owned(), found.guaranteed.into());
                    status.insert("used".to_owned(), found.used.into());
                    status.insert("suspended".to_owned(), found.suspended.into());
                    status.insert("waiting".to_owned(), found.waiting.into());
                }
            }
        }
        status
    }

    fn signal(&self) -> Signal {
        self.signal.clone()
    }

    fn ready(&self) -> Result<(), Reason> {
        if self.stopping.get() {
            return Err(Reason::Stopping);
        }
        if !self.is_ready() {
            return Err(Reason::LogUnavailable);
        }
        if self.operating_mode.get() == OperatingMode::Halted {
            return Err(Reason::Halted);
        }
        Ok(())
    }

    fn metrics(&self) -> String {
        gauges::update(self);
        self.budget.publish();
        self.metrics.render()
    }

    fn overview(&self) -> Value {
        let now = self.now();
        let registry = self.registry.borrow();
        let evidence = operating_mode::oldest_evidence(self, now);
        let slot = self.decider.borrow();
        let agents = self.links.borrow().agents().count();
        json!({
            "name": &*self.identity.name,
            "region": &*self.settings.region,
            "ready": self.is_ready(),
            "standing": self.operating_mode.get(),
            "standing_for_ms": millis(now.saturating_sub(self.operating_mode_since.get())),
            "evidence_age_ms": evidence.map(|evidence| millis(evidence.age)),
            "config_position": registry.position(Stream::Config),
            "jobs_position": registry.position(Stream::Jobs),
            "decider": registry.claim().map(|claim| claim.holder.to_string()),
            "epoch": registry.epoch(),
            "deciding": slot.is_some(),
            "fragmentation_per_mille":
                slot.as_ref().map(|decider| decider.planner.fragmentation().per_mille()),
            "agents": agents,
            "domains_out": registry.out_of_service().map(ToString::to_string).collect::<Vec<_>>(),
        })
    }

    fn report(&self) -> Value {
        let Some(front) = self.front() else {
            return Value::Null;
        };
        let ledger = front.ledger();
        json!({
            "entry": &*self.identity.name,
            "entries": self.settings.peers.len(),
            "lines": ledger.service_levels(self.clock.wall()),
            "ledger": ledger,
        })
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
