//! The handshake of both ends.

use super::HANDSHAKE_LIMIT;
use super::error::{Cause, Error, Step};
use futures_util::{SinkExt, StreamExt};
use godwitstep_wire::auth::{Exchange, Key, NONCE, Side};
use godwitstep_wire::{Frame, MAX_FRAME, Peer, VERSION};
use smol::net::TcpStream;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Greatest message before the peer has proved that it knows the key. Unit: bytes.
const MAX_HANDSHAKE_MESSAGE: usize = 2 * 1024;
/// Buffer of one direction of one connection. Small, because an entry has many. Unit: bytes.
const BUFFER: usize = 8 * 1024;

pub(super) type Stream = WebSocketStream<Compat<TcpStream>>;

/// A connection whose peer has proved that it knows the key.
pub struct Socket {
    pub(super) stream: Stream,
    /// The peer.
    pub peer: Peer,
}

impl std::fmt::Debug for Socket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Socket")
            .field("peer", &self.peer)
            .finish_non_exhaustive()
    }
}

fn config(max_message: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER)
        .write_buffer_size(BUFFER)
        .max_write_buffer_size(MAX_FRAME + 2 * BUFFER)
        .max_message_size(Some(max_message))
        .max_frame_size(Some(max_message))
}

/// Returns bytes that an attacker can't foresee. The standard library's hasher is keyed by the
/// system's source of randomness; that is enough here and needs no further library.
fn nonce() -> [u8; NONCE] {
    let state = RandomState::new();
    let mut nonce = [0; NONCE];
    for (index, chunk) in nonce.chunks_mut(8).enumerate() {
        chunk.copy_from_slice(&state.hash_one(index).to_be_bytes());
    }
    nonce
}

async fn send(stream: &mut Stream, frame: &Frame) -> Result<(), Cause> {
    Ok(stream.send(Message::Binary(frame.encode())).await?)
}

async fn receive(stream: &mut Stream, expected: &'static str) -> Result<Frame, Cause> {
    match stream.next().await {
        Some(Ok(Message::Binary(bytes))) => Ok(Frame::decode(&bytes)?),
        Some(Ok(Message::Close(_))) | None => Err(Cause::Closed),
        Some(Ok(_)) => Err(Cause::Unexpected { expected }),
        Some(Err(error)) => Err(error.into()),
    }
}

fn same_version(theirs: u16) -> Result<(), Cause> {
    match theirs {
        VERSION => Ok(()),
        theirs => Err(Cause::Version {
            ours: VERSION,
            theirs,
        }),
    }
}

/// Runs a step of the handshake with the time limit and names step and peer in its error.
async fn limited<T>(
    step: Step,
    peer: &str,
    work: impl Future<Output = Result<T, Cause>>,
) -> Result<T, Error> {
    let late = async {
        smol::Timer::after(HANDSHAKE_LIMIT).await;
        Err(Cause::TimedOut(HANDSHAKE_LIMIT))
    };
    smol::future::or(work, late).await.map_err(|cause| Error {
        step,
        peer: peer.to_owned(),
        cause,
    })
}

/// Runs the dialler's end on a fresh TCP connection to `address`.
pub(super) async fn initiate(
    tcp: TcpStream,
    address: &str,
    identity: &Peer,
    key: &Key,
) -> Result<Socket, Error> {
    let mut stream = limited(Step::Upgrade, address, async {
        tcp.set_nodelay(true)?;
        let request = format!("ws://{address}/link");
        let (stream, _) =
            client_async_with_config(request, tcp.compat(), Some(config(MAX_FRAME))).await?;
        Ok(stream)
    })
    .await?;
    let peer = limited(
        Step::Authenticate,
        address,
        prove(&mut stream, identity, key),
    )
    .await?;
    Ok(Socket { stream, peer })
}

async fn prove(stream: &mut Stream, identity: &Peer, key: &Key) -> Result<Peer, Cause> {
    let expected = "Challenge";
    let Frame::Challenge {
        version,
        nonce: theirs,
    } = receive(stream, expected).await?
    else {
        return Err(Cause::Unexpected { expected });
    };
    same_version(version)?;
    let exchange = Exchange {
        version,
        listener: theirs,
        dialler: nonce(),
    };
    let hello = Frame::Hello {
        version: VERSION,
        peer: identity.clone(),
        nonce: exchange.dialler,
        mac: exchange.sign(key, Side::Dialler, identity),
    };
    send(stream, &hello).await?;
    let expected = "Welcome";
    let Frame::Welcome { peer, mac } = receive(stream, expected).await? else {
        return Err(Cause::Unexpected { expected });
    };
    if exchange.verify(key, Side::Listener, &peer, &mac) {
        Ok(peer)
    } else {
        Err(Cause::Proof)
    }
}

/// Runs the listener's end on an accepted TCP connection from `address`.
///
/// `admit` decides on the proven identity before the dialler is welcomed.
pub(super) async fn respond(
    tcp: TcpStream,
    address: &str,
    identity: &Peer,
    key: &Key,
    admit: impl FnOnce(&Peer) -> Result<(), Cause>,
) -> Result<Socket, Error> {
    let limit = config(MAX_HANDSHAKE_MESSAGE);
    let mut stream = limited(Step::Upgrade, address, async {
        tcp.set_nodelay(true)?;
        Ok(accept_async_with_config(tcp.compat(), Some(limit)).await?)
    })
    .await?;
    let (exchange, peer) =
        limited(Step::Authenticate, address, challenge(&mut stream, key)).await?;
    let name = format!("{} at {address}", peer.name);
    limited(Step::Authenticate, &name, async {
        admit(&peer)?;
        // The dialler sends nothing before the welcome, so no bytes are buffered here.
        let raw = stream.into_inner();
        let mut stream = Stream::from_raw_socket(raw, Role::Server, Some(config(MAX_FRAME))).await;
        let welcome = Frame::Welcome {
            peer: identity.clone(),
            mac: exchange.sign(key, Side::Listener, identity),
        };
        send(&mut stream, &welcome).await?;
        Ok(Socket { stream, peer })
    })
    .await
}

async fn challenge(stream: &mut Stream, key: &Key) -> Result<(Exchange, Peer), Cause> {
    let ours = nonce();
    let challenge = Frame::Challenge {
        version: VERSION,
        nonce: ours,
    };
    send(stream, &challenge).await?;
    let expected = "Hello";
    let Frame::Hello {
        version,
        peer,
        nonce,
        mac,
    } = receive(stream, expected).await?
    else {
        return Err(Cause::Unexpected { expected });
    };
    same_version(version)?;
    let exchange = Exchange {
        version,
        listener: ours,
        dialler: nonce,
    };
    if exchange.verify(key, Side::Dialler, &peer, &mac) {
        Ok((exchange, peer))
    } else {
        Err(Cause::Proof)
    }
}
