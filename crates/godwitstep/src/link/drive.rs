//! Reads and writes the frames of one open link.

use super::IDLE_TIMEOUT;
use super::handle::{Event, Link};
use super::handshake::{Socket, Stream};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use godwitstep_wire::Frame;
use smol::channel::{Receiver, Sender};
use std::time::Duration;
use tokio_tungstenite::tungstenite::Message;

/// Time limit for handing one frame to the operating system.
///
/// Without it, a peer that sends but does not read would keep a full queue allocated forever.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for sending the frames that are still queued when a link is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(250);

/// Delivers `Up`, transfers frames until the link closes, then delivers `Down`.
pub(super) async fn drive(
    socket: Socket,
    link: Link,
    queue_changed: Receiver<()>,
    events: &Sender<Event>,
) {
    let (sink, stream) = socket.stream.split();
    let id = link.id();
    let peer = link.peer().clone();
    if events.send(Event::Up(link.clone())).await.is_ok() {
        tracing::info!(peer = %peer.name, incarnation = peer.incarnation, link = %id, "link is up");
        let reader = read(stream, &link, events);
        let writer = write(sink, &link, &queue_changed);
        let closing = async {
            let reason = link.ended().await;
            smol::Timer::after(DRAIN_TIMEOUT).await;
            reason
        };
        let transfer = smol::future::or(reader, writer);
        let reason = smol::future::or(transfer, closing).await;
        link.end(reason);
    }
    let reason = link.reason().unwrap_or_default();
    tracing::info!(peer = %peer.name, link = %id, reason, "link is down");
    // Fails only if the owner has dropped the receiver and no longer needs the event.
    let _ = events.send(Event::Down { id, peer, reason }).await;
}

/// Delivers received frames until the link fails, and returns the reason.
async fn read(mut stream: SplitStream<Stream>, link: &Link, events: &Sender<Event>) -> String {
    loop {
        let idle = async {
            smol::Timer::after(IDLE_TIMEOUT).await;
            Err(format!("the peer was silent for {IDLE_TIMEOUT:?}"))
        };
        let message = async {
            match stream.next().await {
                Some(Ok(message)) => Ok(message),
                Some(Err(error)) => Err(error.to_string()),
                None => Err("the peer closed the connection".to_owned()),
            }
        };
        let frame = match smol::future::or(message, idle).await {
            Ok(Message::Binary(bytes)) => Frame::decode(&bytes),
            Ok(Message::Ping(_) | Message::Pong(_)) => continue,
            Ok(Message::Close(_)) => return "the peer closed the connection".to_owned(),
            Ok(_) => return "the peer sent a message that is not binary".to_owned(),
            Err(reason) => return reason,
        };
        match frame {
            Ok(Frame::Goodbye) => return "the peer sent a goodbye frame".to_owned(),
            Ok(Frame::Challenge { .. } | Frame::Hello { .. } | Frame::Welcome { .. }) => {
                return "the peer sent a handshake frame on an open link".to_owned();
            }
            Ok(frame) => {
                if events.send(Event::Frame(link.id(), frame)).await.is_err() {
                    return "the receiver of link events is closed".to_owned();
                }
            }
            Err(error) => return error.to_string(),
        }
    }
}

/// Sends queued frames until the link is closed or fails, and returns the reason.
async fn write(
    mut sink: SplitSink<Stream, Message>,
    link: &Link,
    queue_changed: &Receiver<()>,
) -> String {
    loop {
        if let Some(reason) = link.reason() {
            // An error can be ignored, because the link closes in any case.
            let _ = drain(&mut sink, link).await;
            return reason;
        }
        if let Some(bytes) = link.pop() {
            let sent = with_timeout(WRITE_TIMEOUT, sink.feed(Message::Binary(bytes))).await;
            if let Some(reason) = write_error(sent) {
                return reason;
            }
            continue;
        }
        let sent = with_timeout(WRITE_TIMEOUT, sink.flush()).await;
        if let Some(reason) = write_error(sent) {
            return reason;
        }
        if link.is_idle() && queue_changed.recv().await.is_err() {
            return "all handles of the link were dropped".to_owned();
        }
    }
}

async fn drain(
    sink: &mut SplitSink<Stream, Message>,
    link: &Link,
) -> Result<(), tokio_tungstenite::tungstenite::Error> {
    while let Some(bytes) = link.pop() {
        sink.feed(Message::Binary(bytes)).await?;
    }
    sink.close().await
}

async fn with_timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        smol::Timer::after(limit).await;
        None
    };
    smol::future::or(async { Some(work.await) }, timeout).await
}

fn write_error<E: std::fmt::Display>(sent: Option<Result<(), E>>) -> Option<String> {
    match sent {
        Some(Ok(())) => None,
        Some(Err(error)) => Some(error.to_string()),
        None => Some(format!("the peer accepted no data for {WRITE_TIMEOUT:?}")),
    }
}
