//! A TCP proxy that injects faults between any two ends.
//!
//! ```
//! use godwitstep_standin::log;
//! use godwitstep_standin::proxy::{Control, Proxy, Settings};
//!
//! let service = log::Server::start(log::Settings::default())?;
//! let proxy = Proxy::start(Settings::new(service.address))?;
//! proxy.control(&Control { cut: Some(true), ..Control::default() });
//! assert!(std::net::TcpStream::connect(proxy.address).is_err());
//! # Ok::<(), std::io::Error>(())
//! ```

mod connection;
mod fault;
mod listener;
mod pipe;
mod script;

pub use fault::{Control, Direction, DirectionControl, Faults};
pub use script::Script;

use crate::change_notifier::ChangeNotifier;
use crate::serve::{
    HandlerResult, Spawner, Thread, bind, error_response, http, json_response, lock, read_json,
};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use listener::Listener;
use pipe::Way;
use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Connections at a time; more are reset.
const CONNECTIONS: usize = 1024;
/// Connections of the control interface.
const CONTROL_CONNECTIONS: usize = 16;
/// Time that a change waits for the listener.
const CONTROL_LIMIT: Duration = Duration::from_secs(1);

/// How to start a proxy.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Address; port 0 for any free one.
    pub listen: SocketAddr,
    /// Address of the control interface, `PUT /control`.
    pub control: SocketAddr,
    /// Address that connections are passed on to.
    pub upstream: SocketAddr,
    /// Seed of jitter and of the script.
    pub seed: u64,
    /// Random faults, if any.
    pub script: Option<Script>,
}

impl Settings {
    /// Returns settings for an upstream, with any free ports and without a script.
    #[must_use]
    pub fn new(upstream: SocketAddr) -> Self {
        let any = (Ipv4Addr::LOCALHOST, 0).into();
        Self {
            listen: any,
            control: any,
            upstream,
            seed: 1,
            script: None,
        }
    }
}

struct State {
    faults: Faults,
    /// Number of times that connections were told to go silent.
    silences: u64,
    /// Number of times that connections were reset.
    resets: u64,
    /// Number of changes so far.
    revision: u64,
    /// Changes that the listener has applied.
    applied: u64,
    rng: fastrand::Rng,
}

struct Shared {
    state: Mutex<State>,
    changed: ChangeNotifier,
    /// The listener has applied a change.
    applied: ChangeNotifier,
    upstream: SocketAddr,
}

/// The proxy.
#[derive(Debug)]
pub struct Proxy;

/// A running proxy; it stops, with its connections, when this is dropped.
pub struct Handle {
    /// Address that it serves.
    pub address: SocketAddr,
    /// Address of its control interface.
    pub control_address: SocketAddr,
    shared: Arc<Shared>,
    thread: Thread,
}

impl Proxy {
    /// Starts a proxy on its own thread.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub fn start(settings: Settings) -> io::Result<Handle> {
        let listener = Listener::bind(settings.listen)?;
        let address = listener.address();
        let (control, control_address) = bind(settings.control)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                faults: Faults::default(),
                silences: 0,
                resets: 0,
                revision: 0,
                applied: 0,
                rng: fastrand::Rng::with_seed(settings.seed),
            }),
            changed: ChangeNotifier::default(),
            applied: ChangeNotifier::default(),
            upstream: settings.upstream,
        });
        let served = Arc::clone(&shared);
        let thread = Thread::start("standin-proxy", move |spawner| {
            spawner.spawn(accept(Arc::clone(&served), spawner.clone(), listener));
            if let Some(script) = settings.script {
                let shared = Arc::clone(&served);
                let rng = fastrand::Rng::with_seed(settings.seed);
                spawner.spawn(async move { script::run(&shared, script, rng).await });
            }
            http(spawner, control, CONTROL_CONNECTIONS, move |request| {
                serve(Arc::clone(&served), request)
            });
        })?;
        Ok(Handle {
            address,
            control_address,
            shared,
            thread,
        })
    }
}

impl Handle {
    /// Changes the faults. New connections are treated accordingly once this returns; those that
    /// are to be reset or silenced are so shortly after.
    pub fn control(&self, control: &Control) {
        smol::block_on(self.shared.control(control));
    }

    /// Returns the faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.shared.faults()
    }

    /// Waits until the proxy ends.
    pub fn join(self) {
        self.thread.join();
    }
}

impl Shared {
    async fn control(&self, control: &Control) -> Faults {
        let (revision, faults) = self.change(control);
        self.changed.notify();
        let settled = async {
            loop {
                let applied = self.applied.subscribe();
                if lock(&self.state).applied >= revision {
                    return;
                }
                applied.wait().await;
            }
        };
        let limit = async {
            smol::Timer::after(CONTROL_LIMIT).await;
            tracing::warn!("the listener has not applied a change in time");
        };
        smol::future::or(settled, limit).await;
        faults
    }

    fn change(&self, control: &Control) -> (u64, Faults) {
        let mut state = lock(&self.state);
        state.faults.apply(control);
        state.silences += u64::from(control.silence);
        state.resets += u64::from(control.reset);
        state.revision += 1;
        tracing::info!(?control, "control");
        (state.revision, state.faults)
    }

    /// Opens or closes the listener according to the faults.
    fn adjust(&self, listener: &mut Listener) -> io::Result<()> {
        let (revision, faults) = {
            let state = lock(&self.state);
            (state.revision, state.faults)
        };
        listener.set_open(!faults.cut)?;
        lock(&self.state).applied = revision;
        self.applied.notify();
        Ok(())
    }

    fn faults(&self) -> Faults {
        lock(&self.state).faults
    }

    fn direction(&self, way: Way) -> Direction {
        let faults = self.faults();
        match way {
            Way::Forward => faults.forward,
            Way::Backward => faults.backward,
        }
    }

    /// Draws the delay of a piece.
    fn delay(&self, way: Way) -> Duration {
        let direction = self.direction(way);
        let jitter = match direction.jitter_ms {
            0 => 0,
            most => lock(&self.state).rng.u64(..=most),
        };
        Duration::from_millis(direction.delay_ms.saturating_add(jitter))
    }

    /// Number of silences and resets so far.
    fn counts(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.silences, state.resets)
    }
}

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    Ok(match (request.method(), request.uri().path()) {
        (&Method::GET, "/control") => json_response(StatusCode::OK, &shared.faults()),
        (&Method::PUT, "/control") => match read_json(request).await {
            Ok(control) => json_response(StatusCode::OK, &shared.control(&control).await),
            Err(answer) => answer,
        },
        _ => error_response(StatusCode::NOT_FOUND, "there is no such path"),
    })
}

async fn accept(shared: Arc<Shared>, tasks: Spawner, mut listener: Listener) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let change = shared.changed.subscribe();
        if let Err(error) = shared.adjust(&mut listener) {
            tracing::error!(%error, "cannot change the listener");
            change.wait_timeout(Duration::from_millis(100)).await;
            continue;
        }
        let Some(client) = listener.accept(change).await else {
            continue;
        };
        if open.get() >= CONNECTIONS {
            listener::reset(&client);
            continue;
        }
        open.set(open.get() + 1);
        let (shared, open) = (Arc::clone(&shared), Rc::clone(&open));
        tasks.spawn(async move {
            connection::run(&shared, client).await;
            open.set(open.get() - 1);
        });
    }
}
