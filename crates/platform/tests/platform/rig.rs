//! A host with two nodes, discovery and clients, all played by hand: bytes in, bytes out, time as a number.

use bytes::Bytes;
use gullsail_platform::core::{ConnId, Core, Counts, Input, Output};
use gullsail_platform::document::Document;
use gullsail_scheduler_api::{Instant, Span};

pub const DISCOVERY: &str = "10.2.0.1:8500";
pub const NODES: [(&str, &str); 2] = [("s-a", "10.1.0.1:5000"), ("s-b", "10.1.0.2:5000")];
pub const PEER: &str = "10.3.0.2:7946";
const BORN: f64 = 1_000_000_000.0;

/// What an operator writes; `limits` and discovery may be others.
pub fn document(sockets: usize, memory_mb: usize, discovery: &str) -> String {
    let profile = |name: &str, idempotency: &str| {
        format!(
            r#"{{"name":"{name}","effect":"{idempotency}","group":"cell","window":5000.0,"give-up":1500.0,
            "objective":600.0,"worth":1.0,"late-value":0.1}}"#
        )
    };
    let profiles =
        [profile("read", "pure"), profile("write", "token"), profile("once", "side_effect")].join(",");
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f",
        "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
        "peers":["10.3.0.1:7946","{PEER}"],"known":{},"settings":{{"failure-domains":["a"],
        "family-info":{{"cold-units":8.0,"max-units":6,"slots-total":2,"writes":[false,true,true]}},
        "limits":{{"connect-timeout":250.0,"keepalive":30000.0,"max-attempts":3,"max-retry-after":1000.0,
        "retry-after":true,"peer-messages":true}},
        "membership-mode":"push","peers-total":2,"policies":[{{"name":"free","nominal":10.0,"parts":1.0}}],
        "profiles":[{profiles}],"rank":0,"tick":2.0,
        "rules":{{"overload-for":2000.0,"start-capacity":0.3,"ramp-time":9000.0}}}}}}"#,
        page(1, true, &[(0, "SERVING", 0.0), (1, "SERVING", 0.0)])
    )
}

/// A page of the list: node, health and start in ms after the test's beginning (0: long ago).
pub fn page(seq: u64, whole: bool, entries: &[(usize, &str, f64)]) -> String {
    let entry = |(n, health, born): &(usize, &str, f64)| {
        let (name, dial) = NODES[*n];
        let born = if *born > 0.0 { BORN + born } else { 0.0 };
        format!(
            r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m","block":{n},"health":"{health}",
            "share":1.0,"born_ms":{born}}}"#
        )
    };
    let entries: Vec<_> = entries.iter().map(entry).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
}

/// A message of this request class, by its id, for the shard of a node.
pub fn ask(kind: &str, trace: u64, shard: i64) -> String {
    let (method, rest) = match kind {
        "read" => ("GET", "\r\n"),
        "write" => ("PUT", "Idempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody"),
        _ => ("PUT", "Content-Length: 4\r\n\r\nbody"),
    };
    format!(
        "{method} /{kind}/00000003b4d60021/7f3a9c21e0b4d655?q=1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {trace:016x}\r\n\
         X-Qos: {kind}\r\nX-Storage-Class: free\r\nX-Expires-In-Ms: 1500\r\nX-Extent: units=1,shard={shard},hosts=1\r\n{rest}"
    )
}

pub fn answer(status: u16, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

pub struct Rig {
    pub core: Core,
    pub now: Instant,
    pub out: Vec<Output>,
    /// Answers to clients stand still in their sockets.
    pub stuck: bool,
}

impl Rig {
    /// With its list: both nodes serve.
    pub fn new() -> Rig {
        Rig::with(&document(1024, 192, DISCOVERY))
    }

    pub fn with(document: &str) -> Rig {
        let d = Document::read("test.json", document).unwrap();
        let now = Instant::from_millis(BORN);
        let mut r = Rig { core: Core::new(d, 4096, now), now, out: Vec::new(), stuck: false };
        r.go();
        r.list(&page(1, true, &[(0, "SERVING", 0.0), (1, "SERVING", 0.0)]));
        r
    }

    /// What is answered to clients is written at once, unless it is stuck.
    pub fn go(&mut self) {
        loop {
            self.core.advance(self.now);
            let out = self.core.outputs();
            let answered = out.iter().filter_map(|o| match o {
                Output::Answer { conn, .. } if !self.stuck => Some(*conn),
                _ => None,
            });
            let answered: Vec<_> = answered.collect();
            self.out.extend(out);
            if answered.is_empty() {
                return;
            }
            answered.into_iter().for_each(|conn| self.core.handle(self.now, Input::Written(conn)));
        }
    }

    pub fn put(&mut self, input: Input) {
        self.core.handle(self.now, input);
        self.go();
    }

    /// Lets time pass, with all that is due meanwhile.
    pub fn pass(&mut self, ms: f64) {
        let end = self.now + Span::from_millis(ms);
        while let Some(at) = self.core.next_timer().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.go();
        }
        self.now = end;
        self.go();
    }

    pub fn client(&mut self) -> ConnId {
        assert!(self.core.has_place());
        self.core.accept(self.now)
    }

    pub fn say(&mut self, conn: ConnId, text: &str) {
        self.put(Input::Came(conn, Bytes::copy_from_slice(text.as_bytes())));
    }

    /// A client that has asked this.
    pub fn asks(&mut self, text: &str) -> ConnId {
        let conn = self.client();
        self.say(conn, text);
        conn
    }

    /// What a client was answered so far.
    pub fn heard(&self, client: ConnId) -> Vec<String> {
        let to = |o: &Output| match o {
            Output::Answer { conn, bytes } if *conn == client => {
                Some(String::from_utf8(bytes.to_vec()).unwrap())
            }
            _ => None,
        };
        self.out.iter().filter_map(to).collect()
    }

    /// The status codes of it.
    pub fn statuses(&self, client: ConnId) -> Vec<String> {
        self.heard(client).iter().map(|t| t[9..12].to_string()).collect()
    }

    /// All connections dialled to an address, the newest last.
    pub fn dialled(&self, to: &str) -> Vec<ConnId> {
        let dial = |o: &Output| match o {
            Output::Dial { conn, address } if address == to => Some(*conn),
            _ => None,
        };
        self.out.iter().filter_map(dial).collect()
    }

    pub fn sent(&self, on: ConnId) -> Vec<String> {
        let to = |o: &Output| match o {
            Output::Send { conn, bytes, .. } if *conn == on => {
                Some(String::from_utf8(bytes.to_vec()).unwrap())
            }
            _ => None,
        };
        self.out.iter().filter_map(to).collect()
    }

    pub fn closed(&self, which: ConnId) -> bool {
        let over = |o: &Output| matches!(o, Output::Close { conn } if *conn == which);
        self.out.iter().any(over)
    }

    /// How often it was to be closed unless something had come.
    pub fn closed_idle(&self, which: ConnId) -> usize {
        let quiet = |o: &&Output| matches!(o, Output::CloseIdle { conn, .. } if *conn == which);
        self.out.iter().filter(quiet).count()
    }

    pub fn finished(&self, which: ConnId) -> bool {
        self.out.iter().any(|o| matches!(o, Output::Finish { conn } if *conn == which))
    }

    /// Discovery, where it was last dialled, answers what it was asked.
    pub fn list(&mut self, page: &str) {
        let conn = *self.dialled(DISCOVERY).last().unwrap();
        if self.sent(conn).is_empty() {
            self.put(Input::Up(conn));
        }
        self.say(conn, &answer(200, "", page));
    }

    /// The newest connection to a node comes up, and what is sent on it is written.
    pub fn up(&mut self, node: usize) -> ConnId {
        let conn = *self.dialled(NODES[node].1).last().unwrap();
        self.put(Input::Up(conn));
        self.put(Input::Written(conn));
        conn
    }

    pub fn counts(&self) -> &Counts {
        self.core.counts()
    }

    pub fn ended(&self, outcome: &str) -> u64 {
        self.counts().endings.get(outcome).copied().unwrap_or_default()
    }

    pub fn length(&self, of: &str) -> usize {
        self.core.size_metrics().iter().find(|l| l.0 == of).unwrap().1
    }
}
