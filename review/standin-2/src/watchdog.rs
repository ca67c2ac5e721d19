//! Ends all processes of a case that takes too long, and the case.

use crate::cluster;
use std::fs::File;
use std::io::Write;
use std::process::{Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

/// Longest duration of a case.
const MAX_DURATION: Duration = Duration::from_secs(110);

static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Adds a process that was started, also to the list by which the script ends it if the case itself is ended.
pub fn add(process: u32) {
    PROCESSES.lock().unwrap().push(process);
    if let Some(path) = std::env::var_os("REVIEW_PROCESSES")
        && let Ok(mut list) = File::options().append(true).open(path)
    {
        let _ = writeln!(list, "{process}");
    }
}

/// Starts to watch the case.
pub fn start() {
    std::thread::spawn(|| {
        std::thread::sleep(MAX_DURATION);
        for process in PROCESSES.lock().unwrap().iter() {
            // Fails for those that have ended.
            let _ = Command::new("sh")
                .arg("-c")
                .arg(format!("kill -KILL {process}"))
                .stderr(Stdio::null())
                .status();
        }
        let _ = std::fs::remove_dir_all(cluster::folder());
        std::process::exit(2);
    });
}
