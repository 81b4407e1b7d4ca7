//! Parses a client's message as a request, or returns why it is not accepted. Every header that is evaluated must be
//! present exactly once and well-formed. Other headers are ignored. `clients` calls this module, which has no state.
//!
//! A message that is refused here never reaches the scheduler. Its response never has status 429 or 503, which would
//! tell the client that the request did not run and when to retry it. Of the messages that never reach the scheduler,
//! only those that `clients` refuses during the shutdown, or as sent too far ahead, get 503: they may be sent again.

use super::header_values::{as_utf8, parse_decimal, parse_hex_id, single_value};
use super::request_error::RequestError;
use bytes::Bytes;
use gullsail_http::{EncodedMessage, Encoder, Found, Message, StartLine};
use gullsail_scheduler_api::{
    Idempotency, ObjectId, PlanId, PoolId, Request, RequestClassId, RequestId, SchedulerConfig,
    ShardId, Span, VolumeId,
};
use gullsail_scheduler_settings::{ConnectionSettings, Names, hash};

const TRACE_ID: &str = "X-Trace-Id";
const REQUEST_CLASS: &str = "X-Qos";
const PLAN: &str = "X-Storage-Class";
const DEADLINE: &str = "X-Expires-In-Ms";
const EXTENT: &str = "X-Extent";
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const RETRY_MARKER: &str = "X-Second-Try";
/// Longest accepted deadline, one hour. No client waits longer, and adding it to a time cannot overflow.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Longest accepted idempotency key. It bounds the memory of an open request.
const MAX_KEY_BYTES: usize = 256;

/// A valid request to which no [`RequestId`] is assigned yet.
#[derive(Clone, Debug)]
pub struct ParsedRequest {
    /// The id that the client assigned to the request.
    pub trace_id: u64,
    /// The request in the form in which the scheduler receives it. Its id is 0 until the table of open requests assigns
    /// one.
    pub request: Request,
    /// The head of the messages that are sent to nodes for this request, without the deadline header.
    pub head: ForwardedHead,
    /// The body, which nodes receive unchanged.
    pub body: Bytes,
}

/// The head of a request as nodes receive it, except for the deadline header, which each attempt adds.
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
    /// Encodes the message to a node. Its deadline header holds `time_left`, the time for which this host waits for the
    /// response, in whole milliseconds and at least 1.
    pub fn message(&self, time_left: Span, body: Bytes) -> EncodedMessage {
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

    /// The memory of the method, the target and the field values, in bytes.
    pub fn held_bytes(&self) -> usize {
        let fields = self
            .fields
            .iter()
            .map(|field| field.value.len())
            .sum::<usize>();
        self.method.len() + self.target.len() + fields
    }
}

/// Parses and validates one message of a client.
///
/// # Errors
/// The message is not accepted as a request, for the reason that the error states.
pub fn parse(
    message: &Message,
    names: &Names,
    config: &SchedulerConfig,
    connection_settings: &ConnectionSettings,
) -> Result<ParsedRequest, RequestError> {
    let StartLine::Request { method, target } = &message.start else {
        return Err(RequestError::Malformed);
    };
    let path = Path::parse(target)?;
    let request_class = names
        .request_class(path.class_name)
        .map_err(|_| RequestError::Path)?;
    check_method(message, method, &path, request_class, connection_settings)?;
    let trace_id = single_value(message, TRACE_ID)
        .and_then(parse_hex_id)
        .ok_or(RequestError::TraceId)?;
    let plan = Plan::parse(message, names)?;
    let timeout = timeout(message)?;
    let extent = Extent::parse(message, config, connection_settings)?;
    let idempotency = config.request_classes[request_class.0].idempotency;
    let key = idempotency_key(message, idempotency)?;
    let host = single_value(message, "Host").ok_or(RequestError::Malformed)?;
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

/// Builds the request for the scheduler. The table of open requests replaces its id.
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

/// The time for which the client waits for the response, from the deadline header.
fn timeout(message: &Message) -> Result<Span, RequestError> {
    let timeout_ms = single_value(message, DEADLINE)
        .and_then(parse_decimal)
        .ok_or(RequestError::Deadline)?;
    if (1..=MAX_DEADLINE_MS).contains(&timeout_ms) {
        Ok(Span::from_millis(timeout_ms as f64))
    } else {
        Err(RequestError::Deadline)
    }
}

/// The header fields that nodes receive unchanged, in the order in which they are written.
fn forwarded_fields(
    message: &Message,
    host: &[u8],
    path: &Path<'_>,
    plan: &Plan<'_>,
    idempotency_key: Option<&[u8]>,
) -> Vec<ForwardedField> {
    let values = [
        ("Host", Some(host)),
        (TRACE_ID, single_value(message, TRACE_ID)),
        (REQUEST_CLASS, Some(path.class_name.as_bytes())),
        (PLAN, plan.name.map(str::as_bytes)),
        (EXTENT, single_value(message, EXTENT)),
        (RETRY_MARKER, single_value(message, RETRY_MARKER)),
        (IDEMPOTENCY_KEY, idempotency_key),
    ];
    values
        .into_iter()
        .filter_map(|(name, value)| Some(ForwardedField::new(name, value?)))
        .collect()
}

/// The segments of a path `/class/volume/object`. A query after the path is forwarded but not parsed.
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
        let (Some(_), Some(_)) = (parse_hex_id(volume), parse_hex_id(object)) else {
            return Err(RequestError::Path);
        };
        let (Some(class_name), Some(volume), Some(object)) =
            (as_utf8(class), as_utf8(volume), as_utf8(object))
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

/// Checks that the class header, the method and the body match the request class of the path.
fn check_method(
    message: &Message,
    method: &[u8],
    path: &Path<'_>,
    request_class: RequestClassId,
    connection_settings: &ConnectionSettings,
) -> Result<(), RequestError> {
    if single_value(message, REQUEST_CLASS) != Some(path.class_name.as_bytes()) {
        return Err(RequestError::RequestClass);
    }
    let is_write = match method {
        b"GET" => false,
        b"PUT" => true,
        _ => return Err(RequestError::Method),
    };
    if connection_settings
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

/// The plan of a request.
struct Plan<'a> {
    id: PlanId,
    /// The value of the plan header, which nodes receive too. `None` if the message has no such header.
    name: Option<&'a str>,
}

impl Plan<'_> {
    /// Parses the plan header. It may be missing only if the settings define no plans.
    fn parse<'a>(message: &'a Message, names: &Names) -> Result<Plan<'a>, RequestError> {
        let name = if names.plans.is_empty() && message.field(PLAN) == Found::None {
            None
        } else {
            Some(
                single_value(message, PLAN)
                    .and_then(as_utf8)
                    .ok_or(RequestError::Plan)?,
            )
        };
        let id = names
            .plan(name.unwrap_or_default())
            .map_err(|_| RequestError::Plan)?;
        Ok(Plan { id, name })
    }
}

/// The parsed extent header.
struct Extent {
    /// The size of the request in units of work.
    units: f64,
    /// The shard of the request. `None` if the request belongs to no shard.
    shard: Option<ShardId>,
    /// How many hosts serve the volume of the request.
    hosts: u32,
}

/// The shard number in the extent header of a request that belongs to no shard.
const NO_SHARD: i64 = -1;

impl Extent {
    fn parse(
        message: &Message,
        config: &SchedulerConfig,
        connection_settings: &ConnectionSettings,
    ) -> Result<Extent, RequestError> {
        let extent = single_value(message, EXTENT)
            .and_then(Extent::from_text)
            .ok_or(RequestError::UnitsShardOrHosts)?;
        let max_units = if config.max_units > 0.0 {
            config.max_units
        } else {
            f64::MAX
        };
        let shards = if connection_settings.shards > 0 {
            connection_settings.shards
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

    /// Parses a list such as `units=1,shard=3,hosts=2`. Each of the three names must occur once, in any order. Other
    /// names are ignored.
    fn from_text(value: &[u8]) -> Option<Extent> {
        let mut units = None;
        let mut shard = None;
        let mut hosts = None;
        for pair in as_utf8(value)?.split(',') {
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

/// The idempotency key of the message. It must be present if nodes recognise retries of the request class by it.
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
