//! Check of the process that accepts a new connection, before any request is sent to it.

use bytes::Bytes;
use hyper::{Request, Response};
use std::fmt;

/// Request that is sent first on a new connection, and the test of its response.
pub struct Check<'a> {
    /// Request without an effect at the server.
    pub request: Request<Bytes>,
    /// Returns whether a response is that of the intended server.
    pub accepts: &'a dyn Fn(&Response<Bytes>) -> bool,
}

/// Result of an exchange with a check.
#[derive(Debug)]
pub enum Checked {
    /// Response to the request.
    Response(Response<Bytes>),
    /// Response to the check, which was not accepted. The request was not sent.
    Rejected(Response<Bytes>),
}

impl fmt::Debug for Check<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Check")
            .field("request", &self.request)
            .finish_non_exhaustive()
    }
}
