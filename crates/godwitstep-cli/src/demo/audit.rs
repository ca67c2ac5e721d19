//! The invariants, checked from what the stand-ins did and what callers and operators were told.

use super::callers::{Sent, Told};
use super::story::Facts;
use super::system::Ledgers;
use godwitstep_core::burn::ServiceLevel;
use godwitstep_standin::{target, worker};
use std::collections::BTreeMap;

/// Time after which nothing starts in a failure domain that is out. Unit: microseconds.
const OUT_US: u64 = 2_000_000;
/// Time after which a part whose gang is not whole has stopped itself, with a margin for the stop.
/// Unit: microseconds.
const UNSETTLED_US: u64 = 12_000_000;

/// Returns one line for everything that does not hold, with the ids.
pub fn check(requests: &[Sent], facts: &Facts, hosts: &[Ledgers]) -> Vec<String> {
    let mut faults = Vec::new();
    check_requests(requests, hosts, &mut faults);
    check_jobs(facts, hosts, &mut faults);
    check_domain(facts, hosts, &mut faults);
    faults
}

/// R4, R5 and R6: each answer whole and the caller's own, nothing told not run that ran, nothing
/// that is not idempotent run twice.
fn check_requests(requests: &[Sent], hosts: &[Ledgers], faults: &mut Vec<String>) {
    let mut runs: BTreeMap<&str, Vec<&target::Entry>> = BTreeMap::new();
    for entry in hosts.iter().flat_map(|host| &host.requests) {
        runs.entry(&entry.key).or_default().push(entry);
    }
    for request in requests {
        let key = request.full_key();
        let ran = runs.get(key.as_str()).map_or(&[][..], Vec::as_slice);
        let good = ran
            .iter()
            .any(|entry| !entry.failed && entry.ended.is_some());
        let mut fault = |what: &str| faults.push(format!("request {key}: {what}"));
        match request.last() {
            Told::Answered { own: false } => fault("R4: the answer is not to this request"),
            Told::Answered { own: true } if !good => fault("answered, but no target has run it"),
            Told::NotRun if !ran.is_empty() => {
                fault("R5: told not run, but it ran");
            }
            Told::Failed if ran.is_empty() => fault("told failed, but no target has run it"),
            Told::Nothing => fault(&format!("no final answer came; runs at targets: {ran:?}")),
            _ => {}
        }
        if !request.idempotent && ran.len() > 1 {
            fault(&format!("R6: not idempotent, but ran {} times", ran.len()));
        }
    }
}

/// R2, and accepted jobs: each has ended as told, runs of one job don't overlap, and a run that is
/// not whole stops itself.
fn check_jobs(facts: &Facts, hosts: &[Ledgers], faults: &mut Vec<String>) {
    let mut runs: BTreeMap<(&str, u64), Vec<&worker::Entry>> = BTreeMap::new();
    for task in hosts.iter().flat_map(|host| &host.tasks) {
        let mut fields = task.task.split('~');
        let job = fields.next().unwrap_or_default();
        let attempt = fields.next().and_then(|field| field.parse().ok());
        match attempt {
            Some(attempt) if facts.jobs.contains_key(job) => {
                runs.entry((job, attempt)).or_default().push(task);
            }
            _ => faults.push(format!("task {}: of no accepted job", task.task)),
        }
        if task.ended.is_none() {
            faults.push(format!(
                "task {}: still runs after its job ended",
                task.task
            ));
        }
    }
    for (name, job) in &facts.jobs {
        let of_job = || runs.iter().filter(|((job, _), _)| job == name);
        let done = |tasks: &[&worker::Entry]| {
            tasks
                .iter()
                .filter(|task| task.how == Some(worker::How::Done))
                .count() as u64
        };
        let mut fault = |what: String| faults.push(format!("job {name}: {what}"));
        match job.phase.as_str() {
            "queued" | "running" => fault(format!("accepted, but never ended ({})", job.phase)),
            "done" if !of_job().any(|(_, tasks)| done(tasks) == job.tasks) => {
                fault("told done, but no run of it is whole".to_owned());
            }
            _ => {}
        }
        if !job.idempotent && of_job().count() > 1 {
            fault(format!(
                "R6: not idempotent, but ran {} times",
                of_job().count()
            ));
        }
        let mut latest = 0;
        for ((_, attempt), tasks) in of_job() {
            let first = tasks.iter().map(|task| task.started).min().unwrap_or(0);
            if first < latest {
                fault(format!(
                    "R2: run {attempt} started before the one before it ended"
                ));
            }
            let ends = tasks.iter().map(|task| task.ended.unwrap_or(u64::MAX));
            latest = ends.max().unwrap_or(0).max(latest);
            let alone = latest.saturating_sub(first);
            if tasks.len() as u64 != job.tasks && alone > UNSETTLED_US {
                fault(format!(
                    "R2: run {attempt} had {} of {} tasks for {alone} us",
                    tasks.len(),
                    job.tasks
                ));
            }
        }
    }
}

/// R3: nothing starts in a failure domain from 2 s after it is out.
fn check_domain(facts: &Facts, hosts: &[Ledgers], faults: &mut Vec<String>) {
    let Some((domain, out, back)) = &facts.out else {
        return faults.push("no failure domain was taken out".to_owned());
    };
    let closed = out + OUT_US..*back;
    for host in hosts.iter().filter(|host| host.domain == *domain) {
        let requests = host
            .requests
            .iter()
            .map(|entry| (&entry.key, entry.started));
        let tasks = host.tasks.iter().map(|entry| (&entry.task, entry.started));
        for (id, started) in requests.chain(tasks) {
            if closed.contains(&started) {
                let late = started - out;
                faults.push(format!(
                    "{id}: R3: started on {} ({}) {late} us after {domain} was out",
                    host.name, host.rack
                ));
            }
        }
    }
}

/// Compares the report with what callers were told, by workspace and kind.
pub fn compare(lines: &[ServiceLevel], requests: &[Sent]) -> Vec<String> {
    let mut counts: BTreeMap<(&str, &str), [u64; 4]> = BTreeMap::new();
    for request in requests {
        let count = counts
            .entry((&request.workspace, &request.kind))
            .or_default();
        for told in &request.told {
            match told {
                Told::Answered { .. } => count[0] += 1,
                Told::NotRun => count[1] += 1,
                Told::Failed => count[2] += 1,
                Told::Unknown => count[3] += 1,
                Told::Nothing => {}
            }
        }
    }
    let mut reported: BTreeMap<(&str, &str), [u64; 4]> = BTreeMap::new();
    for line in lines {
        let answered = line.on_time + line.late;
        let count = [answered, line.refused, line.failed, line.unknown];
        reported.insert((&line.workspace, &line.kind), count);
    }
    let places: std::collections::BTreeSet<_> = counts.keys().chain(reported.keys()).collect();
    let differing = places
        .into_iter()
        .filter(|place| counts.get(*place) != reported.get(*place));
    differing
        .map(|(workspace, kind)| {
            let place = (*workspace, *kind);
            format!(
                "{workspace}/{kind}: callers count {:?}, the report {:?} (answered, refused, failed, unknown)",
                counts.get(&place).unwrap_or(&[0; 4]),
                reported.get(&place).unwrap_or(&[0; 4])
            )
        })
        .collect()
}
