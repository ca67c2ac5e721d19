//! The entries, agents and stand-ins of a deployment, each on a thread of this process.

use super::deployment::Deployment;
use crate::failure::Failure;
use godwitstep::entry::Listeners;
use godwitstep::settings::{self, Agent, Entry, Override};
use godwitstep::{agent, entry};
use godwitstep_core::clock;
use godwitstep_standin::{log, target, worker};
use smol::channel::{Receiver, Sender};
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

/// Mean service time of the targets. Unit: microseconds.
const MEAN_SERVICE_TIME_US: u64 = 8_000;
/// Time limit of the graceful shutdown of an entry or agent. Unit: milliseconds.
const STOP_LIMIT_MS: &str = "3000";

/// An entry or agent on its own thread.
struct Role {
    name: String,
    /// Closing this channel starts the graceful shutdown.
    stop: Sender<()>,
    thread: JoinHandle<Result<(), String>>,
}

impl Role {
    fn start<F, E>(
        name: String,
        role: impl FnOnce(Receiver<()>) -> F + Send + 'static,
    ) -> Result<Self, Failure>
    where
        F: Future<Output = Result<(), E>>,
        E: Display,
    {
        let (stop, stopped) = smol::channel::bounded(1);
        let run = move || smol::block_on(role(stopped)).map_err(|error| error.to_string());
        let thread = thread::Builder::new().name(name.clone()).spawn(run);
        let thread = thread.map_err(|error| failure(&name, &error))?;
        Ok(Self { name, stop, thread })
    }
}

/// A host with a target and a worker, which its agent manages.
pub struct Host {
    pub name: String,
    pub domain: String,
    pub rack: String,
    pub target: target::Handle,
    pub worker: worker::Handle,
}

/// The ledgers of a host's stand-ins.
pub struct Ledgers {
    pub name: String,
    pub domain: String,
    pub rack: String,
    pub requests: Vec<target::Entry>,
    pub tasks: Vec<worker::TaskRecord>,
}

/// A running deployment.
pub struct System {
    pub hosts: Vec<Host>,
    /// Addresses on which the entries listen for callers.
    pub callers: Vec<SocketAddr>,
    /// Addresses on which the entries listen for operators.
    pub operators: Vec<SocketAddr>,
    entries: Vec<Role>,
    agents: Vec<Role>,
    _log: log::Handle,
}

impl System {
    /// Starts the log, then the entries, then each agent with its target and worker.
    pub fn start(deployment: &Deployment) -> Result<Self, Failure> {
        let log = log::Server::start(log::Settings::default());
        let log = log.map_err(|error| failure("log", &error))?;
        let mut bound = Vec::new();
        for text in deployment.entries {
            bound.push(bind_entry(text, log.address)?);
        }
        let links: Vec<SocketAddr> = bound.iter().map(|(settings, _)| settings.links).collect();
        let mut system = Self {
            hosts: Vec::new(),
            callers: bound.iter().map(|(settings, _)| settings.callers).collect(),
            operators: bound
                .iter()
                .map(|(settings, _)| settings.operators)
                .collect(),
            entries: Vec::new(),
            agents: Vec::new(),
            _log: log,
        };
        for (mut settings, listeners) in bound {
            settings.peers.clone_from(&links);
            let clock = Arc::new(clock::System::new());
            let role = |stop| entry::serve_at(settings, listeners, clock, stop);
            let name = format!("entry {}", system.entries.len());
            system.entries.push(Role::start(name, role)?);
        }
        for text in deployment.agents {
            system.start_host(text, &links)?;
        }
        Ok(system)
    }

    fn start_host(&mut self, text: &str, links: &[SocketAddr]) -> Result<(), Failure> {
        let name = format!("agent {}", self.agents.len());
        let mut target_settings = target::Settings {
            seed: self.agents.len() as u64,
            ..target::Settings::default()
        };
        target_settings.status.service = target::ServiceTime::ExponentialUs(MEAN_SERVICE_TIME_US);
        let target =
            target::Server::start(target_settings).map_err(|error| failure(&name, &error))?;
        let worker = worker::Server::start(worker::Settings::default());
        let worker = worker.map_err(|error| failure(&name, &error))?;
        let links: Vec<String> = links.iter().map(ToString::to_string).collect();
        let settings: Agent = read_settings(
            text,
            &[
                ("entries", links.join(",")),
                ("target.address", target.address.to_string()),
                ("worker.address", worker.address.to_string()),
                ("stop_limit_ms", STOP_LIMIT_MS.to_owned()),
            ],
        )?;
        self.hosts.push(Host {
            name: settings.name.to_string(),
            domain: settings.domain.to_string(),
            rack: settings.rack.to_string(),
            target,
            worker,
        });
        let clock = Arc::new(clock::System::new());
        let role = |stop| agent::run(settings, clock, stop);
        self.agents.push(Role::start(name, role)?);
        Ok(())
    }

    /// Shuts the agents down gracefully, then the entries, and returns the ledgers of the
    /// stand-ins. Adds a line to `failures` for each one that returned an error or panicked.
    pub fn stop(self, failures: &mut Vec<String>) -> Vec<Ledgers> {
        for roles in [self.agents, self.entries] {
            for role in &roles {
                role.stop.close();
            }
            for role in roles {
                match role.thread.join() {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => failures.push(format!("{}: {error}", role.name)),
                    Err(_) => failures.push(format!("{} panicked", role.name)),
                }
            }
        }
        let hosts = self.hosts.into_iter();
        hosts.map(|host| host.ledgers()).collect()
    }
}

impl Host {
    pub fn ledgers(&self) -> Ledgers {
        Ledgers {
            name: self.name.clone(),
            domain: self.domain.clone(),
            rack: self.rack.clone(),
            requests: self.target.ledger(),
            tasks: self.worker.ledger(),
        }
    }
}

/// Binds the sockets of an entry. All of them are bound before an entry starts, because the
/// settings of each entry list the addresses of its peers.
fn bind_entry(text: &str, log: SocketAddr) -> Result<(Entry, Listeners), Failure> {
    let any_port = || "127.0.0.1:0".to_owned();
    let mut settings: Entry = read_settings(
        text,
        &[
            ("callers", any_port()),
            ("operators", any_port()),
            ("links", any_port()),
            ("log", log.to_string()),
            ("stop_limit_ms", STOP_LIMIT_MS.to_owned()),
        ],
    )?;
    let bound = smol::block_on(async {
        let listeners = Listeners::bind(&settings).await?;
        Ok::<_, entry::Error>(listeners)
    });
    let listeners = bound.map_err(|error| Failure::Failed(error.to_string()))?;
    for (address, listener) in [
        (&mut settings.callers, &listeners.callers),
        (&mut settings.operators, &listeners.operators),
        (&mut settings.links, &listeners.links),
    ] {
        *address = listener
            .local_addr()
            .map_err(|error| failure("entry", &error))?;
    }
    Ok((settings, listeners))
}

/// Parses settings with some values replaced, which are given by path.
fn read_settings<S: settings::Settings>(
    text: &str,
    overrides: &[(&str, String)],
) -> Result<S, Failure> {
    let overrides = overrides
        .iter()
        .map(|(path, text)| ((*path).to_owned(), text.clone()));
    let overrides: Vec<Override> = overrides.collect();
    settings::read(text, &overrides).map_err(|faults| Failure::Faults {
        file: "examples".to_owned(),
        faults,
    })
}

fn failure(component: &str, error: &dyn Display) -> Failure {
    Failure::Failed(format!("{component}: {error}"))
}
