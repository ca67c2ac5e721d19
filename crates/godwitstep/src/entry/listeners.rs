//! Sockets at which an entry listens.

use super::error::{Error, Step};
use crate::settings;
use smol::net::TcpListener;
use std::net::SocketAddr;

/// The sockets of one entry.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For operators.
    pub operators: TcpListener,
    /// For agents and other entries.
    pub links: TcpListener,
}

impl Listeners {
    /// Listens at the addresses of the settings. Port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Returns an error that names the step and the address that can't be used.
    pub async fn bind(settings: &settings::Entry) -> Result<Self, Error> {
        Ok(Self {
            callers: listen(Step::Callers, settings.callers).await?,
            operators: listen(Step::Operators, settings.operators).await?,
            links: listen(Step::Links, settings.links).await?,
        })
    }
}

async fn listen(step: Step, address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|cause| Error::Listen {
        step,
        address,
        cause,
    })
}
