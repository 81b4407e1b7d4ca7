//! Runs the bench's protocol on standard input and output for many instances of the scheduler.

use gullsail_benchlink::adapter::Adapter;
use gullsail_benchlink::error::AdapterError;
use std::io::{BufRead, Write};

fn main() {
    if let Err(error) = run() {
        eprintln!("gullsail-benchlink: {error}");
        std::process::exit(2);
    }
}

fn run() -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    for line in std::io::stdin().lock().lines() {
        let line = line.map_err(AdapterError::Input)?;
        if line.trim().is_empty() {
            continue;
        }
        let outbox = adapter.handle_batch(serde_json::from_str(&line)?)?;
        let reply = serde_json::json!({ "outbox": outbox });
        writeln!(out, "{reply}")
            .and_then(|()| out.flush())
            .map_err(AdapterError::Output)?;
    }
    Ok(())
}
