//! The report as text.

use super::Report;
use crate::output;
use godwitstep_core::burn::{
    Alert, FAST_RATE, FAST_WINDOWS, ON_TIME_OBJECTIVE, RETENTION, SLOW_RATE, SLOW_WINDOWS,
    ServiceLevel, StepTimes,
};
use std::fmt::Write;
use std::time::Duration;

impl Report {
    /// Returns the report as tables for people.
    pub fn text(&self) -> String {
        let mut text = format!("{}\n", Self::scope());
        for (title, rows) in self.tables() {
            let _ = write!(text, "\n{title}\n{}", output::table(&rows));
        }
        text.push('\n');
        for line in self.sight() {
            let _ = writeln!(text, "{line}");
        }
        text
    }

    /// Returns what the figures are about.
    pub fn scope() -> String {
        format!(
            "Requests of the last {} min; objective: {} % on time",
            RETENTION.as_secs() / 60,
            ON_TIME_OBJECTIVE * 100.0
        )
    }

    /// Returns the tables with their titles.
    pub fn tables(&self) -> Vec<(String, Vec<Vec<String>>)> {
        vec![
            ("Requests and refunds".to_owned(), self.outcomes()),
            (
                "Burn rate of the allowance by window (1 uses it up exactly)".to_owned(),
                self.burns(),
            ),
            (
                "Steps: mean / p50 / p99 in ms; percentiles are upper bounds".to_owned(),
                self.steps(),
            ),
        ]
    }

    fn outcomes(&self) -> Vec<Vec<String>> {
        let head = [
            "WORKSPACE",
            "KIND",
            "PRIORITY",
            "OBJECTIVE",
            "ON TIME",
            "LATE",
            "REFUSED",
            "FAILED",
            "UNKNOWN",
            "REFUND DUE",
            "AT RISK",
        ];
        let row = |line: &ServiceLevel| {
            let key = (line.workspace.to_string(), line.kind.to_string());
            let declared = self.objectives.get(&key);
            let objective = declared.map(|kind| format!("{} ms", kind.objective_ms));
            vec![
                key.0,
                key.1,
                declared.map_or_else(|| "-".to_owned(), |kind| kind.priority.clone()),
                objective.unwrap_or_else(|| "not declared".to_owned()),
                line.on_time.to_string(),
                line.late.to_string(),
                line.refused.to_string(),
                line.failed.to_string(),
                line.unknown.to_string(),
                format!("{:.2}", line.refund_due),
                format!("{:.2}", line.refund_at_risk),
            ]
        };
        rows(&head, self.lines.iter().map(row))
    }

    fn burns(&self) -> Vec<Vec<String>> {
        let windows = || FAST_WINDOWS.into_iter().chain(SLOW_WINDOWS);
        let mut head = vec!["WORKSPACE".to_owned(), "KIND".to_owned()];
        head.extend(windows().map(|window| format!("{} MIN", window.as_secs() / 60)));
        head.push(format!("FAST (> {FAST_RATE})"));
        head.push(format!("SLOW (> {SLOW_RATE})"));
        head.push("ALERT".to_owned());
        let mut table = vec![head];
        for line in &self.lines {
            let mut row = vec![line.workspace.to_string(), line.kind.to_string()];
            row.extend(windows().map(|window| format!("{:.2}", burn(line, window))));
            row.push(format!("{:.2}", pace(line, FAST_WINDOWS)));
            row.push(format!("{:.2}", pace(line, SLOW_WINDOWS)));
            row.push(
                match line.alert {
                    Some(Alert::Fast) => "fast",
                    Some(Alert::Slow) => "slow",
                    None => "-",
                }
                .to_owned(),
            );
            table.push(row);
        }
        table
    }

    fn steps(&self) -> Vec<Vec<String>> {
        let row = |line: &ServiceLevel| {
            let steps = [line.queue, line.link, line.run].map(show);
            let mut row = vec![line.workspace.to_string(), line.kind.to_string()];
            row.extend(steps);
            row
        };
        rows(
            &["WORKSPACE", "KIND", "QUEUE", "LINK", "RUN"],
            self.lines.iter().map(row),
        )
    }

    /// Returns what was seen and what was not, one line each.
    pub fn sight(&self) -> Vec<String> {
        let mut lines = Vec::new();
        let names: Vec<&str> = self.seen.iter().map(|seen| seen.entry.as_str()).collect();
        lines.push(format!("Seen: {}", names.join(", ")));
        for seen in &self.seen {
            let age = seen
                .since
                .and_then(|since| self.at.duration_since(since).ok());
            if let Some(age) = age.filter(|age| *age < RETENTION) {
                lines.push(format!(
                    "Not seen: {} before its start {} s ago; an earlier life's counters are lost",
                    seen.entry,
                    age.as_secs()
                ));
            }
        }
        for (_, why) in &self.missing {
            lines.push(format!("Not seen: {why}"));
        }
        let known = self.seen.len() as u64 + self.missing.len() as u64;
        if let Some(more) = self.entries.checked_sub(known).filter(|more| *more > 0) {
            lines.push(format!(
                "Not seen: {more} of the region's {} entries; name them with --server",
                self.entries
            ));
        }
        lines
    }
}

fn rows(head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> Vec<Vec<String>> {
    let head = head.iter().map(|word| (*word).to_owned()).collect();
    std::iter::once(head).chain(rows).collect()
}

/// Returns the burn rate in a window.
pub fn burn(line: &ServiceLevel, window: Duration) -> f64 {
    line.burn.get(&window.as_secs()).copied().unwrap_or(0.0)
}

/// Returns the rate that an alert compares with its threshold: it is raised once both windows are
/// above, so the lower one counts.
pub fn pace(line: &ServiceLevel, windows: [Duration; 2]) -> f64 {
    burn(line, windows[0]).min(burn(line, windows[1]))
}

fn show(step: StepTimes) -> String {
    #[allow(clippy::cast_precision_loss)]
    let [mean, p50, p99] = [step.mean_us, step.p50_us, step.p99_us].map(|us| us as f64 / 1e3);
    format!("{mean:.1} / {p50:.1} / {p99:.1}")
}
