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
    /// Returns the report as text with tables.
    pub fn text(&self) -> String {
        let mut text = format!("{}\n", Self::scope());
        for (title, rows) in self.tables() {
            let _ = write!(text, "\n{title}\n{}", output::table(&rows));
        }
        text.push('\n');
        for line in self.coverage() {
            let _ = writeln!(text, "{line}");
        }
        text
    }

    /// Returns a line that states the period and the objective of the report.
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
            ("Requests and refunds".to_owned(), self.outcome_rows()),
            (
                "Burn rate of the error budget by window (1 uses it up exactly)".to_owned(),
                self.burn_rate_rows(),
            ),
            (
                "Steps: mean / p50 / p99 in ms; percentiles are upper bounds".to_owned(),
                self.step_rows(),
            ),
        ]
    }

    fn outcome_rows(&self) -> Vec<Vec<String>> {
        let header = [
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
        with_header(&header, self.service_levels.iter().map(row))
    }

    fn burn_rate_rows(&self) -> Vec<Vec<String>> {
        let windows = || FAST_WINDOWS.into_iter().chain(SLOW_WINDOWS);
        let mut header = vec!["WORKSPACE".to_owned(), "KIND".to_owned()];
        header.extend(windows().map(|window| format!("{} MIN", window.as_secs() / 60)));
        header.push(format!("FAST (> {FAST_RATE})"));
        header.push(format!("SLOW (> {SLOW_RATE})"));
        header.push("ALERT".to_owned());
        let mut table = vec![header];
        for line in &self.service_levels {
            let mut row = vec![line.workspace.to_string(), line.kind.to_string()];
            row.extend(windows().map(|window| format!("{:.2}", burn_rate(line, window))));
            row.push(format!("{:.2}", alert_burn_rate(line, FAST_WINDOWS)));
            row.push(format!("{:.2}", alert_burn_rate(line, SLOW_WINDOWS)));
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

    fn step_rows(&self) -> Vec<Vec<String>> {
        let row = |line: &ServiceLevel| {
            let steps = [line.queue, line.link, line.run].map(format_step);
            let mut row = vec![line.workspace.to_string(), line.kind.to_string()];
            row.extend(steps);
            row
        };
        with_header(
            &["WORKSPACE", "KIND", "QUEUE", "LINK", "RUN"],
            self.service_levels.iter().map(row),
        )
    }

    /// Returns lines that name the included entries, and what the report lacks and why.
    /// Programs read their texts from the JSON field `sight`.
    pub fn coverage(&self) -> Vec<String> {
        let mut lines = Vec::new();
        let names: Vec<&str> = self
            .included
            .iter()
            .map(|entry| entry.name.as_str())
            .collect();
        lines.push(format!("Seen: {}", names.join(", ")));
        for entry in &self.included {
            let age = entry
                .started
                .and_then(|started| self.time.duration_since(started).ok());
            if let Some(age) = age.filter(|age| *age < RETENTION) {
                lines.push(format!(
                    "Not seen: {} before its start {} s ago; an earlier life's counters are lost",
                    entry.name,
                    age.as_secs()
                ));
            }
        }
        for (_, error) in &self.missing {
            lines.push(format!("Not seen: {error}"));
        }
        let known = self.included.len() as u64 + self.missing.len() as u64;
        if let Some(unknown) = self
            .entry_count
            .checked_sub(known)
            .filter(|unknown| *unknown > 0)
        {
            lines.push(format!(
                "Not seen: {unknown} of the region's {} entries; name them with --server",
                self.entry_count
            ));
        }
        lines
    }
}

/// Returns the rows after a header row.
fn with_header(header: &[&str], rows: impl Iterator<Item = Vec<String>>) -> Vec<Vec<String>> {
    let header = header.iter().map(|column| (*column).to_owned()).collect();
    std::iter::once(header).chain(rows).collect()
}

/// Returns the burn rate in a window, or 0 if there is none.
pub fn burn_rate(line: &ServiceLevel, window: Duration) -> f64 {
    line.burn.get(&window.as_secs()).copied().unwrap_or(0.0)
}

/// Returns the burn rate that an alert compares with its threshold: the lower one of its two
/// windows, because the alert is raised only if both are above the threshold.
pub fn alert_burn_rate(line: &ServiceLevel, windows: [Duration; 2]) -> f64 {
    burn_rate(line, windows[0]).min(burn_rate(line, windows[1]))
}

/// Formats the mean and the percentiles of a step in milliseconds.
fn format_step(step: StepTimes) -> String {
    #[allow(clippy::cast_precision_loss)]
    let [mean, p50, p99] = [step.mean_us, step.p50_us, step.p99_us].map(|us| us as f64 / 1e3);
    format!("{mean:.1} / {p50:.1} / {p99:.1}")
}
