//! Tests of the HTTP server and client with each other over loopback sockets.

use bytes::Bytes;
use futures_util::stream;
use godwitstep::http::budget::{Budget, Part, Resources};
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

/// Time limit of an exchange, if a test has no other.
const TIMEOUT: Duration = Duration::from_secs(5);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn get(path: &str) -> Request<Bytes> {
    Request::get(path).body(Bytes::new()).unwrap()
}

/// Serves requests by sending their body back, up to 1024 bytes that arrive within 200 ms.
async fn serve_echo(listener: TcpListener, limits: Limits, signal: Signal) {
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

/// Guards against a pool that opens a connection for each request or assigns responses to wrong
/// requests, and against bodies that are read beyond the limit.
#[test]
fn connections_are_reused_and_bodies_are_bounded() {
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
                let response = client.exchange(request, TIMEOUT).await.unwrap();
                assert_eq!(response.status(), StatusCode::OK);
                assert_eq!(response.body(), format!("body {number}").as_bytes());
            }
            // The only connection that the server permits is idle, so another one takes its place.
            let mut idle = TcpStream::connect(address).await.unwrap();
            let other = Client::new(address);
            let response = other.exchange(get("/"), TIMEOUT).await.unwrap();
            assert_eq!(response.status(), StatusCode::OK);
            assert_eq!(idle.read(&mut [0]).await.unwrap(), 0, "it is closed");
            let large = Request::post("/").body(vec![0; 2000].into()).unwrap();
            let response = client.exchange(large, TIMEOUT).await.unwrap();
            assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
            shutdown.start();
        };
        zip(serve_echo(listener, limits, signal), calls).await;
    });
}

/// Guards against a connection that is closed while its request is in progress, because another one needs its place.
#[test]
fn requests_in_progress_keep_their_connection() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let (shutdown, signal) = Shutdown::new();
        let limits = Limits {
            connections: 1,
            ..Limits::default()
        };
        let server = http::serve(listener, limits, signal, async |request| {
            smol::Timer::after(Duration::from_millis(200)).await;
            Response::new(http::full(request.uri().path().to_owned()))
        });
        let calls = async {
            let first = Client::new(address);
            let second = async {
                smol::Timer::after(Duration::from_millis(50)).await;
                let second = Client::new(address);
                second.exchange(get("/2"), TIMEOUT).await.unwrap()
            };
            let (first, second) = zip(first.exchange(get("/1"), TIMEOUT), second).await;
            assert_eq!(first.unwrap().body(), "/1");
            assert_eq!(second.status(), StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(second.headers()["retry-after"], "1");
            shutdown.start();
        };
        zip(server, calls).await;
    });
}

/// Guards against bodies that stop short of their end and take the memory that other requests need, and against a
/// refusal that does not say when to retry.
#[test]
fn stalled_bodies_make_room_for_others() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let (shutdown, signal) = Shutdown::new();
        let budget = Budget::new(Resources {
            memory: 16 << 20,
            files: 1_024,
        });
        let share = budget.server("callers", Part::Callers);
        let answer = async |request: Request<http::RequestBody>| {
            let body = http::read(request.into_body(), 1 << 20, TIMEOUT).await;
            match body {
                Ok(body) => Response::new(http::full(body)),
                Err(error) => http::refuse(&error),
            }
        };
        let server = http::serve_within(listener, Limits::default(), share, signal, answer);
        let calls = async {
            let mut crowd = Vec::new();
            for number in 0..60 {
                let mut stream = TcpStream::connect(address).await.unwrap();
                let head = if number % 2 == 0 {
                    "POST / HTTP/1.1\r\ncontent-length: 100000\r\n\r\n"
                } else {
                    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1869f\r\n"
                };
                stream.write_all(head.as_bytes()).await.unwrap();
                stream.write_all(&vec![7; 99_990]).await.unwrap();
                crowd.push(stream);
            }
            let body = vec![7; 60_000];
            let request = Request::post("/").body(body.clone().into()).unwrap();
            let response = Client::new(address).exchange(request, TIMEOUT).await;
            assert_eq!(response.unwrap().body(), &body);
            let mut refusal = String::new();
            let _ = crowd[0].read_to_string(&mut refusal).await;
            let refusal = refusal.to_lowercase();
            assert!(refusal.starts_with("http/1.1 503"), "{refusal}");
            assert!(refusal.contains("retry-after: 1"), "{refusal}");
            drop(crowd);
            shutdown.start();
        };
        zip(server, calls).await;
    });
}

/// Guards against readers that never read their responses and hold the memory that other requests need.
#[test]
fn unread_responses_make_room_for_others() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let (shutdown, signal) = Shutdown::new();
        let budget = Budget::new(Resources {
            memory: 16 << 20,
            files: 1_024,
        });
        let share = budget.server("callers", Part::Callers);
        let answer = async |request: Request<http::RequestBody>| match http::read(
            request.into_body(),
            1 << 20,
            TIMEOUT,
        )
        .await
        {
            Ok(body) if body.is_empty() => Response::new(http::full(vec![7; 1 << 20])),
            Ok(body) => Response::new(http::full(body)),
            Err(error) => http::refuse(&error),
        };
        let server = http::serve_within(listener, Limits::default(), share, signal, answer);
        let calls = async {
            let mut crowd = Vec::new();
            for _ in 0..30 {
                let mut stream = TcpStream::connect(address).await.unwrap();
                stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
                crowd.push(stream);
            }
            smol::Timer::after(Duration::from_millis(300)).await;
            let response = Client::new(address).exchange(get("/"), TIMEOUT).await;
            assert_eq!(response.unwrap().body().len(), 1 << 20);
            let mut cut_off = 0;
            for stream in &mut crowd {
                let mut response = Vec::new();
                let read = async {
                    // A closed connection ends with an error or early.
                    let _ = stream.read_to_end(&mut response).await;
                    true
                };
                let timeout = async {
                    smol::Timer::after(Duration::from_millis(500)).await;
                    false
                };
                let ended = smol::future::or(read, timeout).await;
                cut_off += usize::from(ended && response.len() < 1 << 20);
            }
            // Three responses fit into the memory for bodies.
            assert!(cut_off >= 25, "{cut_off} of 30 were closed");
            shutdown.start();
        };
        zip(server, calls).await;
    });
}

/// Guards against an interrupted exchange whose request counts as not sent, and the reverse.
#[test]
fn errors_state_whether_the_request_was_sent() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let client = Client::new(address);
        let close_after_request = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 512];
            assert!(stream.read(&mut buffer).await.unwrap() > 0);
        };
        let (error, ()) = zip(client.exchange(get("/"), TIMEOUT), close_after_request).await;
        let error = error.unwrap_err();
        assert!(error.sent);
        assert_eq!(error.step, Step::Exchange);

        let timed_out = client.exchange(get("/"), Duration::from_millis(50)).await;
        assert!(timed_out.unwrap_err().sent);

        drop(listener);
        let refused = client.exchange(get("/"), TIMEOUT).await.unwrap_err();
        assert!(!refused.sent);
        assert_eq!(refused.step, Step::Connect);
    });
}

/// Guards against an exchange that fails because the server has closed the idle connection since the
/// last one.
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
                client.exchange(get("/"), TIMEOUT).await.unwrap();
                smol::Timer::after(Duration::from_millis(120)).await;
            }
            shutdown.start();
        };
        zip(serve_echo(listener, limits, signal), calls).await;
    });
}

/// Guards against a pool that exceeds its configured number of connections, and thereby the slots of
/// the server.
#[test]
fn exchanges_wait_for_a_free_connection() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let (shutdown, signal) = Shutdown::new();
        let (active, peak) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let server = http::serve(listener, Limits::default(), signal, {
            let (active, peak) = (active.clone(), peak.clone());
            async move |_| {
                active.set(active.get() + 1);
                peak.set(peak.get().max(active.get()));
                smol::Timer::after(Duration::from_millis(20)).await;
                active.set(active.get() - 1);
                Response::new(http::empty())
            }
        });
        let client = Client::new(address).options(Options {
            connections: 2,
            ..Options::default()
        });
        let calls = async {
            let exchanges = (0..8).map(|_| client.exchange(get("/"), TIMEOUT));
            for response in futures_util::future::join_all(exchanges).await {
                response.unwrap();
            }
            shutdown.start();
        };
        zip(server, calls).await;
        assert_eq!(peak.get(), 2);
    });
}

/// Guards against a shutdown that truncates a streamed response, or never ends because of idle
/// connections or ones without a request.
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
            let without_request = TcpStream::connect(address).await.unwrap();
            let stop = async {
                smol::Timer::after(Duration::from_millis(60)).await;
                shutdown.start();
            };
            let (response, ()) = zip(client.exchange(get("/"), TIMEOUT), stop).await;
            assert_eq!(response.unwrap().body(), "01234");
            without_request
        };
        let started = Instant::now();
        zip(server, calls).await;
        assert!(started.elapsed() < TIMEOUT);
    });
}

/// Guards against a client that occupies a connection by sending its head or body very slowly.
#[test]
fn slow_request_heads_and_bodies_time_out() {
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
            let mut response = String::new();
            stream.read_to_string(&mut response).await.unwrap();
            let mut stream = TcpStream::connect(address).await.unwrap();
            let head = b"POST / HTTP/1.1\r\ncontent-length: 10\r\nconnection: close\r\n\r\nab";
            stream.write_all(head).await.unwrap();
            let mut response = String::new();
            stream.read_to_string(&mut response).await.unwrap();
            assert!(
                response.contains("did not arrive within 200 ms"),
                "{response}"
            );
            shutdown.start();
        };
        zip(serve_echo(listener, limits, signal), calls).await;
    });
}

/// Guards against streamed responses that are buffered until their end, and against a client that
/// stops reading and occupies its connection forever.
#[test]
fn streams_arrive_in_parts_and_stalled_clients_are_disconnected() {
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
            let response = Client::new(address)
                .stream(get("/"), TIMEOUT)
                .await
                .unwrap();
            let mut body = response.into_body();
            for _ in 0..20 {
                assert!(body.frame().await.unwrap().is_ok());
            }
            // The client no longer reads, and the server can end only after closing the connection.
            shutdown.start();
            smol::Timer::after(Duration::from_millis(300)).await;
            body
        };
        let started = Instant::now();
        zip(server, calls).await;
        assert!(started.elapsed() < TIMEOUT);
    });
}

/// Guards against a shutdown that resets clients which connected before it: those that the server has
/// not accepted yet, and those whose first request has not arrived yet.
#[test]
fn shutdown_answers_connected_clients() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let (shutdown, signal) = Shutdown::new();
        // Not accepted before the shutdown, because the server is not polled yet.
        let mut socket = TcpStream::connect(address).await.unwrap();
        shutdown.start();
        let call = async {
            smol::Timer::after(Duration::from_millis(50)).await;
            let request = b"GET / HTTP/1.1\r\nhost: server\r\n\r\n";
            socket.write_all(request).await.unwrap();
            let mut response = Vec::new();
            socket.read_to_end(&mut response).await.unwrap();
            assert!(response.starts_with(b"HTTP/1.1 200"), "{response:?}");
        };
        zip(serve_echo(listener, Limits::default(), signal), call).await;
    });
}

/// Answers each request on a connection with 200, until the connection has fallen silent for good.
async fn serve_until_silent(mut stream: TcpStream, silent: impl Fn() -> bool) {
    let mut buffer = [0; 512];
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
        // All exchanges of the first batch are open at the same time, each on a connection of its own.
        smol::Timer::after(Duration::from_millis(50)).await;
        if silent() {
            std::future::pending::<()>().await;
        }
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(response).await.unwrap();
    }
}

/// Guards against exchanges that time out one after another on idle connections that fell silent.
#[test]
fn one_timeout_replaces_all_silent_connections() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let accepted = Rc::new(Cell::new(0));
        let silent = Rc::new(Cell::new(0));
        let server = async {
            let tasks = smol::LocalExecutor::new();
            let accept = async {
                loop {
                    let (stream, _) = listener.accept().await.unwrap();
                    let (number, silent) = (accepted.get(), silent.clone());
                    accepted.set(number + 1);
                    let serve = serve_until_silent(stream, move || number < silent.get());
                    tasks.spawn(serve).detach();
                }
            };
            tasks.run(accept).await;
        };
        let client = Client::new(address);
        let calls = async {
            let exchanges = (0..4).map(|_| client.exchange(get("/"), TIMEOUT));
            for response in futures_util::future::join_all(exchanges).await {
                response.unwrap();
            }
            assert_eq!(accepted.get(), 4);
            silent.set(accepted.get());
            let time = Duration::from_millis(300);
            client.exchange(get("/"), time).await.unwrap_err();
            client.exchange(get("/"), time).await.unwrap();
            assert_eq!(accepted.get(), 5);
            client.exchange(get("/"), time).await.unwrap();
            assert_eq!(accepted.get(), 5, "the new connection is reused");
        };
        smol::future::or(server, calls).await;
    });
}
