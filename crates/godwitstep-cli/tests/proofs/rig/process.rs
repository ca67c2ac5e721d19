//! A child process of the binary under test, with its log output.

use super::wait_for;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::Duration;

const BINARY: &str = env!("CARGO_BIN_EXE_godwitstep");
/// Last log lines of a process that are printed when its test fails.
const PRINTED_LOG_LINES: usize = 60;

/// A child process, killed on drop if it still runs.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log_path: PathBuf,
    name: String,
}

impl Process {
    /// Starts `godwitstep` with some arguments and appends its standard error to a file.
    pub fn start(name: &str, arguments: &[&str], log_path: &Path) -> Self {
        let file = File::options().create(true).append(true).open(log_path);
        let file = file.expect("the directory of the test is writable");
        let child = Command::new(BINARY)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .expect("the program starts");
        Self {
            child,
            log_path: log_path.to_owned(),
            name: name.to_owned(),
        }
    }

    /// Kills the process without warning, as the loss of its host would, and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("a child can be killed");
        self.child.wait().expect("a killed child ends");
    }

    /// Suspends the process with `SIGSTOP`, whatever it is doing.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process with `SIGCONT`.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a graceful shutdown with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self, timeout: Duration) -> ExitStatus {
        let description = format!("end of {}", self.name);
        wait_for(&description, timeout, || {
            self.child.try_wait().expect("a child")
        })
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    /// Returns the log output so far.
    pub fn log_output(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("a child can be signalled");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
        if std::thread::panicking() {
            let text = self.log_output();
            let skipped = text.lines().count().saturating_sub(PRINTED_LOG_LINES);
            let last: Vec<_> = text.lines().skip(skipped).collect();
            println!("--- {}\n{}", self.name, last.join("\n"));
        }
    }
}

/// Runs a command of the operators' command line to its end.
pub fn godwitstep(arguments: &[&str]) -> Output {
    let output = Command::new(BINARY).args(arguments).output();
    output.expect("the program runs")
}
