//! One direction of a connection.

use super::Shared;
use super::connection::End;
use super::fault::Direction;
use smol::channel::{Receiver, Sender, bounded};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Bytes of one read.
const CHUNK: usize = 16 * 1024;
/// Chunks that are delayed at a time; the sender is held back when there are more.
const CHUNKS: usize = 64;
/// Writes a second at a limited rate, so that a frame arrives in many pieces.
const PIECES: u64 = 20;

/// Which way the bytes flow.
#[derive(Debug, Clone, Copy)]
pub(super) enum Way {
    Forward,
    Backward,
}

type Chunk = (Instant, Vec<u8>);

/// Passes bytes on until the sender has no more, then ends that direction.
pub(super) async fn run(shared: &Shared, way: Way, from: TcpStream, to: TcpStream) -> End {
    let (queue, queued) = bounded(CHUNKS);
    let read = read(shared, way, from, queue);
    let write = write(shared, way, to, queued);
    match smol::future::try_zip(read, write).await {
        Ok(_) => End::Closed,
        Err(end) => end,
    }
}

async fn read(
    shared: &Shared,
    way: Way,
    mut from: TcpStream,
    queue: Sender<Chunk>,
) -> Result<(), End> {
    let mut buffer = vec![0; CHUNK];
    let mut due = Instant::now();
    loop {
        let count = from.read(&mut buffer).await.map_err(|_| End::Reset)?;
        if count == 0 {
            return Ok(());
        }
        due = due.max(Instant::now() + shared.delay(way));
        let chunk = (due, buffer[..count].to_vec());
        queue.send(chunk).await.map_err(|_| End::Reset)?;
    }
}

async fn write(
    shared: &Shared,
    way: Way,
    mut to: TcpStream,
    queued: Receiver<Chunk>,
) -> Result<(), End> {
    let mut sent = 0;
    while let Ok((due, chunk)) = queued.recv().await {
        if due > Instant::now() {
            smol::Timer::at(due).await;
        }
        let mut rest = chunk.as_slice();
        while !rest.is_empty() {
            let faults = unstalled(shared, way).await;
            let (piece, after) = rest.split_at(piece(faults, rest.len(), sent));
            to.write_all(piece).await.map_err(|_| End::Reset)?;
            sent += piece.len() as u64;
            if faults.reset_after > 0 && sent >= faults.reset_after {
                return Err(End::Reset);
            }
            let micros = (piece.len() as u64 * 1_000_000).checked_div(faults.rate);
            if let Some(micros) = micros {
                smol::Timer::after(Duration::from_micros(micros)).await;
            }
            rest = after;
        }
    }
    unstalled(shared, way).await;
    to.shutdown(Shutdown::Write).map_err(|_| End::Reset)
}

/// Waits until bytes get through and returns the faults.
async fn unstalled(shared: &Shared, way: Way) -> Direction {
    loop {
        let change = shared.changed.subscribe();
        let faults = shared.direction(way);
        if !faults.stalled {
            return faults;
        }
        change.wait().await;
    }
}

/// Returns how many of `left` bytes to write at once.
fn piece(faults: Direction, left: usize, sent: u64) -> usize {
    let mut piece = left as u64;
    if faults.rate > 0 {
        piece = piece.min((faults.rate / PIECES).max(1));
    }
    if faults.reset_after > 0 {
        piece = piece.min(faults.reset_after.saturating_sub(sent));
    }
    usize::try_from(piece).unwrap_or(left)
}
