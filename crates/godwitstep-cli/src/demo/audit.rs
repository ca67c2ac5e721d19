//! Checks of the invariants: compares the ledgers of the stand-ins with the outcomes that callers
//! and the operator received.

use super::callers::{CallerOutcome, RequestRecord};
use super::steps::OperatorObservations;
use super::system::Ledgers;
use godwitstep_core::burn::ServiceLevel;
use godwitstep_standin::{target, worker};
use std::collections::BTreeMap;

/// Time after which nothing starts in a failure domain that is out of service. Unit: microseconds.
const LAST_START_LIMIT_US: u64 = 2_000_000;
/// Time after which a part of an incomplete gang has stopped itself, with a margin for the stop.
/// Unit: microseconds.
const PARTIAL_GANG_LIMIT_US: u64 = 12_000_000;

/// Returns one line for each violation, with the identifiers concerned.
pub fn check(
    requests: &[RequestRecord],
    observations: &OperatorObservations,
    hosts: &[Ledgers],
) -> Vec<String> {
    let mut violations = Vec::new();
    check_requests(requests, hosts, &mut violations);
    check_jobs(observations, hosts, &mut violations);
    check_domain_out(observations, hosts, &mut violations);
    violations
}

/// R4, R5 and R6: each answer is complete and belongs to its request, no request reported as not
/// run has run, and no non-idempotent request has run twice. Also checks that a request reported as
/// answered or failed has run, and that each request has an outcome.
fn check_requests(requests: &[RequestRecord], hosts: &[Ledgers], violations: &mut Vec<String>) {
    let mut runs: BTreeMap<&str, Vec<&target::Entry>> = BTreeMap::new();
    for entry in hosts.iter().flat_map(|host| &host.requests) {
        runs.entry(&entry.key).or_default().push(entry);
    }
    for request in requests {
        let key = request.target_key();
        let key_runs = runs.get(key.as_str()).map_or(&[][..], Vec::as_slice);
        let succeeded = key_runs
            .iter()
            .any(|entry| !entry.failed && entry.ended.is_some());
        let mut add = |violation: &str| violations.push(format!("request {key}: {violation}"));
        match request.final_outcome() {
            CallerOutcome::Answered {
                body_matches: false,
            } => add("R4: the answer is incomplete or belongs to another request"),
            CallerOutcome::Answered { body_matches: true } if !succeeded => {
                add("answered, but no target has run it");
            }
            CallerOutcome::NotRun if !key_runs.is_empty() => {
                add("R5: reported as not run, but it ran");
            }
            CallerOutcome::Failed if key_runs.is_empty() => {
                add("reported as failed, but no target has run it");
            }
            CallerOutcome::NoResponse => add(&format!(
                "no final outcome received; runs at targets: {key_runs:?}"
            )),
            _ => {}
        }
        if !request.idempotent && key_runs.len() > 1 {
            add(&format!(
                "R6: not idempotent, but ran {} times",
                key_runs.len()
            ));
        }
    }
}

/// R2, R6 and the phases of accepted jobs: each job has ended in the phase reported, runs of one
/// job do not overlap, an incomplete run stops itself, and no non-idempotent job has run twice.
fn check_jobs(
    observations: &OperatorObservations,
    hosts: &[Ledgers],
    violations: &mut Vec<String>,
) {
    let mut runs: BTreeMap<(&str, u64), Vec<&worker::TaskRecord>> = BTreeMap::new();
    for task in hosts.iter().flat_map(|host| &host.tasks) {
        let mut fields = task.task.split('~');
        let job = fields.next().unwrap_or_default();
        let attempt = fields.next().and_then(|field| field.parse().ok());
        match attempt {
            Some(attempt) if observations.jobs.contains_key(job) => {
                runs.entry((job, attempt)).or_default().push(task);
            }
            _ => violations.push(format!("task {}: belongs to no accepted job", task.task)),
        }
        if task.ended.is_none() {
            violations.push(format!(
                "task {}: still runs after its job ended",
                task.task
            ));
        }
    }
    for (name, job) in &observations.jobs {
        let job_runs = || runs.iter().filter(|((job, _), _)| job == name);
        let done_count = |tasks: &[&worker::TaskRecord]| {
            tasks
                .iter()
                .filter(|task| task.how == Some(worker::EndReason::Done))
                .count() as u64
        };
        let mut add = |violation: String| violations.push(format!("job {name}: {violation}"));
        match job.phase.as_str() {
            "queued" | "running" => add(format!("accepted, but did not end ({})", job.phase)),
            "done" if !job_runs().any(|(_, tasks)| done_count(tasks) == job.tasks) => {
                add("reported as done, but no run completed all tasks".to_owned());
            }
            _ => {}
        }
        if !job.idempotent && job_runs().count() > 1 {
            add(format!(
                "R6: not idempotent, but ran {} times",
                job_runs().count()
            ));
        }
        let mut latest_end = 0;
        for ((_, attempt), tasks) in job_runs() {
            let first_start = tasks.iter().map(|task| task.started).min().unwrap_or(0);
            if first_start < latest_end {
                add(format!(
                    "R2: run {attempt} started before the previous run ended"
                ));
            }
            let ends = tasks.iter().map(|task| task.ended.unwrap_or(u64::MAX));
            latest_end = ends.max().unwrap_or(0).max(latest_end);
            let run_us = latest_end.saturating_sub(first_start);
            if tasks.len() as u64 != job.tasks && run_us > PARTIAL_GANG_LIMIT_US {
                add(format!(
                    "R2: run {attempt} had {} of {} tasks for {run_us} us",
                    tasks.len(),
                    job.tasks
                ));
            }
        }
    }
}

/// R3: nothing starts in a failure domain from 2 s after it was taken out of service until it is
/// back.
fn check_domain_out(
    observations: &OperatorObservations,
    hosts: &[Ledgers],
    violations: &mut Vec<String>,
) {
    let Some((domain, out_us, back_us)) = &observations.domain_out else {
        return violations.push("no failure domain was taken out of service".to_owned());
    };
    let forbidden_us = out_us + LAST_START_LIMIT_US..*back_us;
    for host in hosts.iter().filter(|host| host.domain == *domain) {
        let requests = host
            .requests
            .iter()
            .map(|entry| (&entry.key, entry.started));
        let tasks = host.tasks.iter().map(|entry| (&entry.task, entry.started));
        for (id, started) in requests.chain(tasks) {
            if forbidden_us.contains(&started) {
                let late_us = started - out_us;
                violations.push(format!(
                    "{id}: R3: started on {} ({}) {late_us} us after {domain} was out of service",
                    host.name, host.rack
                ));
            }
        }
    }
}

/// Compares the service-level report with the outcomes that callers received, by workspace and
/// kind. Returns one line for each difference.
pub fn compare_report(service_levels: &[ServiceLevel], requests: &[RequestRecord]) -> Vec<String> {
    let mut counts: BTreeMap<(&str, &str), [u64; 4]> = BTreeMap::new();
    for request in requests {
        let count = counts
            .entry((&request.workspace, &request.kind))
            .or_default();
        for outcome in &request.outcomes {
            match outcome {
                CallerOutcome::Answered { .. } => count[0] += 1,
                CallerOutcome::NotRun => count[1] += 1,
                CallerOutcome::Failed => count[2] += 1,
                CallerOutcome::Unknown => count[3] += 1,
                CallerOutcome::NoResponse => {}
            }
        }
    }
    let mut reported: BTreeMap<(&str, &str), [u64; 4]> = BTreeMap::new();
    for line in service_levels {
        let answered = line.on_time + line.late;
        let count = [answered, line.refused, line.failed, line.unknown];
        reported.insert((&line.workspace, &line.kind), count);
    }
    let keys: std::collections::BTreeSet<_> = counts.keys().chain(reported.keys()).collect();
    let differing = keys
        .into_iter()
        .filter(|key| counts.get(*key) != reported.get(*key));
    differing
        .map(|(workspace, kind)| {
            let key = (*workspace, *kind);
            format!(
                "{workspace}/{kind}: callers counted {:?}, the report has {:?} (answered, refused, failed, unknown)",
                counts.get(&key).unwrap_or(&[0; 4]),
                reported.get(&key).unwrap_or(&[0; 4])
            )
        })
        .collect()
}
