//! Bounds the number of clusters that run at the same time on this machine.

use std::fs::File;
use std::path::Path;
use std::time::Duration;

/// Clusters at a time, over all test processes of this checkout. One cluster is about 7 processes
/// that are idle for most of their time.
const CLUSTERS: usize = 3;

/// The right to run a cluster; given back when it is dropped.
#[derive(Debug)]
pub struct Slot(#[expect(dead_code, reason = "held for its lock")] File);

/// Waits for its turn to run a cluster.
pub fn take() -> Slot {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let files: Vec<_> = (0..CLUSTERS)
        .map(|index| {
            let path = directory.join(format!("cluster-{index}.lock"));
            File::create(path).expect("the target directory takes files")
        })
        .collect();
    loop {
        if let Some(file) = files.iter().find(|file| file.try_lock().is_ok()) {
            return Slot(file.try_clone().expect("a file can be cloned"));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}
