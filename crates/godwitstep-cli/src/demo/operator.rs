//! Client of the operators' HTTP interface, and polling.

use crate::client::Client;
use crate::failure::Failure;
use godwitstep::resources::Document;
use hyper::Method;
use serde_json::{Value, json};
use smol::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Applies resources and reads objects as an operator does.
pub struct Operator {
    pub client: Client,
}

impl Operator {
    pub fn new(servers: &[SocketAddr]) -> Self {
        Self {
            client: Client::with_servers(servers),
        }
    }

    /// Declares the resources or submits the jobs of a file whose names `filter` accepts. Returns
    /// their names.
    pub async fn apply(
        &self,
        text: &str,
        filter: impl Fn(&str) -> bool,
    ) -> Result<Vec<String>, Failure> {
        let documents = Document::read_all(text).map_err(|faults| Failure::Faults {
            file: "examples".to_owned(),
            faults,
        })?;
        // The spec is sent as written in the file, not as parsed above, which serves as validation
        // and has every field that is sent.
        let file: Value = serde_json::from_str(text).unwrap_or_default();
        let mut names = Vec::new();
        for document in documents.iter().filter(|document| filter(&document.name)) {
            let mut items = file.as_array().into_iter().flatten();
            let spec = items.find(|item| item["name"] == *document.name);
            let spec = spec.map_or(Value::Null, |item| item["spec"].clone());
            let path = format!("/v1/{}/{}", document.collection, document.name);
            self.put(&path, &spec).await?;
            names.push(document.name.to_string());
        }
        Ok(names)
    }

    pub async fn put(&self, path: &str, spec: &Value) -> Result<Value, Failure> {
        let body = json!({ "spec": spec });
        let response = self
            .client
            .send(Method::PUT, path, None, Some(&body))
            .await?;
        response.into_body(path)
    }

    pub async fn delete(&self, path: &str) -> Result<Value, Failure> {
        let response = self.client.send(Method::DELETE, path, None, None).await?;
        response.into_body(path)
    }

    /// Returns the phase of a job; `unknown` if its status has none.
    pub async fn job_phase(&self, job: &str) -> Result<String, Failure> {
        let object = self.client.get(&format!("/v1/jobs/{job}")).await?;
        let phase = object["status"]["phase"].as_str();
        Ok(phase.unwrap_or("unknown").to_owned())
    }
}

/// Polls until a value is available, and returns it with the time that it took. Fails with the
/// description after the timeout.
pub async fn wait_for<T>(
    description: &str,
    timeout: Duration,
    mut poll: impl AsyncFnMut() -> Result<Option<T>, Failure>,
) -> Result<(T, Duration), Failure> {
    let start = Instant::now();
    loop {
        if let Some(value) = poll().await? {
            return Ok((value, start.elapsed()));
        }
        if start.elapsed() > timeout {
            return Err(Failure::Failed(format!(
                "not within {timeout:?}: {description}"
            )));
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
