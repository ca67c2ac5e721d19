//! The mutual authentication handshake, for the dialling and the listening end.

use super::HANDSHAKE_TIMEOUT;
use super::error::{Cause, Error, Step};
use futures_util::{SinkExt, StreamExt};
use godwitstep_wire::auth::{Exchange, Key, NONCE_BYTES, Side};
use godwitstep_wire::{Frame, MAX_FRAME_BYTES, PROTOCOL_VERSION, Peer};
use smol::net::TcpStream;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Maximum message size before the peer is authenticated. Unit: bytes.
const MAX_HANDSHAKE_MESSAGE_BYTES: usize = 2 * 1024;
/// Buffer size per connection and direction. Small, because an entry has many connections. Unit:
/// bytes.
const BUFFER_BYTES: usize = 8 * 1024;

pub(super) type Stream = WebSocketStream<Compat<TcpStream>>;

/// A connection whose peer has proved that it knows the key.
pub struct Socket {
    pub(super) stream: Stream,
    /// Identity that the peer has authenticated as.
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
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_write_buffer_size(MAX_FRAME_BYTES + 2 * BUFFER_BYTES)
        .max_message_size(Some(max_message))
        .max_frame_size(Some(max_message))
}

/// Returns bytes that an attacker can't predict. The standard library's hasher is keyed from the
/// system's random source, which is sufficient here and avoids another dependency.
fn nonce() -> [u8; NONCE_BYTES] {
    let state = RandomState::new();
    let mut nonce = [0; NONCE_BYTES];
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

fn check_version(theirs: u16) -> Result<(), Cause> {
    match theirs {
        PROTOCOL_VERSION => Ok(()),
        theirs => Err(Cause::Version {
            ours: PROTOCOL_VERSION,
            theirs,
        }),
    }
}

/// Runs a step of the handshake with a timeout and adds the step and the peer to its error.
async fn with_timeout<T>(
    step: Step,
    peer: &str,
    work: impl Future<Output = Result<T, Cause>>,
) -> Result<T, Error> {
    let timeout = async {
        smol::Timer::after(HANDSHAKE_TIMEOUT).await;
        Err(Cause::TimedOut(HANDSHAKE_TIMEOUT))
    };
    smol::future::or(work, timeout)
        .await
        .map_err(|cause| Error {
            step,
            peer: peer.to_owned(),
            cause,
        })
}

/// Runs the dialling end of the handshake on a new TCP connection to `address`.
pub(super) async fn initiate(
    tcp: TcpStream,
    address: &str,
    identity: &Peer,
    key: &Key,
) -> Result<Socket, Error> {
    let mut stream = with_timeout(Step::Upgrade, address, async {
        tcp.set_nodelay(true)?;
        let request = format!("ws://{address}/link");
        let (stream, _) =
            client_async_with_config(request, tcp.compat(), Some(config(MAX_FRAME_BYTES))).await?;
        Ok(stream)
    })
    .await?;
    let peer = with_timeout(
        Step::Authenticate,
        address,
        authenticate_listener(&mut stream, identity, key),
    )
    .await?;
    Ok(Socket { stream, peer })
}

async fn authenticate_listener(
    stream: &mut Stream,
    identity: &Peer,
    key: &Key,
) -> Result<Peer, Cause> {
    let expected = "Challenge";
    let Frame::Challenge {
        version,
        nonce: theirs,
    } = receive(stream, expected).await?
    else {
        return Err(Cause::Unexpected { expected });
    };
    check_version(version)?;
    let exchange = Exchange {
        version,
        listener: theirs,
        dialler: nonce(),
    };
    let hello = Frame::Hello {
        version: PROTOCOL_VERSION,
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

/// Runs the listening end of the handshake on an accepted TCP connection from `address`.
///
/// `admit` accepts or refuses the authenticated identity before the welcome is sent.
pub(super) async fn respond(
    tcp: TcpStream,
    address: &str,
    identity: &Peer,
    key: &Key,
    admit: impl FnOnce(&Peer) -> Result<(), Cause>,
) -> Result<Socket, Error> {
    let limit = config(MAX_HANDSHAKE_MESSAGE_BYTES);
    let mut stream = with_timeout(Step::Upgrade, address, async {
        tcp.set_nodelay(true)?;
        Ok(accept_async_with_config(tcp.compat(), Some(limit)).await?)
    })
    .await?;
    let (exchange, peer) = with_timeout(
        Step::Authenticate,
        address,
        authenticate_dialler(&mut stream, key),
    )
    .await?;
    let name = format!("{} at {address}", peer.name);
    with_timeout(Step::Authenticate, &name, async {
        admit(&peer)?;
        // The dialler sends nothing before the welcome, so no bytes are buffered here.
        let raw = stream.into_inner();
        let mut stream =
            Stream::from_raw_socket(raw, Role::Server, Some(config(MAX_FRAME_BYTES))).await;
        let welcome = Frame::Welcome {
            peer: identity.clone(),
            mac: exchange.sign(key, Side::Listener, identity),
        };
        send(&mut stream, &welcome).await?;
        Ok(Socket { stream, peer })
    })
    .await
}

async fn authenticate_dialler(stream: &mut Stream, key: &Key) -> Result<(Exchange, Peer), Cause> {
    let ours = nonce();
    let challenge = Frame::Challenge {
        version: PROTOCOL_VERSION,
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
    check_version(version)?;
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
