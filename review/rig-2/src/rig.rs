//! What the cases share: the record, the host as a process, discovery, nodes and clients.

use crate::http::{Message, Reader};
use std::fs::File;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The record of a run: what was sent, answered and run, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64() * 1e3;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} {}", text.as_ref());
    }

    /// A line of the record that the operator sees too.
    pub fn say(&self, text: impl AsRef<str>) {
        // A closed pipe is no fault of the case.
        let _ = writeln!(io::stdout(), "{}", text.as_ref());
        self.line(text);
    }
}

/// A loopback address with a port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

pub fn free_udp_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Numbers that look random and are the same in each run.
pub struct Numbers(u64);

impl Numbers {
    pub fn new(seed: u64) -> Numbers {
        Numbers(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

/// A node as discovery lists it.
#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub shard: usize,
    pub health: &'static str,
}

impl Listed {
    fn entry(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"salle-nord","class":"noeud-2c","block":{},"health":"{}","share":1.0,"born_ms":0}}"#,
            self.name, self.address, self.shard, self.health
        )
    }
}

fn page(version: u64, whole: bool, nodes: &[Listed]) -> String {
    let entries: Vec<String> = nodes.iter().map(Listed::entry).collect();
    format!(
        r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#,
        entries.join(",")
    )
}

/// Discovery with a list that does not change: it answers a watch with no changes when its wait is over.
pub fn discovery(nodes: Vec<Listed>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let nodes = nodes.clone();
            thread::spawn(move || {
                let mut to = stream.try_clone().unwrap();
                let mut from = Reader::new(stream);
                while let Ok(Some(poll)) = from.message() {
                    let wait_ms = poll.first_line.split("wait_ms=").nth(1);
                    let wait_ms = wait_ms.and_then(|rest| rest.split(' ').next()?.parse().ok());
                    let body = match wait_ms {
                        Some(wait_ms) => {
                            thread::sleep(Duration::from_millis(wait_ms));
                            page(41, false, &[])
                        }
                        None => page(41, true, &nodes),
                    };
                    if to.write_all(ok(body.as_bytes()).as_slice()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A whole 200 answer with its length.
pub fn ok(body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The body that a node makes for a request: it names the piece of data and the request, so a caller can tell whose
/// answer it got.
pub fn body_for(request: &Message) -> Vec<u8> {
    let path = request.first_line.split(' ').nth(1).unwrap_or_default();
    format!(
        "{path} for {}\n",
        request.field("x-trace-id").unwrap_or_default()
    )
    .into_bytes()
}

/// What a node does after it has run a request.
pub enum Answer {
    Bytes(Vec<u8>),
    /// Write these bytes, then close the connection in order: the close is the end of the answer.
    BytesThenClose(Vec<u8>),
}

/// A node that runs each request when its last byte has come, and answers as `run` says. `run` may take its time.
pub fn node(run: impl Fn(&Message) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let run = Arc::new(run);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let run = run.clone();
            spawn_small(move || {
                let _ = stream.set_nodelay(true);
                let mut to = stream.try_clone().unwrap();
                let mut from = Reader::new(stream);
                while let Ok(Some(request)) = from.message() {
                    match run(&request) {
                        Answer::Bytes(bytes) => {
                            if to.write_all(&bytes).is_err() {
                                return;
                            }
                        }
                        Answer::BytesThenClose(bytes) => {
                            let _ = to.write_all(&bytes);
                            let _ = to.shutdown(std::net::Shutdown::Write);
                            // What the host still sends is read to its end, so the close resets nothing.
                            let _ = io::copy(&mut from.stream, &mut io::sink());
                            return;
                        }
                    }
                }
            });
        }
    });
    address
}

/// A thread with a small stack, since there are hundreds.
pub fn spawn_small<T: Send + 'static>(
    job: impl FnOnce() -> T + Send + 'static,
) -> thread::JoinHandle<T> {
    thread::Builder::new()
        .stack_size(128 << 10)
        .spawn(job)
        .unwrap()
}

/// What a class of the settings is, beside its name: its effect and its times in milliseconds.
pub struct Class {
    pub name: &'static str,
    pub write: bool,
    pub effect: &'static str,
    pub objective: u32,
    pub give_up: u32,
    pub window: u32,
}

/// The classes of the deployment `depot-limoilou`.
pub fn classes() -> Vec<Class> {
    let class = |name, write, effect, objective, give_up| Class {
        name,
        write,
        effect,
        objective,
        give_up,
        window: 5000,
    };
    vec![
        class("lecture-fiche", false, "pure", 300, 1500),
        class("depot-fiche", true, "token", 400, 3000),
        class("export-releve", false, "pure", 1500, 5000),
    ]
}

/// The settings document of the only host of a small deployment like `depot-limoilou`.
pub struct Document {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub peer_listen: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    pub shards: usize,
    pub classes: Vec<Class>,
}

impl Document {
    pub fn new(nodes: &[Listed]) -> Document {
        Document {
            listen: free_address(),
            discovery: discovery(nodes.to_vec()),
            peer_listen: free_udp_address(),
            memory_mb: 192,
            sockets: 1024,
            shards: nodes.len(),
            classes: classes(),
        }
    }

    fn text(&self) -> String {
        let Document {
            listen,
            discovery,
            peer_listen,
            memory_mb,
            sockets,
            shards,
            classes,
        } = self;
        let writes: Vec<String> = classes
            .iter()
            .map(|class| class.write.to_string())
            .collect();
        let profiles: Vec<String> = classes.iter().map(Class::profile).collect();
        let (writes, profiles) = (writes.join(","), profiles.join(",\n"));
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"peer_listen":"{peer_listen}","peers":["{peer_listen}"],
"settings":{{"failure-domains":["salle-nord","salle-sud"],"family":"stores",
"family-info":{{"cold-units":15.0,"idle-worth":0.1,"max-units":6,"meter-period":0.0,"slots-total":{shards},"unit-mean":2.1,
"within-share":0.3,"writes":[{writes}]}},
"limits":{{"connect-timeout":250.0,"keepalive":30000.0,"max-attempts":3,"max-retry-after":1000.0,"parallel-tries":false,
"peer-messages":true,"probing":false,"retry-after":true,"streams-per-conn":100}},
"machine-types":["noeud-2c"],"membership-mode":"push","peers-total":1,
"policies":[{{"limit":60.0,"limit-burst":90.0,"limit-slack":9.0,"name":"courant","nominal":10.0,"parts":1.0,"reserve":0.0,
"value-factor":0.8}},
{{"limit":0.0,"limit-burst":0.0,"limit-slack":0.0,"name":"prioritaire","nominal":20.0,"parts":2.0,"reserve":16.0,
"value-factor":1.0}}],
"profiles":[{profiles}],
"rank":0,"report":{{"how":"silent","names":[]}},
"rules":{{"answer-slack":8.0,"drain-grace":500.0,"extra-per-request":0.1,"free-resends":3,"look-back":5000.0,
"overload-factor":4.0,"overload-for":2000.0,"ramp-time":16000.0,"start-capacity":0.23}},
"stages":["stockage-garage"],"tick":2.0,"tier":0,"weight-source":"rough","zone":"salle-nord"}}}}
"#
        )
    }
}

impl Class {
    fn profile(&self) -> String {
        let Class {
            name,
            effect,
            objective,
            give_up,
            window,
            ..
        } = self;
        let group = if *effect == "token" { "cell" } else { "all" };
        format!(
            r#"{{"effect":"{effect}","give-up":{give_up}.0,"group":"{group}","late-value":0.1,"name":"{name}","objective":{objective}.0,"streamed":false,"window":{window}.0,"worth":2.0}}"#
        )
    }
}

/// The host as a process, started as the deploy file's `run` says. It is killed by its id when this is dropped.
pub struct Host {
    pub child: Child,
    pub address: SocketAddr,
}

impl Host {
    /// Starts a host with its document and its log in `folder`, and waits until it is ready.
    pub fn start(root: &Path, folder: &Path, document: &Document) -> Result<Host, String> {
        let config = folder.join("config.json");
        std::fs::write(&config, document.text()).map_err(|error| error.to_string())?;
        let log = File::create(folder.join("host.log")).map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_line(root)?])
            .current_dir(root)
            .env("PROXY_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // SAFETY: `prctl` is a system call that takes no lock and changes no memory.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|error| error.to_string())?;
        let mut host = Host {
            child,
            address: document.listen,
        };
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(Some(status)) = host.child.try_wait() {
                return Err(format!("the host ended before it was ready: {status}"));
            }
            if host.is_ready() {
                return Ok(host);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err("the host was not ready within 20 s".into())
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        if stream
            .write_all(
                b"GET /_health HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n",
            )
            .is_err()
        {
            return false;
        }
        let answer = Reader::new(stream).message();
        matches!(answer, Ok(Some(answer)) if answer.status() == Some(200))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// Functions of the C library, which the standard library links in any case. The numbers are those of Linux on x86-64
// and arm64.
unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, first: u64, second: u64, third: u64, fourth: u64) -> i32;
}

/// The option with which a process asks for a signal at the end of its parent, so a host never outlives its test.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Sends a signal to the host's process by its id.
pub fn signal(host: &Host, name: &str) -> Result<(), String> {
    let number = match name {
        "CONT" => 18,
        "STOP" => 19,
        other => return Err(format!("no such signal: {other}")),
    };
    // SAFETY: `kill` has no requirements on memory.
    match unsafe { kill(host.child.id() as i32, number) } {
        0 => Ok(()),
        _ => Err(format!("cannot send the signal {name}")),
    }
}

/// The command `run` of the deploy file.
fn run_line(root: &Path) -> Result<String, String> {
    let file = root.join("deploy/balancer.toml");
    let text =
        std::fs::read_to_string(&file).map_err(|error| format!("{}: {error}", file.display()))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let line = line.and_then(|rest| rest.split('"').next());
    line.map(str::to_string)
        .ok_or("the deploy file has no line 'run'".into())
}

/// A request of a client.
pub struct Request {
    pub class: &'static str,
    pub write: bool,
    /// The class is keyed: the request carries a key.
    pub keyed: bool,
    pub volume: u64,
    pub object: u64,
    pub id: u64,
    pub shard: i64,
    pub units: u32,
    pub expires_ms: u64,
    pub body: Vec<u8>,
}

impl Request {
    pub fn bytes(&self) -> Vec<u8> {
        let Request {
            class,
            volume,
            object,
            id,
            shard,
            units,
            expires_ms,
            ..
        } = self;
        let method = if self.write { "PUT" } else { "GET" };
        let mut head = format!(
            "{method} /{class}/{volume:016x}/{object:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {id:016x}\r\n\
             X-Qos: {class}\r\nX-Storage-Class: prioritaire\r\nX-Expires-In-Ms: {expires_ms}\r\n\
             X-Extent: units={units},shard={shard},hosts=1\r\n"
        );
        if self.keyed {
            head += &format!("Idempotency-Key: k{id:016x}\r\n");
        }
        if self.write {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// The body that the node makes for this request.
    pub fn expected(&self) -> Vec<u8> {
        let Request {
            class,
            volume,
            object,
            id,
            ..
        } = self;
        format!("/{class}/{volume:016x}/{object:016x} for {id:016x}\n").into_bytes()
    }
}

/// Where a case runs: the root of the repository, the folder of the case, a temporary folder, and whether its disruption
/// is to be played.
pub struct Place {
    pub root: PathBuf,
    pub temporary: PathBuf,
    pub record: Record,
    pub trouble: bool,
}
