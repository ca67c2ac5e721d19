//! Body of a request that a server of this crate has received.

use super::{Body, BoxError};
use crate::http::budget::admission::Group;
use crate::http::budget::{Buffer, Charge, Place};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Body that [`super::read`] can read whole.
pub trait Source: hyper::body::Body<Data = Bytes, Error: Into<BoxError>> {
    /// Returns the connection that the body arrives on, if a server accounts for it.
    #[doc(hidden)]
    fn place(&self) -> Option<Placed> {
        None
    }

    /// Sets the group (a digest of the workspace or key) on whose behalf the client sends. Memory that is short is
    /// shared equally among groups.
    fn set_group(&mut self, group: Group) {
        let _ = group;
    }
}

impl Source for Incoming {}
impl Source for Full<Bytes> {}
impl Source for Body {}

/// Body of a received request, with the connection that it arrives on.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    placed: Placed,
}

/// Connection that a body arrives on and the group that sends it.
#[derive(Debug, Clone)]
pub struct Placed {
    pub(in crate::http) place: Rc<Place>,
    group: Option<Group>,
}

impl Placed {
    pub(super) fn begin(&self, buffer: &Rc<Buffer>) -> Charge {
        self.place.begin_body(self.group, buffer)
    }
}

impl RequestBody {
    pub(in crate::http) const fn new(incoming: Incoming, place: Rc<Place>) -> Self {
        let placed = Placed { place, group: None };
        Self { incoming, placed }
    }
}

impl Source for RequestBody {
    fn place(&self) -> Option<Placed> {
        Some(self.placed.clone())
    }

    fn set_group(&mut self, group: Group) {
        self.placed.group = Some(group);
    }
}

impl hyper::body::Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.incoming).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
