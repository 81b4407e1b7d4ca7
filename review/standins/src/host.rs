//! One host of the project as a process, started with the `run` command of the deploy file.

use crate::http::{Conn, Read1};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Host {
    pub address: SocketAddr,
    child: Arc<Mutex<Child>>,
    dir: PathBuf,
    /// Peers that never answer. They keep their addresses taken.
    _peers: Vec<UdpSocket>,
}

/// What differs between deployments.
pub struct Deployment {
    pub settings: String,
    pub hosts: usize,
    pub memory_mb: u32,
    pub sockets: u32,
}

/// Ends the run without a verdict: it could not be carried out.
pub fn give_up(record: &Record, why: &str) -> ! {
    record.say(format!("could not run: {why}"));
    std::process::exit(2)
}

/// The value of a key of the deploy file that is a text.
fn deploy_command(record: &Record, key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|_| give_up(record, "deploy/balancer.toml is not here"));
    let line = text
        .lines()
        .find(|line| line.split('=').next().map(str::trim) == Some(key));
    let value = line.and_then(|line| line.split('"').nth(1));
    value
        .unwrap_or_else(|| give_up(record, "the deploy file has no such command"))
        .to_string()
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// Makes the kernel end this process when the driver ends in whatever way.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call takes two numbers and touches no memory.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

impl Host {
    /// Starts the host and waits until its health check succeeds.
    pub fn start(
        record: &Record,
        deployment: &Deployment,
        discovery: SocketAddr,
        known: &str,
    ) -> Host {
        let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = free.local_addr().unwrap();
        let own_peer = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let peer_listen = own_peer.local_addr().unwrap();
        drop(own_peer);
        let others: Vec<_> = (1..deployment.hosts)
            .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a free port"))
            .collect();
        let peers: Vec<_> = std::iter::once(peer_listen)
            .chain(others.iter().map(|peer| peer.local_addr().unwrap()))
            .map(|peer| format!("\"{peer}\""))
            .collect();
        let document = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"peer_listen":"{peer_listen}","peers":[{}],"known":{known},
"settings":{}}}"#,
            deployment.memory_mb,
            deployment.sockets,
            peers.join(","),
            deployment.settings
        );
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(dir.join("tmp")).expect("a temporary folder");
        let file = dir.join("config.json");
        std::fs::write(&file, document).expect("the configuration");
        let log = std::fs::File::create(dir.join("host.log")).expect("the log");
        drop(free);
        let run = deploy_command(record, "run");
        let mut command = Command::new("/bin/sh");
        // SAFETY: prctl is safe to call between fork and exec.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .args(["-c", &run])
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", discovery.to_string())
            .env("PROXY_CONFIG", &file)
            .env("TMPDIR", dir.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            give_up(record, "the host's command can't be started");
        };
        let host = Host {
            address,
            child: Arc::new(Mutex::new(child)),
            dir,
            _peers: others,
        };
        host.end_in_time(record.clone());
        host.wait_ready(record);
        record.line(format!("host is ready at {address}"));
        host
    }

    fn wait_ready(&self, record: &Record) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(stream) = TcpStream::connect(self.address) {
                let mut conn = Conn::new(stream);
                let _ = conn.send(b"GET /_health HTTP/1.1\r\nHost: service.internal\r\n\r\n");
                let answer = conn.read(Some(Instant::now() + Duration::from_secs(2)));
                if matches!(answer, Read1::Message(message) if message.status() == 200) {
                    return;
                }
            }
            if !self.is_running() {
                self.end(record);
                give_up(record, "the host ended at its start");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        self.end(record);
        give_up(record, "the host was not ready within 30 s");
    }

    /// Ends the run after 100 s, whatever it waits for.
    fn end_in_time(&self, record: Record) {
        let child = self.child.clone();
        let dir = self.dir.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(100));
            let _ = child.lock().unwrap().kill();
            let _ = std::fs::remove_dir_all(dir);
            give_up(&record, "the run took more than 100 s");
        });
    }

    pub fn is_running(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    pub fn connect(&self, record: &Record) -> Conn {
        match TcpStream::connect(self.address) {
            Ok(stream) => Conn::new(stream),
            Err(error) => {
                self.end(record);
                give_up(record, &format!("the host refuses a client: {error}"));
            }
        }
    }

    /// Ends the process and copies the end of its log into the record.
    pub fn end(&self, record: &Record) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
        let log = std::fs::read_to_string(self.dir.join("host.log")).unwrap_or_default();
        let lines: Vec<_> = log.lines().collect();
        for line in &lines[lines.len().saturating_sub(12)..] {
            record.line(format!("host log: {line}"));
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
