//! One connection through the proxy.

use super::pipe::{self, Way};
use super::{Shared, listener};
use smol::io::AsyncReadExt;
use smol::net::TcpStream;
use std::time::Duration;

/// Time to connect to the upstream.
const CONNECT_LIMIT: Duration = Duration::from_secs(5);

/// How a connection, or a direction of it, ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Closed,
    Reset,
    Silent,
}

/// Passes a connection on until it ends or is told to end.
pub(super) async fn run(shared: &Shared, client: TcpStream) {
    let since = shared.counts();
    let connect = async { TcpStream::connect(shared.upstream).await.ok() };
    let limit = async {
        smol::Timer::after(CONNECT_LIMIT).await;
        None
    };
    let Some(server) = smol::future::or(connect, limit).await else {
        tracing::info!(upstream = %shared.upstream, "cannot connect");
        return listener::reset(&client);
    };
    let _unsupported = (client.set_nodelay(true), server.set_nodelay(true));
    let both = async {
        let forward = pipe::run(shared, Way::Forward, client.clone(), server.clone());
        let backward = pipe::run(shared, Way::Backward, server.clone(), client.clone());
        let until_reset = |end| if end == End::Reset { Err(end) } else { Ok(()) };
        let forward = async { until_reset(forward.await) };
        let backward = async { until_reset(backward.await) };
        match smol::future::try_zip(forward, backward).await {
            Ok(_) => End::Closed,
            Err(end) => end,
        }
    };
    let mut end = smol::future::or(both, told_to_end(shared, since)).await;
    if end == End::Silent {
        let swallowed = smol::future::zip(swallow(client.clone()), swallow(server.clone()));
        let swallowed = async {
            swallowed.await;
            End::Closed
        };
        // A silent connection can still be cut, but not silenced again.
        let since = (u64::MAX, since.1);
        end = smol::future::or(swallowed, told_to_end(shared, since)).await;
    }
    if end == End::Reset {
        listener::reset(&client);
        listener::reset(&server);
    }
}

/// Waits until the connections of a time are told to end.
async fn told_to_end(shared: &Shared, since: (u64, u64)) -> End {
    loop {
        let change = shared.changed.subscribe();
        let (silences, resets) = shared.counts();
        if shared.faults().cut || resets > since.1 {
            return End::Reset;
        }
        if silences > since.0 {
            return End::Silent;
        }
        change.wait().await;
    }
}

/// Reads and drops everything that arrives.
async fn swallow(mut stream: TcpStream) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(1..) = stream.read(&mut buffer).await {}
}
