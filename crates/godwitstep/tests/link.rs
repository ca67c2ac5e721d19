//! Tests of links over loopback sockets.

use futures_util::{SinkExt, StreamExt};
use godwitstep::link::{self, Cause, Event, Link, Step};
use godwitstep_wire::auth::{Exchange, Key, Side};
use godwitstep_wire::{Frame, Heartbeat, PROTOCOL_VERSION, Peer, RequestId, Role};
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
async fn start_listener(executor: &LocalExecutor<'_>) -> (SocketAddr, Receiver<Event>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let (events, inbox) = smol::channel::bounded(16);
    executor
        .spawn(link::listen(listener, peer("entry-1", 1), key(), events))
        .detach();
    (address, inbox)
}

async fn next_event(inbox: &Receiver<Event>) -> Event {
    let timeout = async {
        Timer::after(Duration::from_secs(4)).await;
        panic!("no event within 4 s");
    };
    smol::future::or(async { inbox.recv().await.expect("listens") }, timeout).await
}

/// Returns the link that the next event reports as open.
async fn next_up(inbox: &Receiver<Event>) -> Link {
    match next_event(inbox).await {
        Event::Up(link) => link,
        event => panic!("expected a link, got {event:?}"),
    }
}

/// Returns the reason for which the next event reports a link as closed.
async fn next_down(inbox: &Receiver<Event>) -> String {
    match next_event(inbox).await {
        Event::Down { reason, .. } => reason,
        event => panic!("expected the end of a link, got {event:?}"),
    }
}

/// Socket on which the test sends and receives frames itself.
type RawSocket = WebSocketStream<Compat<TcpStream>>;

async fn receive(socket: &mut RawSocket) -> Option<Frame> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => Some(Frame::decode(&bytes).expect("decodes")),
        _ => None,
    }
}

async fn send(socket: &mut RawSocket, frame: &Frame) {
    let message = Message::Binary(frame.encode());
    socket.send(message).await.expect("sends");
}

/// Opens a connection and sends the dialler's part of the handshake, so that the test controls all
/// further messages.
async fn open_raw_socket(address: SocketAddr, peer: &Peer, key: &Key) -> RawSocket {
    let tcp = TcpStream::connect(address).await.expect("connects");
    let request = format!("ws://{address}/link");
    let (mut socket, _) = tokio_tungstenite::client_async(request, tcp.compat())
        .await
        .expect("upgrades");
    let Some(Frame::Challenge { version, nonce }) = receive(&mut socket).await else {
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
    send(&mut socket, &hello).await;
    socket
}

/// Accepts one connection without knowing the key: sends a challenge of the given version and, as its
/// proof, the dialler's own MAC.
async fn impersonate_listener(listener: TcpListener, version: u16) {
    let (tcp, _) = listener.accept().await.expect("accepts");
    let mut socket = tokio_tungstenite::accept_async(tcp.compat())
        .await
        .expect("upgrades");
    let nonce = [1; 32];
    send(&mut socket, &Frame::Challenge { version, nonce }).await;
    if let Some(Frame::Hello { mac, peer, .. }) = receive(&mut socket).await {
        send(&mut socket, &Frame::Welcome { peer, mac }).await;
    }
    std::future::pending::<()>().await;
}

/// Runs a test on an executor of its own.
fn run_test<T>(test: impl AsyncFnOnce(&LocalExecutor<'_>) -> T) -> T {
    let executor = LocalExecutor::new();
    smol::block_on(executor.run(test(&executor)))
}

/// Guards against a link to a dialler that does not know the key.
#[test]
fn wrong_key_is_refused() {
    run_test(async |executor| {
        let (address, inbox) = start_listener(executor).await;
        let wrong = Key::new("not the key of the tests".into()).expect("long enough");
        let error = link::connect(address, &peer("agent-1", 1), &wrong)
            .await
            .expect_err("refused");
        assert_eq!(error.step, Step::Authenticate);
        assert!(error.to_string().contains(&address.to_string()), "{error}");
        assert!(inbox.is_empty());
    });
}

/// Guards against a link to a listener that does not know the key and sends the dialler's own proof
/// back to it.
#[test]
fn reflected_proof_is_refused() {
    run_test(async |executor| {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("bound");
        executor
            .spawn(impersonate_listener(listener, PROTOCOL_VERSION))
            .detach();
        let error = link::connect(address, &peer("agent-1", 1), &key())
            .await
            .expect_err("refused");
        assert!(matches!(error.cause, Cause::Proof), "{error}");
    });
}

/// Guards against an error that does not name the versions of both ends.
#[test]
fn version_mismatch_names_both_versions() {
    run_test(async |executor| {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("bound");
        executor.spawn(impersonate_listener(listener, 9)).detach();
        let error = link::connect(address, &peer("agent-1", 1), &key())
            .await
            .expect_err("refused");
        let text = error.to_string();
        assert!(text.contains("version 9"), "{text}");
        assert!(
            text.contains(&format!("speaks {PROTOCOL_VERSION}")),
            "{text}"
        );
    });
}

/// Guards against invalid messages that stop the listener or leave their link open.
#[test]
fn invalid_messages_close_only_their_link() {
    run_test(async |executor| {
        let (address, inbox) = start_listener(executor).await;
        let mut before_welcome = open_raw_socket(address, &peer("agent-0", 1), &key()).await;
        let _ = before_welcome
            .send(Message::Binary(vec![0xff; 100].into()))
            .await;
        next_up(&inbox).await;
        next_down(&inbox).await;
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
            let mut socket = open_raw_socket(address, &peer("agent-1", 1), &key()).await;
            assert!(matches!(
                receive(&mut socket).await,
                Some(Frame::Welcome { .. })
            ));
            next_up(&inbox).await;
            // The listener may close the connection while a large message is being sent.
            let _ = socket.send(message).await;
            next_down(&inbox).await;
        }
        let valid = link::connect(address, &peer("agent-2", 1), &key()).await;
        assert_eq!(&*valid.expect("links").peer.name, "entry-1");
    });
}

/// Guards against idle connections that permanently prevent peers from connecting.
#[test]
fn unauthenticated_connections_are_bounded_and_expire() {
    run_test(async |executor| {
        let (address, _inbox) = start_listener(executor).await;
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

/// Guards against a connection without traffic that blocks the next one of its peer, or that stays
/// open.
#[test]
fn idle_link_is_replaced_at_once_and_closed_after_the_timeout() {
    run_test(async |executor| {
        let (address, inbox) = start_listener(executor).await;
        let agent = peer("agent-1", 3);
        let _first_socket = open_raw_socket(address, &agent, &key()).await;
        let first = next_up(&inbox).await;
        let start = Instant::now();
        let _second_socket = open_raw_socket(address, &agent, &key()).await;
        assert!(next_down(&inbox).await.contains("replaced"));
        let second = next_up(&inbox).await;
        assert_ne!(first.id(), second.id());
        assert!(start.elapsed() < Duration::from_secs(1));
        assert!(next_down(&inbox).await.contains("silent"));
        assert!(start.elapsed() >= link::IDLE_TIMEOUT);
        assert!(start.elapsed() < Duration::from_millis(2500));
        assert!(!second.send(heartbeat(1)));
    });
}

/// Guards against a delayed connection of an earlier incarnation that replaces the current one.
#[test]
fn newer_incarnation_replaces_and_older_is_refused() {
    run_test(async |executor| {
        let (address, inbox) = start_listener(executor).await;
        let _older = open_raw_socket(address, &peer("agent-1", 3), &key()).await;
        next_up(&inbox).await;
        let _newer = open_raw_socket(address, &peer("agent-1", 4), &key()).await;
        next_down(&inbox).await;
        assert_eq!(next_up(&inbox).await.peer().incarnation, 4);
        let outdated = link::connect(address, &peer("agent-1", 3), &key()).await;
        assert!(outdated.is_err());
        assert!(inbox.is_empty());
    });
}

/// Guards against frames that are lost, reordered or changed, and against a dialler that does not
/// reconnect.
#[test]
fn frames_arrive_in_order_and_a_closed_link_is_reopened() {
    run_test(async |executor| {
        let (address, inbox) = start_listener(executor).await;
        let (events, dialler_inbox) = smol::channel::bounded(16);
        let dial = link::dial(address, peer("agent-1", 1), key(), events);
        executor.spawn(dial).detach();
        let accepted_link = next_up(&inbox).await;
        let dialled_link = next_up(&dialler_inbox).await;
        for sequence in 0..100 {
            assert!(dialled_link.send(heartbeat(sequence)));
        }
        for sequence in 0..100 {
            match next_event(&inbox).await {
                Event::Frame(id, frame) => {
                    assert_eq!((id, frame), (accepted_link.id(), heartbeat(sequence)));
                }
                event => panic!("expected a frame, got {event:?}"),
            }
        }
        let id = RequestId {
            incarnation: 1,
            sequence: 2,
        };
        assert!(accepted_link.send(Frame::Cancel { id }));
        accepted_link.close();
        assert!(!accepted_link.send(Frame::Cancel { id }));
        let start = Instant::now();
        assert!(matches!(
            next_event(&dialler_inbox).await,
            Event::Frame(_, Frame::Cancel { .. })
        ));
        assert!(next_down(&dialler_inbox).await.contains("goodbye"));
        next_up(&dialler_inbox).await;
        assert!(start.elapsed() < Duration::from_millis(500));
        next_down(&inbox).await;
        next_up(&inbox).await;
    });
}

/// Guards against a queue that grows without bound because the peer does not read.
#[test]
fn full_queue_closes_the_link() {
    run_test(async |executor| {
        let (address, inbox) = start_listener(executor).await;
        let _socket = open_raw_socket(address, &peer("agent-1", 1), &key()).await;
        let link = next_up(&inbox).await;
        let sent = (0..1_000_000)
            .take_while(|&sequence| link.send(heartbeat(sequence)))
            .count();
        assert_eq!(sent, link::MAX_QUEUED_FRAMES);
        assert!(next_down(&inbox).await.contains("queue is full"));
    });
}
