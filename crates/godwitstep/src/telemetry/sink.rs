//! Standard output for log lines: bounded, and never waited for.

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use std::io::{self, ErrorKind, Write};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

/// Most lines in a second. Bounds the processor time that logs take under load.
const LINES_PER_SECOND: u32 = 200;
/// Most bytes that wait for a slow reader.
const MAX_WAITING: usize = 64 * 1024;

/// Writer of whole lines.
#[derive(Debug)]
pub(super) struct Sink(Mutex<State>);

#[derive(Debug)]
struct State {
    /// Beginning of the second that is counted.
    since: Instant,
    /// Lines in that second.
    lines: u32,
    /// Bytes that the reader has not taken; begins and ends anywhere, so nothing is cut out of it.
    waiting: Vec<u8>,
}

impl Sink {
    /// Returns the sink. Where the output can't be switched to not waiting, it is written as it is.
    pub fn new() -> Self {
        let output = io::stdout();
        let switched =
            fcntl_getfl(&output).and_then(|flags| fcntl_setfl(&output, flags | OFlags::NONBLOCK));
        if let Err(error) = switched {
            // Nothing can be logged yet; the process works all the same.
            eprintln!("log lines may have to wait for their reader: {error}");
        }
        Self(Mutex::new(State {
            since: Instant::now(),
            lines: 0,
            waiting: Vec::new(),
        }))
    }
}

impl State {
    /// Tells whether one more line is within the bounds.
    fn admits(&mut self, now: Instant, line: usize) -> bool {
        if now.duration_since(self.since) >= Duration::from_secs(1) {
            self.since = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= LINES_PER_SECOND && self.waiting.len() + line <= MAX_WAITING
    }

    /// Writes as much as the reader takes.
    fn flush(&mut self, output: &mut impl Write) -> io::Result<()> {
        while !self.waiting.is_empty() {
            match output.write(&self.waiting) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => {
                    self.waiting.drain(..written);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

impl Write for &Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.admits(Instant::now(), line.len()) {
            state.waiting.extend_from_slice(line);
        } else {
            metrics::counter!("godwitstep_log_lines_dropped_total").increment(1);
        }
        state.flush(&mut Output)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The descriptor of standard output, which the standard library's handle buffers.
struct Output;

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        rustix::io::write(rustix::stdio::stdout(), bytes).map_err(io::Error::from)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Sink {
    type Writer = &'a Self;

    fn make_writer(&'a self) -> Self::Writer {
        self
    }
}
