//! Arguments of the load tool and their bounds.

use super::drive::Load;
use super::path::{Caller, Path};
use super::process::Process;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::net::SocketAddr;
use std::time::Duration;

/// Requests a second on each path.
const RATE_LIMIT: u64 = 5_000;
/// Seconds of a run.
const TIME_LIMIT: u64 = 300;
/// Connections to each address.
const CONNECTION_LIMIT: u64 = 256;
/// Bytes added to a request's body.
const BODY_LIMIT: u64 = 1_000_000;

/// Declares the sub-command.
#[must_use]
pub fn command() -> Command {
    Command::new("load")
        .about("Loads entries and, in the same run, their targets directly")
        .args([
            addresses("entry", "Entries, asked in turn").requires_all([
                "service",
                "workspace",
                "kind",
            ]),
            addresses("direct", "Targets, asked directly in turn"),
            integer(
                "rate",
                "200",
                0..=RATE_LIMIT,
                "Requests a second on each path",
            ),
            integer("seconds", "10", 1..=TIME_LIMIT, "Time of the run"),
            integer(
                "connections",
                "64",
                1..=CONNECTION_LIMIT,
                "Connections to each address",
            ),
            integer(
                "run-ms",
                "0",
                0..=60_000,
                "Service time that the body asks for; 0 for the target's own",
            ),
            integer("body-bytes", "0", 0..=BODY_LIMIT, "Bytes added to the body"),
            integer(
                "deadline-ms",
                "10000",
                1..=300_000,
                "Deadline of each request",
            ),
            integer("seed", "1", 0..=u64::MAX, "Seed of the arrivals"),
            text("service", "Service that entries are asked for"),
            text("workspace", "Workspace of the requests"),
            text("kind", "Kind of the requests"),
            text("token", "Bearer token of the workspace"),
            Arg::new("idempotent")
                .long("idempotent")
                .action(ArgAction::SetTrue)
                .help("Declares the requests idempotent"),
            Arg::new("pid")
                .long("pid")
                .value_name("NAME=PID")
                .action(ArgAction::Append)
                .value_parser(Process::parse)
                .help("Process whose processor share and memory are reported; may be repeated"),
        ])
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(loopback)
        .help(help)
}

fn integer(
    name: &'static str,
    default: &'static str,
    range: std::ops::RangeInclusive<u64>,
    help: &'static str,
) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64).range(range))
        .default_value(default)
        .help(help)
}

fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").help(help)
}

/// Parses an address and refuses all but loopback ones: the tool must not load other machines.
fn loopback(text: &str) -> Result<SocketAddr, String> {
    let address: SocketAddr = text
        .parse()
        .map_err(|_| "not an address IP:PORT".to_owned())?;
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err("not a loopback address".to_owned())
    }
}

/// What to run.
pub(super) struct Settings {
    pub(super) load: Load,
    pub(super) processes: Vec<Process>,
    entries: Vec<SocketAddr>,
    targets: Vec<SocketAddr>,
    caller: Caller,
}

impl Settings {
    pub(super) fn new(given: &ArgMatches) -> Result<Self, hyper::http::Error> {
        let number = |name: &str| given.get_one::<u64>(name).copied().unwrap_or_default();
        let text = |name: &str| given.get_one::<String>(name).cloned();
        let all = |name: &str| given.get_many(name).unwrap_or_default().copied().collect();
        let processes = given.get_many("pid").unwrap_or_default();
        let caller = Caller {
            service: text("service").unwrap_or_default(),
            workspace: text("workspace").unwrap_or_default(),
            kind: text("kind").unwrap_or_default(),
            token: text("token"),
            idempotent: given.get_flag("idempotent"),
            deadline_ms: number("deadline-ms"),
            run_ms: number("run-ms"),
            padding: usize::try_from(number("body-bytes")).unwrap_or_default(),
            connections: usize::try_from(number("connections")).unwrap_or(1),
        };
        caller.check()?;
        Ok(Self {
            load: Load {
                rate: number("rate"),
                time: Duration::from_secs(number("seconds")),
                seed: number("seed"),
                deadline: Duration::from_millis(number("deadline-ms")),
            },
            processes: processes.cloned().collect(),
            entries: all("entry"),
            targets: all("direct"),
            caller,
        })
    }

    /// The path through the entries, if there are any.
    pub(super) fn entry(&self) -> Option<Path> {
        (!self.entries.is_empty()).then(|| Path::entry(&self.entries, self.caller.clone()))
    }

    /// The path to the targets, if there are any.
    pub(super) fn direct(&self) -> Option<Path> {
        (!self.targets.is_empty()).then(|| Path::direct(&self.targets, self.caller.clone()))
    }
}
