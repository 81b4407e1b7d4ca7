//! The record of a run: one line for each thing sent, answered or run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("cannot write {path}: {error}");
            std::process::exit(2)
        });
        Record {
            file: Arc::new(Mutex::new(BufWriter::new(file))),
            start: Instant::now(),
        }
    }

    /// Writes a line with the time since the start in milliseconds.
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.start.elapsed().as_secs_f64() * 1e3;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:10.2} {}", text.as_ref());
    }

    /// Writes a line here and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
        self.flush();
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
