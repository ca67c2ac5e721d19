//! An agent under test with a fake entry and a fake target.

#![allow(dead_code)]

pub mod worker;

use bytes::Bytes;
use godwitstep::agent;
use godwitstep::http::{self, Limits, Shutdown};
use godwitstep::link::{self, Event, Link};
use godwitstep::settings;
use godwitstep_core::authority::Standing;
use godwitstep_core::clock::{Clock, System};
use godwitstep_wire::auth::Key;
use godwitstep_wire::{Announce, Frame, Heartbeat, Outcome, Peer, Request, RequestId, Role, Rules};
use hyper::{Response, StatusCode};
use serde_json::json;
use smol::channel::{Receiver, Sender};
use smol::net::TcpListener;
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

pub const KEY: &str = "a key for the tests";
pub const DOMAIN: &str = "dk-vest-a";
pub const INCARNATION: u64 = 77;
const PATIENCE: Duration = Duration::from_secs(5);

/// A target that counts its requests and answers each with its own body.
#[derive(Default)]
pub struct Target {
    pub runs: RefCell<Vec<String>>,
    pub leaving: Cell<bool>,
    pub failing: Cell<bool>,
    /// Cuts the connection in the middle of the answer.
    pub breaking: Cell<bool>,
    pub delay: Cell<Duration>,
    pub done: Cell<usize>,
}

impl Target {
    async fn serve(
        self: Rc<Self>,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> Response<http::Body> {
        if request.uri().path() == "/health" {
            let state = if self.leaving.get() {
                "leaving"
            } else {
                "ready"
            };
            return Response::new(http::full(json!({ "state": state }).to_string()));
        }
        let key = request.headers()["godwitstep-key"].to_str().expect("text");
        self.runs.borrow_mut().push(key.to_owned());
        let body = http::read(request.into_body(), 1 << 20, PATIENCE).await;
        Timer::after(self.delay.get()).await;
        self.done.set(self.done.get() + 1);
        if self.breaking.get() {
            let parts = [Ok(Bytes::from_static(b"half")), Err("cut off".into())];
            return Response::new(http::stream(futures_util::stream::iter(parts)));
        }
        let mut answer = Response::new(http::full(body.expect("arrives")));
        if self.failing.get() {
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        answer
    }
}

/// Starts the target at an address and returns what stops it.
pub async fn target(
    executor: &LocalExecutor<'_>,
    target: &Rc<Target>,
    address: SocketAddr,
) -> (SocketAddr, Shutdown) {
    let listener = TcpListener::bind(address).await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let (shutdown, signal) = Shutdown::new();
    let target = Rc::clone(target);
    let serve = http::serve(listener, Limits::default(), signal, async move |request| {
        Rc::clone(&target).serve(request).await
    });
    executor.spawn(serve).detach();
    (address, shutdown)
}

/// The fake entry.
pub struct Entry {
    pub events: Receiver<Event>,
    pub address: SocketAddr,
    pub link: Link,
    pub rules: Rc<RefCell<Option<Rules>>>,
    /// The agent's clock.
    pub clock: Arc<Leap>,
}

/// The system's clock, which can be set forward as if the process had been paused.
#[derive(Default)]
pub struct Leap {
    system: System,
    forward: Mutex<Duration>,
}

impl Leap {
    pub fn forward(&self, by: Duration) {
        *self.forward.lock().expect("not poisoned") += by;
    }
}

impl Clock for Leap {
    fn now(&self) -> Duration {
        self.system.now() + *self.forward.lock().expect("not poisoned")
    }

    fn wall(&self) -> SystemTime {
        self.system.wall()
    }
}

pub fn rules() -> Rules {
    Rules {
        standing: Standing::Fresh,
        version: 10,
        out: Vec::new(),
        deciding: true,
        epoch: 5,
    }
}

pub fn heartbeat(rules: Option<Rules>) -> Frame {
    Frame::Heartbeat(Heartbeat {
        sequence: 1,
        load: None,
        busy_accelerators: None,
        rules,
        targets: Vec::new(),
    })
}

pub fn any() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

pub async fn within<T>(work: impl Future<Output = T>) -> T {
    let late = async {
        Timer::after(PATIENCE).await;
        panic!("nothing within {PATIENCE:?}");
    };
    smol::future::or(work, late).await
}

impl Entry {
    /// Starts an entry and an agent with the given target and worker, and waits for the link.
    pub async fn start(
        executor: &LocalExecutor<'_>,
        beside: serde_json::Value,
    ) -> (Self, Sender<()>, smol::Task<Result<(), agent::Error>>) {
        let listener = TcpListener::bind(any()).await.expect("binds");
        let address = listener.local_addr().expect("bound");
        let (sender, events) = smol::channel::bounded(64);
        let peer = Peer {
            name: "entry-1".into(),
            role: Role::Entry,
            incarnation: INCARNATION,
            region: "dk-vest".into(),
            domain: "dk-vest-b".into(),
        };
        let key = Key::new(KEY.into()).expect("long enough");
        executor
            .spawn(link::listen(listener, peer, key, sender))
            .detach();
        let mut settings = json!({
            "name": "runner-1", "region": "dk-vest", "domain": DOMAIN, "rack": "r1",
            "entries": [address], "link_key": KEY, "stop_limit_ms": 3000,
        });
        let fields = settings.as_object_mut().expect("an object");
        fields.extend(beside.as_object().expect("an object").clone());
        let settings: settings::Agent =
            settings::read(&settings.to_string(), &[]).expect("legal settings");
        let (stop, stopped) = smol::channel::bounded(1);
        let clock = Arc::new(Leap::default());
        let agent = executor.spawn(agent::run(settings, clock.clone(), stopped));
        let link = match within(events.recv()).await.expect("listens") {
            Event::Up(link) => link,
            event => panic!("expected a link, got {event:?}"),
        };
        let rules = Rc::new(RefCell::new(Some(rules())));
        let entry = Self {
            events,
            address,
            link: link.clone(),
            rules: Rc::clone(&rules),
            clock,
        };
        executor
            .spawn(async move {
                loop {
                    let told = rules.borrow().clone();
                    link.send(heartbeat(told));
                    Timer::after(Duration::from_millis(100)).await;
                }
            })
            .detach();
        (entry, stop, agent)
    }

    /// Returns the next frame that `pick` takes; the others are passed over.
    pub async fn next<T>(&self, pick: impl Fn(Frame) -> Option<T>) -> T {
        within(async {
            loop {
                match self.events.recv().await.expect("listens") {
                    Event::Frame(_, frame) => {
                        if let Some(found) = pick(frame) {
                            return found;
                        }
                    }
                    event => tracing::debug!(?event, "passed over"),
                }
            }
        })
        .await
    }

    pub async fn announced(&self, pick: impl Fn(&Announce) -> bool) -> Announce {
        let take = |frame| match frame {
            Frame::Announce(announce) if pick(&announce) => Some(announce),
            _ => None,
        };
        self.next(take).await
    }

    pub async fn reply(&self, sequence: u64) -> Outcome {
        let take = |frame| match frame {
            Frame::Reply(reply) if reply.id == id(sequence) => Some(reply.outcome),
            _ => None,
        };
        self.next(take).await
    }

    pub async fn ask(&self, sequence: u64, key: &str) -> Outcome {
        self.link.send(Frame::Request(request(sequence, key)));
        self.reply(sequence).await
    }

    /// Changes what the heartbeats tell, and tells it at once.
    pub fn tell(&self, rules: Option<Rules>) {
        self.rules.borrow_mut().clone_from(&rules);
        self.link.send(heartbeat(rules));
    }
}

pub const fn id(sequence: u64) -> RequestId {
    RequestId {
        incarnation: INCARNATION,
        sequence,
    }
}

pub fn request(sequence: u64, key: &str) -> Request {
    Request {
        id: id(sequence),
        service: "bookingsted".into(),
        key: key.into(),
        idempotent: false,
        age: Duration::ZERO,
        left: Duration::from_secs(5),
        body: Bytes::from(format!("body of {sequence}")),
    }
}

pub fn run<T>(test: impl AsyncFnOnce(&LocalExecutor<'_>) -> T) -> T {
    let executor = LocalExecutor::new();
    smol::block_on(executor.run(test(&executor)))
}
