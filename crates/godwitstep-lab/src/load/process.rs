//! Processor share and memory of a process, read from `/proc`.

use super::statistics::round_to_thousandths;
use serde::Serialize;
use std::io;
use std::time::Duration;

/// Unit of processor time in `/proc/PID/stat`. Linux fixes it for user space at 100 per second.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// A process to measure.
#[derive(Debug, Clone)]
pub(crate) struct Process {
    name: String,
    pid: u32,
}

/// Processor time that a process has used since it started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage(Duration);

/// Measurements of one process.
#[derive(Debug, Serialize)]
pub(crate) struct Report<'a> {
    process: &'a str,
    pid: u32,
    /// Processor time divided by the measured time, in percent of one core.
    pub(crate) core_percent: f64,
    /// Resident memory at the end of the measurement, in MiB.
    pub(crate) resident_mib: f64,
    /// Peak resident memory since the process started, in MiB.
    resident_peak_mib: f64,
}

impl Process {
    /// Returns the process with an id, named in reports.
    pub(crate) const fn new(name: String, pid: u32) -> Self {
        Self { name, pid }
    }

    /// Parses `NAME=PID`.
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        let (name, pid) = text.split_once('=').ok_or("not of the form NAME=PID")?;
        let pid = pid.parse().map_err(|_| "the PID is not a number")?;
        Ok(Self {
            name: name.to_owned(),
            pid,
        })
    }

    /// Returns the processor time that the process has used so far.
    pub(crate) fn usage(&self) -> io::Result<Usage> {
        let stat = self.read("stat")?;
        // The command, in parentheses, may itself contain spaces and parentheses. The fields after
        // it start with the third; user and system time are the 14th and the 15th.
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let ticks: Option<u32> = fields
            .split_ascii_whitespace()
            .skip(11)
            .take(2)
            .map(|field| field.parse::<u32>().ok())
            .sum();
        let ticks = ticks.ok_or_else(|| self.malformed("stat"))?;
        Ok(Usage(CLOCK_TICK * ticks))
    }

    /// Returns the measurements of the time since `before`, which is `elapsed` ago.
    pub(crate) fn report(&self, before: Usage, elapsed: Duration) -> io::Result<Report<'_>> {
        let used = self.usage()?.0.saturating_sub(before.0);
        let status = self.read("status")?;
        let mib = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let kib = line.and_then(|line| line.split_ascii_whitespace().next()?.parse().ok());
            kib.map(|kib: u32| round_to_thousandths(f64::from(kib) / 1024.0))
                .ok_or_else(|| self.malformed("status"))
        };
        Ok(Report {
            process: &self.name,
            pid: self.pid,
            core_percent: round_to_thousandths(used.as_secs_f64() / elapsed.as_secs_f64() * 100.0),
            resident_mib: mib("VmRSS:")?,
            resident_peak_mib: mib("VmHWM:")?,
        })
    }

    fn read(&self, file: &str) -> io::Result<String> {
        let path = format!("/proc/{}/{file}", self.pid);
        std::fs::read_to_string(&path)
            .map_err(|error| io::Error::new(error.kind(), format!("{path}: {error}")))
    }

    fn malformed(&self, file: &str) -> io::Error {
        let text = format!("/proc/{}/{file} is malformed", self.pid);
        io::Error::new(io::ErrorKind::InvalidData, text)
    }
}
