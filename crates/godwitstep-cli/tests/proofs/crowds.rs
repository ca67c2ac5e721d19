//! Crowds of clients outside the scheduler's control, each within the limits of a single request, at an entry with
//! lowered limits of memory and descriptors.
//!
//! The tests check no times and no share of served requests. `docs/design/http-budget-baseline.md` has the figures from
//! before entries had limits; entries of that time reject the settings `memory_mb` and `open_files`.

use crate::fixture::{
    Cluster, ClusterConfig, ProcessLimits, RequestSpec, WAIT_TIMEOUT, send_request,
};
use godwitstep_standin::crowd::{Behaviour, Client, Crowd};
use godwitstep_standin::usage::Watch;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Limits by which memory is the shorter resource. An idle debug build needs a quarter of the memory.
const LIMITS: ProcessLimits = ProcessLimits {
    memory_mb: 64,
    open_files: 1_024,
};
/// Number of clients. Their bodies add up to 160 MiB.
const CLIENTS: usize = 160;
/// Maximum size of a body. Unit: bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time for which the crowd stays after it has arrived.
const STAY: Duration = Duration::from_secs(3);
/// Longest wait for the crowd. A server that does not read all of its requests can make them wait.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of attempts of an ordinary request.
const MAX_ATTEMPTS: usize = 8;
/// Delay between two attempts of an ordinary request.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Returns clients whose behaviours alternate, with the name of a workspace.
fn clients(behaviours: &[Behaviour], workspace: &str) -> Vec<Client> {
    let client = |number: usize| {
        let behaviour = behaviours[number % behaviours.len()];
        // A complete request with this method is answered 405 and runs nothing.
        let method = match behaviour {
            Behaviour::NonReader => "GET",
            _ => "POST",
        };
        let head = format!(
            "{method} /v1/services/stitchwatch/requests HTTP/1.1\r\nhost: entry\r\n\
             godwitstep-workspace: {workspace}\r\ngodwitstep-kind: normal\r\n\
             godwitstep-key: crowd-{number}\r\ngodwitstep-deadline-ms: 20000\r\n"
        );
        Client {
            behaviour,
            head,
            body_bytes: MAX_BODY_BYTES,
        }
    };
    (0..CLIENTS).map(client).collect()
}

/// Sends an ordinary request, and repeats it after a refusal or a closed connection.
fn serve_ordinary(entry: SocketAddr, key: &str) -> Result<(), String> {
    let mut request = RequestSpec::new(key, 50);
    let mut seen = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        match send_request(entry, &request) {
            Ok(reply) if reply.status == 200 => return Ok(()),
            Ok(reply) if matches!(reply.status, 429 | 503) => seen.push(reply.status.to_string()),
            Ok(reply) => return Err(format!("request {key} is answered {reply:?}")),
            Err(error) => seen.push(error.to_string()),
        }
        request = request.next_attempt();
        std::thread::sleep(RETRY_DELAY);
    }
    Err(format!("request {key} is not served: {seen:?}"))
}

/// Address of an entry that a crowd meets.
#[derive(Debug, Clone, Copy)]
enum Port {
    Callers,
    Operators,
    Links,
}

/// Returns clients of all kinds whose requests name a path that an address serves, or no path.
fn clients_of_path(path: &str) -> Vec<Client> {
    let behaviours = [&Behaviour::ALL[..], &[Behaviour::Flood]].concat();
    let client = |number: usize| {
        let behaviour = behaviours[number % behaviours.len()];
        let method = match behaviour {
            Behaviour::NonReader | Behaviour::Flood => "GET",
            _ => "POST",
        };
        Client {
            behaviour,
            head: format!("{method} {path} HTTP/1.1\r\nhost: entry\r\n"),
            body_bytes: MAX_BODY_BYTES,
        }
    };
    (0..CLIENTS).map(client).collect()
}

/// Sends a crowd to an entry's address for callers and checks that it withstands it.
fn entry_withstands(name: &str, clients: Vec<Client>) {
    port_withstands(name, Port::Callers, clients);
}

/// Sends a crowd to an address of an entry and checks that the entry withstands it.
fn port_withstands(name: &str, port: Port, clients: Vec<Client>) {
    let mut cluster = Cluster::start_serving(ClusterConfig {
        entries: 1,
        agents: 1,
        exclusive: true,
        limits: Some(LIMITS),
        ..ClusterConfig::default()
    });
    let address = cluster.entries[0].caller_address;
    let watch = Watch::start(cluster.entries[0].node.process.id());
    let met = match port {
        Port::Callers => address,
        Port::Operators => cluster.entries[0].operator_address,
        Port::Links => cluster.entries[0].link_address,
    };
    let crowd = Crowd::start(met, clients).expect("threads can be started");
    let start = Instant::now();
    while !crowd.has_arrived() && start.elapsed() < ARRIVAL_TIMEOUT {
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(STAY);
    let ready = cluster.entries[0].is_ready();
    let in_crowd = serve_ordinary(address, &format!("{name}-in"));
    let report = crowd.stop();
    let after = serve_ordinary(address, &format!("{name}-after"));
    let usage = watch.finish();
    println!("{name}: {usage:?}, ready {ready}, {report:?}");

    assert!(
        cluster.entries[0].node.process.is_running(),
        "the entry has ended"
    );
    let limit_kib = LIMITS.memory_mb * 1_024;
    assert!(usage.peak_kib < limit_kib, "{usage:?}, limits {LIMITS:?}");
    assert!(
        usage.peak_with_unread_kib < limit_kib,
        "{usage:?}, limits {LIMITS:?}"
    );
    assert!(usage.descriptors <= LIMITS.open_files, "{usage:?}");
    assert!(ready, "the entry is not ready in the crowd");
    assert_eq!((in_crowd, after), (Ok(()), Ok(())));
    cluster.entries[0].node.process.terminate();
    let status = cluster.entries[0].node.process.wait(WAIT_TIMEOUT);
    assert!(status.success(), "the entry does not stop after the crowd");
}

/// Guards against an entry that holds whole bodies without a bound.
#[test]
fn an_entry_withstands_whole_bodies_and_pieces() {
    let kinds = [Behaviour::WholeBody, Behaviour::Pieces];
    entry_withstands("whole", clients(&kinds, "airfield-socks"));
}

/// Guards against an entry that holds large chunks without a bound.
#[test]
fn an_entry_withstands_large_chunks() {
    let kinds = [Behaviour::LargeChunks];
    entry_withstands("large-chunks", clients(&kinds, "airfield-socks"));
}

/// Guards against an entry that keeps an object for each chunk of one byte.
#[test]
fn an_entry_withstands_tiny_chunks() {
    let kinds = [Behaviour::TinyChunks];
    entry_withstands("tiny-chunks", clients(&kinds, "airfield-socks"));
}

/// Guards against an entry that holds heads without end, or responses that nobody reads.
///
/// Code without limits does not fail here: the limit of a head bounds what 160 connections hold.
#[test]
fn an_entry_withstands_endless_heads_and_clients_that_read_nothing() {
    let kinds = [Behaviour::EndlessHead, Behaviour::NonReader];
    entry_withstands("heads", clients(&kinds, "airfield-socks"));
}

/// Guards against an entry that holds bodies of a workspace that does not exist.
///
/// Code without limits does not fail here: the workspace is checked before the body is read.
#[test]
fn an_entry_withstands_bodies_of_an_unknown_workspace() {
    entry_withstands("unknown", clients(&Behaviour::BODIES, "nobody"));
}

/// Guards against an entry that holds requests at its address for operators without a bound.
#[test]
fn an_entry_withstands_a_crowd_at_its_operators_address() {
    port_withstands("operators", Port::Operators, clients_of_path("/v1/jobs"));
}

/// Guards against an entry that holds connections at its address for links, or what they send, without a bound.
#[test]
fn an_entry_withstands_a_crowd_at_its_links_address() {
    port_withstands("links", Port::Links, clients_of_path("/link"));
}
