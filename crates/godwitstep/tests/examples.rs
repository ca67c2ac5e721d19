//! The example deployments: every file is accepted, and the files of one deployment fit together.

// The harness fixes the signatures of the tests.
#![allow(clippy::needless_pass_by_value, clippy::unnecessary_wraps)]

use godwitstep::resources::{Document, Spec};
use godwitstep::settings::{self, Agent, Entry, Settings};
use std::collections::BTreeMap;
use std::path::Path;

type Outcome = datatest_stable::Result<()>;

fn read<S: Settings>(text: &str) -> S {
    settings::read(text, &[]).unwrap_or_else(|faults| panic!("{faults:?}"))
}

/// Guards against an example that the present version refuses.
fn entry(_: &Path, text: String) -> Outcome {
    read::<Entry>(&text);
    Ok(())
}

/// Guards against an example that the present version refuses.
fn agent(_: &Path, text: String) -> Outcome {
    let agent: Agent = read(&text);
    assert!(agent.target.is_some() && agent.worker.is_some());
    Ok(())
}

fn documents(text: &str) -> Vec<Document> {
    Document::read_all(text).unwrap_or_else(|faults| panic!("{faults:?}"))
}

/// Guards against an example that the present version refuses.
fn resources(_: &Path, text: String) -> Outcome {
    assert!(documents(&text).len() >= 3);
    Ok(())
}

/// Accelerators by failure domain, from the agents' settings.
fn capacity(root: &Path) -> BTreeMap<String, u32> {
    let mut capacity = BTreeMap::new();
    for file in std::fs::read_dir(root.join("agents")).expect("agents") {
        let text = std::fs::read_to_string(file.expect("a file").path()).expect("text");
        let agent: Agent = read(&text);
        let accelerators = agent.worker.map_or(0, |worker| worker.accelerators);
        *capacity.entry(agent.domain.to_string()).or_default() += accelerators;
    }
    capacity
}

/// Guards against guarantees that a deployment can't keep while one failure domain is away, jobs
/// of undeclared kinds, and agents in undeclared domains.
fn deployment(path: &Path, text: String) -> Outcome {
    let root = path.parent().and_then(Path::parent).expect("a deployment");
    let file = |name: &str| std::fs::read_to_string(root.join("resources").join(name));
    let workspaces = documents(&text);
    assert_eq!(workspaces.len(), 4);
    let mut guaranteed = 0;
    let mut kinds = Vec::new();
    for document in &workspaces {
        let Spec::Workspace(spec) = &document.spec else {
            panic!("{} is not a workspace", document.name);
        };
        let shares = spec.guarantees.iter();
        guaranteed += shares
            .map(|share| share.shape.accelerators() * share.count)
            .sum::<u32>();
        kinds.extend(
            spec.kinds
                .iter()
                .map(|kind| (document.name.clone(), kind.name.clone())),
        );
    }
    for document in documents(&file("jobs.json")?) {
        let Spec::Job(spec) = document.spec else {
            panic!("{} is not a job", document.name);
        };
        assert!(
            kinds.contains(&(spec.workspace, spec.kind)),
            "{}",
            document.name
        );
    }
    let capacity = capacity(root);
    let declared = documents(&file("domains.json")?);
    assert!(
        capacity
            .keys()
            .all(|name| declared.iter().any(|domain| *domain.name == **name))
    );
    let all: u32 = capacity.values().sum();
    let largest = capacity.values().max().copied().unwrap_or(0);
    assert!(
        guaranteed <= all - largest,
        "{guaranteed} of {all}, {largest} of them in one domain"
    );
    Ok(())
}

datatest_stable::harness! {
    { test = entry, root = "../../examples", pattern = r"/entries/[^/]*\.json$" },
    { test = agent, root = "../../examples", pattern = r"/agents/[^/]*\.json$" },
    { test = resources, root = "../../examples", pattern = r"/resources/[^/]*\.json$" },
    { test = deployment, root = "../../examples", pattern = r"workspaces\.json$" },
}
