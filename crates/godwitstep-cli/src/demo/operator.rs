//! The operator of the demonstration.

use crate::client::Client;
use crate::failure::Failure;
use godwitstep::resources::Document;
use hyper::Method;
use serde_json::{Value, json};
use smol::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(20);

/// Uses the operators' HTTP interface.
pub struct Operator {
    pub client: Client,
}

impl Operator {
    pub fn new(servers: &[SocketAddr]) -> Self {
        Self {
            client: Client::of(servers),
        }
    }

    /// Declares the resources or submits the jobs of a file, those that `pick` takes. Returns their
    /// names.
    pub async fn apply(
        &self,
        text: &str,
        pick: impl Fn(&str) -> bool,
    ) -> Result<Vec<String>, Failure> {
        let documents = Document::read_all(text).map_err(|faults| Failure::Faults {
            file: "examples".to_owned(),
            faults,
        })?;
        // The checked form lacks nothing that is sent, but the text is what the file says.
        let specs: Value = serde_json::from_str(text).unwrap_or_default();
        let mut names = Vec::new();
        for document in documents.iter().filter(|document| pick(&document.name)) {
            let mut listed = specs.as_array().into_iter().flatten();
            let spec = listed.find(|item| item["name"] == *document.name);
            let spec = spec.map_or(Value::Null, |item| item["spec"].clone());
            let path = format!("/v1/{}/{}", document.collection, document.name);
            self.put(&path, &spec).await?;
            names.push(document.name.to_string());
        }
        Ok(names)
    }

    pub async fn put(&self, path: &str, spec: &Value) -> Result<Value, Failure> {
        let body = json!({ "spec": spec });
        let answer = self
            .client
            .send(Method::PUT, path, None, Some(&body))
            .await?;
        answer.expect(path)
    }

    pub async fn delete(&self, path: &str) -> Result<Value, Failure> {
        let answer = self.client.send(Method::DELETE, path, None, None).await?;
        answer.expect(path)
    }

    /// Returns the phase of a job.
    pub async fn phase(&self, job: &str) -> Result<String, Failure> {
        let object = self.client.get(&format!("/v1/jobs/{job}")).await?;
        let phase = object["status"]["phase"].as_str();
        Ok(phase.unwrap_or("unknown").to_owned())
    }
}

/// Looks until there is something, and returns it with the time that it took.
pub async fn until<T>(
    what: &str,
    limit: Duration,
    mut look: impl AsyncFnMut() -> Result<Option<T>, Failure>,
) -> Result<(T, Duration), Failure> {
    let start = Instant::now();
    loop {
        if let Some(found) = look().await? {
            return Ok((found, start.elapsed()));
        }
        if start.elapsed() > limit {
            return Err(Failure::Failed(format!("not within {limit:?}: {what}")));
        }
        Timer::after(LOOK).await;
    }
}
