//! The real program under resource limits that its shell sets, its clients, and a scripted node.

use bytes::{Bytes, BytesMut};
use gullsail_protocol::{
    AttemptAnswer, AttemptResult, Bounds, Frame, Handle, Hello, Message, Outcome, Role, Submit,
    decode,
};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Longer than any expected wait.
pub const LONG: Duration = Duration::from_secs(30);

pub fn deployment(node: &str, bounds: &str) -> String {
    format!(
        "rules tick=\"20ms\"\nstream-type \"read\" effect=\"repeatable\" slo=\"2s\" expiry=\"4s\"\n\
         stream-type \"trip\" effect=\"unrepeatable\" slo=\"2s\" expiry=\"4s\" write=#true\nplan \"p\"\n\
         host \"h1\" address=\"127.0.0.1:0\"\nnode \"n1\" cell=1 address=\"{node}\"\nvolume \"v\" plan=\"p\"\n{bounds}"
    )
}

pub fn gullsail(dir: &Path, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gullsail"))
        .current_dir(dir)
        .args(arguments)
        .output()
        .unwrap()
}

/// A host process under a resource limit; killed by its own id when dropped.
pub struct Host {
    pub child: Child,
    pub address: String,
}

impl Host {
    pub fn start(dir: &Path, limit: &str, log: &str, stderr: Stdio) -> Host {
        let program = env!("CARGO_BIN_EXE_gullsail");
        let line = format!(
            "{limit}exec {program} --log-level {log} host main.kdl --name h1 --control h1.sock"
        );
        let mut child = Command::new("sh")
            .current_dir(dir)
            .args(["-c", &line])
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .unwrap();
        let mut output = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut output)
            .unwrap();
        let output: serde_json::Value =
            serde_json::from_str(&output).expect("it says where it listens");
        assert!(
            output["incarnation"]
                .as_u64()
                .is_some_and(|n| n > 0 && n < 1 << 53),
            "exact in every reader: {output}"
        );
        Host {
            child,
            address: output["address"].as_str().unwrap().into(),
        }
    }

    pub fn stop(mut self) -> Option<i32> {
        let id = nix::unistd::Pid::from_raw(self.child.id() as i32);
        nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).unwrap();
        let end = Instant::now() + LONG;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn wire(frame: Frame) -> BytesMut {
    let mut out = BytesMut::new();
    frame.encode_head(&mut out);
    out.extend_from_slice(&frame.body);
    out
}

pub struct Socket {
    pub stream: TcpStream,
    buf: BytesMut,
}

impl Socket {
    fn new(stream: TcpStream) -> Socket {
        stream.set_read_timeout(Some(LONG)).unwrap();
        Socket {
            stream,
            buf: BytesMut::new(),
        }
    }

    pub fn client(address: &str) -> Socket {
        let mut socket = Socket::new(TcpStream::connect(address).unwrap());
        // The host may close the connection at once.
        let _ = socket.send(
            Hello {
                role: Role::Client as i32,
                name: "c".into(),
                ..Hello::default()
            }
            .into(),
        );
        socket
    }

    pub fn send(&mut self, frame: Frame) -> std::io::Result<()> {
        self.stream.write_all(&wire(frame))
    }

    /// The next frame; `None`: the connection ended, or the read timed out.
    pub fn next(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = decode(&mut self.buf, Bounds::DEFAULT).unwrap() {
                return Some(frame);
            }
            let mut chunk = [0; 65536];
            match self.stream.read(&mut chunk) {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.buf.extend_from_slice(&chunk[..n]),
            }
        }
    }

    pub fn submit(&mut self, id: u64, request_class: &str, body: usize) -> std::io::Result<()> {
        let submit = Submit {
            id,
            request_class: request_class.into(),
            volume: "v".into(),
            units: 1.0,
            handle: Some(Handle {
                shard: 1,
                object: id,
            }),
            timeout_us: 20_000_000,
            ..Submit::default()
        };
        self.send(Frame::from(submit).with_body(Bytes::from(vec![1; body])))
    }

    pub fn outcome(&mut self) -> Option<i32> {
        loop {
            if let Message::Answer(a) = self.next()?.message {
                return Some(a.outcome);
            }
        }
    }

    /// Sends a read and waits for its answer; `true` if it succeeded.
    pub fn served(&mut self, id: u64) -> bool {
        self.submit(id, "read", 0).is_ok() && self.outcome() == Some(Outcome::Succeeded as i32)
    }
}

/// Switches of a scripted node, shared with its threads.
#[derive(Clone, Default)]
pub struct NodeControl {
    /// Whether the node answers attempts.
    pub answers: Arc<AtomicBool>,
    /// If set, the node closes one connection and clears the switch.
    pub disconnects: Arc<AtomicBool>,
}

impl NodeControl {
    /// A node that answers every attempt.
    pub fn answering() -> NodeControl {
        let control = NodeControl::default();
        control.answers.store(true, Ordering::SeqCst);
        control
    }
}

/// A scripted node, on a thread that ends with the test's process. Returns its address.
pub fn node(control: &NodeControl) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let control = control.clone();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let control = control.clone();
            // The thread ends with its connection.
            std::thread::spawn(move || serve_attempts(stream, &control));
        }
    });
    address
}

fn serve_attempts(stream: TcpStream, control: &NodeControl) -> Option<()> {
    let mut socket = Socket::new(stream);
    socket
        .stream
        .set_read_timeout(Some(Duration::from_millis(50)))
        .unwrap();
    let hello = Hello {
        role: Role::Node as i32,
        name: "n1".to_string(),
        incarnation: 7,
        age_us: 10_000_000_000,
        shard_plus_one: 2,
    };
    socket.send(hello.into()).ok()?;
    loop {
        if control.disconnects.swap(false, Ordering::SeqCst) {
            return None;
        }
        let mut chunk = [0; 65536];
        match socket.stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(n) => socket.buf.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => return None,
        }
        while let Some(frame) = decode(&mut socket.buf, Bounds::DEFAULT).unwrap() {
            if let (Message::Attempt(attempt), true) =
                (frame.message, control.answers.load(Ordering::SeqCst))
            {
                let answer = AttemptAnswer {
                    attempt: attempt.attempt,
                    result: AttemptResult::Succeeded as i32,
                    ..AttemptAnswer::default()
                };
                socket.send(answer.into()).ok()?;
            }
        }
    }
}

pub fn status(dir: &Path) -> serde_json::Value {
    let out = gullsail(dir, &["--log-level", "error", "status", "h1.sock"]);
    serde_json::from_slice(&out.stdout)
        .unwrap_or_else(|e| panic!("{e}: {}", String::from_utf8_lossy(&out.stderr)))
}
