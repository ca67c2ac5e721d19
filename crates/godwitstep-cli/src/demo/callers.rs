//! Callers that send requests through all entries and record the outcomes.

use super::deployment::Deployment;
use super::system::System;
use crate::failure::Failure;
use bytes::Bytes;
use fastrand::Rng;
use godwitstep::caller::{ATTEMPT, IDEMPOTENT, KEY, KIND, OUTCOME, WORKSPACE};
use godwitstep::http::Client;
use hyper::Request;
use serde_json::Value;
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Number of concurrent callers.
const CALLER_COUNT: u64 = 12;
/// Mean delay of a caller between two requests.
const MEAN_SEND_DELAY: Duration = Duration::from_millis(40);
/// Time after which a caller stops waiting for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Attempts with one key at most. Only an unknown outcome is retried.
const MAX_ATTEMPTS: u32 = 5;

/// Outcome of one attempt, as the entry reported it to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerOutcome {
    Answered {
        /// Whether the answer is complete and belongs to this request.
        body_matches: bool,
    },
    Failed,
    NotRun,
    Unknown,
    /// No response, or one without an outcome.
    NoResponse,
}

/// A request with the outcomes of all attempts with its key.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub workspace: String,
    pub kind: String,
    pub priority: String,
    pub key: String,
    pub idempotent: bool,
    /// Outcomes of the attempts, in order. Not empty.
    pub outcomes: Vec<CallerOutcome>,
    /// Duration of the first attempt.
    pub first_latency: Duration,
}

impl RequestRecord {
    /// Returns the outcome of the last attempt.
    pub fn final_outcome(&self) -> CallerOutcome {
        let last = self.outcomes.last();
        last.copied().unwrap_or(CallerOutcome::NoResponse)
    }

    /// Returns the key as targets receive it: with the workspace as its prefix.
    pub fn target_key(&self) -> String {
        format!("{}/{}", self.workspace, self.key)
    }
}

/// All callers, on one thread.
pub struct Callers {
    records: Arc<Mutex<Vec<RequestRecord>>>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

/// What the callers send, and to which entries.
struct Workload {
    service: &'static str,
    /// Workspace, kind and priority.
    kinds: Vec<(String, String, String)>,
    entries: Vec<SocketAddr>,
}

impl Callers {
    /// Starts the thread of the callers. They send nothing until [`Callers::start_sending`] is
    /// called, which has to wait for the declaration of the resources.
    pub fn start(deployment: &Deployment, system: &System) -> Result<Self, Failure> {
        let workload = Workload {
            service: deployment.service,
            kinds: parse_kinds(deployment.workspaces),
            entries: system.callers.clone(),
        };
        let records = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(true));
        let (thread_records, thread_stop) = (Arc::clone(&records), Arc::clone(&stop));
        let thread = thread::Builder::new()
            .name("callers".to_owned())
            .spawn(move || run_callers(workload, &thread_records, &thread_stop))
            .map_err(|error| Failure::Failed(format!("callers: {error}")))?;
        let callers = Self {
            records,
            stop,
            thread,
        };
        Ok(callers)
    }

    /// Makes the callers start sending.
    pub fn start_sending(&self) {
        self.stop.store(false, Ordering::Relaxed);
        self.thread.thread().unpark();
    }

    /// Makes the callers end after their open requests.
    pub fn stop_sending(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Returns whether all callers have ended.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Returns the records of all requests completed so far.
    pub fn records(&self) -> Vec<RequestRecord> {
        lock(&self.records).clone()
    }

    /// Ends the callers and returns the records of all requests.
    pub fn finish(self) -> Vec<RequestRecord> {
        self.stop_sending();
        // Without a call of `start_sending`, the thread is still parked.
        self.thread.thread().unpark();
        if self.thread.join().is_err() {
            tracing::error!("the callers' thread panicked");
        }
        std::mem::take(&mut *lock(&self.records))
    }
}

fn lock(records: &Mutex<Vec<RequestRecord>>) -> std::sync::MutexGuard<'_, Vec<RequestRecord>> {
    records.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the workspace, name and priority of every kind in a file of workspaces.
fn parse_kinds(text: &str) -> Vec<(String, String, String)> {
    let file: Value = serde_json::from_str(text).unwrap_or_default();
    let string = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let mut kinds = Vec::new();
    for workspace in file.as_array().into_iter().flatten() {
        for kind in workspace["spec"]["kinds"].as_array().into_iter().flatten() {
            kinds.push((
                string(&workspace["name"]),
                string(&kind["name"]),
                string(&kind["priority"]),
            ));
        }
    }
    kinds
}

fn run_callers(workload: Workload, records: &Mutex<Vec<RequestRecord>>, stop: &AtomicBool) {
    thread::park();
    let workload = Rc::new(workload);
    let executor = LocalExecutor::new();
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| executor.spawn(run_caller(Rc::clone(&workload), number, records, stop)))
        .collect();
    smol::block_on(executor.run(async {
        for caller in callers {
            caller.await;
        }
    }));
}

async fn run_caller(
    workload: Rc<Workload>,
    caller: u64,
    records: &Mutex<Vec<RequestRecord>>,
    stop: &AtomicBool,
) {
    let mut rng = Rng::with_seed(caller);
    let clients: Vec<Client> = workload.entries.iter().copied().map(Client::new).collect();
    let mut number = 0_u32;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let (workspace, kind, priority) = workload.kinds[rng.usize(..workload.kinds.len())].clone();
        let mut record = RequestRecord {
            workspace,
            kind,
            priority,
            key: format!("caller-{caller}-{number}"),
            idempotent: rng.bool(),
            outcomes: Vec::new(),
            first_latency: Duration::ZERO,
        };
        let body: Bytes = format!("{} of {}: {}", record.key, record.workspace, rng.u64(..)).into();
        let start = Instant::now();
        for attempt in 1..=MAX_ATTEMPTS {
            let client = &clients[rng.usize(..clients.len())];
            let outcome = send_attempt(client, workload.service, &record, attempt, &body).await;
            if attempt == 1 {
                record.first_latency = start.elapsed();
            }
            record.outcomes.push(outcome);
            if outcome != CallerOutcome::Unknown {
                break;
            }
            Timer::after(Duration::from_millis(300)).await;
        }
        lock(records).push(record);
        Timer::after(MEAN_SEND_DELAY.mul_f64(rng.f64() * 2.0)).await;
    }
}

/// Sends one attempt of a request and returns its outcome.
async fn send_attempt(
    client: &Client,
    service: &str,
    record: &RequestRecord,
    attempt: u32,
    body: &Bytes,
) -> CallerOutcome {
    let request = Request::post(format!("/v1/services/{service}/requests"))
        .header(WORKSPACE, &record.workspace)
        .header(KIND, &record.kind)
        .header(KEY, &record.key)
        .header(ATTEMPT, attempt)
        .header(IDEMPOTENT, record.idempotent.to_string())
        .body(body.clone());
    let Ok(request) = request else {
        return CallerOutcome::NoResponse;
    };
    let response = match client.exchange(request, RESPONSE_TIMEOUT).await {
        Ok(response) => response,
        Err(error) => {
            tracing::error!(key = record.key, workspace = record.workspace, kind = record.kind, sent.idempotent = record.idempotent, %error, "no response to the request");
            return CallerOutcome::NoResponse;
        }
    };
    let outcome = response.headers().get(OUTCOME);
    match outcome.and_then(|value| value.to_str().ok()) {
        Some("answered") => CallerOutcome::Answered {
            body_matches: response.body() == body,
        },
        Some("failed") => CallerOutcome::Failed,
        Some("not_run") => CallerOutcome::NotRun,
        Some("unknown") => CallerOutcome::Unknown,
        _ => CallerOutcome::NoResponse,
    }
}
