//! Reads the memory and descriptors that the operating system grants to this process.

use super::partition::Resources;
use std::fs;
use std::path::{Path, PathBuf};

/// Memory that is assumed if the system does not tell: that of the smallest host. Unit: bytes.
const UNKNOWN_MEMORY: usize = 120 << 20;
/// Descriptors that are assumed if the system does not tell: the usual default of a process.
const UNKNOWN_FILES: usize = 1_024;
/// Mount point of control groups, and of their memory controller in version 1.
const GROUPS: &str = "/sys/fs/cgroup";
const MEMORY_GROUPS: &str = "/sys/fs/cgroup/memory";

impl Resources {
    /// Returns the given limits; what is not given is the limit that this process sees.
    #[must_use]
    pub fn detect(memory: Option<usize>, files: Option<usize>) -> Self {
        Self {
            memory: memory.unwrap_or_else(memory_limit),
            files: files.unwrap_or_else(file_limit),
        }
    }
}

fn file_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(UNKNOWN_FILES, |files| {
        usize::try_from(files).unwrap_or(usize::MAX)
    })
}

/// Returns the memory of the machine or the limit of a control group, whichever is smaller.
fn memory_limit() -> usize {
    let machine = fs::read_to_string("/proc/meminfo").ok();
    let machine = machine.as_deref().and_then(total_memory);
    let groups = fs::read_to_string("/proc/self/cgroup").unwrap_or_default();
    let limits = limit_files(&groups).into_iter().filter_map(|path| {
        let text = fs::read_to_string(path).ok()?;
        // "max" stands for no limit.
        text.trim().parse::<usize>().ok().filter(|limit| *limit > 0)
    });
    limits.chain(machine).min().unwrap_or(UNKNOWN_MEMORY)
}

/// Returns the total memory of `/proc/meminfo`. Unit: bytes.
fn total_memory(text: &str) -> Option<usize> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kilobytes.checked_mul(1024)
}

/// Returns the files that may limit the memory of a process in these control groups (text of `/proc/self/cgroup`),
/// including those of the groups above.
fn limit_files(groups: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for line in groups.lines() {
        let mut fields = line.splitn(3, ':').skip(1);
        let (Some(controllers), Some(group)) = (fields.next(), fields.next()) else {
            continue;
        };
        let (root, name) = if controllers.is_empty() {
            (GROUPS, "memory.max")
        } else if controllers.split(',').any(|name| name == "memory") {
            (MEMORY_GROUPS, "memory.limit_in_bytes")
        } else {
            continue;
        };
        let group = Path::new(group.trim_start_matches('/'));
        let ancestors = group.ancestors().map(|path| Path::new(root).join(path));
        files.extend(ancestors.map(|path| path.join(name)));
    }
    files
}
