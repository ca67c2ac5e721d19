//! Tests of the example deployments: every file is valid, and the files of one deployment are
//! consistent.

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

/// Guards against example settings of an entry that the current version rejects.
fn entry(_: &Path, text: String) -> Outcome {
    read::<Entry>(&text);
    Ok(())
}

/// Guards against example settings of an agent that the current version rejects.
fn agent(_: &Path, text: String) -> Outcome {
    let agent: Agent = read(&text);
    assert!(agent.target.is_some() && agent.worker.is_some());
    Ok(())
}

fn documents(text: &str) -> Vec<Document> {
    Document::read_all(text).unwrap_or_else(|faults| panic!("{faults:?}"))
}

/// Guards against example resources that the current version rejects.
fn resources(_: &Path, text: String) -> Outcome {
    assert!(documents(&text).len() >= 3);
    Ok(())
}

/// Returns the number of accelerators by failure domain, from the agents' settings.
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

/// Guards against guarantees that a deployment can't keep while its largest failure domain is
/// unavailable, jobs of undeclared kinds, and agents in undeclared domains.
fn deployment(path: &Path, text: String) -> Outcome {
    let root = path.parent().and_then(Path::parent).expect("a deployment");
    let read_resources = |name: &str| std::fs::read_to_string(root.join("resources").join(name));
    let workspaces = documents(&text);
    assert_eq!(workspaces.len(), 4);
    let mut guaranteed_accelerators = 0;
    let mut kinds = Vec::new();
    for document in &workspaces {
        let Spec::Workspace(spec) = &document.spec else {
            panic!("{} is not a workspace", document.name);
        };
        let guarantees = spec.guarantees.iter();
        guaranteed_accelerators += guarantees
            .map(|guarantee| guarantee.shape.accelerators() * guarantee.count)
            .sum::<u32>();
        kinds.extend(
            spec.kinds
                .iter()
                .map(|kind| (document.name.clone(), kind.name.clone())),
        );
    }
    for document in documents(&read_resources("jobs.json")?) {
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
    let declared_domains = documents(&read_resources("domains.json")?);
    assert!(
        capacity
            .keys()
            .all(|name| declared_domains.iter().any(|domain| *domain.name == **name))
    );
    let total: u32 = capacity.values().sum();
    let largest = capacity.values().max().copied().unwrap_or(0);
    assert!(
        guaranteed_accelerators <= total - largest,
        "{guaranteed_accelerators} of {total} accelerators guaranteed, {largest} in one domain"
    );
    Ok(())
}

datatest_stable::harness! {
    { test = entry, root = "../../examples", pattern = r"/entries/[^/]*\.json$" },
    { test = agent, root = "../../examples", pattern = r"/agents/[^/]*\.json$" },
    { test = resources, root = "../../examples", pattern = r"/resources/[^/]*\.json$" },
    { test = deployment, root = "../../examples", pattern = r"workspaces\.json$" },
}
