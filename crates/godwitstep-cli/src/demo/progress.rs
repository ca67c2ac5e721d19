//! Progress for the people who watch.

use super::deployment::Deployment;
use std::time::{Duration, Instant};

/// Prints lines with the time since the start.
pub struct Show {
    start: Instant,
}

impl Show {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        println!("[{:5.1} s] {text}", self.start.elapsed().as_secs_f64());
    }

    pub fn title(&self, deployment: &Deployment) {
        println!();
        self.line(&format!(
            "== {} ({}): {} entries, {} agents with a target and a worker each",
            deployment.title,
            deployment.region,
            deployment.entries.len(),
            deployment.agents.len()
        ));
    }
}

/// Returns a time as milliseconds for people.
pub fn millis(time: Duration) -> String {
    format!("{:.0} ms", time.as_secs_f64() * 1e3)
}
