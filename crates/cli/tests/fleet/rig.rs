//! Hosts as processes with a control socket, and the document that they share.

use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A process of this test, ended by its own id.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn gullsail(dir: &Path, arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gullsail"));
    let out = command
        .current_dir(dir)
        .args(["--log-level", "error"])
        .args(arguments)
        .output()
        .unwrap();
    (
        out.status.code(),
        String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr),
    )
}

pub fn host(dir: &Path, file: &str, name: &str, socket: &str) -> Process {
    let log = std::fs::File::create(dir.join(format!("{socket}.log"))).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_gullsail"));
    command
        .current_dir(dir)
        .args(["host", file, "--name", name, "--control", socket]);
    Process(command.stdout(Stdio::null()).stderr(log).spawn().unwrap())
}

/// Waits until the fleet status of the host at this socket fulfils `fits`, and returns it. The time limit is generous,
/// since these tests do not measure speed.
pub fn until(
    dir: &Path,
    socket: &str,
    what: &str,
    fits: impl Fn(&serde_json::Value) -> bool,
) -> serde_json::Value {
    let end = Instant::now() + Duration::from_secs(60);
    loop {
        let (_, text) = gullsail(dir, &["fleet", "status", socket, "--json"]);
        let output = serde_json::from_str(&text).unwrap_or(serde_json::Value::Null);
        if fits(&output) {
            return output;
        }
        assert!(Instant::now() < end, "{what}: {text}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Three hosts and two nodes of a fleet whose servers can be taken offline.
pub fn maintenance_document() -> String {
    let free = || {
        TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap()
    };
    let mut text = String::from(
        "fleet \"f\" lease=\"800ms\" drift=0.01 voters=3 floor=0.3\nrules tick=\"20ms\" most-units=8\n\
         works at-once=1 keep=0.6 longest=\"1h\" watched=\"100ms\" blind=\"1s\"\nmachine \"m\" cores=1 unit=\"5ms\"\n\
         stream-type \"r\" effect=\"repeatable\" slo=\"1s\" expiry=\"2s\"\nplan \"p\"\nvolume \"v\" plan=\"p\"\n",
    );
    (1..=3).for_each(|n| text += &format!("host \"h{n}\" address=\"{}\"\n", free()));
    (1..=2).for_each(|n| {
        text += &format!(
            "node \"n{n}\" cell={n} address=\"{}\" machine=\"m\"\n",
            free()
        )
    });
    text
}
