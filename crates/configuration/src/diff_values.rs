//! Texts of values in a diff. Programs read them, so they stay the same when a type or field is renamed.

use crate::deployment::{NamedRequestClass, Server};
use gullsail_fleet::maintenance::MaintenanceConfig;
use gullsail_scheduler_api::{Idempotency, IdempotencyScope, RequestClass};
use std::fmt::Debug;

/// The text of a number, a text, a span in microseconds, or a list or tuple of these.
pub fn plain<T: Debug>(value: &T) -> String {
    format!("{value:?}").replace("Span(", "us(")
}

/// The text of the idempotency of a request class.
pub fn idempotency(value: &Idempotency) -> String {
    idempotency_text(value).replace("Span(", "us(")
}

/// The text of a request class with all its values.
pub fn request_class(class: &NamedRequestClass) -> String {
    let RequestClass {
        idempotency,
        latency_objective,
        priority_weight,
        late_weight,
        in_order,
        // The deadline of the class.
        max_timeout: _,
    } = &class.decisions;
    let idempotency = idempotency_text(idempotency);
    format!(
        "StreamType {{ effect: {idempotency}, slo_time: {latency_objective:?}, benefit: {priority_weight:?}, \
         late_part: {late_weight:?}, in_order: {in_order} }} expiry {:?}, write {}",
        class.deadline, class.write
    )
}

/// The text of the `works` entry.
pub fn maintenance(config: &MaintenanceConfig) -> String {
    let MaintenanceConfig {
        at_once,
        in_zone,
        in_pool,
        keep,
        keep_shard,
        busy,
        ..
    } = config;
    let MaintenanceConfig {
        longest,
        watched,
        isolation_grace,
        quiet_hours,
        ..
    } = config;
    plain(&format_args!(
        "WorksTerms {{ at_once: {at_once}, in_zone: {in_zone}, in_pool: {in_pool}, keep: {keep:?}, \
         keep_cell: {keep_shard:?}, busy: {busy:?}, longest: {longest:?}, watched: {watched:?}, \
         blind: {isolation_grace:?}, rests: {quiet_hours:?} }}"
    ))
}

/// The text of a `machine` entry.
pub fn server(server: &Server) -> String {
    let Server {
        name,
        cores,
        unit,
        queue,
        pause,
        pause_every,
        put_off,
        flush_every,
        falls_over,
    } = server;
    plain(&format_args!(
        "Machine {{ name: {name:?}, cores: {cores}, unit: {unit:?}, queue: {queue}, pause: {pause:?}, \
         pause_every: {pause_every:?}, put_off: {put_off:?}, flush_every: {flush_every:?}, falls_over: {falls_over:?} }}"
    ))
}

fn idempotency_text(value: &Idempotency) -> String {
    match value {
        Idempotency::Idempotent => "Repeatable".into(),
        Idempotency::WithKey { scope, window } => {
            let scope = match scope {
                IdempotencyScope::All => "All",
                IdempotencyScope::Zone => "Zone",
                IdempotencyScope::Shard => "Cell",
            };
            format!("Keyed {{ group: {scope}, window: {window:?} }}")
        }
        Idempotency::NonIdempotent => "Unrepeatable".into(),
    }
}
