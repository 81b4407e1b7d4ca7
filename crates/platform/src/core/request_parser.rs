//! Parses a client's message as a request, or says why it is none. Every header that matters must be present once
//! and well-formed; other headers are ignored. `clients` calls it; it keeps no state.
//!
//! A message that is rejected here never reaches the scheduler. The response to it is never 429 or 503, which would
//! tell the client that the request did not run and when to retry. The one exception is a host that shuts down,
//! where that is true.

use super::header_values::{hex, single, text, whole_number};
use super::request_error::RequestError;
use bytes::Bytes;
use gullsail_http::{Encoder, Found, Message, Start};
use gullsail_scheduler_api::{
    Idempotency, ObjectId, PlanId, PoolId, Request, RequestClassId, RequestId, SchedulerConfig,
    ShardId, Span, VolumeId,
};
use gullsail_scheduler_settings::{Names, Reach, hash};

const TRACE_ID: &str = "X-Trace-Id";
const REQUEST_CLASS: &str = "X-Qos";
const PLAN: &str = "X-Storage-Class";
const DEADLINE: &str = "X-Expires-In-Ms";
const EXTENT: &str = "X-Extent";
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const RETRY_MARKER: &str = "X-Second-Try";
/// Longest deadline, an hour: no client waits longer, and sums with it do not overflow.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Longest idempotency key. Bounds the memory of an open request.
const MAX_KEY_BYTES: usize = 256;

/// A valid request, before it has a [`RequestId`].
#[derive(Clone, Debug)]
pub struct ParsedRequest {
    /// The id that the client gave it.
    pub trace_id: u64,
    /// What the scheduler is told; its id is not yet set.
    pub request: Request,
    /// The head of every attempt, without the deadline header.
    pub head: ForwardedHead,
    /// The body, which nodes receive unchanged.
    pub body: Bytes,
}

/// The part of the head that nodes receive unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedHead {
    method: Bytes,
    target: Bytes,
    fields: Vec<ForwardedField>,
    has_length: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct ForwardedField {
    name: &'static str,
    value: Bytes,
}

impl ForwardedField {
    fn new(name: &'static str, value: &[u8]) -> ForwardedField {
        ForwardedField {
            name,
            value: Bytes::copy_from_slice(value),
        }
    }
}

impl ForwardedHead {
    /// Encodes the message to a node. Its deadline header says how long this host waits for the response.
    pub fn message(&self, time_left: Span, body: &[u8]) -> Bytes {
        let mut encoder = Encoder::request(&self.method, &self.target);
        for field in &self.fields {
            encoder = encoder.field(field.name, &field.value);
        }
        let encoder = encoder.number(DEADLINE, (time_left.micros() / 1000).max(1));
        if self.has_length {
            encoder.body(body)
        } else {
            encoder.without_body()
        }
    }

    /// How many bytes it holds.
    pub fn held_bytes(&self) -> usize {
        let fields = self
            .fields
            .iter()
            .map(|field| field.value.len())
            .sum::<usize>();
        self.method.len() + self.target.len() + fields
    }
}

/// Parses one message.
///
/// # Errors
/// Why the message is not accepted as a request.
pub fn parse(
    message: &Message,
    names: &Names,
    config: &SchedulerConfig,
    reach: &Reach,
) -> Result<ParsedRequest, RequestError> {
    let Start::Request { method, target } = &message.start else {
        return Err(RequestError::Malformed);
    };
    let path = Path::parse(target)?;
    let request_class = names
        .request_class(path.class_name)
        .map_err(|_| RequestError::Path)?;
    check_method(message, method, &path, request_class, reach)?;
    let trace_id = single(message, TRACE_ID)
        .and_then(hex)
        .ok_or(RequestError::TraceId)?;
    let plan = Plan::parse(message, names)?;
    let timeout = timeout(message)?;
    let extent = Extent::parse(message, config, reach)?;
    let idempotency = config.request_classes[request_class.0].idempotency;
    let key = idempotency_key(message, idempotency)?;
    let host = single(message, "Host").ok_or(RequestError::Malformed)?;
    let fields = forwarded_fields(message, host, &path, &plan, key);
    let request = scheduler_request(&path, request_class, &plan, &extent, timeout);
    let head = ForwardedHead {
        method: method.clone(),
        target: target.clone(),
        fields,
        has_length: message.framed,
    };
    Ok(ParsedRequest {
        trace_id,
        request,
        head,
        body: message.body.clone(),
    })
}

/// What the scheduler is told of the request; the table of open requests numbers it.
fn scheduler_request(
    path: &Path<'_>,
    request_class: RequestClassId,
    plan: &Plan<'_>,
    extent: &Extent,
    timeout: Span,
) -> Request {
    Request {
        id: RequestId(0),
        request_class,
        plan: plan.id,
        volume: VolumeId(hash(path.volume)),
        units: extent.units,
        bytes: 0.0,
        shard: extent.shard,
        object: Some(ObjectId(hash(path.object))),
        pool: PoolId::ALL,
        timeout,
        volume_hosts: extent.hosts,
    }
}

/// How long the client waits for the response.
fn timeout(message: &Message) -> Result<Span, RequestError> {
    let timeout_ms = single(message, DEADLINE)
        .and_then(whole_number)
        .ok_or(RequestError::Deadline)?;
    if (1..=MAX_DEADLINE_MS).contains(&timeout_ms) {
        Ok(Span::from_millis(timeout_ms as f64))
    } else {
        Err(RequestError::Deadline)
    }
}

/// The header fields that nodes receive, in the order in which they are written.
fn forwarded_fields(
    message: &Message,
    host: &[u8],
    path: &Path<'_>,
    plan: &Plan<'_>,
    idempotency_key: Option<&[u8]>,
) -> Vec<ForwardedField> {
    let values = [
        ("Host", Some(host)),
        (TRACE_ID, single(message, TRACE_ID)),
        (REQUEST_CLASS, Some(path.class_name.as_bytes())),
        (PLAN, plan.name.map(str::as_bytes)),
        (EXTENT, single(message, EXTENT)),
        (RETRY_MARKER, single(message, RETRY_MARKER)),
        (IDEMPOTENCY_KEY, idempotency_key),
    ];
    values
        .into_iter()
        .filter_map(|(name, value)| Some(ForwardedField::new(name, value?)))
        .collect()
}

/// `/class/volume/object`; a query after it is forwarded without being parsed.
struct Path<'a> {
    class_name: &'a str,
    volume: &'a str,
    object: &'a str,
}

impl Path<'_> {
    fn parse(target: &[u8]) -> Result<Path<'_>, RequestError> {
        let path = target
            .split(|byte| *byte == b'?')
            .next()
            .unwrap_or_default();
        let mut segments = path.split(|byte| *byte == b'/');
        let (Some(b""), Some(class), Some(volume), Some(object), None) = (
            segments.next(),
            segments.next(),
            segments.next(),
            segments.next(),
            segments.next(),
        ) else {
            return Err(RequestError::Path);
        };
        let (Some(_), Some(_)) = (hex(volume), hex(object)) else {
            return Err(RequestError::Path);
        };
        let (Some(class_name), Some(volume), Some(object)) =
            (text(class), text(volume), text(object))
        else {
            return Err(RequestError::Path);
        };
        Ok(Path {
            class_name,
            volume,
            object,
        })
    }
}

/// Checks that the class header, the method and the body fit the class that the path names.
fn check_method(
    message: &Message,
    method: &[u8],
    path: &Path<'_>,
    request_class: RequestClassId,
    reach: &Reach,
) -> Result<(), RequestError> {
    if single(message, REQUEST_CLASS) != Some(path.class_name.as_bytes()) {
        return Err(RequestError::RequestClass);
    }
    let is_write = match method {
        b"GET" => false,
        b"PUT" => true,
        _ => return Err(RequestError::Method),
    };
    if reach
        .writes
        .get(request_class.0)
        .is_some_and(|class_writes| *class_writes != is_write)
    {
        return Err(RequestError::Method);
    }
    if !is_write && !message.body.is_empty() {
        return Err(RequestError::ReadWithBody);
    }
    if is_write && !message.framed {
        return Err(RequestError::LengthRequired);
    }
    Ok(())
}

/// The plan, with its name where the message states one.
struct Plan<'a> {
    id: PlanId,
    name: Option<&'a str>,
}

impl Plan<'_> {
    /// Settings without plans allow a message without the header.
    fn parse<'a>(message: &'a Message, names: &Names) -> Result<Plan<'a>, RequestError> {
        let name = if names.plans.is_empty() && message.field(PLAN) == Found::None {
            None
        } else {
            Some(
                single(message, PLAN)
                    .and_then(text)
                    .ok_or(RequestError::Plan)?,
            )
        };
        let id = names
            .plan(name.unwrap_or_default())
            .map_err(|_| RequestError::Plan)?;
        Ok(Plan { id, name })
    }
}

/// What the extent header states: the size of a request, its shard and the number of hosts that serve its volume.
struct Extent {
    units: f64,
    shard: Option<ShardId>,
    hosts: u32,
}

/// The value of the header for a request that concerns no shard.
const NO_SHARD: i64 = -1;

impl Extent {
    fn parse(
        message: &Message,
        config: &SchedulerConfig,
        reach: &Reach,
    ) -> Result<Extent, RequestError> {
        let extent = single(message, EXTENT)
            .and_then(Extent::from_text)
            .ok_or(RequestError::UnitsShardOrHosts)?;
        let max_units = if config.max_units > 0.0 {
            config.max_units
        } else {
            f64::MAX
        };
        let shards = if reach.shards > 0 {
            reach.shards
        } else {
            i64::MAX
        };
        let in_range = extent.units > 0.0
            && extent.units <= max_units
            && extent
                .shard
                .is_none_or(|shard| (0..shards).contains(&shard.0))
            && (1..=config.host_count.max(1)).contains(&extent.hosts);
        if in_range {
            Ok(extent)
        } else {
            Err(RequestError::UnitsShardOrHosts)
        }
    }

    /// `units=1,shard=3,hosts=2`, in any order and each once; other names are ignored.
    fn from_text(value: &[u8]) -> Option<Extent> {
        let mut units = None;
        let mut shard = None;
        let mut hosts = None;
        for pair in text(value)?.split(',') {
            let (name, number) = pair.trim().split_once('=')?;
            match name {
                "units" if units.is_none() => units = Some(number.parse::<f64>().ok()?),
                "shard" if shard.is_none() => shard = Some(number.parse::<i64>().ok()?),
                "hosts" if hosts.is_none() => hosts = Some(number.parse::<u32>().ok()?),
                "units" | "shard" | "hosts" => return None,
                _ => {}
            }
        }
        let shard = shard?;
        Some(Extent {
            units: units?,
            shard: (shard != NO_SHARD).then_some(ShardId(shard)),
            hosts: hosts?,
        })
    }
}

/// The key, which must be present if nodes recognise retries by it.
fn idempotency_key(
    message: &Message,
    idempotency: Idempotency,
) -> Result<Option<&[u8]>, RequestError> {
    match (idempotency, message.field(IDEMPOTENCY_KEY)) {
        (_, Found::Multiple) | (Idempotency::WithKey { .. }, Found::None) => {
            Err(RequestError::IdempotencyKey)
        }
        (_, Found::One(key)) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            Err(RequestError::IdempotencyKey)
        }
        (_, Found::One(key)) => Ok(Some(key)),
        (_, Found::None) => Ok(None),
    }
}
