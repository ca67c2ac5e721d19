//! One connection through the proxy.

use super::pipe::{self, Direction};
use super::{Shared, listener};
use smol::io::AsyncReadExt;
use smol::net::TcpStream;
use std::time::Duration;

/// Timeout for connecting to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// How a connection, or a direction of it, ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// Both sides, or the sender of the direction, closed it in order.
    Closed,
    /// The connection is reset.
    Reset,
    /// The connection stays open, but its bytes are discarded.
    Silent,
}

/// Forwards a connection until it closes or a fault ends it.
pub(super) async fn run(shared: &Shared, client: TcpStream) {
    let initial_counts = shared.fault_counts();
    let connect = async { TcpStream::connect(shared.upstream).await.ok() };
    let timeout = async {
        smol::Timer::after(CONNECT_TIMEOUT).await;
        None
    };
    let Some(server) = smol::future::or(connect, timeout).await else {
        tracing::info!(upstream = %shared.upstream, "cannot connect to the upstream");
        return listener::reset_on_drop(&client);
    };
    let _unsupported = (client.set_nodelay(true), server.set_nodelay(true));
    let forwarding = async {
        let forward = pipe::run(shared, Direction::Forward, client.clone(), server.clone());
        let backward = pipe::run(shared, Direction::Backward, server.clone(), client.clone());
        let until_reset = |end| {
            if end == ConnectionEnd::Reset {
                Err(end)
            } else {
                Ok(())
            }
        };
        let forward = async { until_reset(forward.await) };
        let backward = async { until_reset(backward.await) };
        match smol::future::try_zip(forward, backward).await {
            Ok(_) => ConnectionEnd::Closed,
            Err(end) => end,
        }
    };
    let mut end = smol::future::or(forwarding, wait_for_injected_end(shared, initial_counts)).await;
    if end == ConnectionEnd::Silent {
        let discard =
            smol::future::zip(discard_input(client.clone()), discard_input(server.clone()));
        let discard = async {
            discard.await;
            ConnectionEnd::Closed
        };
        // A silent connection can still be reset, but not silenced again.
        let initial_counts = (u64::MAX, initial_counts.1);
        end = smol::future::or(discard, wait_for_injected_end(shared, initial_counts)).await;
    }
    if end == ConnectionEnd::Reset {
        listener::reset_on_drop(&client);
        listener::reset_on_drop(&server);
    }
}

/// Waits until a cut, a reset or a silence ends the connections that were open when the number of
/// silences and resets was `initial_counts`.
async fn wait_for_injected_end(shared: &Shared, initial_counts: (u64, u64)) -> ConnectionEnd {
    loop {
        let change = shared.changed.subscribe();
        let (silences, resets) = shared.fault_counts();
        if shared.faults().cut || resets > initial_counts.1 {
            return ConnectionEnd::Reset;
        }
        if silences > initial_counts.0 {
            return ConnectionEnd::Silent;
        }
        change.wait().await;
    }
}

/// Reads and discards bytes until the stream ends.
async fn discard_input(mut stream: TcpStream) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(1..) = stream.read(&mut buffer).await {}
}
