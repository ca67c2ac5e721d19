//! Listening sockets of an entry.

use super::error::{Error, Step};
use crate::settings;
use smol::net::TcpListener;
use std::net::SocketAddr;

/// Bound listening sockets of one entry.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts HTTP requests from callers.
    pub callers: TcpListener,
    /// Accepts HTTP requests from operators.
    pub operators: TcpListener,
    /// Accepts links from agents and other entries.
    pub links: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings. Port 0 selects any free port.
    ///
    /// # Errors
    ///
    /// Returns an error that names the failed step and its address.
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
