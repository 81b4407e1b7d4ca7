//! `gullsail platform` as a process, with scripted peers on loopback: clients, nodes and discovery.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// Longer than any expected wait.
pub const SOON: Duration = Duration::from_secs(20);

/// Reads one HTTP message: the head, and a body of the stated length. `None`: the connection ended, or nothing came in
/// time.
pub fn read_message(from: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    let mut length = 0;
    loop {
        let line_start = text.len();
        if from.read_line(&mut text).ok()? == 0 {
            return None;
        }
        let line = text[line_start..].trim_end().to_ascii_lowercase();
        if let Some(n) = line.strip_prefix("content-length: ") {
            length = n.parse().ok()?;
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(text + &String::from_utf8(body).ok()?)
}

/// Starts a server that answers each message on each connection with the result of `answer`. `None`: no answer; the
/// connection is blocked for [`SOON`].
pub fn serve(answer: impl Fn(&str) -> Option<String> + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let mut to = stream;
                while let Some(text) = read_message(&mut from) {
                    match answer(&text) {
                        Some(text) => _ = to.write_all(text.as_bytes()),
                        None => std::thread::sleep(SOON),
                    }
                }
            });
        }
    });
    address
}

pub fn reply(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A discovery service with one node. Sends the first line of each poll on the channel, and does not answer long polls.
pub fn discovery(node: SocketAddr) -> (SocketAddr, Receiver<String>) {
    let (sender, polls): (Sender<String>, _) = channel();
    let address = serve(move |text| {
        let _ = sender.send(text.lines().next().unwrap_or_default().into());
        let page = format!(
            r#"{{"seq":4,"whole":true,"hosts":[{{"host":"s-1","dial":"{node}","site":"a","class":"m","block":0,
            "health":"SERVING","share":1.0,"born_ms":0}}]}}"#
        );
        (!text.contains("after=")).then(|| reply(&page))
    });
    (address, polls)
}

pub fn document(discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":64}},"peer_listen":"127.0.0.1:0","peers":[],
        "settings":{{"failure-domains":["a"],"family-info":{{"max-units":6,"slots-total":1,"writes":[false]}},
        "limits":{{"connect-timeout":250.0,"keepalive":30000.0,"max-attempts":3}},"membership-mode":"push",
        "peers-total":1,"policies":[{{"name":"free","parts":1.0}}],"profiles":[{{"name":"read","effect":"pure",
        "give-up":9000.0,"objective":9000.0}}],"rank":0,"rules":{{}},"tick":2.0}}}}"#
    )
}

/// A host as a process; killed by its own id when dropped.
pub struct Host {
    pub child: Child,
    pub address: SocketAddr,
    log: Receiver<String>,
    pub file: PathBuf,
    _dir: tempfile::TempDir,
}

impl Host {
    pub fn start(discovery: SocketAddr) -> Host {
        Host::with(&document(discovery))
    }

    /// Starts a host with this document and a limit of 64 file descriptors.
    pub fn with(document: &str) -> Host {
        Host::with_descriptors(document, 64)
    }

    /// Starts a host with this document. `ulimit -n` limits its process to this many file descriptors, whatever the
    /// document says.
    pub fn with_descriptors(document: &str, descriptors: usize) -> Host {
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("config.json");
        std::fs::write(&file, document).unwrap();
        let mut child = Command::new("/bin/sh")
            .args([
                "-c",
                &format!("ulimit -n {descriptors}; exec \"$0\" platform"),
                env!("CARGO_BIN_EXE_gullsail"),
            ])
            .env("PROXY_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| _ = sender.send(line))
        });
        let mut host = Host {
            child,
            address: "127.0.0.1:0".parse().unwrap(),
            log,
            file,
            _dir: dir,
        };
        let line = host.line("listening for clients address=");
        host.address = line.rsplit('=').next().unwrap().parse().unwrap();
        host
    }

    /// Waits for the next line of the log that contains this text.
    pub fn line(&self, part: &str) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(SOON)
                .unwrap_or_else(|_| panic!("no line with {part}"));
            if line.contains(part) {
                return line;
            }
        }
    }

    /// The lines of the log that have not been read yet.
    #[allow(dead_code, reason = "the stop soak shows them")]
    pub fn log_lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    pub fn client(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(SOON)).unwrap();
        BufReader::new(stream)
    }

    pub fn ready(&self) {
        loop {
            let mut client = self.client();
            client
                .get_mut()
                .write_all(b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
                .unwrap();
            if read_message(&mut client).is_some_and(|text| text.starts_with("HTTP/1.1 200")) {
                return;
            }
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn request_text(trace: u64) -> String {
    format!(
        "GET /read/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {trace:016x}\r\nX-Qos: read\r\n\
         X-Storage-Class: free\r\nX-Expires-In-Ms: 9000\r\nX-Extent: units=1,shard=0,hosts=1\r\n\r\n"
    )
}

pub fn send_request(client: &mut BufReader<TcpStream>, trace: u64) {
    client
        .get_mut()
        .write_all(request_text(trace).as_bytes())
        .unwrap();
}

pub fn read_status(client: &mut BufReader<TcpStream>) -> Option<String> {
    read_message(client).map(|text| text[9..12].to_string())
}
