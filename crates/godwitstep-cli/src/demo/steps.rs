//! The steps of the demonstration.

use super::callers::{Callers, Told};
use super::deployment::Deployment;
use super::operator::{Operator, until};
use super::show::{Show, millis};
use super::system::{Host, System};
use crate::failure::Failure;
use crate::{output, report};
use godwitstep_standin::worker;
use serde_json::{Value, json};
use smol::Timer;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest wait for a step.
const STEP: Duration = Duration::from_secs(15);
/// Time for which the failure domain is out: more than the 2 s after which nothing starts in it.
const OUT: Duration = Duration::from_secs(5);
/// Jobs that borrow: one for each worker.
const BORROWERS: usize = 10;
/// Run time of the jobs that run to their end. Unit: seconds.
const SHORT_S: u64 = 1;

/// What the operator was told, for the checks.
#[derive(Debug, Default)]
pub struct Facts {
    /// Tasks of each accepted job.
    pub jobs: BTreeMap<String, Job>,
    /// Failure domain that was out, and from when to when in microseconds since 1970.
    pub out: Option<(String, u64, u64)>,
}

/// An accepted job.
#[derive(Debug, Default)]
pub struct Job {
    pub tasks: u64,
    pub idempotent: bool,
    /// The last phase that an entry has told.
    pub phase: String,
}

/// The operator of one deployment.
pub struct Story<'a> {
    show: &'a Show,
    deployment: &'a Deployment,
    system: &'a System,
    callers: &'a Callers,
    operator: Operator,
    facts: Facts,
}

impl<'a> Story<'a> {
    pub fn new(
        show: &'a Show,
        deployment: &'a Deployment,
        system: &'a System,
        callers: &'a Callers,
    ) -> Self {
        Self {
            show,
            deployment,
            system,
            callers,
            operator: Operator::new(&system.operators),
            facts: Facts::default(),
        }
    }

    pub fn facts(self) -> Facts {
        self.facts
    }

    /// Shows everything in turn.
    pub async fn run(&mut self) -> Result<(), Failure> {
        self.start().await?;
        self.callers.begin();
        self.gang().await?;
        self.short().await?;
        self.reclaim().await?;
        self.answered();
        self.depart().await?;
        self.report().await
    }

    async fn start(&self) -> Result<(), Failure> {
        let agents = self.system.hosts.len();
        for server in &self.system.operators {
            let one = Operator::new(&[*server]);
            let ready = async || {
                let status = one.client.get("/v1/status").await?;
                let whole = status["agents"] == agents && status["ready"] == true;
                Ok((whole && status["decider"].is_string()).then_some(status))
            };
            let (status, _) = until("an entry ready with all agents", STEP, ready).await?;
            self.show.line(&format!(
                "{} is ready with {} agents; {} decides",
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
        self.show.line(&format!(
            "declared: domains {}; workspaces {}",
            domains.join(", "),
            workspaces.join(", ")
        ));
        Ok(())
    }

    /// Submits the jobs of the file that `pick` takes.
    async fn submit(&mut self, pick: impl Fn(&str) -> bool) -> Result<(), Failure> {
        let names = self.operator.apply(self.deployment.jobs, pick).await?;
        for name in names {
            let object = self
                .operator
                .client
                .get(&format!("/v1/jobs/{name}"))
                .await?;
            self.accept(&name, &object["spec"]);
        }
        Ok(())
    }

    async fn submit_spec(&mut self, name: &str, spec: &Value) -> Result<(), Failure> {
        self.operator.put(&format!("/v1/jobs/{name}"), spec).await?;
        self.accept(name, spec);
        Ok(())
    }

    fn accept(&mut self, name: &str, spec: &Value) {
        let job = Job {
            tasks: spec["shape"]["tasks"].as_u64().unwrap_or(1),
            idempotent: spec["idempotent"] == true,
            phase: "queued".to_owned(),
        };
        self.facts.jobs.insert(name.to_owned(), job);
    }

    /// Returns the hosts on which tasks of a job run, if all its tasks run.
    fn whole(&self, job: &str) -> Option<Vec<&Host>> {
        let tasks = self.facts.jobs.get(job).map_or(1, |job| job.tasks);
        let mut running = 0;
        let mut hosts = Vec::new();
        for host in &self.system.hosts {
            let here = host.worker.ledger();
            let here = here.iter().filter(|task| task.ended.is_none());
            let here = here.filter(|task| belongs(task, job)).count();
            running += here as u64;
            if here > 0 {
                hosts.push(host);
            }
        }
        (running == tasks).then_some(hosts)
    }

    /// Waits until all tasks of a job run.
    async fn runs(&self, job: &str) -> Result<(Vec<&Host>, Duration), Failure> {
        let what = format!("all tasks of {job} run");
        let found = until(&what, STEP, async || Ok(self.whole(job))).await;
        if let Err(failure) = &found {
            let status = self.explain(job).await;
            return Err(Failure::Failed(format!("{failure}: {status}")));
        }
        found
    }

    /// Returns what the deciding entry says about a job.
    async fn explain(&self, job: &str) -> String {
        for server in &self.system.operators {
            let one = Operator::new(&[*server]);
            let status = one.client.get("/v1/status").await;
            if !status.is_ok_and(|status| status["deciding"] == true) {
                continue;
            }
            if let Ok(object) = one.client.get(&format!("/v1/jobs/{job}")).await {
                return output::outline(&object["status"], 0).replace('\n', "; ");
            }
        }
        "no entry decides".to_owned()
    }

    async fn gang(&mut self) -> Result<(), Failure> {
        let gang = self.deployment.gang;
        self.submit(|name| name == gang).await?;
        let (hosts, took) = self.runs(gang).await?;
        let racks: BTreeSet<&str> = hosts.iter().map(|host| host.rack.as_str()).collect();
        let names: Vec<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
        self.show.line(&format!(
            "gang {gang}: all {} tasks run after {} on {} in rack {}",
            self.facts.jobs[gang].tasks,
            millis(took),
            names.join(" and "),
            racks.iter().copied().collect::<Vec<_>>().join(", "),
        ));
        if racks.len() == 1 {
            Ok(())
        } else {
            Err(Failure::Failed(format!("{gang} is not in one rack")))
        }
    }

    /// Jobs that must not run twice, to their end.
    async fn short(&mut self) -> Result<(), Failure> {
        let (workspace, kind) = self.deployment.borrower;
        let names: Vec<String> = (1..=3).map(|number| format!("short-{number}")).collect();
        for name in &names {
            let spec = json!({
                "workspace": workspace, "kind": kind, "run_s": SHORT_S,
                "shape": {"tasks": 1, "accelerators": 1, "adjacency": "any"},
                "preemptible": true, "idempotent": false, "checkpointable": false,
            });
            self.submit_spec(name, &spec).await?;
        }
        for name in &names {
            let done = async || Ok((self.operator.phase(name).await? == "done").then_some(()));
            until(&format!("{name} is done"), STEP, done).await?;
        }
        let list = names.join(", ");
        self.show
            .line(&format!("{list}: not idempotent, each done"));
        Ok(())
    }

    async fn reclaim(&mut self) -> Result<(), Failure> {
        let (workspace, kind) = self.deployment.borrower;
        for number in 1..=BORROWERS {
            let spec = json!({
                "workspace": workspace, "kind": kind, "run_s": 3600,
                "shape": {"tasks": 1, "accelerators": 8, "adjacency": "worker"},
                "preemptible": true, "idempotent": true, "checkpointable": true,
            });
            self.submit_spec(&format!("borrower-{number}"), &spec)
                .await?;
        }
        let free = async || Ok((self.free() == 0).then_some(()));
        until("borrowers use all accelerators", STEP, free).await?;
        let before = self.borrowers();
        self.show.line(&format!(
            "{} borrowers of {workspace} use all accelerators that the guarantees leave idle",
            before.len()
        ));
        let claimant = self.deployment.claimant;
        self.submit(|name| name == claimant).await?;
        let (hosts, took) = self.runs(claimant).await?;
        let after = self.borrowers();
        let gone: Vec<String> = before.difference(&after).cloned().collect();
        let names: Vec<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
        self.show.line(&format!(
            "guarantee reclaimed: {claimant} runs on {} {} after its submission; {} gave way",
            names.join(" and "),
            millis(took),
            gone.join(", "),
        ));
        let gang = self.deployment.gang;
        self.submit(|name| name != gang && name != claimant).await
    }

    fn borrowers(&self) -> BTreeSet<String> {
        let names = (1..=BORROWERS).map(|number| format!("borrower-{number}"));
        names.filter(|name| self.whole(name).is_some()).collect()
    }

    /// Returns the accelerators on which nothing runs.
    fn free(&self) -> u32 {
        let hosts = self.system.hosts.iter();
        hosts
            .map(|host| {
                let tasks = host.worker.ledger();
                let running = tasks.iter().filter(|task| task.ended.is_none());
                8_u32.saturating_sub(running.map(|task| task.accelerators).sum())
            })
            .sum()
    }

    /// Prints what callers were told so far, by priority.
    fn answered(&self) {
        let sent = self.callers.sent();
        for priority in ["urgent", "normal", "patient"] {
            let mut times = Vec::new();
            let mut others = 0;
            for request in sent.iter().filter(|request| request.priority == priority) {
                match request.last() {
                    Told::Answered { .. } => times.push(request.took),
                    _ => others += 1,
                }
            }
            times.sort_unstable();
            let at =
                |share: usize| times.get((times.len() * share / 100).min(times.len().max(1) - 1));
            if let (Some(p50), Some(p99)) = (at(50), at(99)) {
                self.show.line(&format!(
                    "{priority} requests: {} answered, p50 {}, p99 {}; {others} not answered",
                    times.len(),
                    millis(*p50),
                    millis(*p99),
                ));
            }
        }
    }

    async fn depart(&mut self) -> Result<(), Failure> {
        let gang = self.deployment.gang;
        let (hosts, _) = self.runs(gang).await?;
        let domain = hosts
            .first()
            .map(|host| host.domain.clone())
            .unwrap_or_default();
        let path = format!("/v1/domains/{domain}");
        let spec = |in_service| json!({"region": self.deployment.region, "in_service": in_service});
        self.operator.put(&path, &spec(false)).await?;
        let out = wall_us();
        self.show.line(&format!(
            "failure domain {domain} is out of service, with {gang} on it"
        ));
        let empty = async || Ok((self.running_in(&domain) == 0).then_some(()));
        let ((), emptied) = until(&format!("nothing runs in {domain}"), STEP, empty).await?;
        let (moved, took) = self.runs(gang).await?;
        let racks: BTreeSet<&str> = moved.iter().map(|host| host.rack.as_str()).collect();
        self.show.line(&format!(
            "its workers are empty after {}; {gang} runs whole in rack {} {} later",
            millis(emptied),
            racks.into_iter().collect::<Vec<_>>().join(", "),
            millis(took),
        ));
        let passed = Duration::from_micros(wall_us().saturating_sub(out));
        Timer::after(OUT.saturating_sub(passed)).await;
        let back = wall_us();
        self.facts.out = Some((domain.clone(), out, back));
        let last = |starts: Vec<u64>| {
            let within = starts.into_iter().filter(|at| (out..back).contains(at));
            within.max().map_or_else(
                || "none".to_owned(),
                |at| format!("{} after", millis(Duration::from_micros(at - out))),
            )
        };
        self.show.line(&format!(
            "last starts in {domain} within {} of being out: requests {}, tasks {}",
            millis(Duration::from_micros(back - out)),
            last(self.starts(&domain, false)),
            last(self.starts(&domain, true)),
        ));
        self.operator.put(&path, &spec(true)).await?;
        for (what, tasks) in [("request", false), ("task", true)] {
            let what = format!("a {what} starts in {domain} again");
            let first = async || {
                let starts = self.starts(&domain, tasks);
                Ok(starts.into_iter().filter(|at| *at >= back).min())
            };
            let (at, _) = until(&what, STEP, first).await?;
            let took = Duration::from_micros(at - back);
            self.show
                .line(&format!("back in service: {what} after {}", millis(took)));
        }
        Ok(())
    }

    fn hosts_in<'s>(&'s self, domain: &'s str) -> impl Iterator<Item = &'s Host> {
        let hosts = self.system.hosts.iter();
        hosts.filter(move |host| host.domain == domain)
    }

    fn running_in(&self, domain: &str) -> usize {
        let tasks = self.hosts_in(domain).flat_map(|host| host.worker.ledger());
        tasks.filter(|task| task.ended.is_none()).count()
    }

    /// Returns when requests, or tasks, started in a failure domain.
    fn starts(&self, domain: &str, tasks: bool) -> Vec<u64> {
        let of = |host: &Host| -> Vec<u64> {
            if tasks {
                let ledger = host.worker.ledger();
                ledger.iter().map(|entry| entry.started).collect()
            } else {
                let ledger = host.target.ledger();
                ledger.iter().map(|entry| entry.started).collect()
            }
        };
        self.hosts_in(domain).flat_map(of).collect()
    }

    /// Ends the callers and compares what they were told with the service-level report.
    async fn report(&self) -> Result<(), Failure> {
        self.callers.rest();
        let ended = async || Ok(self.callers.is_at_rest().then_some(()));
        until(
            "all callers have their answers",
            Duration::from_secs(25),
            ended,
        )
        .await?;
        self.answered();
        let servers = &self.system.operators;
        let report = report::Report::gather(servers, SystemTime::now()).await?;
        println!("{}", report.text().trim_end());
        let differences = super::audit::compare(&report.lines, &self.callers.sent());
        match differences.as_slice() {
            [] => {
                self.show
                    .line("the report counts what the callers were told, to the request");
                Ok(())
            }
            list => Err(Failure::Failed(format!("report: {}", list.join("; ")))),
        }
    }

    /// Cancels what still runs, also after a step that failed, and notes how each job ended.
    pub async fn finish(&mut self) -> Result<(), Failure> {
        let names: Vec<String> = self.facts.jobs.keys().cloned().collect();
        for name in &names {
            self.operator.delete(&format!("/v1/jobs/{name}")).await?;
        }
        let mut ends: BTreeMap<String, usize> = BTreeMap::new();
        for name in &names {
            let end = async || {
                let phase = self.operator.phase(name).await?;
                Ok((phase != "queued" && phase != "running").then_some(phase))
            };
            let (phase, _) = until(&format!("{name} has ended"), STEP, end).await?;
            *ends.entry(phase.clone()).or_default() += 1;
            if let Some(job) = self.facts.jobs.get_mut(name) {
                job.phase = phase;
            }
        }
        let ends: Vec<String> = ends
            .iter()
            .map(|(phase, count)| format!("{count} {phase}"))
            .collect();
        self.show.line(&format!(
            "all {} jobs have ended: {}",
            names.len(),
            ends.join(", ")
        ));
        Ok(())
    }
}

/// Reports whether a task on a worker is one of a job.
pub fn belongs(task: &worker::Entry, job: &str) -> bool {
    task.task.split('~').next() == Some(job)
}

/// Returns the wall clock in microseconds since 1970, as the stand-ins' ledgers have it.
fn wall_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("nobody")
}
