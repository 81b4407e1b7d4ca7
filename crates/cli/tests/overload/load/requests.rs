//! The requests of the plays' clients.

/// The parts of a request's head in which the plays' requests differ.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead {
    pub class: &'static str,
    pub plan: &'static str,
    pub volume: u64,
    pub trace_id: u64,
    pub shard: u64,
    /// Time for which the client waits, in ms.
    pub expires_ms: u64,
}

impl RequestHead {
    /// A read of this volume and shard.
    pub fn read(trace_id: u64, volume: u64, shard: u64) -> RequestHead {
        RequestHead {
            class: "read",
            plan: "free",
            volume,
            trace_id,
            shard,
            expires_ms: 1500,
        }
    }

    /// A write of this class to a volume and shard that follow from the id.
    pub fn write(class: &'static str, trace_id: u64) -> RequestHead {
        RequestHead {
            class,
            ..RequestHead::read(trace_id, trace_id % 16, trace_id % super::SHARDS)
        }
    }

    /// The start line and the fields, without the empty line at their end.
    pub fn text(&self) -> String {
        let RequestHead {
            class,
            plan,
            volume,
            trace_id,
            shard,
            expires_ms,
        } = self;
        let (method, key) = match *class {
            "read" => ("GET", String::new()),
            _ => ("PUT", format!("Idempotency-Key: k{trace_id:016x}\r\n")),
        };
        format!(
            "{method} /{class}/{volume:016x}/{trace_id:016x} HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {trace_id:016x}\r\n\
             X-Qos: {class}\r\nX-Storage-Class: {plan}\r\nX-Expires-In-Ms: {expires_ms}\r\n\
             X-Extent: units=1,shard={shard},hosts=2\r\n{key}"
        )
    }

    /// A complete request; one that writes has a body of this many bytes.
    pub fn message(&self, body_bytes: usize) -> Vec<u8> {
        let mut text = self.text();
        if self.class != "read" {
            text += &format!("Content-Length: {body_bytes}\r\n");
        }
        text += "\r\n";
        if self.class != "read" {
            text += &"w".repeat(body_bytes);
        }
        text.into_bytes()
    }
}
