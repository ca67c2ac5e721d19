//! Asking another entry's process whether it decides.

use crate::http::{Cause, Client};
use bytes::Bytes;
use godwitstep_batch::id::Epoch;
use hyper::{Request, StatusCode};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Path that tells the epoch under which a process decides, or 0.
pub(super) const PATH: &str = "/epoch";
/// Longest time for an answer. A process that gives none may be frozen and come back.
const TIME: Duration = Duration::from_millis(300);

/// Status of an answer by a process that holds the claim and can't write to the log.
pub(super) const STRUGGLES: StatusCode = StatusCode::CONFLICT;

/// What a process's answer tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Answer {
    /// It decides under the epoch.
    Decides,
    /// It holds the claim and can't write to the log.
    Struggles,
    /// It does not decide under the epoch, or its host refuses the connection.
    Vacant,
    /// There is no answer.
    None,
}

/// Asks the process at an address whether it decides under an epoch.
pub(super) async fn ask(address: SocketAddr, epoch: Epoch) -> Answer {
    let Ok(request) = Request::get(PATH).body(Bytes::new()) else {
        return Answer::None;
    };
    match Client::new(address).exchange(request, TIME).await {
        Ok(response) if response.status() == STRUGGLES => Answer::Struggles,
        Ok(response) => match std::str::from_utf8(response.body()).map(str::parse::<Epoch>) {
            Ok(Ok(own)) if own == epoch => Answer::Decides,
            Ok(Ok(_)) => Answer::Vacant,
            _ => Answer::None,
        },
        Err(error) => match error.cause {
            Cause::Io(cause) if cause.kind() == ErrorKind::ConnectionRefused => Answer::Vacant,
            _ => Answer::None,
        },
    }
}
