//! Health check of another entry: probes whether its process still holds the decider role, or runs at all.

use crate::http::{Cause, Client, Error};
use bytes::Bytes;
use godwitstep_batch::id::Epoch;
use hyper::{Request, Response, StatusCode, Uri};
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

/// Returns whether a process at an address answers a probe, whatever it answers.
pub(super) async fn is_answered(address: SocketAddr) -> bool {
    request_epoch(address).await.is_ok()
}

async fn request_epoch(address: SocketAddr) -> Result<Response<Bytes>, Error> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = Uri::from_static(PROBE_PATH);
    Client::new(address).exchange(request, PROBE_TIMEOUT).await
}

/// Probes whether the process at an address is the decider under an epoch.
pub(super) async fn send(address: SocketAddr, epoch: Epoch) -> ProbeResult {
    match request_epoch(address).await {
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
