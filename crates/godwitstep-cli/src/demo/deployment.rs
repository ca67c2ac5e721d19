//! The example deployments, compiled into this binary.

/// One deployment, from the files under `examples/`.
pub struct Deployment {
    pub title: &'static str,
    pub region: &'static str,
    pub service: &'static str,
    /// Settings of each entry, as JSON.
    pub entries: &'static [&'static str],
    /// Settings of each agent, as JSON.
    pub agents: &'static [&'static str],
    pub domains: &'static str,
    pub workspaces: &'static str,
    pub jobs: &'static str,
    /// Name of the job in `jobs` that needs adjacent accelerators.
    pub gang: &'static str,
    /// Name of the job in `jobs` that is submitted while other jobs borrow its workspace's
    /// guarantee.
    pub guaranteed_job: &'static str,
    /// Workspace and kind of the jobs that borrow.
    pub borrower: (&'static str, &'static str),
}

/// Includes files under `examples/` as a slice of strings.
macro_rules! example_files {
    ($($path:literal),* $(,)?) => {
        &[$(include_str!(concat!("../../../../examples/", $path))),*]
    };
}

impl Deployment {
    /// The deployments in the order in which they are demonstrated.
    pub const ALL: [Self; 2] = [WINDSOCK, FORTAELLERHUSET];
}

const WINDSOCK: Deployment = Deployment {
    title: "Pilbara Coast Municipal Windsock Works",
    region: "pilbara-coast",
    service: "stitchwatch",
    entries: example_files![
        "windsock-works/entries/karratha.json",
        "windsock-works/entries/dampier.json",
        "windsock-works/entries/roebourne.json",
    ],
    agents: example_files![
        "windsock-works/agents/karratha-1.json",
        "windsock-works/agents/karratha-2.json",
        "windsock-works/agents/karratha-3.json",
        "windsock-works/agents/karratha-4.json",
        "windsock-works/agents/dampier-1.json",
        "windsock-works/agents/dampier-2.json",
        "windsock-works/agents/dampier-3.json",
        "windsock-works/agents/roebourne-1.json",
        "windsock-works/agents/roebourne-2.json",
        "windsock-works/agents/roebourne-3.json",
    ],
    domains: include_str!("../../../../examples/windsock-works/resources/domains.json"),
    workspaces: include_str!("../../../../examples/windsock-works/resources/workspaces.json"),
    jobs: include_str!("../../../../examples/windsock-works/resources/jobs.json"),
    gang: "airfield-nesting-0417",
    guaranteed_job: "council-nesting-parade",
    borrower: ("rodeo-bunting", "pattern-nesting"),
};

const FORTAELLERHUSET: Deployment = Deployment {
    title: "Fortællerhuset Andelsselskab",
    region: "dk-vest",
    service: "bookingsted",
    entries: example_files![
        "fortaellerhuset/entries/a.json",
        "fortaellerhuset/entries/b.json",
        "fortaellerhuset/entries/c.json",
    ],
    agents: example_files![
        "fortaellerhuset/agents/a-1.json",
        "fortaellerhuset/agents/a-2.json",
        "fortaellerhuset/agents/a-3.json",
        "fortaellerhuset/agents/b-1.json",
        "fortaellerhuset/agents/b-2.json",
        "fortaellerhuset/agents/b-3.json",
        "fortaellerhuset/agents/b-4.json",
        "fortaellerhuset/agents/c-1.json",
        "fortaellerhuset/agents/c-2.json",
        "fortaellerhuset/agents/c-3.json",
    ],
    domains: include_str!("../../../../examples/fortaellerhuset/resources/domains.json"),
    workspaces: include_str!("../../../../examples/fortaellerhuset/resources/workspaces.json"),
    jobs: include_str!("../../../../examples/fortaellerhuset/resources/jobs.json"),
    gang: "lokalhistorie-baand-1950-1972",
    guaranteed_job: "krimi-saeson-9",
    borrower: ("poesi", "dialect-indexing"),
};
