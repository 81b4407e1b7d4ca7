//! Stand-in for the discovery agent: the whole list, and a long poll for its changes.

use crate::http::{Conn, Read1, response};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Listed {
    pub host: String,
    pub dial: SocketAddr,
    pub site: String,
    pub class: String,
    pub block: usize,
}

impl Listed {
    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"{}","block":{},"health":"SERVING","share":1.0,"born_ms":0}}"#,
            self.host, self.dial, self.site, self.class, self.block
        )
    }
}

/// The list as discovery sends it and as a host has it stored.
pub fn page(nodes: &[Listed]) -> String {
    let entries: Vec<_> = nodes.iter().map(Listed::json).collect();
    format!(r#"{{"seq":41,"whole":true,"hosts":[{}]}}"#, entries.join(","))
}

/// Starts the agent. The list doesn't change during a run.
pub fn start(nodes: Vec<Listed>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("discovery address");
    let address = listener.local_addr().unwrap();
    let nodes = Arc::new(Mutex::new(nodes));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let nodes = nodes.clone();
            std::thread::spawn(move || serve(Conn::new(stream), &nodes));
        }
    });
    address
}

fn serve(mut conn: Conn, nodes: &Mutex<Vec<Listed>>) {
    while let Read1::Message(message) = conn.read(None) {
        let target = message.start_line().split(' ').nth(1).unwrap_or_default();
        let body = match parameter(target, "after") {
            Some(after) if after >= 41 => {
                let wait = parameter(target, "wait_ms").unwrap_or(0).min(60_000);
                let until = Instant::now() + Duration::from_millis(wait);
                if conn.has_input_by(until) {
                    return;
                }
                r#"{"seq":41,"whole":false,"hosts":[]}"#.to_string()
            }
            _ => page(&nodes.lock().unwrap()),
        };
        let bytes = response("200 OK", "Content-Type: application/json\r\n", body.as_bytes());
        if conn.send(&bytes).is_err() {
            return;
        }
    }
}

fn parameter(target: &str, name: &str) -> Option<u64> {
    let query = target.split_once('?')?.1;
    let value = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1;
    value.parse().ok()
}
