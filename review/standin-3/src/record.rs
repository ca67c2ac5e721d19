//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<BufWriter<File>>)>);

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self(Arc::new((Instant::now(), Mutex::new(BufWriter::new(File::create(path)?))))))
    }

    /// Writes a line with the time since the record began.
    pub fn line(&self, text: &str) {
        let (began, file) = &*self.0;
        let line = format!("{:8.3} s  {text}\n", began.elapsed().as_secs_f64());
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes what is buffered to the file.
    pub fn flush(&self) {
        let _ = self.0.1.lock().unwrap().flush();
    }
}
