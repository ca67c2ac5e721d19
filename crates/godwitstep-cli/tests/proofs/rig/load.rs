//! Load generator: concurrent callers that send requests one after another and record every
//! outcome.

use super::caller::{Reply, RequestSpec, exchange};
use super::unix_time_us;
use godwitstep::http::Client;
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Attempts with one key at most.
const MAX_ATTEMPTS: usize = 12;
/// Delay before a retry, and between two requests of one caller.
const SEND_DELAY: Duration = Duration::from_millis(20);

/// A request and the outcomes of its attempts, as its caller observed them.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The first attempt.
    pub request: RequestSpec,
    /// Outcome of each attempt; `broken` if the request was sent but no complete response arrived,
    /// and `refused` if it could not be sent.
    pub outcomes: Vec<String>,
    /// Identifiers of the attempts with the outcome `not_run`.
    pub not_run: Vec<String>,
    /// Response bodies of those attempts, which hold the reason of each refusal.
    pub refusal_reasons: Vec<String>,
    /// Whether every answer was complete and belonged to this request.
    pub bodies_match: bool,
    /// Time of the first attempt. Unit: microseconds since 1970.
    pub sent_us: u64,
    /// Time after the last attempt. Unit: microseconds since 1970.
    pub done_us: u64,
}

impl RequestRecord {
    /// Returns the outcome of the last attempt.
    pub fn final_outcome(&self) -> &str {
        self.outcomes.last().map_or("", String::as_str)
    }
}

/// Concurrent callers that send until they are stopped.
#[derive(Debug)]
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    /// Latest sending time among the answered requests. Unit: microseconds since 1970.
    latest_answered_sent_us: Arc<AtomicU64>,
    thread: Option<JoinHandle<Vec<RequestRecord>>>,
}

impl LoadGenerator {
    /// Starts callers that are spread over the servers. `make_request` returns the request with a
    /// given number. With `retry`, a request whose outcome is not known is sent again with the same
    /// key to the next server.
    pub fn start(
        servers: &[SocketAddr],
        callers: usize,
        retry: bool,
        make_request: impl Fn(usize) -> RequestSpec + Send + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicU64::new(0));
        let latest_answered_sent_us = Arc::new(AtomicU64::new(0));
        let (thread_stop, thread_answered) = (Arc::clone(&stop), Arc::clone(&answered));
        let thread_latest = Arc::clone(&latest_answered_sent_us);
        let servers = servers.to_vec();
        let thread = std::thread::spawn(move || {
            let executor = LocalExecutor::new();
            let clients: Rc<Vec<_>> = Rc::new(servers.into_iter().map(Client::new).collect());
            let make_request = Rc::new(make_request);
            let tasks: Vec<_> = (0..callers)
                .map(|caller| {
                    let (clients, make_request) = (Rc::clone(&clients), Rc::clone(&make_request));
                    let (stop, answered) = (Arc::clone(&thread_stop), Arc::clone(&thread_answered));
                    let latest_answered_sent_us = Arc::clone(&thread_latest);
                    executor.spawn(async move {
                        let mut records = Vec::new();
                        while !stop.load(Ordering::Relaxed) {
                            let number = caller + records.len() * callers;
                            let record =
                                send_with_retries(&clients, make_request(number), caller, retry)
                                    .await;
                            if record.final_outcome() == "answered" {
                                answered.fetch_add(1, Ordering::Relaxed);
                                latest_answered_sent_us
                                    .fetch_max(record.sent_us, Ordering::Relaxed);
                            }
                            records.push(record);
                            Timer::after(SEND_DELAY).await;
                        }
                        records
                    })
                })
                .collect();
            smol::block_on(executor.run(async {
                let mut records = Vec::new();
                for task in tasks {
                    records.extend(task.await);
                }
                records
            }))
        });
        Self {
            stop,
            answered,
            latest_answered_sent_us,
            thread: Some(thread),
        }
    }

    /// Returns the number of requests answered so far.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    /// Returns whether a request sent after a time has been answered. Unit: microseconds since
    /// 1970.
    pub fn answered_since(&self, time_us: u64) -> bool {
        self.latest_answered_sent_us.load(Ordering::Relaxed) > time_us
    }

    /// Stops the callers, waits for their open requests, and returns all records.
    pub fn stop(mut self) -> Vec<RequestRecord> {
        self.stop.store(true, Ordering::Relaxed);
        let thread = self.thread.take().expect("stopped once");
        thread.join().expect("the callers end")
    }
}

impl Drop for LoadGenerator {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _records = thread.join();
        }
    }
}

async fn send_with_retries(
    clients: &[Client],
    first: RequestSpec,
    first_client: usize,
    retry: bool,
) -> RequestRecord {
    let sent_us = unix_time_us();
    let mut request = first.clone();
    let (mut outcomes, mut not_run) = (Vec::new(), Vec::new());
    let mut refusal_reasons = Vec::new();
    let mut bodies_match = true;
    for attempt in 0..MAX_ATTEMPTS {
        let client = &clients[(first_client + attempt) % clients.len()];
        match exchange(client, &request).await {
            Ok(reply) => {
                bodies_match &= body_matches(&request, &reply);
                if reply.outcome == "not_run" {
                    not_run.push(reply.request);
                    refusal_reasons.push(String::from_utf8_lossy(&reply.body).into_owned());
                }
                outcomes.push(reply.outcome);
            }
            Err(error) => {
                let outcome = if error.sent { "broken" } else { "refused" };
                outcomes.push(outcome.to_owned());
            }
        }
        let unresolved = matches!(
            outcomes.last().map(String::as_str),
            Some("broken" | "refused" | "unknown")
        );
        if !retry || !unresolved {
            break;
        }
        request = request.next_attempt();
        Timer::after(SEND_DELAY).await;
    }
    RequestRecord {
        request: first,
        outcomes,
        not_run,
        refusal_reasons,
        bodies_match,
        sent_us,
        done_us: unix_time_us(),
    }
}

/// Returns whether an answer is complete and belongs to the request: the stand-in target answers
/// with the request's own body.
fn body_matches(request: &RequestSpec, reply: &Reply) -> bool {
    reply.outcome != "answered" || reply.body == request.body.as_bytes()
}
