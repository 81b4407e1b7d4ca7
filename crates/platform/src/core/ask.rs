//! What a client asks, read strictly: a request, or why it is none. Everything that counts must be there once and in
//! its form; the rest is ignored. What is refused here never reaches the decisions and never says 429 or 503, which
//! would promise something, but for what comes when the host leaves: that it never ran is so.

use bytes::Bytes;
use gullsail_http::{Encoder, Found, Message, Start};
use gullsail_scheduler_api::*;
use gullsail_scheduler_settings::{Names, Reach, hash};

/// Why a message is no request, each with its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refused {
    Unreadable,
    HeadTooLong,
    BodyTooLong,
    TooSlow,
    Path,
    Method,
    #[serde(rename = "stream_type")]
    RequestClass,
    Plan,
    Trace,
    #[serde(rename = "expiry")]
    Deadline,
    Extent,
    Key,
    Length,
    ReadWithBody,
    IdIsOpen,
    NoRoom,
    ShuttingDown,
}

impl Refused {
    pub fn status(self) -> (u16, &'static str) {
        match self {
            Refused::Path => (404, "Not Found"),
            Refused::Method => (405, "Method Not Allowed"),
            Refused::TooSlow => (408, "Request Timeout"),
            Refused::IdIsOpen => (409, "Conflict"),
            Refused::Length => (411, "Length Required"),
            Refused::BodyTooLong | Refused::NoRoom => (413, "Content Too Large"),
            Refused::ShuttingDown => (503, "Service Unavailable"),
            Refused::HeadTooLong => (431, "Request Header Fields Too Large"),
            _ => (400, "Bad Request"),
        }
    }

    /// What was meant.
    pub fn meant(self) -> &'static str {
        match self {
            Refused::Unreadable => "an HTTP/1.1 message with one sound length was meant",
            Refused::HeadTooLong => "a head of at most 16 KiB was meant",
            Refused::BodyTooLong => "a body of at most 64 KiB was meant",
            Refused::TooSlow => "a whole message within two seconds was meant",
            Refused::Path => "a path of stream type, volume and object was meant",
            Refused::Method => "GET for a read and PUT for a write were meant",
            Refused::RequestClass => "X-Qos with the stream type of the path was meant",
            Refused::Plan => "X-Storage-Class with a plan of the settings was meant",
            Refused::Trace => "X-Trace-Id with 16 hexadecimal digits was meant",
            Refused::Deadline => "X-Expires-In-Ms with whole milliseconds was meant",
            Refused::Extent => "X-Extent with units, shard and hosts in range was meant",
            Refused::Key => "an Idempotency-Key was meant",
            Refused::Length => "a length of the body was meant",
            Refused::ReadWithBody => "a read without a body was meant",
            Refused::IdIsOpen => "an id that is not open was meant",
            Refused::NoRoom => "the host holds all that it has room for",
            Refused::ShuttingDown => "another host was meant: this one leaves",
        }
    }
}

/// A request as it came, without its number.
#[derive(Clone, Debug)]
pub struct Asked {
    pub trace: u64,
    pub request: Request,
    /// What every attempt's head begins with; the time left and the body are added.
    pub parts: Parts,
    pub body: Bytes,
}

/// What passes on to a node unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct Parts {
    method: Bytes,
    target: Bytes,
    fields: Vec<(&'static str, Bytes)>,
    framed: bool,
}

const TRACE: &str = "X-Trace-Id";
const REQUEST_CLASS: &str = "X-Qos";
const PLAN: &str = "X-Storage-Class";
const DEADLINE: &str = "X-Expires-In-Ms";
const EXTENT: &str = "X-Extent";
const KEY: &str = "Idempotency-Key";
const AGAIN: &str = "X-Second-Try";
/// An hour, in ms: no client waits longer, and sums with it stay far from the ends of a number.
const LONGEST: u64 = 3_600_000;
const LONGEST_KEY: usize = 256;

impl Parts {
    /// The message to a node, which is told how long this host waits for it.
    pub fn message(&self, left: Span, body: &[u8]) -> Bytes {
        let e = Encoder::request(&self.method, &self.target);
        let e = self.fields.iter().fold(e, |e, (name, value)| e.field(name, value));
        let e = e.number(DEADLINE, (left.micros() / 1000).max(1));
        if self.framed { e.body(body) } else { e.bare() }
    }

    pub fn held(&self) -> usize {
        self.method.len() + self.target.len() + self.fields.iter().map(|f| f.1.len()).sum::<usize>()
    }
}

fn hex(digits: &[u8]) -> Option<u64> {
    let sound = digits.len() == 16 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| sound)?;
    u64::from_str_radix(text, 16).ok()
}

fn one<'a>(m: &'a Message, name: &str) -> Option<&'a [u8]> {
    if let Found::One(value) = m.field(name) { Some(value) } else { None }
}

fn text(bytes: &[u8]) -> Option<&str> {
    std::str::from_utf8(bytes).ok()
}

fn whole(digits: &[u8]) -> Option<u64> {
    let sound = !digits.is_empty() && digits.len() <= 12 && digits.iter().all(u8::is_ascii_digit);
    text(digits).filter(|_| sound)?.parse().ok()
}

/// Units, shard and hosts.
fn extent(value: &[u8]) -> Option<(f64, i64, u32)> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    for pair in text(value)?.split(',') {
        let (name, figure) = pair.trim().split_once('=')?;
        match name {
            "units" if units.is_none() => units = Some(figure.parse::<f64>().ok()?),
            "shard" if shard.is_none() => shard = Some(figure.parse::<i64>().ok()?),
            "hosts" if hosts.is_none() => hosts = Some(figure.parse::<u32>().ok()?),
            "units" | "shard" | "hosts" => return None,
            _ => {}
        }
    }
    Some((units?, shard?, hosts?))
}

/// # Errors
/// It is no request, and why.
pub fn read(m: &Message, names: &Names, config: &SchedulerConfig, reach: &Reach) -> Result<Asked, Refused> {
    let Start::Request { method, target } = &m.start else { return Err(Refused::Unreadable) };
    let path = target.split(|b| *b == b'?').next().unwrap_or_default();
    let mut steps = path.split(|b| *b == b'/');
    let (Some(b""), Some(kind), Some(volume), Some(object), None) =
        (steps.next(), steps.next(), steps.next(), steps.next(), steps.next())
    else {
        return Err(Refused::Path);
    };
    let (Some(_), Some(_), Some(kind)) = (hex(volume), hex(object), text(kind)) else {
        return Err(Refused::Path);
    };
    let request_class = names.request_class(kind).map_err(|_| Refused::Path)?;
    if one(m, REQUEST_CLASS) != Some(kind.as_bytes()) {
        return Err(Refused::RequestClass);
    }
    let writes = match method.as_ref() {
        b"GET" => false,
        b"PUT" => true,
        _ => return Err(Refused::Method),
    };
    if reach.writes.get(request_class.0).is_some_and(|w| *w != writes) {
        return Err(Refused::Method);
    }
    if !writes && !m.body.is_empty() {
        return Err(Refused::ReadWithBody);
    }
    if writes && !m.framed {
        return Err(Refused::Length);
    }
    let trace_text = one(m, TRACE).ok_or(Refused::Trace)?;
    let trace = hex(trace_text).ok_or(Refused::Trace)?;
    let unnamed = names.plans.is_empty() && m.field(PLAN) == Found::None;
    let plan_name = if unnamed { "" } else { one(m, PLAN).and_then(text).ok_or(Refused::Plan)? };
    let plan = names.plan(plan_name).map_err(|_| Refused::Plan)?;
    let timeout =
        one(m, DEADLINE).and_then(whole).filter(|ms| (1..=LONGEST).contains(ms)).ok_or(Refused::Deadline)?;
    let (units, shard, hosts) = one(m, EXTENT).and_then(extent).ok_or(Refused::Extent)?;
    let most = if config.max_units > 0.0 { config.max_units } else { f64::MAX };
    let shards = if reach.shards > 0 { reach.shards } else { i64::MAX };
    let in_range = units > 0.0 && units <= most && (-1..shards).contains(&shard);
    if !in_range || !(1..=config.hosts.max(1)).contains(&hosts) {
        return Err(Refused::Extent);
    }
    let key = match (config.request_classes[request_class.0].idempotency, m.field(KEY)) {
        (_, Found::Several) | (Idempotency::WithKey { .. }, Found::None) => return Err(Refused::Key),
        (_, Found::One(key)) if key.is_empty() || key.len() > LONGEST_KEY => return Err(Refused::Key),
        (_, Found::One(key)) => Some(key),
        (_, Found::None) => None,
    };
    let host = one(m, "Host").ok_or(Refused::Unreadable)?;
    let copy = Bytes::copy_from_slice;
    let mut fields =
        vec![("Host", copy(host)), (TRACE, copy(trace_text)), (REQUEST_CLASS, copy(kind.as_bytes()))];
    fields.extend((!unnamed).then(|| (PLAN, copy(plan_name.as_bytes()))));
    fields.extend([EXTENT, AGAIN].into_iter().filter_map(|n| Some((n, copy(one(m, n)?)))));
    fields.extend(key.map(|key| (KEY, copy(key))));
    let number = |digits: &[u8]| hash(text(digits).unwrap_or_default());
    let request = Request {
        id: RequestId(0),
        request_class,
        plan,
        volume: VolumeId(number(volume)),
        units,
        bytes: 0.0,
        shard: (shard >= 0).then_some(ShardId(shard)),
        object: Some(ObjectId(number(object))),
        pool: PoolId::ALL,
        timeout: Span::from_millis(timeout as f64),
        volume_hosts: hosts,
    };
    let parts = Parts { method: method.clone(), target: target.clone(), fields, framed: m.framed };
    Ok(Asked { trace, request, parts, body: m.body.clone() })
}
