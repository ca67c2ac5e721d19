//! Metrics and log lines of the budget: one line for each change of state, not for each refusal.

use super::pressure::Shortage;
use std::time::Duration;

/// Sets the memory that is held on behalf of clients.
#[allow(clippy::cast_precision_loss)] // A metric needs no exact value.
pub fn held(kind: &'static str, part: &'static str, bytes: usize) {
    metrics::gauge!("godwitstep_http_held_bytes", "kind" => kind, "part" => part).set(bytes as f64);
}

/// Sets the number of a server's connections in a phase.
#[allow(clippy::cast_precision_loss)] // A metric needs no exact value.
pub fn connections(server: &'static str, state: &'static str, count: usize) {
    metrics::gauge!("godwitstep_http_connections", "server" => server, "state" => state)
        .set(count as f64);
}

/// Counts a refused or displaced client.
pub fn refusal(part: &'static str, reason: &'static str) {
    metrics::counter!("godwitstep_http_refusals_total", "part" => part, "reason" => reason)
        .increment(1);
}

/// Logs that clients begin to be displaced or refused.
pub fn shortage_began(part: &'static str, resource: &'static str, reason: &'static str) {
    tracing::warn!(
        part,
        resource,
        reason,
        "clients are displaced: a resource is short"
    );
}

/// Logs that no client has been displaced or refused for a while.
pub fn shortage_ended(
    part: &'static str,
    resource: &'static str,
    shortage: &Shortage,
    now: Duration,
) {
    let lasted_ms = shortage.latest.saturating_sub(shortage.began).as_millis();
    let quiet_ms = now.saturating_sub(shortage.latest).as_millis();
    let clients = shortage.clients;
    tracing::info!(
        part,
        resource,
        clients,
        lasted_ms,
        quiet_ms,
        "clients are no longer displaced"
    );
}
