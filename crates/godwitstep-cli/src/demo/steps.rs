//! The steps of the demonstration.

use super::callers::{CallerOutcome, Callers};
use super::deployment::Deployment;
use super::operator::{Operator, wait_for};
use super::progress::{Progress, format_millis};
use super::system::{Host, System};
use crate::failure::Failure;
use crate::{output, report};
use godwitstep_standin::worker;
use serde_json::{Value, json};
use smol::Timer;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time limit of each wait within a step.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which the failure domain is out of service: more than the 2 s after which nothing
/// starts in it.
const OUT_OF_SERVICE_TIME: Duration = Duration::from_secs(5);
/// Number of borrowing jobs: one for each worker.
const BORROWER_COUNT: usize = 10;
/// Run time of the jobs that run to their end. Unit: seconds.
const SHORT_RUN_S: u64 = 1;

/// What the operator observed, as input of the checks.
#[derive(Debug, Default)]
pub struct OperatorObservations {
    /// Accepted jobs by name.
    pub jobs: BTreeMap<String, AcceptedJob>,
    /// Failure domain that was out of service, with the start and end of that time. Unit:
    /// microseconds since 1970.
    pub domain_out: Option<(String, u64, u64)>,
}

/// An accepted job.
#[derive(Debug, Default)]
pub struct AcceptedJob {
    /// Number of its tasks.
    pub tasks: u64,
    pub idempotent: bool,
    /// Latest phase reported by an entry.
    pub phase: String,
}

/// Performs the steps of the demonstration on one deployment.
pub struct Steps<'a> {
    progress: &'a Progress,
    deployment: &'a Deployment,
    system: &'a System,
    callers: &'a Callers,
    operator: Operator,
    observations: OperatorObservations,
}

impl<'a> Steps<'a> {
    pub fn new(
        progress: &'a Progress,
        deployment: &'a Deployment,
        system: &'a System,
        callers: &'a Callers,
    ) -> Self {
        Self {
            progress,
            deployment,
            system,
            callers,
            operator: Operator::new(&system.operators),
            observations: OperatorObservations::default(),
        }
    }

    pub fn into_observations(self) -> OperatorObservations {
        self.observations
    }

    /// Performs the steps in order, up to the first failure.
    pub async fn run(&mut self) -> Result<(), Failure> {
        self.declare_resources().await?;
        self.callers.start_sending();
        self.run_gang().await?;
        self.run_short_jobs().await?;
        self.reclaim_guarantee().await?;
        self.print_latencies();
        self.take_domain_out().await?;
        self.compare_report().await
    }

    /// Waits until every entry is ready and linked to all agents, and declares the domains and
    /// workspaces.
    async fn declare_resources(&self) -> Result<(), Failure> {
        let agents = self.system.hosts.len();
        for server in &self.system.operators {
            let entry = Operator::new(&[*server]);
            let ready = async || {
                let status = entry.client.get("/v1/status").await?;
                let complete = status["agents"] == agents && status["ready"] == true;
                Ok((complete && status["decider"].is_string()).then_some(status))
            };
            let (status, _) =
                wait_for("an entry ready with all agents", WAIT_TIMEOUT, ready).await?;
            self.progress.print_line(&format!(
                "{} is ready with {} agents; the decider is {}",
                text(&status["name"]),
                status["agents"],
                text(&status["decider"]),
            ));
        }
        let domains = self
            .operator
            .apply(self.deployment.domains, |_| true)
            .await?;
        let workspaces = self.operator.apply(self.deployment.workspaces, |_| true);
        let workspaces = workspaces.await?;
        self.progress.print_line(&format!(
            "declared: domains {}; workspaces {}",
            domains.join(", "),
            workspaces.join(", ")
        ));
        Ok(())
    }

    /// Submits the jobs of the deployment whose names `filter` accepts.
    async fn submit(&mut self, filter: impl Fn(&str) -> bool) -> Result<(), Failure> {
        let names = self.operator.apply(self.deployment.jobs, filter).await?;
        for name in names {
            let object = self
                .operator
                .client
                .get(&format!("/v1/jobs/{name}"))
                .await?;
            self.record_accepted(&name, &object["spec"]);
        }
        Ok(())
    }

    async fn submit_spec(&mut self, name: &str, spec: &Value) -> Result<(), Failure> {
        self.operator.put(&format!("/v1/jobs/{name}"), spec).await?;
        self.record_accepted(name, spec);
        Ok(())
    }

    fn record_accepted(&mut self, name: &str, spec: &Value) {
        let job = AcceptedJob {
            tasks: spec["shape"]["tasks"].as_u64().unwrap_or(1),
            idempotent: spec["idempotent"] == true,
            phase: "queued".to_owned(),
        };
        self.observations.jobs.insert(name.to_owned(), job);
    }

    /// Returns the hosts on which the tasks of a job run; `None` unless all its tasks run.
    fn hosts_running(&self, job: &str) -> Option<Vec<&Host>> {
        let tasks = self.observations.jobs.get(job).map_or(1, |job| job.tasks);
        let mut running = 0;
        let mut hosts = Vec::new();
        for host in &self.system.hosts {
            let ledger = host.worker.ledger();
            let host_running = ledger.iter().filter(|task| task.ended.is_none());
            let host_running = host_running
                .filter(|task| belongs_to_job(task, job))
                .count();
            running += host_running as u64;
            if host_running > 0 {
                hosts.push(host);
            }
        }
        (running == tasks).then_some(hosts)
    }

    /// Waits until all tasks of a job run, and returns their hosts with the time that it took. The
    /// error on a timeout includes the job's status at the decider.
    async fn wait_until_running(&self, job: &str) -> Result<(Vec<&Host>, Duration), Failure> {
        let description = format!("all tasks of {job} run");
        let result = wait_for(&description, WAIT_TIMEOUT, async || {
            Ok(self.hosts_running(job))
        })
        .await;
        if let Err(failure) = &result {
            let status = self.status_at_decider(job).await;
            return Err(Failure::Failed(format!("{failure}: {status}")));
        }
        result
    }

    /// Returns the status of a job at the decider, on one line.
    async fn status_at_decider(&self, job: &str) -> String {
        for server in &self.system.operators {
            let entry = Operator::new(&[*server]);
            let status = entry.client.get("/v1/status").await;
            if !status.is_ok_and(|status| status["deciding"] == true) {
                continue;
            }
            if let Ok(object) = entry.client.get(&format!("/v1/jobs/{job}")).await {
                return output::outline(&object["status"], 0).replace('\n', "; ");
            }
        }
        "no entry is the decider".to_owned()
    }

    /// Submits a gang that needs adjacent accelerators, and checks that it runs in one rack.
    async fn run_gang(&mut self) -> Result<(), Failure> {
        let gang = self.deployment.gang;
        self.submit(|name| name == gang).await?;
        let (hosts, took) = self.wait_until_running(gang).await?;
        let racks: BTreeSet<&str> = hosts.iter().map(|host| host.rack.as_str()).collect();
        let names: Vec<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
        self.progress.print_line(&format!(
            "gang {gang}: all {} tasks run after {} on {} in rack {}",
            self.observations.jobs[gang].tasks,
            format_millis(took),
            names.join(" and "),
            racks.iter().copied().collect::<Vec<_>>().join(", "),
        ));
        if racks.len() == 1 {
            Ok(())
        } else {
            Err(Failure::Failed(format!("{gang} is not in one rack")))
        }
    }

    /// Runs short non-idempotent jobs to their end.
    async fn run_short_jobs(&mut self) -> Result<(), Failure> {
        let (workspace, kind) = self.deployment.borrower;
        let names: Vec<String> = (1..=3).map(|number| format!("short-{number}")).collect();
        for name in &names {
            let spec = json!({
                "workspace": workspace, "kind": kind, "run_s": SHORT_RUN_S,
                "shape": {"tasks": 1, "accelerators": 1, "adjacency": "any"},
                "preemptible": true, "idempotent": false, "checkpointable": false,
            });
            self.submit_spec(name, &spec).await?;
        }
        for name in &names {
            let done = async || Ok((self.operator.job_phase(name).await? == "done").then_some(()));
            wait_for(&format!("{name} is done"), WAIT_TIMEOUT, done).await?;
        }
        let list = names.join(", ");
        self.progress
            .print_line(&format!("{list}: not idempotent, each done"));
        Ok(())
    }

    /// Lets jobs borrow all idle accelerators, then submits a job that is covered by a guarantee
    /// and waits until it runs.
    async fn reclaim_guarantee(&mut self) -> Result<(), Failure> {
        let (workspace, kind) = self.deployment.borrower;
        for number in 1..=BORROWER_COUNT {
            let spec = json!({
                "workspace": workspace, "kind": kind, "run_s": 3600,
                "shape": {"tasks": 1, "accelerators": 8, "adjacency": "worker"},
                "preemptible": true, "idempotent": true, "checkpointable": true,
            });
            self.submit_spec(&format!("borrower-{number}"), &spec)
                .await?;
        }
        let all_used = async || Ok((self.idle_accelerators() == 0).then_some(()));
        wait_for("borrowers use all accelerators", WAIT_TIMEOUT, all_used).await?;
        let before = self.running_borrowers();
        self.progress.print_line(&format!(
            "{} jobs of {workspace} borrow all accelerators that the guarantees leave idle",
            before.len()
        ));
        let guaranteed_job = self.deployment.guaranteed_job;
        self.submit(|name| name == guaranteed_job).await?;
        let (hosts, took) = self.wait_until_running(guaranteed_job).await?;
        let after = self.running_borrowers();
        let preempted: Vec<String> = before.difference(&after).cloned().collect();
        let names: Vec<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
        self.progress.print_line(&format!(
            "guarantee reclaimed: {guaranteed_job} runs on {} {} after its submission; preempted: {}",
            names.join(" and "),
            format_millis(took),
            preempted.join(", "),
        ));
        let gang = self.deployment.gang;
        self.submit(|name| name != gang && name != guaranteed_job)
            .await
    }

    fn running_borrowers(&self) -> BTreeSet<String> {
        let names = (1..=BORROWER_COUNT).map(|number| format!("borrower-{number}"));
        names
            .filter(|name| self.hosts_running(name).is_some())
            .collect()
    }

    /// Returns the number of accelerators on which no task runs.
    fn idle_accelerators(&self) -> u32 {
        let hosts = self.system.hosts.iter();
        hosts
            .map(|host| {
                let tasks = host.worker.ledger();
                let running = tasks.iter().filter(|task| task.ended.is_none());
                8_u32.saturating_sub(running.map(|task| task.accelerators).sum())
            })
            .sum()
    }

    /// Prints the number of answered requests and the percentiles of their latency, by priority.
    fn print_latencies(&self) {
        let records = self.callers.records();
        for priority in ["urgent", "normal", "patient"] {
            let mut latencies = Vec::new();
            let mut unanswered = 0;
            for record in records.iter().filter(|record| record.priority == priority) {
                match record.final_outcome() {
                    CallerOutcome::Answered { .. } => latencies.push(record.first_latency),
                    _ => unanswered += 1,
                }
            }
            latencies.sort_unstable();
            let percentile = |percent: usize| {
                latencies.get((latencies.len() * percent / 100).min(latencies.len().max(1) - 1))
            };
            if let (Some(p50), Some(p99)) = (percentile(50), percentile(99)) {
                self.progress.print_line(&format!(
                    "{priority} requests: {} answered, p50 {}, p99 {}; {unanswered} not answered",
                    latencies.len(),
                    format_millis(*p50),
                    format_millis(*p99),
                ));
            }
        }
    }

    /// Takes the failure domain of the gang out of service for a time, checks that its work moves
    /// elsewhere, and waits until work starts there again.
    async fn take_domain_out(&mut self) -> Result<(), Failure> {
        let gang = self.deployment.gang;
        let (hosts, _) = self.wait_until_running(gang).await?;
        let domain = hosts
            .first()
            .map(|host| host.domain.clone())
            .unwrap_or_default();
        let path = format!("/v1/domains/{domain}");
        let spec = |in_service| json!({"region": self.deployment.region, "in_service": in_service});
        self.operator.put(&path, &spec(false)).await?;
        let out_us = unix_time_us();
        self.progress.print_line(&format!(
            "failure domain {domain}, in which {gang} runs, is out of service"
        ));
        let empty = async || Ok((self.running_tasks(&domain) == 0).then_some(()));
        let description = format!("nothing runs in {domain}");
        let ((), drained) = wait_for(&description, WAIT_TIMEOUT, empty).await?;
        let (new_hosts, took) = self.wait_until_running(gang).await?;
        let racks: BTreeSet<&str> = new_hosts.iter().map(|host| host.rack.as_str()).collect();
        self.progress.print_line(&format!(
            "no task runs on its workers after {}; all tasks of {gang} run in rack {} {} later",
            format_millis(drained),
            racks.into_iter().collect::<Vec<_>>().join(", "),
            format_millis(took),
        ));
        let elapsed = Duration::from_micros(unix_time_us().saturating_sub(out_us));
        Timer::after(OUT_OF_SERVICE_TIME.saturating_sub(elapsed)).await;
        let back_us = unix_time_us();
        self.observations.domain_out = Some((domain.clone(), out_us, back_us));
        let format_last = |starts: Vec<u64>| {
            let while_out = starts
                .into_iter()
                .filter(|start_us| (out_us..back_us).contains(start_us));
            while_out.max().map_or_else(
                || "none".to_owned(),
                |start_us| {
                    let after = Duration::from_micros(start_us - out_us);
                    format!("{} after", format_millis(after))
                },
            )
        };
        self.progress.print_line(&format!(
            "last starts in {domain} during its {} out of service: requests {}, tasks {}",
            format_millis(Duration::from_micros(back_us - out_us)),
            format_last(self.start_times(&domain, false)),
            format_last(self.start_times(&domain, true)),
        ));
        self.operator.put(&path, &spec(true)).await?;
        for (kind, tasks) in [("request", false), ("task", true)] {
            let description = format!("a {kind} starts in {domain} again");
            let first = async || {
                let starts = self.start_times(&domain, tasks);
                let after = starts.into_iter().filter(|start_us| *start_us >= back_us);
                Ok(after.min())
            };
            let (start_us, _) = wait_for(&description, WAIT_TIMEOUT, first).await?;
            let took = Duration::from_micros(start_us - back_us);
            self.progress.print_line(&format!(
                "back in service: {description} after {}",
                format_millis(took)
            ));
        }
        Ok(())
    }

    fn hosts_in<'s>(&'s self, domain: &'s str) -> impl Iterator<Item = &'s Host> {
        let hosts = self.system.hosts.iter();
        hosts.filter(move |host| host.domain == domain)
    }

    /// Returns the number of tasks that run in a failure domain.
    fn running_tasks(&self, domain: &str) -> usize {
        let tasks = self.hosts_in(domain).flat_map(|host| host.worker.ledger());
        tasks.filter(|task| task.ended.is_none()).count()
    }

    /// Returns the start times of all tasks, or else of all requests, in a failure domain. Unit:
    /// microseconds since 1970.
    fn start_times(&self, domain: &str, tasks: bool) -> Vec<u64> {
        let host_starts = |host: &Host| -> Vec<u64> {
            if tasks {
                let ledger = host.worker.ledger();
                ledger.iter().map(|entry| entry.started).collect()
            } else {
                let ledger = host.target.ledger();
                ledger.iter().map(|entry| entry.started).collect()
            }
        };
        self.hosts_in(domain).flat_map(host_starts).collect()
    }

    /// Stops the callers and compares the outcomes that they received with the service-level
    /// report.
    async fn compare_report(&self) -> Result<(), Failure> {
        self.callers.stop_sending();
        let finished = async || Ok(self.callers.is_finished().then_some(()));
        wait_for(
            "all callers have received their answers",
            Duration::from_secs(25),
            finished,
        )
        .await?;
        self.print_latencies();
        let servers = &self.system.operators;
        let report = report::Report::gather(servers, SystemTime::now()).await?;
        println!("{}", report.text().trim_end());
        let differences =
            super::audit::compare_report(&report.service_levels, &self.callers.records());
        match differences.as_slice() {
            [] => {
                self.progress
                    .print_line("the counts of the report equal those of the callers");
                Ok(())
            }
            list => Err(Failure::Failed(format!("report: {}", list.join("; ")))),
        }
    }

    /// Cancels the remaining jobs, also after a failed step, and records the phase in which each
    /// job ended.
    pub async fn cancel_jobs(&mut self) -> Result<(), Failure> {
        let names: Vec<String> = self.observations.jobs.keys().cloned().collect();
        for name in &names {
            self.operator.delete(&format!("/v1/jobs/{name}")).await?;
        }
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for name in &names {
            let ended = async || {
                let phase = self.operator.job_phase(name).await?;
                Ok((phase != "queued" && phase != "running").then_some(phase))
            };
            let (phase, _) = wait_for(&format!("{name} has ended"), WAIT_TIMEOUT, ended).await?;
            *counts.entry(phase.clone()).or_default() += 1;
            if let Some(job) = self.observations.jobs.get_mut(name) {
                job.phase = phase;
            }
        }
        let counts: Vec<String> = counts
            .iter()
            .map(|(phase, count)| format!("{count} {phase}"))
            .collect();
        self.progress.print_line(&format!(
            "all {} jobs have ended: {}",
            names.len(),
            counts.join(", ")
        ));
        Ok(())
    }
}

/// Returns whether a task on a worker belongs to a job.
pub fn belongs_to_job(task: &worker::TaskRecord, job: &str) -> bool {
    task.task.split('~').next() == Some(job)
}

/// Returns the wall clock in microseconds since 1970, the unit of the stand-ins' ledgers.
fn unix_time_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("nobody")
}
