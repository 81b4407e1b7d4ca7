//! The real program on the platform's protocol: loopback, scripted peers, limits of its own.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

const SOON: Duration = Duration::from_secs(20);

/// One message: its head, and as much body as it states.
fn message(from: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut text, mut length) = (String::new(), 0);
    loop {
        let at = text.len();
        if from.read_line(&mut text).ok()? == 0 {
            return None;
        }
        let line = text[at..].trim_end().to_ascii_lowercase();
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

/// Answers every message on every connection; what `answer` returns `None` for waits for ever.
fn serve(answer: impl Fn(&str) -> Option<String> + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let mut to = stream;
                while let Some(text) = message(&mut from) {
                    match answer(&text) {
                        Some(text) => _ = to.write_all(text.as_bytes()),
                        None => std::thread::sleep(SOON),
                    }
                }
            });
        }
    });
    at
}

fn reply(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Says which question came, and lets watches wait.
fn discovery(node: SocketAddr) -> (SocketAddr, Receiver<String>) {
    let (say, said): (Sender<String>, _) = channel();
    let at = serve(move |text| {
        let _ = say.send(text.lines().next().unwrap_or_default().into());
        let page = format!(
            r#"{{"seq":4,"whole":true,"hosts":[{{"host":"s-1","dial":"{node}","site":"a","class":"m","block":0,
            "health":"SERVING","share":1.0,"born_ms":0}}]}}"#
        );
        (!text.contains("after=")).then(|| reply(&page))
    });
    (at, said)
}

fn document(discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":64}},"peer_listen":"127.0.0.1:0","peers":[],
        "settings":{{"failure-domains":["a"],"family-info":{{"max-units":6,"slots-total":1,"writes":[false]}},
        "limits":{{"connect-timeout":250.0,"keepalive":30000.0,"max-attempts":3}},"membership-mode":"push",
        "peers-total":1,"policies":[{{"name":"free","parts":1.0}}],"profiles":[{{"name":"read","effect":"pure",
        "give-up":9000.0,"objective":9000.0}}],"rank":0,"rules":{{}},"tick":2.0}}}}"#
    )
}

struct Host {
    child: Child,
    at: SocketAddr,
    log: Receiver<String>,
    file: PathBuf,
    _dir: tempfile::TempDir,
}

impl Host {
    /// With so many descriptors, whatever the document says.
    fn start(discovery: SocketAddr) -> Host {
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("config.json");
        std::fs::write(&file, document(discovery)).unwrap();
        let mut child = Command::new("/bin/sh")
            .args(["-c", "ulimit -n 64; exec \"$0\" platform", env!("CARGO_BIN_EXE_gullsail")])
            .env("PROXY_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (say, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|l| _ = say.send(l)));
        let mut h = Host { child, at: "127.0.0.1:0".parse().unwrap(), log, file, _dir: dir };
        let line = h.line("serves clients at=");
        h.at = line.rsplit('=').next().unwrap().parse().unwrap();
        h
    }

    /// The next line of the log that holds this.
    fn line(&self, part: &str) -> String {
        loop {
            let line = self.log.recv_timeout(SOON).unwrap_or_else(|_| panic!("no line with {part}"));
            if line.contains(part) {
                return line;
            }
        }
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    fn client(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.at).unwrap();
        stream.set_read_timeout(Some(SOON)).unwrap();
        BufReader::new(stream)
    }

    fn ready(&self) {
        loop {
            let mut c = self.client();
            c.get_mut().write_all(b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
            if message(&mut c).is_some_and(|t| t.starts_with("HTTP/1.1 200")) {
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

fn asks(client: &mut BufReader<TcpStream>, trace: u64) {
    let text = format!(
        "GET /read/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {trace:016x}\r\nX-Qos: read\r\n\
         X-Storage-Class: free\r\nX-Expires-In-Ms: 9000\r\nX-Extent: units=1,shard=0,hosts=1\r\n\r\n"
    );
    client.get_mut().write_all(text.as_bytes()).unwrap();
}

fn status(client: &mut BufReader<TcpStream>) -> Option<String> {
    message(client).map(|t| t[9..12].to_string())
}

#[test]
fn it_serves_through_crowds_reloads_and_leaves_with_everything_answered() {
    let (go, gate) = channel::<()>();
    let gate = std::sync::Arc::new(std::sync::Mutex::new(gate));
    let node = serve(move |text| {
        // One of them is answered only when the test says so.
        if text.contains("00000000000000ff") {
            gate.lock().unwrap().recv_timeout(SOON).ok()?;
        }
        Some(reply("made by the node"))
    });
    let (old, asked) = discovery(node);
    let mut h = Host::start(old);
    h.ready();
    let mut usual = h.client();
    asks(&mut usual, 1);
    assert!(message(&mut usual).unwrap().ends_with("made by the node"));
    // More connections than it has descriptors, all of them silent.
    let crowd: Vec<_> = (0..90).map(|_| h.client()).collect();
    std::thread::sleep(Duration::from_millis(400));
    let newcomer = (0..50).find_map(|_| {
        let mut c = h.client();
        asks(&mut c, 2);
        status(&mut c)
    });
    assert_eq!(newcomer.as_deref(), Some("200"));
    drop(crowd);
    // Noise is answered with an error.
    let mut rude = h.client();
    rude.get_mut().write_all(b"\x01\x02 noise\r\n\r\n").unwrap();
    assert_eq!(status(&mut rude).as_deref(), Some("400"));
    // A half-written document keeps what is; a whole one moves discovery.
    std::fs::write(&h.file, &document(old)[..100]).unwrap();
    h.signal(Signal::SIGHUP);
    h.line("the old one stays");
    let (new, asked_anew) = discovery(node);
    std::fs::write(&h.file, document(new)).unwrap();
    h.signal(Signal::SIGHUP);
    assert_eq!(asked_anew.recv_timeout(SOON).unwrap(), "GET /catalog/members HTTP/1.1");
    assert_eq!(asked.recv_timeout(SOON).unwrap(), "GET /catalog/members HTTP/1.1");
    // It leaves: what is open is answered first.
    let mut open = h.client();
    asks(&mut open, 0xff);
    h.signal(Signal::SIGTERM);
    h.line("accepts no more");
    assert!(h.child.try_wait().unwrap().is_none());
    go.send(()).unwrap();
    assert_eq!(status(&mut open).as_deref(), Some("200"));
    assert_eq!(h.child.wait().unwrap().code(), Some(0));
}

#[test]
fn without_a_sound_document_it_ends_with_code_2_and_says_why() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("config.json");
    let sound = document("127.0.0.1:1".parse().unwrap());
    let below = sound.replace(r#""parts":1.0"#, r#""parts":1.0,"limit":-1.0"#);
    let small = sound.replace(r#""parts":1.0"#, r#""parts":1.0,"limit":9.0,"limit-burst":5.0"#);
    let cases = [
        (None, "config.json"),
        (Some("{\"listen\":7}"), "line 1"),
        (Some("{}"), "listen"),
        (Some(below.as_str()), "settings.policies[0].limit: a figure of 0 or more"),
        (Some(small.as_str()), "settings.policies[0].limit-burst: room for one"),
    ];
    for (text, says) in cases {
        text.into_iter().for_each(|t| std::fs::write(&file, t).unwrap());
        let ended = Command::new(env!("CARGO_BIN_EXE_gullsail"))
            .arg("platform")
            .env("PROXY_CONFIG", &file)
            .output()
            .unwrap();
        // As it was said, whatever the lines are broken into.
        let said = String::from_utf8(ended.stderr).unwrap().replace('│', " ");
        let said = said.split_whitespace().collect::<Vec<_>>().join(" ");
        assert_eq!(ended.status.code(), Some(2), "{said}");
        assert!(said.contains("config.json") && said.contains(says), "{said}");
    }
}
