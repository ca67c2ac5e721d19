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
    Announce, Error, Frame, Heartbeat, Load, MAX_BODY, MAX_FRAME, Outcome, Part, Peer, Records,
    Reply, Request, RequestId, Role, Rules, VERSION,
};
