//! Callers: send requests through all entries and note what they are told.

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

/// Callers at the same time.
const CALLERS: u64 = 12;
/// Mean pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Longest wait of a caller for an answer.
const LIMIT: Duration = Duration::from_secs(20);
/// Times that a caller asks again with the same key if the outcome is unknown.
const AGAIN: u32 = 5;

/// What a caller was told in one exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The answer; whether it was the whole one to the caller's own request.
    Answered {
        own: bool,
    },
    Failed,
    NotRun,
    Unknown,
    /// No answer of an entry came.
    Nothing,
}

/// One request, with all exchanges under its key.
#[derive(Debug, Clone)]
pub struct Sent {
    pub workspace: String,
    pub kind: String,
    pub priority: String,
    pub key: String,
    pub idempotent: bool,
    /// In the order in which they were told. Not empty.
    pub told: Vec<Told>,
    /// Time to the first outcome.
    pub took: Duration,
}

impl Sent {
    pub fn last(&self) -> Told {
        self.told.last().copied().unwrap_or(Told::Nothing)
    }

    /// Returns the key as targets see it.
    pub fn full_key(&self) -> String {
        format!("{}/{}", self.workspace, self.key)
    }
}

/// Callers on a thread of their own.
pub struct Callers {
    sent: Arc<Mutex<Vec<Sent>>>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

struct Plan {
    service: &'static str,
    /// Workspace, kind and priority.
    kinds: Vec<(String, String, String)>,
    entries: Vec<SocketAddr>,
}

impl Callers {
    /// Starts the callers. They send nothing until the resources are declared and wait for
    /// [`Callers::begin`].
    pub fn start(deployment: &Deployment, system: &System) -> Result<Self, Failure> {
        let plan = Plan {
            service: deployment.service,
            kinds: kinds(deployment.workspaces),
            entries: system.callers.clone(),
        };
        let sent = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(true));
        let (noted, ended) = (Arc::clone(&sent), Arc::clone(&stop));
        let thread = thread::Builder::new()
            .name("callers".to_owned())
            .spawn(move || work(plan, &noted, &ended))
            .map_err(|error| Failure::Failed(format!("callers: {error}")))?;
        let callers = Self { sent, stop, thread };
        Ok(callers)
    }

    /// Lets the callers send.
    pub fn begin(&self) {
        self.stop.store(false, Ordering::Relaxed);
        self.thread.thread().unpark();
    }

    /// Lets the callers end once their requests are answered.
    pub fn rest(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    pub fn is_at_rest(&self) -> bool {
        self.thread.is_finished()
    }

    /// Returns what has been told so far.
    pub fn sent(&self) -> Vec<Sent> {
        lock(&self.sent).clone()
    }

    /// Ends the callers and returns what they were told.
    pub fn end(self) -> Vec<Sent> {
        self.rest();
        // A thread that never began waits for a wake-up.
        self.thread.thread().unpark();
        if self.thread.join().is_err() {
            tracing::error!("the callers' thread panicked");
        }
        std::mem::take(&mut *lock(&self.sent))
    }
}

fn lock(sent: &Mutex<Vec<Sent>>) -> std::sync::MutexGuard<'_, Vec<Sent>> {
    sent.lock().unwrap_or_else(PoisonError::into_inner)
}

fn kinds(text: &str) -> Vec<(String, String, String)> {
    let file: Value = serde_json::from_str(text).unwrap_or_default();
    let word = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let mut found = Vec::new();
    for workspace in file.as_array().into_iter().flatten() {
        for kind in workspace["spec"]["kinds"].as_array().into_iter().flatten() {
            found.push((
                word(&workspace["name"]),
                word(&kind["name"]),
                word(&kind["priority"]),
            ));
        }
    }
    found
}

fn work(plan: Plan, sent: &Mutex<Vec<Sent>>, stop: &AtomicBool) {
    thread::park();
    let plan = Rc::new(plan);
    let executor = LocalExecutor::new();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| executor.spawn(call(Rc::clone(&plan), number, sent, stop)))
        .collect();
    smol::block_on(executor.run(async {
        for caller in callers {
            caller.await;
        }
    }));
}

async fn call(plan: Rc<Plan>, caller: u64, sent: &Mutex<Vec<Sent>>, stop: &AtomicBool) {
    let mut rng = Rng::with_seed(caller);
    let clients: Vec<Client> = plan.entries.iter().copied().map(Client::new).collect();
    let mut number = 0_u32;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let (workspace, kind, priority) = plan.kinds[rng.usize(..plan.kinds.len())].clone();
        let mut request = Sent {
            workspace,
            kind,
            priority,
            key: format!("caller-{caller}-{number}"),
            idempotent: rng.bool(),
            told: Vec::new(),
            took: Duration::ZERO,
        };
        let body: Bytes =
            format!("{} of {}: {}", request.key, request.workspace, rng.u64(..)).into();
        let start = Instant::now();
        for attempt in 1..=AGAIN {
            let client = &clients[rng.usize(..clients.len())];
            let told = exchange(client, plan.service, &request, attempt, &body).await;
            if attempt == 1 {
                request.took = start.elapsed();
            }
            request.told.push(told);
            if told != Told::Unknown {
                break;
            }
            Timer::after(Duration::from_millis(300)).await;
        }
        lock(sent).push(request);
        Timer::after(PAUSE.mul_f64(rng.f64() * 2.0)).await;
    }
}

async fn exchange(client: &Client, service: &str, sent: &Sent, attempt: u32, body: &Bytes) -> Told {
    let request = Request::post(format!("/v1/services/{service}/requests"))
        .header(WORKSPACE, &sent.workspace)
        .header(KIND, &sent.kind)
        .header(KEY, &sent.key)
        .header(ATTEMPT, attempt)
        .header(IDEMPOTENT, sent.idempotent.to_string())
        .body(body.clone());
    let Ok(request) = request else {
        return Told::Nothing;
    };
    let response = match client.exchange(request, LIMIT).await {
        Ok(response) => response,
        Err(error) => {
            tracing::error!(key = sent.key, workspace = sent.workspace, kind = sent.kind, sent.idempotent, %error, "no answer");
            return Told::Nothing;
        }
    };
    let outcome = response.headers().get(OUTCOME);
    match outcome.and_then(|value| value.to_str().ok()) {
        Some("answered") => Told::Answered {
            own: response.body() == body,
        },
        Some("failed") => Told::Failed,
        Some("not_run") => Told::NotRun,
        Some("unknown") => Told::Unknown,
        _ => Told::Nothing,
    }
}
