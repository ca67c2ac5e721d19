//! Links over loopback sockets.

use futures_util::{SinkExt, StreamExt};
use godwitstep::link::{self, Cause, Event, Link, Step};
use godwitstep_wire::auth::{Exchange, Key, Side};
use godwitstep_wire::{Frame, Heartbeat, Peer, RequestId, Role, VERSION};
use smol::channel::Receiver;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

fn peer(name: &str, incarnation: u64) -> Peer {
    Peer {
        name: name.into(),
        role: Role::Agent,
        incarnation,
        region: "dk-vest".into(),
        domain: "dk-vest-a".into(),
    }
}

fn key() -> Key {
    Key::new("a key for the tests".into()).expect("long enough")
}

fn heartbeat(sequence: u64) -> Frame {
    Frame::Heartbeat(Heartbeat {
        sequence,
        load: None,
        busy_accelerators: None,
        rules: None,
        targets: Vec::new(),
    })
}

/// Starts a listener named `entry-1`.
async fn listen(executor: &LocalExecutor<'_>) -> (SocketAddr, Receiver<Event>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let (events, inbox) = smol::channel::bounded(16);
    executor
        .spawn(link::listen(listener, peer("entry-1", 1), key(), events))
        .detach();
    (address, inbox)
}

async fn next(inbox: &Receiver<Event>) -> Event {
    let late = async {
        Timer::after(Duration::from_secs(4)).await;
        panic!("no event within 4 s");
    };
    smol::future::or(async { inbox.recv().await.expect("listens") }, late).await
}

async fn up(inbox: &Receiver<Event>) -> Link {
    match next(inbox).await {
        Event::Up(link) => link,
        event => panic!("expected a link, got {event:?}"),
    }
}

async fn down(inbox: &Receiver<Event>) -> String {
    match next(inbox).await {
        Event::Down { reason, .. } => reason,
        event => panic!("expected the end of a link, got {event:?}"),
    }
}

type Raw = WebSocketStream<Compat<TcpStream>>;

async fn receive(raw: &mut Raw) -> Option<Frame> {
    match raw.next().await {
        Some(Ok(Message::Binary(bytes))) => Some(Frame::decode(&bytes).expect("decodes")),
        _ => None,
    }
}

async fn send(raw: &mut Raw, frame: &Frame) {
    let message = Message::Binary(frame.encode());
    raw.send(message).await.expect("sends");
}

/// Opens a link by hand, so that the test decides what is sent on it.
async fn open(address: SocketAddr, peer: &Peer, key: &Key) -> Raw {
    let tcp = TcpStream::connect(address).await.expect("connects");
    let request = format!("ws://{address}/link");
    let (mut raw, _) = tokio_tungstenite::client_async(request, tcp.compat())
        .await
        .expect("upgrades");
    let Some(Frame::Challenge { version, nonce }) = receive(&mut raw).await else {
        panic!("expected a challenge");
    };
    let exchange = Exchange {
        version,
        listener: nonce,
        dialler: [5; 32],
    };
    let hello = Frame::Hello {
        version,
        peer: peer.clone(),
        nonce: exchange.dialler,
        mac: exchange.sign(key, Side::Dialler, peer),
    };
    send(&mut raw, &hello).await;
    raw
}

/// Accepts one connection and sends a challenge of the given version and a welcome without proof.
async fn impostor(listener: TcpListener, version: u16) {
    let (tcp, _) = listener.accept().await.expect("accepts");
    let mut raw = tokio_tungstenite::accept_async(tcp.compat())
        .await
        .expect("upgrades");
    let nonce = [1; 32];
    send(&mut raw, &Frame::Challenge { version, nonce }).await;
    if let Some(Frame::Hello { mac, peer, .. }) = receive(&mut raw).await {
        send(&mut raw, &Frame::Welcome { peer, mac }).await;
    }
    std::future::pending::<()>().await;
}

fn run<T>(test: impl AsyncFnOnce(&LocalExecutor<'_>) -> T) -> T {
    let executor = LocalExecutor::new();
    smol::block_on(executor.run(test(&executor)))
}

/// Guards against a dialler without the key being linked.
#[test]
fn wrong_key_is_refused() {
    run(async |executor| {
        let (address, inbox) = listen(executor).await;
        let wrong = Key::new("not the key of the tests".into()).expect("long enough");
        let error = link::connect(address, &peer("agent-1", 1), &wrong)
            .await
            .expect_err("refused");
        assert_eq!(error.step, Step::Authenticate);
        assert!(error.to_string().contains(&address.to_string()), "{error}");
        assert!(inbox.is_empty());
    });
}

/// Guards against a listener without the key that sends the dialler's own proof back to it.
#[test]
fn reflected_proof_is_refused() {
    run(async |executor| {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("bound");
        executor.spawn(impostor(listener, VERSION)).detach();
        let error = link::connect(address, &peer("agent-1", 1), &key())
            .await
            .expect_err("refused");
        assert!(matches!(error.cause, Cause::Proof), "{error}");
    });
}

/// Guards against an error that does not tell which versions meet.
#[test]
fn other_version_is_named() {
    run(async |executor| {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("bound");
        executor.spawn(impostor(listener, 9)).detach();
        let error = link::connect(address, &peer("agent-1", 1), &key())
            .await
            .expect_err("refused");
        let text = error.to_string();
        assert!(text.contains("version 9"), "{text}");
        assert!(text.contains(&format!("speaks {VERSION}")), "{text}");
    });
}

/// Guards against hostile messages that take the listener down or keep their link.
#[test]
fn hostile_messages_close_only_their_link() {
    run(async |executor| {
        let (address, inbox) = listen(executor).await;
        let mut early = open(address, &peer("agent-0", 1), &key()).await;
        let _ = early.send(Message::Binary(vec![0xff; 100].into())).await;
        up(&inbox).await;
        down(&inbox).await;
        for message in [
            Message::Binary(vec![0x9b; 64].into()),
            Message::Binary(vec![0; 2 * 1024 * 1024].into()),
            Message::Text("text".into()),
            Message::Binary(
                Frame::Challenge {
                    version: 1,
                    nonce: [0; 32],
                }
                .encode(),
            ),
        ] {
            let mut raw = open(address, &peer("agent-1", 1), &key()).await;
            assert!(matches!(
                receive(&mut raw).await,
                Some(Frame::Welcome { .. })
            ));
            up(&inbox).await;
            // The listener may close the connection while a large message is being sent.
            let _ = raw.send(message).await;
            down(&inbox).await;
        }
        let good = link::connect(address, &peer("agent-2", 1), &key()).await;
        assert_eq!(&*good.expect("links").peer.name, "entry-1");
    });
}

/// Guards against idle connections that lock real peers out for good.
#[test]
fn unauthenticated_connections_are_bounded_and_expire() {
    run(async |executor| {
        let (address, _inbox) = listen(executor).await;
        let mut idle = Vec::new();
        for _ in 0..link::MAX_UNAUTHENTICATED {
            idle.push(TcpStream::connect(address).await.expect("connects"));
        }
        let agent = peer("agent-1", 1);
        assert!(link::connect(address, &agent, &key()).await.is_err());
        Timer::after(link::HANDSHAKE_TIMEOUT + Duration::from_millis(200)).await;
        link::connect(address, &agent, &key()).await.expect("links");
    });
}

/// Guards against a silent connection that blocks its peer's next one, or stays open.
#[test]
fn silent_link_is_replaced_at_once_and_closed_in_time() {
    run(async |executor| {
        let (address, inbox) = listen(executor).await;
        let agent = peer("agent-1", 3);
        let _silent = open(address, &agent, &key()).await;
        let first = up(&inbox).await;
        let since = Instant::now();
        let _again = open(address, &agent, &key()).await;
        assert!(down(&inbox).await.contains("replaced"));
        let second = up(&inbox).await;
        assert_ne!(first.id(), second.id());
        assert!(since.elapsed() < Duration::from_secs(1));
        assert!(down(&inbox).await.contains("silent"));
        assert!(since.elapsed() >= link::IDLE_TIMEOUT);
        assert!(since.elapsed() < Duration::from_millis(2500));
        assert!(!second.send(heartbeat(1)));
    });
}

/// Guards against a late connection of an earlier life that displaces the present one.
#[test]
fn newer_incarnation_replaces_and_older_is_refused() {
    run(async |executor| {
        let (address, inbox) = listen(executor).await;
        let _old = open(address, &peer("agent-1", 3), &key()).await;
        up(&inbox).await;
        let _new = open(address, &peer("agent-1", 4), &key()).await;
        down(&inbox).await;
        assert_eq!(up(&inbox).await.peer().incarnation, 4);
        let late = link::connect(address, &peer("agent-1", 3), &key()).await;
        assert!(late.is_err());
        assert!(inbox.is_empty());
    });
}

/// Guards against frames that are lost, reordered or changed, and against a dialler that does not
/// come back.
#[test]
fn frames_cross_in_order_and_a_lost_link_comes_back() {
    run(async |executor| {
        let (address, inbox) = listen(executor).await;
        let (events, dialled) = smol::channel::bounded(16);
        let call = link::dial(address, peer("agent-1", 1), key(), events);
        executor.spawn(call).detach();
        let here = up(&inbox).await;
        let there = up(&dialled).await;
        for sequence in 0..100 {
            assert!(there.send(heartbeat(sequence)));
        }
        for sequence in 0..100 {
            match next(&inbox).await {
                Event::Frame(id, frame) => {
                    assert_eq!((id, frame), (here.id(), heartbeat(sequence)));
                }
                event => panic!("expected a frame, got {event:?}"),
            }
        }
        let id = RequestId {
            incarnation: 1,
            sequence: 2,
        };
        assert!(here.send(Frame::Cancel { id }));
        here.close();
        assert!(!here.send(Frame::Cancel { id }));
        let since = Instant::now();
        assert!(matches!(
            next(&dialled).await,
            Event::Frame(_, Frame::Cancel { .. })
        ));
        assert!(down(&dialled).await.contains("goodbye"));
        up(&dialled).await;
        assert!(since.elapsed() < Duration::from_millis(500));
        down(&inbox).await;
        up(&inbox).await;
    });
}

/// Guards against a peer that does not read and makes this process keep frames without bound.
#[test]
fn full_queue_closes_the_link() {
    run(async |executor| {
        let (address, inbox) = listen(executor).await;
        let _raw = open(address, &peer("agent-1", 1), &key()).await;
        let link = up(&inbox).await;
        let sent = (0..1_000_000)
            .take_while(|&sequence| link.send(heartbeat(sequence)))
            .count();
        assert_eq!(sent, link::MAX_QUEUED_FRAMES);
        assert!(down(&inbox).await.contains("queue is full"));
    });
}
