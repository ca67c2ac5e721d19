//! HTTP/1 server and client over `smol` sockets.
//!
//! ```
//! use godwitstep::http::{self, Client, Limits, Shutdown};
//! use hyper::{Request, Response};
//! use std::time::Duration;
//!
//! smol::block_on(async {
//!     let listener = smol::net::TcpListener::bind("127.0.0.1:0").await?;
//!     let client = Client::new(listener.local_addr()?);
//!     let (shutdown, signal) = Shutdown::new();
//!     let server = http::serve(listener, Limits::default(), signal, async |_| {
//!         Response::new(http::full("hello"))
//!     });
//!     let exchange = async {
//!         let request = Request::get("/").body(bytes::Bytes::new())?;
//!         let answer = client.exchange(request, Duration::from_secs(5)).await?;
//!         assert_eq!(&answer.body()[..], b"hello");
//!         shutdown.start();
//!         Ok(())
//!     };
//!     smol::future::zip(server, exchange).await.1
//! })
//! # .map_err(|error: Box<dyn std::error::Error>| error)
//! # .unwrap();
//! ```

mod body;
pub mod budget;
mod client;
mod server;

pub use body::{
    Body, BoxError, Held, Kept, ReadError, RequestBody, Source, empty, full, read, refuse, respond,
    stream,
};
pub use client::{Cause, Check, Checked, Client, Error, Options, Step};
pub use server::{Limits, Shutdown, Signal, serve, serve_within};
