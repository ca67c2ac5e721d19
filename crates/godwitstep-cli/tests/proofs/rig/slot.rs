//! Bounds the number of clusters that run at the same time on this machine.

use std::fs::File;
use std::path::Path;
use std::time::Duration;

/// Clusters at a time, over all test processes of this checkout. One cluster is about 7 processes
/// and takes whole cores under load; with three at a time, times on a shared machine varied so much
/// that checks of rates and limits differed from run to run.
const CLUSTERS: usize = 1;

/// The right to run a cluster; given back when it is dropped.
#[derive(Debug)]
pub struct Slot(#[expect(dead_code, reason = "held for their locks")] Vec<File>);

/// Waits for the right to run a cluster while no other one runs.
pub fn take_all() -> Slot {
    let files = files();
    // All who wait here take the locks in the same order, so none waits for another for ever.
    for file in &files {
        file.lock().expect("the file can be locked");
    }
    Slot(files)
}

fn files() -> Vec<File> {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let open = |index| {
        let path = directory.join(format!("cluster-{index}.lock"));
        File::create(path).expect("the target directory takes files")
    };
    (0..CLUSTERS).map(open).collect()
}

/// Waits for its turn to run a cluster.
pub fn take() -> Slot {
    let files = files();
    loop {
        if let Some(file) = files.iter().find(|file| file.try_lock().is_ok()) {
            return Slot(vec![file.try_clone().expect("a file can be cloned")]);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}
