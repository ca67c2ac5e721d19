//! Input and output of one open link.

use super::SILENCE;
use super::handle::{Event, Link};
use super::handshake::{Socket, Stream};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use godwitstep_wire::Frame;
use smol::channel::{Receiver, Sender};
use std::time::Duration;
use tokio_tungstenite::tungstenite::Message;

/// Longest time for one frame to be handed to the operating system.
///
/// A peer that sends but does not read would otherwise hold a full queue for good.
const WRITE_LIMIT: Duration = Duration::from_secs(2);
/// Longest time for the frames that are left when a link is closed.
const DRAIN_LIMIT: Duration = Duration::from_millis(250);

/// Delivers `Up`, moves frames until the link ends, and delivers `Down`.
pub(super) async fn drive(socket: Socket, link: Link, woken: Receiver<()>, events: &Sender<Event>) {
    let (sink, stream) = socket.stream.split();
    let id = link.id();
    let peer = link.peer().clone();
    if events.send(Event::Up(link.clone())).await.is_ok() {
        tracing::info!(peer = %peer.name, incarnation = peer.incarnation, link = %id, "link is up");
        let reading = read(stream, &link, events);
        let writing = write(sink, &link, &woken);
        let ending = async {
            let reason = link.ended().await;
            smol::Timer::after(DRAIN_LIMIT).await;
            reason
        };
        let moving = smol::future::or(reading, writing);
        let reason = smol::future::or(moving, ending).await;
        link.end(reason);
    }
    let reason = link.reason().unwrap_or_default();
    tracing::info!(peer = %peer.name, link = %id, reason, "link is down");
    // The owner may be gone, and then nobody needs the event.
    let _ = events.send(Event::Down { id, peer, reason }).await;
}

/// Delivers frames until the link fails, and returns why it did.
async fn read(mut stream: SplitStream<Stream>, link: &Link, events: &Sender<Event>) -> String {
    loop {
        let silent = async {
            smol::Timer::after(SILENCE).await;
            Err(format!("the peer was silent for {SILENCE:?}"))
        };
        let message = async {
            match stream.next().await {
                Some(Ok(message)) => Ok(message),
                Some(Err(error)) => Err(error.to_string()),
                None => Err("the peer closed the connection".to_owned()),
            }
        };
        let frame = match smol::future::or(message, silent).await {
            Ok(Message::Binary(bytes)) => Frame::decode(&bytes),
            Ok(Message::Ping(_) | Message::Pong(_)) => continue,
            Ok(Message::Close(_)) => return "the peer closed the connection".to_owned(),
            Ok(_) => return "the peer sent a message that is not binary".to_owned(),
            Err(reason) => return reason,
        };
        match frame {
            Ok(Frame::Goodbye) => return "the peer said goodbye".to_owned(),
            Ok(Frame::Challenge { .. } | Frame::Hello { .. } | Frame::Welcome { .. }) => {
                return "the peer sent a frame of the handshake".to_owned();
            }
            Ok(frame) => {
                if events.send(Event::Frame(link.id(), frame)).await.is_err() {
                    return "nobody receives the events of the link".to_owned();
                }
            }
            Err(error) => return error.to_string(),
        }
    }
}

/// Sends queued frames until the link is closed or fails, and returns why.
async fn write(mut sink: SplitSink<Stream, Message>, link: &Link, woken: &Receiver<()>) -> String {
    loop {
        if let Some(reason) = link.reason() {
            // A failure changes nothing, because the link ends in any case.
            let _ = drain(&mut sink, link).await;
            return reason;
        }
        if let Some(bytes) = link.pop() {
            let sent = within(WRITE_LIMIT, sink.feed(Message::Binary(bytes))).await;
            if let Some(reason) = failure(sent) {
                return reason;
            }
            continue;
        }
        let sent = within(WRITE_LIMIT, sink.flush()).await;
        if let Some(reason) = failure(sent) {
            return reason;
        }
        if link.is_idle() && woken.recv().await.is_err() {
            return "the link has no owner".to_owned();
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

async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        smol::Timer::after(limit).await;
        None
    };
    smol::future::or(async { Some(work.await) }, late).await
}

fn failure<E: std::fmt::Display>(sent: Option<Result<(), E>>) -> Option<String> {
    match sent {
        Some(Ok(())) => None,
        Some(Err(error)) => Some(error.to_string()),
        None => Some(format!("the peer took no data for {WRITE_LIMIT:?}")),
    }
}
