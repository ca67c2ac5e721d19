//! One client of a crowd: what it sends on each of its connections.

use super::Counters;
use crate::serve::lock;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use smol::Timer;
use smol::future::{FutureExt, yield_now};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Delay before a client opens another connection. Without it, connections that are refused would use up the ports.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);
/// Number of bytes at the end of a body that are not sent.
const MISSING_BYTES: usize = 8;
/// Size of the parts in which a whole body is written.
const WRITE_BYTES: usize = 64 * 1024;
/// Size of the parts of a body that is sent in pieces: a network packet's.
const PIECE_BYTES: usize = 1_400;
/// Size of a large chunk.
const LARGE_CHUNK_BYTES: usize = 32 * 1024;
/// Number of chunks of one byte that are written at a time.
const TINY_CHUNKS_PER_WRITE: usize = 1_024;
/// Size of a head without end, below the limit of 16 KiB that servers have.
const ENDLESS_HEAD_BYTES: usize = 15 * 1024;
/// Interval between the bytes of a head that follow.
const ENDLESS_HEAD_INTERVAL: Duration = Duration::from_millis(500);
/// Number of requests on a connection whose responses are not read.
const UNREAD_REQUESTS: usize = 2_000;
/// Number of requests that are written at a time by a client that sends them without end.
const REQUESTS_PER_WRITE: usize = 256;
/// Time without progress after which the server's machine takes no more.
const BLOCKED_TIME: Duration = Duration::from_secs(1);
/// Receive buffer of a connection whose responses are not read.
const UNREAD_BUFFER_BYTES: usize = 4 * 1024;

/// What a client sends on each of its connections, before it waits for the server to close the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Behaviour {
    /// A body with a length, as fast as possible, except its last bytes.
    WholeBody,
    /// The same in small packets.
    Pieces,
    /// A body in chunks of 32 KiB, except its last bytes.
    LargeChunks,
    /// A body in chunks of one byte, except the last ones.
    TinyChunks,
    /// A head without end, of which a byte follows now and then.
    EndlessHead,
    /// Many requests whose responses are not read.
    NonReader,
    /// Requests without end whose responses are not read, as fast as the server's machine takes them.
    Flood,
}

impl Behaviour {
    /// The behaviours of random crowds.
    pub const ALL: [Self; 6] = [
        Self::WholeBody,
        Self::Pieces,
        Self::LargeChunks,
        Self::TinyChunks,
        Self::EndlessHead,
        Self::NonReader,
    ];
    /// Behaviours that send a body.
    pub const BODIES: [Self; 4] = [
        Self::WholeBody,
        Self::Pieces,
        Self::LargeChunks,
        Self::TinyChunks,
    ];
}

/// A client of a crowd.
#[derive(Debug, Clone)]
pub struct Client {
    /// What the client sends.
    pub behaviour: Behaviour,
    /// Request line and header fields, each with its line end. Those of the body's length and the empty line at the
    /// end are added.
    pub head: String,
    /// Size of the body, which is announced but not sent to its end. Unit: bytes.
    pub body_bytes: usize,
}

/// A connection whose sent bytes are counted.
struct Connection<'a> {
    stream: TcpStream,
    counters: &'a Counters,
}

/// Opens one connection after the other.
pub(super) async fn run(client: Rc<Client>, server: SocketAddr, counters: Arc<Counters>) {
    let mut arrived = false;
    let mut arrive = || {
        if !std::mem::replace(&mut arrived, true) {
            counters.arrived.fetch_add(1, Ordering::Relaxed);
        }
    };
    loop {
        // Connections that fail are those that the server refuses or closes, which is its right.
        let _closed = serve_once(&client, server, &counters, &mut arrive).await;
        arrive();
        Timer::after(RECONNECT_DELAY).await;
    }
}

/// Opens a connection and uses it until the server closes it.
async fn serve_once(
    client: &Client,
    server: SocketAddr,
    counters: &Counters,
    arrive: &mut impl FnMut(),
) -> io::Result<()> {
    let stream = TcpStream::connect(server).await?;
    counters.connections.fetch_add(1, Ordering::Relaxed);
    stream.set_nodelay(true)?;
    let reads = !matches!(client.behaviour, Behaviour::NonReader | Behaviour::Flood);
    if !reads {
        set_socket_recv_buffer_size(&stream, UNREAD_BUFFER_BYTES)?;
    }
    let mut connection = Connection {
        stream: stream.clone(),
        counters,
    };
    let send = async {
        connection.send(client).await?;
        arrive();
        connection.stay(client).await
    };
    if !reads {
        return send.await;
    }
    send.or(read_to_end(stream, counters)).await
}

/// Reads until the server closes the connection. Counts the status of the first response.
async fn read_to_end(mut stream: TcpStream, counters: &Counters) -> io::Result<()> {
    let mut buffer = vec![0; 1_024];
    let count = stream.read(&mut buffer).await?;
    // "HTTP/1.1 503"
    let status = buffer[..count].get(9..12);
    let status = status.and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok());
    if let Some(status) = status {
        *lock(&counters.statuses).entry(status).or_default() += 1;
    }
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}

impl Connection<'_> {
    async fn send(&mut self, client: &Client) -> io::Result<()> {
        let head = &client.head;
        let body_bytes = client.body_bytes;
        let sent_bytes = body_bytes.saturating_sub(MISSING_BYTES);
        match client.behaviour {
            Behaviour::WholeBody => {
                let head = format!("{head}content-length: {body_bytes}\r\n\r\n");
                self.write(head.as_bytes()).await?;
                self.write_in_parts(sent_bytes, WRITE_BYTES).await
            }
            Behaviour::Pieces => {
                let head = format!("{head}content-length: {body_bytes}\r\n\r\n");
                self.write(head.as_bytes()).await?;
                self.write_in_parts(sent_bytes, PIECE_BYTES).await
            }
            Behaviour::LargeChunks => {
                self.write_chunked_head(head).await?;
                self.write_chunks(body_bytes, LARGE_CHUNK_BYTES).await
            }
            Behaviour::TinyChunks => {
                self.write_chunked_head(head).await?;
                let chunks = "1\r\n \r\n".repeat(TINY_CHUNKS_PER_WRITE);
                for _ in 0..sent_bytes / TINY_CHUNKS_PER_WRITE {
                    self.write(chunks.as_bytes()).await?;
                    yield_now().await;
                }
                Ok(())
            }
            Behaviour::EndlessHead => {
                let filler = "x".repeat(ENDLESS_HEAD_BYTES.saturating_sub(head.len()));
                self.write(format!("{head}x-filler: {filler}").as_bytes())
                    .await
            }
            Behaviour::NonReader => {
                let request = format!("{head}content-length: 0\r\n\r\n");
                for _ in 0..UNREAD_REQUESTS {
                    self.write(request.as_bytes()).await?;
                }
                Ok(())
            }
            Behaviour::Flood => {
                let request = format!("{head}content-length: 0\r\n\r\n");
                let requests = request.repeat(REQUESTS_PER_WRITE);
                loop {
                    let blocked = async {
                        Timer::after(BLOCKED_TIME).await;
                        Ok(false)
                    };
                    let written = async { self.write(requests.as_bytes()).await.map(|()| true) };
                    if !written.or(blocked).await? {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Waits after everything has been sent. Ends only with an error.
    async fn stay(&mut self, client: &Client) -> io::Result<()> {
        if client.behaviour != Behaviour::EndlessHead {
            return std::future::pending().await;
        }
        loop {
            Timer::after(ENDLESS_HEAD_INTERVAL).await;
            self.write(b"x").await?;
        }
    }

    async fn write_chunked_head(&mut self, head: &str) -> io::Result<()> {
        let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
        self.write(head.as_bytes()).await
    }

    /// Writes a number of bytes in parts. The parts of all clients are sent in turn.
    async fn write_in_parts(&mut self, bytes: usize, part_bytes: usize) -> io::Result<()> {
        let part = vec![b' '; part_bytes];
        let mut left = bytes;
        while left > 0 {
            let size = left.min(part_bytes);
            self.write(&part[..size]).await?;
            left -= size;
            yield_now().await;
        }
        Ok(())
    }

    /// Writes a body in chunks of a size, except the last bytes of the last one.
    async fn write_chunks(&mut self, body_bytes: usize, chunk_bytes: usize) -> io::Result<()> {
        let mut left = body_bytes;
        while left > 0 {
            let size = left.min(chunk_bytes);
            left -= size;
            let missing = if left == 0 { MISSING_BYTES } else { 0 };
            let mut chunk = format!("{size:x}\r\n").into_bytes();
            chunk.resize(chunk.len() + size.saturating_sub(missing), b' ');
            if left > 0 {
                chunk.extend(b"\r\n");
            }
            self.write(&chunk).await?;
        }
        Ok(())
    }

    async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let count = self.stream.write(bytes).await?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.counters
                .bytes
                .fetch_add(count as u64, Ordering::Relaxed);
            bytes = &bytes[count..];
        }
        Ok(())
    }
}
