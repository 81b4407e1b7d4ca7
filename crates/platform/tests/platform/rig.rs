//! The core of a host, with two nodes, discovery and clients that the test simulates. The test passes received bytes
//! and the time to the core, and reads the core's outputs.

use bytes::Bytes;
use gullsail_platform::core::{ConnectionId, Core, Input, Metrics, Output};
use gullsail_platform::settings_document::SettingsDocument;
use gullsail_scheduler_api::{Instant, Span};

pub const DISCOVERY: &str = "10.2.0.1:8500";
pub const NODES: [(&str, &str); 2] = [("s-a", "10.1.0.1:5000"), ("s-b", "10.1.0.2:5000")];
pub const PEER: &str = "10.3.0.2:7946";
/// How long after a response its connection may carry the next message.
pub const REUSE_DELAY_MS: f64 = 25.0;
const START_MS: f64 = 1_000_000_000.0;

/// A settings document with these limits and this address of discovery.
pub fn settings_document(sockets: usize, memory_mb: usize, discovery: &str) -> String {
    let profile = |name: &str, idempotency: &str| {
        format!(
            r#"{{"name":"{name}","effect":"{idempotency}","group":"cell","window":5000.0,"give-up":1500.0,
            "objective":600.0,"worth":1.0,"late-value":0.1}}"#
        )
    };
    let profiles = [
        profile("read", "pure"),
        profile("write", "token"),
        profile("once", "side_effect"),
    ]
    .join(",");
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

/// A page of the endpoint list. Each entry states the index of a node, its state, and the start time of its process in
/// ms after the start of the test; 0 means long ago.
pub fn page(seq: u64, whole: bool, entries: &[(usize, &str, f64)]) -> String {
    let entry = |(n, health, started_ms): &(usize, &str, f64)| {
        let (name, address) = NODES[*n];
        let started_ms = if *started_ms > 0.0 {
            START_MS + started_ms
        } else {
            0.0
        };
        format!(
            r#"{{"host":"{name}","dial":"{address}","site":"a","class":"m","block":{n},"health":"{health}",
            "share":1.0,"born_ms":{started_ms}}}"#
        )
    };
    let entries: Vec<_> = entries.iter().map(entry).collect();
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        entries.join(",")
    )
}

/// A request of the class `kind` with this trace id, for this shard.
pub fn request_text(kind: &str, trace: u64, shard: i64) -> String {
    let (method, rest) = match kind {
        "read" => ("GET", "\r\n"),
        "write" => (
            "PUT",
            "Idempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody",
        ),
        _ => ("PUT", "Content-Length: 4\r\n\r\nbody"),
    };
    format!(
        "{method} /{kind}/00000003b4d60021/7f3a9c21e0b4d655?q=1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {trace:016x}\r\n\
         X-Qos: {kind}\r\nX-Storage-Class: free\r\nX-Expires-In-Ms: 1500\r\nX-Extent: units=1,shard={shard},hosts=1\r\n{rest}"
    )
}

pub fn response(status: u16, fields: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub struct Rig {
    pub core: Core,
    pub now: Instant,
    /// All outputs of the core so far, unless a test removed some.
    pub outputs: Vec<Output>,
    /// Responses are not reported as written, as if clients did not read them.
    pub withhold_writes: bool,
}

impl Rig {
    /// A host with the usual settings that has received an endpoint list with both nodes serving.
    pub fn new() -> Rig {
        Rig::with_settings(&settings_document(1024, 192, DISCOVERY))
    }

    /// A host that has received an endpoint list with both nodes serving.
    pub fn with_settings(settings_document: &str) -> Rig {
        let mut rig = Rig::without_endpoint_list(settings_document);
        rig.discovery_answers(&page(1, true, &[(0, "SERVING", 0.0), (1, "SERVING", 0.0)]));
        rig
    }

    /// A host to which discovery has not responded yet.
    pub fn without_endpoint_list(settings_document: &str) -> Rig {
        let document = SettingsDocument::parse("test.json", settings_document).unwrap();
        let now = Instant::from_millis(START_MS);
        let mut rig = Rig {
            core: Core::new(document, 4096, now),
            now,
            outputs: Vec::new(),
            withhold_writes: false,
        };
        rig.advance();
        rig
    }

    /// Advances the core. Reports responses to clients as written, unless `withhold_writes` is set.
    pub fn advance(&mut self) {
        loop {
            self.core.advance(self.now);
            let outputs = self.core.outputs();
            let answered = outputs.iter().filter_map(|output| match output {
                Output::Respond { conn, .. } if !self.withhold_writes => Some(*conn),
                _ => None,
            });
            let answered: Vec<_> = answered.collect();
            self.outputs.extend(outputs);
            if answered.is_empty() {
                return;
            }
            answered
                .into_iter()
                .for_each(|conn| self.core.handle(self.now, Input::Written(conn)));
        }
    }

    pub fn input(&mut self, input: Input) {
        self.core.handle(self.now, input);
        self.advance();
    }

    /// Advances the time by `ms` and runs the timers that become due.
    pub fn advance_time(&mut self, ms: f64) {
        let end = self.now + Span::from_millis(ms);
        while let Some(at) = self.core.next_timer().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.advance();
        }
        self.now = end;
        self.advance();
    }

    pub fn client(&mut self) -> ConnectionId {
        assert!(self.core.can_accept());
        self.core.accept(self.now)
    }

    pub fn receive(&mut self, conn: ConnectionId, text: &str) {
        self.input(Input::Received(
            conn,
            Bytes::copy_from_slice(text.as_bytes()),
        ));
    }

    /// Connects a new client that sends this text.
    pub fn client_sending(&mut self, text: &str) -> ConnectionId {
        let conn = self.client();
        self.receive(conn, text);
        conn
    }

    /// The responses to a client so far.
    pub fn responses(&self, client: ConnectionId) -> Vec<String> {
        let to = |output: &Output| match output {
            Output::Respond { conn, bytes } | Output::RespondLast { conn, bytes, .. }
                if *conn == client =>
            {
                Some(String::from_utf8(bytes.to_vec()).unwrap())
            }
            _ => None,
        };
        self.outputs.iter().filter_map(to).collect()
    }

    /// The status codes of these responses.
    pub fn statuses(&self, client: ConnectionId) -> Vec<String> {
        self.responses(client)
            .iter()
            .map(|text| text[9..12].to_string())
            .collect()
    }

    /// All connections that the core opened to an address, the newest last.
    pub fn connections_to(&self, to: &str) -> Vec<ConnectionId> {
        let address = |output: &Output| match output {
            Output::Connect { conn, address } if address == to => Some(*conn),
            _ => None,
        };
        self.outputs.iter().filter_map(address).collect()
    }

    /// The messages that the core ordered to send on a connection to a node or discovery.
    pub fn sent(&self, on: ConnectionId) -> Vec<String> {
        let to = |output: &Output| match output {
            Output::Send { conn, bytes, .. } if *conn == on => {
                Some(String::from_utf8(bytes.to_vec()).unwrap())
            }
            _ => None,
        };
        self.outputs.iter().filter_map(to).collect()
    }

    pub fn closed(&self, which: ConnectionId) -> bool {
        let closes = |output: &Output| matches!(output, Output::Close { conn } if *conn == which);
        self.outputs.iter().any(closes)
    }

    /// How often the connection was ordered to close while idle.
    pub fn close_idle_orders(&self, which: ConnectionId) -> usize {
        let closes_idle =
            |output: &&Output| matches!(output, Output::CloseIdle { conn, .. } if *conn == which);
        self.outputs.iter().filter(closes_idle).count()
    }

    /// The connections that were ordered to close while idle. Removes these orders from `outputs`.
    pub fn take_idle_closes(&mut self) -> Vec<ConnectionId> {
        let closes = self.outputs.iter().filter_map(|output| match output {
            Output::CloseIdle { conn, .. } => Some(*conn),
            _ => None,
        });
        let closes: Vec<_> = closes.collect();
        self.outputs
            .retain(|output| !matches!(output, Output::CloseIdle { .. }));
        closes
    }

    /// Whether the connection was neither closed nor ordered to close.
    pub fn stays_open(&self, conn: ConnectionId) -> bool {
        !self.closed(conn) && self.close_idle_orders(conn) == 0 && !self.finished(conn)
    }

    /// Whether the last response of the connection was ordered.
    pub fn finished(&self, which: ConnectionId) -> bool {
        self.outputs.iter().any(|output| {
            matches!(output, Output::FinishAndClose { conn } | Output::RespondLast { conn, .. } if *conn == which)
        })
    }

    /// Receives this page as the response to the poll on the newest connection to discovery.
    pub fn discovery_answers(&mut self, page: &str) {
        let conn = *self.connections_to(DISCOVERY).last().unwrap();
        if self.sent(conn).is_empty() {
            self.input(Input::Connected(conn));
        }
        self.receive(conn, &response(200, "", page));
    }

    /// Lets the time pass until connections that have just received a response may be used again.
    pub fn pass_reuse_delay(&mut self) {
        self.advance_time(REUSE_DELAY_MS);
    }

    /// Establishes the newest connection to a node and reports the message sent on it as written.
    pub fn establish(&mut self, node: usize) -> ConnectionId {
        let conn = *self.connections_to(NODES[node].1).last().unwrap();
        self.input(Input::Connected(conn));
        self.input(Input::Written(conn));
        conn
    }

    pub fn metrics(&self) -> &Metrics {
        self.core.metrics()
    }

    pub fn outcome_count(&self, outcome: &str) -> u64 {
        self.metrics()
            .attempt_outcomes
            .get(outcome)
            .copied()
            .unwrap_or_default()
    }

    /// The size metric with this name.
    pub fn size(&self, name: &str) -> usize {
        self.core
            .size_metrics()
            .iter()
            .find(|size| size.0 == name)
            .unwrap()
            .1
    }
}
