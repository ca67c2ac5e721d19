//! One child process, its messages and its end.

use super::wait_for;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::Duration;

const BINARY: &str = env!("CARGO_BIN_EXE_godwitstep");
/// Last lines of a process that are printed when its test fails.
const SHOWN: usize = 60;

/// A process that is killed, at the latest, when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    messages: PathBuf,
    name: String,
}

impl Process {
    /// Starts `godwitstep` with some arguments; its messages are appended to a file.
    pub fn start(name: &str, arguments: &[&str], messages: &Path) -> Self {
        let file = File::options().create(true).append(true).open(messages);
        let file = file.expect("the directory of the test takes files");
        let child = Command::new(BINARY)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .expect("the program starts");
        Self {
            child,
            messages: messages.to_owned(),
            name: name.to_owned(),
        }
    }

    /// Ends the process at once, as the loss of its host would.
    pub fn kill(&mut self) {
        self.child.kill().expect("a child can be killed");
        self.child.wait().expect("a killed child ends");
    }

    /// Stops the process in the middle of whatever it does.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self, limit: Duration) -> ExitStatus {
        let what = format!("end of {}", self.name);
        wait_for(&what, limit, || self.child.try_wait().expect("a child"))
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    /// Returns what the process has written so far.
    pub fn messages(&self) -> String {
        std::fs::read_to_string(&self.messages).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("a child takes signals");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
        if std::thread::panicking() {
            let text = self.messages();
            let skipped = text.lines().count().saturating_sub(SHOWN);
            let last: Vec<_> = text.lines().skip(skipped).collect();
            println!("--- {}\n{}", self.name, last.join("\n"));
        }
    }
}

/// Runs a command of the operators to its end.
pub fn godwitstep(arguments: &[&str]) -> Output {
    let output = Command::new(BINARY).args(arguments).output();
    output.expect("the program runs")
}
