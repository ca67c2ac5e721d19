//! Callers that send without pause and keep a ledger of what they were told.

use super::caller::{Ask, Reply, exchange};
use super::wall_us;
use godwitstep::http::Client;
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Attempts with one key.
const ATTEMPTS: usize = 12;
/// Pause before an attempt is repeated, and between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(20);

/// One request and all that its caller was told.
#[derive(Debug, Clone)]
pub struct Record {
    pub ask: Ask,
    /// Outcome of each attempt; `broken` if no whole answer came, and `refused` if nothing could be
    /// sent.
    pub outcomes: Vec<String>,
    /// Names of the attempts that were told not to have run.
    pub not_run: Vec<String>,
    /// What those attempts were told beside that: the reason of each refusal.
    pub reasons: Vec<String>,
    /// Whether an answer that came is that of the request.
    pub whole: bool,
    pub sent: u64,
    pub done: u64,
}

impl Record {
    /// The outcome of the last attempt.
    pub fn last(&self) -> &str {
        self.outcomes.last().map_or("", String::as_str)
    }
}

/// Callers that send until they are stopped.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    /// Newest sending time of an answered request. Unit: microseconds of the wall clock.
    newest: Arc<AtomicU64>,
    thread: Option<JoinHandle<Vec<Record>>>,
}

impl Load {
    /// Starts callers that spread over servers. `make` returns the request of a number. A request
    /// whose end is not known is sent again with its key to the next server if `retry` is set.
    pub fn start(
        servers: &[SocketAddr],
        callers: usize,
        retry: bool,
        make: impl Fn(usize) -> Ask + Send + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicU64::new(0));
        let newest = Arc::new(AtomicU64::new(0));
        let (stopped, counted) = (Arc::clone(&stop), Arc::clone(&answered));
        let latest = Arc::clone(&newest);
        let servers = servers.to_vec();
        let thread = std::thread::spawn(move || {
            let executor = LocalExecutor::new();
            let clients: Rc<Vec<_>> = Rc::new(servers.into_iter().map(Client::new).collect());
            let make = Rc::new(make);
            let tasks: Vec<_> = (0..callers)
                .map(|caller| {
                    let (clients, make) = (Rc::clone(&clients), Rc::clone(&make));
                    let (stop, answered) = (Arc::clone(&stopped), Arc::clone(&counted));
                    let newest = Arc::clone(&latest);
                    executor.spawn(async move {
                        let mut records = Vec::new();
                        while !stop.load(Ordering::Relaxed) {
                            let number = caller + records.len() * callers;
                            let record = run(&clients, make(number), caller, retry).await;
                            if record.last() == "answered" {
                                answered.fetch_add(1, Ordering::Relaxed);
                                newest.fetch_max(record.sent, Ordering::Relaxed);
                            }
                            records.push(record);
                            Timer::after(PAUSE).await;
                        }
                        records
                    })
                })
                .collect();
            smol::block_on(executor.run(async {
                let mut all = Vec::new();
                for task in tasks {
                    all.extend(task.await);
                }
                all
            }))
        });
        Self {
            stop,
            answered,
            newest,
            thread: Some(thread),
        }
    }

    /// Returns how many requests have been answered so far.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    /// Reports whether a request has been answered that was sent after a moment.
    pub fn answered_since(&self, moment: u64) -> bool {
        self.newest.load(Ordering::Relaxed) > moment
    }

    /// Stops the callers and returns their ledger, once every request has its end.
    pub fn stop(mut self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        let thread = self.thread.take().expect("stopped once");
        thread.join().expect("the callers end")
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _records = thread.join();
        }
    }
}

async fn run(clients: &[Client], first: Ask, start: usize, retry: bool) -> Record {
    let sent = wall_us();
    let mut ask = first.clone();
    let (mut outcomes, mut not_run) = (Vec::new(), Vec::new());
    let mut reasons = Vec::new();
    let mut whole = true;
    for attempt in 0..ATTEMPTS {
        let client = &clients[(start + attempt) % clients.len()];
        match exchange(client, &ask).await {
            Ok(reply) => {
                whole &= is_whole(&ask, &reply);
                if reply.outcome == "not_run" {
                    not_run.push(reply.request);
                    reasons.push(String::from_utf8_lossy(&reply.body).into_owned());
                }
                outcomes.push(reply.outcome);
            }
            Err(error) => {
                let end = if error.sent { "broken" } else { "refused" };
                outcomes.push(end.to_owned());
            }
        }
        let open = matches!(
            outcomes.last().map(String::as_str),
            Some("broken" | "refused" | "unknown")
        );
        if !retry || !open {
            break;
        }
        ask = ask.again();
        Timer::after(PAUSE).await;
    }
    Record {
        ask: first,
        outcomes,
        not_run,
        reasons,
        whole,
        sent,
        done: wall_us(),
    }
}

/// The stand-in target answers with the request's own body.
fn is_whole(ask: &Ask, reply: &Reply) -> bool {
    reply.outcome != "answered" || reply.body == ask.body.as_bytes()
}
