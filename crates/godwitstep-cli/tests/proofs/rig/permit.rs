//! Limits the number of clusters that run at the same time on this machine, with lock files.

use std::fs::File;
use std::path::Path;
use std::time::Duration;

/// Clusters that may run at the same time, over all test processes of this checkout. A cluster is
/// about 7 processes and uses whole cores under load. With three at a time, timings on a shared
/// machine varied so much that checks of rates and time limits differed from run to run.
const MAX_CLUSTERS: usize = 1;

/// Permission to run a cluster, released when it is dropped.
#[derive(Debug)]
pub struct Permit(#[expect(dead_code, reason = "held for their locks")] Vec<File>);

/// Waits until no other cluster runs, and returns a permit that keeps others from starting.
pub fn acquire_exclusive() -> Permit {
    let files = open_lock_files();
    // Every waiter takes the locks in the same order, which rules out a deadlock.
    for file in &files {
        file.lock().expect("the file can be locked");
    }
    Permit(files)
}

fn open_lock_files() -> Vec<File> {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let open = |index| {
        let path = directory.join(format!("cluster-{index}.lock"));
        File::create(path).expect("the target directory is writable")
    };
    (0..MAX_CLUSTERS).map(open).collect()
}

/// Waits for a permit to run a cluster beside the other permitted ones.
pub fn acquire() -> Permit {
    let files = open_lock_files();
    loop {
        if let Some(file) = files.iter().find(|file| file.try_lock().is_ok()) {
            return Permit(vec![file.try_clone().expect("a file can be cloned")]);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}
