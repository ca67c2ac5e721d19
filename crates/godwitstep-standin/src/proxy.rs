//! A TCP proxy that injects faults into the connections between a client and an upstream.
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
mod random_faults;

pub use fault::{Control, DirectionControl, DirectionFaults, Faults};
pub use random_faults::RandomFaults;

use crate::change_notifier::ChangeNotifier;
use crate::serve::{
    HandlerResult, ServerThread, Spawner, bind, error_response, json_response, lock, read_json,
    serve_http,
};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use listener::Listener;
use pipe::Direction;
use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Maximum number of open connections; further ones are reset.
const MAX_CONNECTIONS: usize = 1024;
/// Maximum number of open connections to the control interface.
const MAX_CONTROL_CONNECTIONS: usize = 16;
/// Maximum time that a change of the faults waits until the listener has applied it.
const APPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of a proxy.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Address to listen on; port 0 selects any free port.
    pub listen: SocketAddr,
    /// Address of the control interface, `PUT /control`.
    pub control: SocketAddr,
    /// Address that connections are forwarded to.
    pub upstream: SocketAddr,
    /// Seed of the jitter and of the random faults.
    pub seed: u64,
    /// Random faults, if any.
    pub random_faults: Option<RandomFaults>,
}

impl Settings {
    /// Returns settings for an upstream, with any free ports and without random faults.
    #[must_use]
    pub fn new(upstream: SocketAddr) -> Self {
        let any_port = (Ipv4Addr::LOCALHOST, 0).into();
        Self {
            listen: any_port,
            control: any_port,
            upstream,
            seed: 1,
            random_faults: None,
        }
    }
}

struct State {
    faults: Faults,
    /// Number of changes that silenced the connections.
    silences: u64,
    /// Number of changes that reset the connections.
    resets: u64,
    /// Number of changes of the faults so far.
    revision: u64,
    /// Revision that the listener has applied.
    applied_revision: u64,
    rng: fastrand::Rng,
}

struct Shared {
    state: Mutex<State>,
    /// Notified when the faults change.
    changed: ChangeNotifier,
    /// Notified when the listener has applied a change.
    applied: ChangeNotifier,
    upstream: SocketAddr,
}

/// The proxy; see [`Proxy::start`].
#[derive(Debug)]
pub struct Proxy;

/// Handle of a running proxy, which stops with its connections when the handle is dropped.
pub struct Handle {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    /// Address of the control interface.
    pub control_address: SocketAddr,
    shared: Arc<Shared>,
    thread: ServerThread,
}

impl Proxy {
    /// Starts a proxy on its own thread.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
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
                applied_revision: 0,
                rng: fastrand::Rng::with_seed(settings.seed),
            }),
            changed: ChangeNotifier::default(),
            applied: ChangeNotifier::default(),
            upstream: settings.upstream,
        });
        let thread_shared = Arc::clone(&shared);
        let thread = ServerThread::start("standin-proxy", move |spawner| {
            spawner.spawn(accept_connections(
                Arc::clone(&thread_shared),
                spawner.clone(),
                listener,
            ));
            if let Some(fault_settings) = settings.random_faults {
                let shared = Arc::clone(&thread_shared);
                let rng = fastrand::Rng::with_seed(settings.seed);
                spawner
                    .spawn(async move { random_faults::run(&shared, fault_settings, rng).await });
            }
            serve_http(spawner, control, MAX_CONTROL_CONNECTIONS, move |request| {
                serve(Arc::clone(&thread_shared), request)
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
    /// Changes the faults. Connections opened after this returns are subject to the new faults.
    /// Current connections may be reset or silenced shortly after.
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
    /// Changes the faults and waits until the listener has applied them.
    async fn control(&self, control: &Control) -> Faults {
        let (revision, faults) = self.apply_control(control);
        self.changed.notify();
        let listener_applied = async {
            loop {
                let applied = self.applied.subscribe();
                if lock(&self.state).applied_revision >= revision {
                    return;
                }
                applied.wait().await;
            }
        };
        let timeout = async {
            smol::Timer::after(APPLY_TIMEOUT).await;
            tracing::warn!("timed out waiting for the listener to apply a change");
        };
        smol::future::or(listener_applied, timeout).await;
        faults
    }

    /// Changes the faults and returns them with their revision.
    fn apply_control(&self, control: &Control) -> (u64, Faults) {
        let mut state = lock(&self.state);
        state.faults.apply(control);
        state.silences += u64::from(control.silence);
        state.resets += u64::from(control.reset);
        state.revision += 1;
        tracing::info!(?control, "faults changed");
        (state.revision, state.faults)
    }

    /// Lets the listener accept or refuse connections, according to the faults.
    fn apply_to_listener(&self, listener: &mut Listener) -> io::Result<()> {
        let (revision, faults) = {
            let state = lock(&self.state);
            (state.revision, state.faults)
        };
        listener.set_accepting(!faults.cut)?;
        lock(&self.state).applied_revision = revision;
        self.applied.notify();
        Ok(())
    }

    fn faults(&self) -> Faults {
        lock(&self.state).faults
    }

    fn direction_faults(&self, direction: Direction) -> DirectionFaults {
        let faults = self.faults();
        match direction {
            Direction::Forward => faults.forward,
            Direction::Backward => faults.backward,
        }
    }

    /// Draws the delay of a chunk.
    fn draw_delay(&self, direction: Direction) -> Duration {
        let faults = self.direction_faults(direction);
        let jitter = match faults.jitter_ms {
            0 => 0,
            max => lock(&self.state).rng.u64(..=max),
        };
        Duration::from_millis(faults.delay_ms.saturating_add(jitter))
    }

    /// Returns the numbers of silences and of resets so far.
    fn fault_counts(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.silences, state.resets)
    }
}

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    Ok(match (request.method(), request.uri().path()) {
        (&Method::GET, "/control") => json_response(StatusCode::OK, &shared.faults()),
        (&Method::PUT, "/control") => match read_json(request).await {
            Ok(control) => json_response(StatusCode::OK, &shared.control(&control).await),
            Err(response) => response,
        },
        _ => error_response(StatusCode::NOT_FOUND, "there is no such path"),
    })
}

/// Accepts and forwards connections, and applies changes of the faults to the listener.
async fn accept_connections(shared: Arc<Shared>, spawner: Spawner, mut listener: Listener) {
    let open_connections = Rc::new(Cell::new(0_usize));
    loop {
        let change = shared.changed.subscribe();
        if let Err(error) = shared.apply_to_listener(&mut listener) {
            tracing::error!(%error, "cannot open or close the listener");
            change.wait_timeout(Duration::from_millis(100)).await;
            continue;
        }
        let Some(client) = listener.accept(change).await else {
            continue;
        };
        if open_connections.get() >= MAX_CONNECTIONS {
            listener::reset_on_drop(&client);
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let (shared, open_connections) = (Arc::clone(&shared), Rc::clone(&open_connections));
        spawner.spawn(async move {
            connection::run(&shared, client).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}
