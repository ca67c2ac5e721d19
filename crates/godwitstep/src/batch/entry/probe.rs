//! Asking another entry's process whether it decides.

use crate::http::{Cause, Client};
use bytes::Bytes;
use godwitstep_batch::id::Epoch;
use hyper::Request;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Path that tells the epoch under which a process decides, or 0.
pub(super) const PATH: &str = "/epoch";
/// Longest time for an answer. A process that gives none may be frozen and come back.
const TIME: Duration = Duration::from_millis(300);

/// Tells whether the process at an address surely does not decide under an epoch: it says so, or its
/// host refuses the connection. No answer tells nothing.
pub(super) async fn vacant(address: SocketAddr, epoch: Epoch) -> bool {
    let Ok(request) = Request::get(PATH).body(Bytes::new()) else {
        return false;
    };
    match Client::new(address).exchange(request, TIME).await {
        Ok(response) => std::str::from_utf8(response.body())
            .ok()
            .and_then(|text| text.trim().parse::<Epoch>().ok())
            .is_some_and(|own| own != epoch),
        Err(error) => match error.cause {
            Cause::Io(cause) => cause.kind() == ErrorKind::ConnectionRefused,
            _ => false,
        },
    }
}
