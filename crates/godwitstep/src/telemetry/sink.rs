//! Rate-limited, non-blocking writer of log lines to standard output.

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use std::io::{self, ErrorKind, Write};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

/// Maximum lines per second. Limits the CPU time that logging takes under load.
const MAX_LINES_PER_SECOND: u32 = 200;
/// Maximum bytes buffered for a slow reader. Lines beyond it are dropped.
const MAX_PENDING_BYTES: usize = 64 * 1024;

/// Writer that accepts or drops whole lines.
#[derive(Debug)]
pub(super) struct Sink(Mutex<State>);

#[derive(Debug)]
struct State {
    /// Start of the current one-second window.
    window_start: Instant,
    /// Lines offered in the current window.
    window_lines: u32,
    /// Bytes not yet written. It may start in the middle of a line, so buffered bytes are never
    /// dropped.
    pending: Vec<u8>,
}

impl Sink {
    /// Switches standard output to non-blocking mode. If that fails, writes may block.
    pub fn new() -> Self {
        let output = io::stdout();
        let nonblocking =
            fcntl_getfl(&output).and_then(|flags| fcntl_setfl(&output, flags | OFlags::NONBLOCK));
        if let Err(error) = nonblocking {
            // Logging is not set up yet. The failure is not fatal.
            eprintln!("cannot make standard output non-blocking; log writes may block: {error}");
        }
        Self(Mutex::new(State {
            window_start: Instant::now(),
            window_lines: 0,
            pending: Vec::new(),
        }))
    }
}

impl State {
    /// Counts a line and reports whether it is within the rate and buffer limits.
    fn admits(&mut self, now: Instant, line: usize) -> bool {
        if now.duration_since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.window_lines = 0;
        }
        self.window_lines += 1;
        self.window_lines <= MAX_LINES_PER_SECOND && self.pending.len() + line <= MAX_PENDING_BYTES
    }

    /// Writes as much of the buffer as the output accepts without blocking.
    fn flush(&mut self, output: &mut impl Write) -> io::Result<()> {
        while !self.pending.is_empty() {
            match output.write(&self.pending) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => {
                    self.pending.drain(..written);
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
            state.pending.extend_from_slice(line);
        } else {
            metrics::counter!("godwitstep_log_lines_dropped_total").increment(1);
        }
        state.flush(&mut RawStdout)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Unbuffered standard output. The standard library's handle would buffer.
struct RawStdout;

impl Write for RawStdout {
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
