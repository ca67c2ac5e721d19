//! Server and client helpers against each other over loopback.

use bytes::Bytes;
use futures_util::stream;
use godwitstep::http::{self, Client, Limits, Options, Shutdown, Signal, Step};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode};
use smol::future::zip;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const TIME: Duration = Duration::from_secs(5);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn get(path: &str) -> Request<Bytes> {
    Request::get(path).body(Bytes::new()).unwrap()
}

async fn echo(listener: TcpListener, limits: Limits, signal: Signal) {
    http::serve(listener, limits, signal, async |request| match http::read(
        request.into_body(),
        1024,
        Duration::from_millis(200),
    )
    .await
    {
        Ok(body) => Response::new(http::full(body)),
        Err(error) => {
            let mut response = Response::new(http::full(error.to_string()));
            *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
            response
        }
    })
    .await;
}

/// Guards against a pool that opens a connection for each request or mixes answers up, and
/// against bodies over the limit being read.
#[test]
fn exchanges_reuse_connections_and_bound_bodies() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let (shutdown, signal) = Shutdown::new();
        let limits = Limits {
            connections: 1,
            ..Limits::default()
        };
        let client = Client::new(address);
        let calls = async {
            for number in 0..20 {
                let request = Request::post("/")
                    .body(format!("body {number}").into())
                    .unwrap();
                let answer = client.exchange(request, TIME).await.unwrap();
                assert_eq!(answer.status(), StatusCode::OK);
                assert_eq!(answer.body(), format!("body {number}").as_bytes());
            }
            // The one connection that the server accepts is in use, so another is told so.
            let other = Client::new(address).exchange(get("/"), TIME).await.unwrap();
            assert_eq!(other.status(), StatusCode::SERVICE_UNAVAILABLE);
            let large = Request::post("/").body(vec![0; 2000].into()).unwrap();
            let answer = client.exchange(large, TIME).await.unwrap();
            assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
            shutdown.start();
        };
        zip(echo(listener, limits, signal), calls).await;
    });
}

/// Guards against a request that was cut off being taken for one that never left, and the
/// reverse.
#[test]
fn errors_tell_whether_the_request_left() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let client = Client::new(address);
        let cut = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 512];
            assert!(stream.read(&mut buffer).await.unwrap() > 0);
        };
        let (error, ()) = zip(client.exchange(get("/"), TIME), cut).await;
        let error = error.unwrap_err();
        assert!(error.sent);
        assert_eq!(error.step, Step::Exchange);

        let silent = client.exchange(get("/"), Duration::from_millis(50)).await;
        assert!(silent.unwrap_err().sent);

        drop(listener);
        let refused = client.exchange(get("/"), TIME).await.unwrap_err();
        assert!(!refused.sent);
        assert_eq!(refused.step, Step::Connect);
    });
}

/// Guards against a failure when the server has closed an idle connection meanwhile.
#[test]
fn closed_idle_connections_are_replaced() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let (shutdown, signal) = Shutdown::new();
        let limits = Limits {
            head_timeout: Duration::from_millis(50),
            ..Limits::default()
        };
        let client = Client::new(address);
        let calls = async {
            for _ in 0..3 {
                client.exchange(get("/"), TIME).await.unwrap();
                smol::Timer::after(Duration::from_millis(120)).await;
            }
            shutdown.start();
        };
        zip(echo(listener, limits, signal), calls).await;
    });
}

/// Guards against exchanges that open more connections than the server has slots for.
#[test]
fn the_bound_on_connections_makes_exchanges_wait() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let (shutdown, signal) = Shutdown::new();
        let (now, most) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let server = http::serve(listener, Limits::default(), signal, {
            let (now, most) = (now.clone(), most.clone());
            async move |_| {
                now.set(now.get() + 1);
                most.set(most.get().max(now.get()));
                smol::Timer::after(Duration::from_millis(20)).await;
                now.set(now.get() - 1);
                Response::new(http::empty())
            }
        });
        let client = Client::new(address).options(Options {
            connections: 2,
            ..Options::default()
        });
        let calls = async {
            let all = (0..8).map(|_| client.exchange(get("/"), TIME));
            for answer in futures_util::future::join_all(all).await {
                answer.unwrap();
            }
            shutdown.start();
        };
        zip(server, calls).await;
        assert_eq!(most.get(), 2);
    });
}

/// Guards against a shutdown that cuts off a streamed answer or never ends because of idle or
/// silent connections.
#[test]
fn shutdown_finishes_requests_in_progress() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let (shutdown, signal) = Shutdown::new();
        let server = http::serve(listener, Limits::default(), signal, async |_| {
            let parts = stream::unfold(0, async |number: u32| {
                if number == 5 {
                    return None;
                }
                smol::Timer::after(Duration::from_millis(30)).await;
                Some((Ok(Bytes::from(number.to_string())), number + 1))
            });
            Response::new(http::stream(parts))
        });
        let client = Client::new(address);
        let calls = async {
            let silent = TcpStream::connect(address).await.unwrap();
            let stop = async {
                smol::Timer::after(Duration::from_millis(60)).await;
                shutdown.start();
            };
            let (answer, ()) = zip(client.exchange(get("/"), TIME), stop).await;
            assert_eq!(answer.unwrap().body(), "01234");
            silent
        };
        let started = Instant::now();
        zip(server, calls).await;
        assert!(started.elapsed() < TIME);
    });
}

/// Guards against a caller that sends its head or body a byte at a time and holds a connection.
#[test]
fn slow_heads_and_bodies_are_cut_off() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let (shutdown, signal) = Shutdown::new();
        let limits = Limits {
            head_timeout: Duration::from_millis(100),
            ..Limits::default()
        };
        let calls = async {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(b"GET / HT").await.unwrap();
            let mut text = String::new();
            stream.read_to_string(&mut text).await.unwrap();
            let mut stream = TcpStream::connect(address).await.unwrap();
            let head = b"POST / HTTP/1.1\r\ncontent-length: 10\r\nconnection: close\r\n\r\nab";
            stream.write_all(head).await.unwrap();
            let mut text = String::new();
            stream.read_to_string(&mut text).await.unwrap();
            assert!(text.contains("did not arrive within 200 ms"), "{text}");
            shutdown.start();
        };
        zip(echo(listener, limits, signal), calls).await;
    });
}

/// Guards against streamed answers that are held back until their end, and against a peer that
/// stops reading and keeps its connection for ever.
#[test]
fn streams_come_in_parts_and_stalled_peers_are_cut_off() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let (shutdown, signal) = Shutdown::new();
        let limits = Limits {
            write_timeout: Duration::from_millis(100),
            ..Limits::default()
        };
        let server = http::serve(listener, limits, signal, async |_| {
            let part = Bytes::from(vec![0; 1 << 20]);
            Response::new(http::stream(stream::repeat_with(move || Ok(part.clone()))))
        });
        let calls = async {
            let response = Client::new(address).stream(get("/"), TIME).await.unwrap();
            let mut body = response.into_body();
            for _ in 0..20 {
                assert!(body.frame().await.unwrap().is_ok());
            }
            // The server can only end once the connection, which is no longer read, has.
            shutdown.start();
            smol::Timer::after(Duration::from_millis(300)).await;
            body
        };
        let started = Instant::now();
        zip(server, calls).await;
        assert!(started.elapsed() < TIME);
    });
}

/// Guards against a shutdown that resets callers who were connected before it: those that the server
/// has not accepted yet, and those whose first request is on its way.
#[test]
fn shutdown_answers_callers_who_are_connected() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let (shutdown, signal) = Shutdown::new();
        // Not accepted before the shutdown, because the server is not polled yet.
        let mut caller = TcpStream::connect(address).await.unwrap();
        shutdown.start();
        let call = async {
            smol::Timer::after(Duration::from_millis(50)).await;
            let request = b"GET / HTTP/1.1\r\nhost: server\r\n\r\n";
            caller.write_all(request).await.unwrap();
            let mut answer = Vec::new();
            caller.read_to_end(&mut answer).await.unwrap();
            assert!(answer.starts_with(b"HTTP/1.1 200"), "{answer:?}");
        };
        zip(echo(listener, Limits::default(), signal), call).await;
    });
}
