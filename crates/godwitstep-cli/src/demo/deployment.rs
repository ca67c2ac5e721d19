//! The example deployments.

/// One deployment, from the files under `examples/`.
pub struct Deployment {
    pub title: &'static str,
    pub region: &'static str,
    pub service: &'static str,
    /// Settings of the entries.
    pub entries: &'static [&'static str],
    /// Settings of the agents.
    pub agents: &'static [&'static str],
    pub domains: &'static str,
    pub workspaces: &'static str,
    pub jobs: &'static str,
    /// Job of the file that needs adjacent accelerators.
    pub gang: &'static str,
    /// Job of the file whose guarantee is lent when it comes.
    pub claimant: &'static str,
    /// Workspace and kind of the jobs that borrow.
    pub borrower: (&'static str, &'static str),
}

macro_rules! files {
    ($($path:literal),* $(,)?) => {
        &[$(include_str!(concat!("../../../../examples/", $path))),*]
    };
}

impl Deployment {
    pub const ALL: [Self; 2] = [WINDSOCK, FORTAELLERHUSET];
}

const WINDSOCK: Deployment = Deployment {
    title: "Pilbara Coast Municipal Windsock Works",
    region: "pilbara-coast",
    service: "stitchwatch",
    entries: files![
        "windsock-works/entries/karratha.json",
        "windsock-works/entries/dampier.json",
        "windsock-works/entries/roebourne.json",
    ],
    agents: files![
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
    claimant: "council-nesting-parade",
    borrower: ("rodeo-bunting", "pattern-nesting"),
};

const FORTAELLERHUSET: Deployment = Deployment {
    title: "Fortællerhuset Andelsselskab",
    region: "dk-vest",
    service: "bookingsted",
    entries: files![
        "fortaellerhuset/entries/a.json",
        "fortaellerhuset/entries/b.json",
        "fortaellerhuset/entries/c.json",
    ],
    agents: files![
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
    claimant: "krimi-saeson-9",
    borrower: ("poesi", "dialect-indexing"),
};
