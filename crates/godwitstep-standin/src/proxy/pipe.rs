//! Forwards the bytes of one direction of a connection.

use super::Shared;
use super::connection::ConnectionEnd;
use super::fault::DirectionFaults;
use smol::channel::{Receiver, Sender, bounded};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Maximum size of a chunk, which is the result of one read. Unit: bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of delayed chunks. While it is reached, nothing more is read, which slows the
/// sender down.
const MAX_QUEUED_CHUNKS: usize = 64;
/// Number of writes per second at a limited rate, so that a frame arrives in many pieces.
const WRITES_PER_SECOND: u64 = 20;

/// Direction in which bytes are forwarded.
#[derive(Debug, Clone, Copy)]
pub(super) enum Direction {
    /// From the client to the upstream.
    Forward,
    /// From the upstream to the client.
    Backward,
}

/// Bytes of one read, and the time at which to write them.
type Chunk = (Instant, Vec<u8>);

/// Forwards bytes until the sender closes its direction, then closes that of the receiver.
pub(super) async fn run(
    shared: &Shared,
    direction: Direction,
    from: TcpStream,
    to: TcpStream,
) -> ConnectionEnd {
    let (queue, queued) = bounded(MAX_QUEUED_CHUNKS);
    let read = read_chunks(shared, direction, from, queue);
    let write = write_chunks(shared, direction, to, queued);
    match smol::future::try_zip(read, write).await {
        Ok(_) => ConnectionEnd::Closed,
        Err(end) => end,
    }
}

/// Reads chunks and queues them with the delay of the direction.
async fn read_chunks(
    shared: &Shared,
    direction: Direction,
    mut from: TcpStream,
    queue: Sender<Chunk>,
) -> Result<(), ConnectionEnd> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut due = Instant::now();
    loop {
        let count = from
            .read(&mut buffer)
            .await
            .map_err(|_| ConnectionEnd::Reset)?;
        if count == 0 {
            return Ok(());
        }
        due = due.max(Instant::now() + shared.draw_delay(direction));
        let chunk = (due, buffer[..count].to_vec());
        queue.send(chunk).await.map_err(|_| ConnectionEnd::Reset)?;
    }
}

/// Writes queued chunks when they are due, with the other faults of the direction applied.
async fn write_chunks(
    shared: &Shared,
    direction: Direction,
    mut to: TcpStream,
    queued: Receiver<Chunk>,
) -> Result<(), ConnectionEnd> {
    let mut sent = 0;
    while let Ok((due, chunk)) = queued.recv().await {
        if due > Instant::now() {
            smol::Timer::at(due).await;
        }
        let mut remaining = chunk.as_slice();
        while !remaining.is_empty() {
            let faults = wait_while_stalled(shared, direction).await;
            let (piece, after) = remaining.split_at(write_len(faults, remaining.len(), sent));
            to.write_all(piece)
                .await
                .map_err(|_| ConnectionEnd::Reset)?;
            sent += piece.len() as u64;
            if faults.reset_after > 0 && sent >= faults.reset_after {
                return Err(ConnectionEnd::Reset);
            }
            let micros = (piece.len() as u64 * 1_000_000).checked_div(faults.rate);
            if let Some(micros) = micros {
                smol::Timer::after(Duration::from_micros(micros)).await;
            }
            remaining = after;
        }
    }
    wait_while_stalled(shared, direction).await;
    to.shutdown(Shutdown::Write)
        .map_err(|_| ConnectionEnd::Reset)
}

/// Waits until the direction is not stalled and returns its faults.
async fn wait_while_stalled(shared: &Shared, direction: Direction) -> DirectionFaults {
    loop {
        let change = shared.changed.subscribe();
        let faults = shared.direction_faults(direction);
        if !faults.stalled {
            return faults;
        }
        change.wait().await;
    }
}

/// Returns the size of the next write, given the number of bytes that remain of the chunk and the
/// number sent in this direction before.
fn write_len(faults: DirectionFaults, remaining: usize, sent: u64) -> usize {
    let mut len = remaining as u64;
    if faults.rate > 0 {
        len = len.min((faults.rate / WRITES_PER_SECOND).max(1));
    }
    if faults.reset_after > 0 {
        len = len.min(faults.reset_after.saturating_sub(sent));
    }
    usize::try_from(len).unwrap_or(remaining)
}
