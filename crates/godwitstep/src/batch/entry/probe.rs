//! Health check of the decider: probes whether another entry's process still holds the role.

use crate::http::{Cause, Client};
use bytes::Bytes;
use godwitstep_batch::id::Epoch;
use hyper::{Request, StatusCode};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Path that returns the epoch under which a process is the decider, or 0 if it is not.
pub(super) const PROBE_PATH: &str = "/epoch";
/// Timeout of a probe. A process that does not answer may be suspended and resume later.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Response status of a process that holds the claim but can't append to the log.
pub(super) const CANNOT_WRITE_STATUS: StatusCode = StatusCode::CONFLICT;

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeResult {
    /// The process is the decider under the probed epoch.
    Decides,
    /// The process holds the claim but can't append to the log.
    Struggles,
    /// The process is not the decider under the epoch, or its host refuses the connection.
    Vacant,
    /// The process returned no usable response.
    None,
}

/// Probes whether the process at an address is the decider under an epoch.
pub(super) async fn send(address: SocketAddr, epoch: Epoch) -> ProbeResult {
    let Ok(request) = Request::get(PROBE_PATH).body(Bytes::new()) else {
        return ProbeResult::None;
    };
    match Client::new(address).exchange(request, PROBE_TIMEOUT).await {
        Ok(response) if response.status() == CANNOT_WRITE_STATUS => ProbeResult::Struggles,
        Ok(response) => match std::str::from_utf8(response.body()).map(str::parse::<Epoch>) {
            Ok(Ok(current)) if current == epoch => ProbeResult::Decides,
            Ok(Ok(_)) => ProbeResult::Vacant,
            _ => ProbeResult::None,
        },
        Err(error) => match error.cause {
            Cause::Io(cause) if cause.kind() == ErrorKind::ConnectionRefused => ProbeResult::Vacant,
            _ => ProbeResult::None,
        },
    }
}
