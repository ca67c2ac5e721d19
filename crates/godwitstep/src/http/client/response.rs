//! Reads whole response bodies into one buffer each.
//!
//! A server that this process does not control may send a body in chunks of one byte. Each of them would keep the read
//! buffer that it is a part of, so the chunks are copied.

use super::{Cause, Options};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;

/// Memory of a body that is being received, released on drop.
struct Charge<'a> {
    /// Memory of all bodies. Unit: bytes.
    receiving: &'a Cell<usize>,
    bytes: usize,
}

impl Charge<'_> {
    /// Raises the charge unless all bodies together would exceed `limit`.
    fn raise(&mut self, bytes: usize, limit: usize) -> Result<(), Cause> {
        let receiving = self.receiving.get() - self.bytes + bytes;
        if receiving > limit {
            return Err(Cause::TooLarge { limit });
        }
        self.receiving.set(receiving);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Charge<'_> {
    fn drop(&mut self) {
        self.receiving.set(self.receiving.get() - self.bytes);
    }
}

/// Reads a body within the limits of a client. `receiving` is the memory of all bodies that the client receives.
pub(super) async fn read(
    body: Incoming,
    options: &Options,
    receiving: &Cell<usize>,
) -> Result<Bytes, Cause> {
    let limit = options.body;
    let mut body = pin!(body);
    let mut buffer = Vec::new();
    let mut charge = Charge {
        receiving,
        bytes: 0,
    };
    while let Some(frame) = poll_fn(|context| body.as_mut().poll_frame(context)).await {
        let frame = frame.map_err(|error| Cause::Other(error.into()))?;
        // Trailers are not used.
        let Ok(part) = frame.into_data() else {
            continue;
        };
        let size = buffer.len() + part.len();
        if size > limit {
            return Err(Cause::TooLarge { limit });
        }
        if buffer.is_empty() && body.is_end_stream() {
            return Ok(part);
        }
        if size > buffer.capacity() {
            let capacity = (buffer.capacity() * 2).min(limit).max(size);
            charge.raise(capacity, options.bodies)?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&part);
    }
    Ok(buffer.into())
}
