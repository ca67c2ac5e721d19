//! Progress output of the demonstration.

use super::deployment::Deployment;
use std::time::{Duration, Instant};

/// Prints lines that begin with the time since the start.
pub struct Progress {
    start: Instant,
}

impl Progress {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub fn print_line(&self, text: &str) {
        println!("[{:5.1} s] {text}", self.start.elapsed().as_secs_f64());
    }

    pub fn print_title(&self, deployment: &Deployment) {
        println!();
        self.print_line(&format!(
            "== {} ({}): {} entries, {} agents with a target and a worker each",
            deployment.title,
            deployment.region,
            deployment.entries.len(),
            deployment.agents.len()
        ));
    }
}

/// Formats a duration in whole milliseconds.
pub fn format_millis(duration: Duration) -> String {
    format!("{:.0} ms", duration.as_secs_f64() * 1e3)
}
