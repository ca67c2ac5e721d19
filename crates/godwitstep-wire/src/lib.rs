//! Frames between the processes of the system, encoded as CBOR.
//!
//! ```
//! use godwitstep_wire::Frame;
//!
//! let bytes = Frame::Goodbye.encode();
//! assert_eq!(Frame::decode(&bytes)?, Frame::Goodbye);
//! # Ok::<(), godwitstep_wire::Error>(())
//! ```

pub mod auth;
mod compact;
mod frame;

pub use frame::{
    Announce, Error, Frame, Heartbeat, Load, MAX_BODY_BYTES, MAX_FRAME_BYTES, Outcome,
    PROTOCOL_VERSION, Part, Peer, Records, Reply, Request, RequestId, Role, Rules,
};
