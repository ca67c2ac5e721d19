//! The cases' orders of events and the checks of their rules.

use crate::Verdict;
use crate::deployment::{
    CALLER_TIMEOUT, CANCEL, CONTACT, Deployment, FINISH, OTHER_API_KEY, STOP_GRACE, wait_until,
};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time for which a job has to have nothing running (rule LOST).
const IDLE: Duration = Duration::from_secs(3);

/// Returns the body of a job of one step of equal tasks.
fn job(spec: &str, tasks: u64, cpu: u64, mem_mb: u64, estimated_ms: u64) -> String {
    serde_json::json!({"spec": spec, "phases": [
        {"task_count": tasks, "cpu": cpu, "mem_mb": mem_mb, "estimated_ms": estimated_ms},
    ]})
    .to_string()
}

/// Submits a job, to the next entry after each attempt that was not accepted. Returns whether it was accepted.
fn submit(deployment: &Deployment, path: &str, body: &str) -> bool {
    (0..5).any(|attempt| {
        if attempt > 0 {
            std::thread::sleep(Duration::from_secs(1));
        }
        let answer = deployment.call(attempt % 3, "POST", path, body, CALLER_TIMEOUT);
        answer.is_some_and(|(status, _)| status.is_success())
    })
}

/// Checks the last sentence of rule LOST for jobs that were accepted and not cancelled: from now on, for 3 s, a job that
/// has not ended has nothing running, although the runners are almost empty. Returns the jobs for which that holds.
fn idle_jobs(deployment: &Deployment, jobs: &[(String, String)]) -> Vec<String> {
    let mut idle: Vec<&(String, String)> = jobs.iter().collect();
    let end = Instant::now() + IDLE + Duration::from_millis(500);
    while Instant::now() < end {
        let now = Instant::now();
        idle.retain(|(_, id)| deployment.runs(id).iter().all(|(_, run)| !run.active_at(now)));
        std::thread::sleep(Duration::from_millis(50));
    }
    let open = |queue: &str, id: &str| {
        let answer = deployment.call(0, "GET", &format!("/{queue}/{id}"), "", CALLER_TIMEOUT);
        answer.is_none_or(|(_, body)| !body.contains("completed") && !body.contains("failed"))
    };
    idle.retain(|(queue, id)| open(queue, id));
    idle.into_iter().map(|(_, id)| id.clone()).collect()
}

/// Submits small jobs once a second, all of which fit the deployment many times over.
fn submit_small_jobs(deployment: &Deployment, first: u64, count: u64, accepted: &mut Vec<(String, String)>) {
    for number in first..first + count {
        let id = format!("{number:016x}");
        if submit(deployment, &format!("/seam-check/{id}"), &job("1000;", 2, 1_000, 512, 1_000)) {
            accepted.push(("seam-check".to_owned(), id));
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// A large job whose state does not fit a record of the store.
pub fn large_record(folder: &Path, root: &Path, trouble: bool) -> Verdict {
    let Some(deployment) = Deployment::start(folder, root, 3, 11) else {
        return Verdict::NotRun;
    };
    let mut accepted = Vec::new();
    submit_small_jobs(&deployment, 0xa1, 3, &mut accepted);
    let long = "00000000000000b1".to_owned();
    if !submit(&deployment, &format!("/seam-check/{long}"), &job("30000;", 1, 1_000, 512, 30_000)) {
        return Verdict::NotRun;
    }
    accepted.push(("seam-check".to_owned(), long.clone()));
    let started = wait_until(Duration::from_secs(3), || !deployment.runs(&long).is_empty());
    if !started {
        return Verdict::NotRun;
    }
    // 80 of 704 cores; the control has a tenth of the tasks, of ten times the size.
    let large = "00000000000000c1".to_owned();
    let (tasks, cpu, mem_mb) = if trouble { (4_000, 20, 16) } else { (400, 200, 160) };
    if !submit(&deployment, &format!("/pattern-nest/{large}"), &job("3000;", tasks, cpu, mem_mb, 3_000)) {
        deployment.record.line("the large job was not accepted");
        return Verdict::NotRun;
    }
    accepted.push(("pattern-nest".to_owned(), large));
    submit_small_jobs(&deployment, 0xd1, 4, &mut accepted);
    std::thread::sleep(FINISH);
    let idle = idle_jobs(&deployment, &accepted);
    for (_, id) in &accepted {
        deployment.record_runs(id);
    }
    let oversized = deployment.log.oversized();
    deployment.record.line(&format!("appends beyond the store's limits: {oversized}"));
    deployment.record.line(&format!(
        "jobs that were accepted, have not ended and had nothing running for 3 s, {} s after the traffic: {idle:?}",
        FINISH.as_secs()
    ));
    if idle.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// A large job whose starts on one runner don't fit an answer to its agent.
pub fn large_directive(folder: &Path, root: &Path, trouble: bool) -> Verdict {
    let Some(deployment) = Deployment::start(folder, root, 3, 11) else {
        return Verdict::NotRun;
    };
    let mut accepted = Vec::new();
    submit_small_jobs(&deployment, 0xa1, 3, &mut accepted);
    let long = "00000000000000b1".to_owned();
    if !submit(&deployment, &format!("/seam-check/{long}"), &job("45000;", 1, 1_000, 512, 45_000)) {
        return Verdict::NotRun;
    }
    if !wait_until(Duration::from_secs(3), || !deployment.runs(&long).is_empty()) {
        return Verdict::NotRun;
    }
    accepted.push(("seam-check".to_owned(), long.clone()));
    // 24 of 64 cores of one runner. The specification has the largest size that is allowed; the control's is short.
    let spec = format!("3000;{}", "x".repeat(if trouble { 3_995 } else { 35 }));
    let large = "00000000000000c1".to_owned();
    if !submit(&deployment, &format!("/pattern-nest/{large}"), &job(&spec, 1_200, 20, 32, 3_000)) {
        deployment.record.line("the large job was not accepted");
        return Verdict::NotRun;
    }
    accepted.push(("pattern-nest".to_owned(), large));
    submit_small_jobs(&deployment, 0xd1, 4, &mut accepted);
    std::thread::sleep(FINISH);
    let idle = idle_jobs(&deployment, &accepted);
    for (_, id) in &accepted {
        deployment.record_runs(id);
    }
    let lines = deployment.count_log_lines("decider does not answer");
    deployment.record.line(&format!("lines 'decider does not answer' in the agents' logs: {lines}"));
    deployment.record.line(&format!(
        "jobs that were accepted, have not ended and had nothing running for 3 s, {} s after the traffic: {idle:?}",
        FINISH.as_secs()
    ));
    if idle.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// Number of clients that leave and cancel.
const LEAVING_CLIENTS: u64 = 12;
/// Time between two of them.
const LEAVING_INTERVAL: Duration = Duration::from_millis(330);
/// Time after which they leave: half of the objective of their queue.
const PATIENCE: Duration = Duration::from_millis(125);
/// Length and factor of `platform_slow`, as in the site's list of troubles.
const SLOW_TIME: Duration = Duration::from_millis(4_500);
const SLOW_FACTOR: u32 = 60;

/// Clients that leave before their submission is answered and cancel the job, while the store is slow.
pub fn cancel_in_doubt(folder: &Path, root: &Path, trouble: bool) -> Verdict {
    let Some(deployment) = Deployment::start(folder, root, 3, 3) else {
        return Verdict::NotRun;
    };
    let mut accepted = Vec::new();
    submit_small_jobs(&deployment, 0xa1, 2, &mut accepted);
    if trouble {
        deployment.log.set_slowness(SLOW_FACTOR);
        deployment.record.line(&format!("the store's answers take {SLOW_FACTOR} times as long"));
    }
    let begun = Instant::now();
    let cancelled: Mutex<Vec<(String, Instant, u16)>> = Mutex::default();
    std::thread::scope(|scope| {
        let (deployment, cancelled) = (&deployment, &cancelled);
        for number in 0..LEAVING_CLIENTS {
            scope.spawn(move || {
                std::thread::sleep(LEAVING_INTERVAL * u32::try_from(number).unwrap_or(0));
                let id = format!("{:016x}", 0xe100 + number);
                let path = format!("/seam-check/{id}");
                let entry = usize::try_from(number).unwrap_or(0);
                deployment.call(entry % 3, "POST", &path, &job("25000;", 1, 1_000, 512, 25_000), PATIENCE);
                for attempt in 1..6 {
                    let answer = deployment.call((entry + attempt) % 3, "DELETE", &path, "", CALLER_TIMEOUT);
                    if let Some((status, _)) = answer
                        && (status.is_success() || status == 410)
                    {
                        let acknowledged = (id.clone(), Instant::now(), status.as_u16());
                        cancelled.lock().expect("no thread panics").push(acknowledged);
                        return;
                    }
                    std::thread::sleep(Duration::from_secs(1));
                }
            });
        }
        std::thread::sleep(SLOW_TIME.saturating_sub(begun.elapsed()));
        deployment.log.set_slowness(1);
        deployment.record.line("the store is as fast as usual");
    });
    let calm_since = begun + SLOW_TIME;
    // A calm stretch begins `contact_ms` after the disruption and lasts `cancel_ms` + `stop_grace_ms`.
    let gone_by = calm_since + CONTACT + CANCEL + STOP_GRACE + Duration::from_millis(500);
    std::thread::sleep((gone_by + Duration::from_secs(2)).saturating_duration_since(Instant::now()));
    let cancelled = cancelled.into_inner().expect("no thread panics");
    let mut broken = Vec::new();
    for (id, acknowledged, status) in &cancelled {
        let over = gone_by.max(*acknowledged + CANCEL + STOP_GRACE);
        if deployment.runs(id).iter().any(|(_, run)| run.active_at(over)) {
            broken.push(format!("{id} ({status})"));
        }
        deployment.record_runs(id);
    }
    deployment.record.line(&format!(
        "cancels acknowledged: {}; jobs of them at work {:.1} s after the store is calm: {broken:?}",
        cancelled.len(),
        (gone_by - calm_since).as_secs_f64(),
    ));
    if u64::try_from(cancelled.len()).unwrap_or(0) < LEAVING_CLIENTS / 2 {
        return Verdict::NotRun;
    }
    if broken.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// `attempts` of the queue.
const ATTEMPTS: usize = 4;
/// Time from the start of a hopeless gang to the failure of its first member.
const FAILS_AFTER_MS: u64 = 4_000;
/// Time from the start of the gang to the freeze, and its length, as in the site's list of troubles.
const FREEZE_AFTER: Duration = Duration::from_millis(3_000);
const FREEZE_TIME: Duration = Duration::from_millis(3_500);

/// A hopeless gang, one run of which fails while the agent of the failing member is frozen.
pub fn uncounted_failure(folder: &Path, root: &Path, trouble: bool) -> Verdict {
    let Some(deployment) = Deployment::start(folder, root, 3, 6) else {
        return Verdict::NotRun;
    };
    let id = "00000000000000f1";
    let body = serde_json::json!({"spec": format!("gang 2 0 {FAILS_AFTER_MS}"), "phases": [
        {"task_count": 2, "cpu": 26_000, "mem_mb": 140_000, "gpus": 8, "estimated_ms": 6_800, "gang": true},
    ]});
    if !submit(&deployment, &format!("/pattern-nest/{id}"), &body.to_string()) {
        return Verdict::NotRun;
    }
    if !wait_until(Duration::from_secs(5), || deployment.runs(id).len() == 2) {
        return Verdict::NotRun;
    }
    let failing = |task: &str| task.ends_with(".0");
    let first = deployment.runs(id).into_iter().find(|(_, run)| failing(&run.task));
    let Some((runner, run)) = first else {
        return Verdict::NotRun;
    };
    std::thread::sleep((run.started + FREEZE_AFTER).saturating_duration_since(Instant::now()));
    if trouble {
        deployment.freeze_agent(runner, FREEZE_TIME);
    }
    let ended = || {
        let answer = deployment.call(0, "GET", &format!("/pattern-nest/{id}"), "", CALLER_TIMEOUT);
        answer.is_some_and(|(_, body)| body.contains("failed"))
    };
    let end = Instant::now() + Duration::from_secs(50);
    while !ended() && Instant::now() < end {
        std::thread::sleep(Duration::from_secs(2));
    }
    // The last end has to be taken note of.
    std::thread::sleep(Duration::from_secs(3));
    deployment.record_runs(id);
    let mut runs: Vec<_> = deployment.runs(id).into_iter().map(|(_, run)| run).filter(|run| failing(&run.task)).collect();
    runs.sort_by_key(|run| run.started);
    let starts_over_budget = runs.iter().filter(|run| {
        let failed = runs.iter().filter(|other| {
            other.noted && other.ended.is_some_and(|(at, how)| how == "failed" && at <= run.started)
        });
        failed.count() >= ATTEMPTS
    });
    let starts_over_budget = starts_over_budget.count();
    let noted = runs.iter().filter(|run| run.noted).count();
    deployment.record.line(&format!(
        "starts of the failing task: {}, ends taken note of: {noted}, starts after {ATTEMPTS} runs had ended failed: {starts_over_budget}",
        runs.len()
    ));
    if starts_over_budget == 0 { Verdict::Held } else { Verdict::Broken }
}

/// Two tenants whose clients choose the same ID for jobs in queues of their own; one of them cancels its job.
pub fn shared_id(folder: &Path, root: &Path, trouble: bool) -> Verdict {
    let Some(deployment) = Deployment::start(folder, root, 3, 3) else {
        return Verdict::NotRun;
    };
    let north = "/seam-check/0000000000000001";
    let south = "/pattern-nest/0000000000000001";
    if !submit(&deployment, north, &job("20000;", 1, 1_000, 512, 20_000)) {
        return Verdict::NotRun;
    }
    if !wait_until(Duration::from_secs(3), || !deployment.runs("0000000000000001").is_empty()) {
        return Verdict::NotRun;
    }
    let call = |method: &str, body: &str| deployment.call_as(OTHER_API_KEY, 1, method, south, body, CALLER_TIMEOUT);
    call("POST", &job("3000;", 2, 2_000, 1_024, 3_000));
    std::thread::sleep(Duration::from_secs(2));
    call("GET", "");
    if trouble {
        call("DELETE", "");
    }
    std::thread::sleep(Duration::from_secs(2));
    let state = deployment.call(0, "GET", north, "", CALLER_TIMEOUT);
    deployment.record_runs("0000000000000001");
    let canceled = state.is_some_and(|(_, body)| body.contains("canceled"));
    let text = if canceled { "canceled without cause" } else { "not canceled" };
    deployment.record.line(&format!("the job of key-north is shown as {text}"));
    if canceled { Verdict::Broken } else { Verdict::Held }
}
