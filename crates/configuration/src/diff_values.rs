//! How values stand in a diff. Programs read these texts, so they stay as they are when a type or a field of
//! the program gets another name.

use crate::deployment::{NamedRequestClass, Server};
use gullsail_fleet::maintenance::MaintenanceConfig;
use gullsail_scheduler_api::{Idempotency, IdempotencyScope, RequestClass};
use std::fmt::Debug;

/// A plain value: a number, a text, a span in microseconds, or a list of these.
pub fn plain<T: Debug>(value: &T) -> String {
    format!("{value:?}").replace("Span(", "us(")
}

/// Whether requests of a class may run again.
pub fn idempotency(value: &Idempotency) -> String {
    idempotency_text(value).replace("Span(", "us(")
}

/// A request class with all its figures.
pub fn request_class(class: &NamedRequestClass) -> String {
    let RequestClass {
        idempotency,
        latency_objective,
        priority_weight,
        late_weight,
        in_order,
    } = &class.decisions;
    let idempotency = idempotency_text(idempotency);
    format!(
        "StreamType {{ effect: {idempotency}, slo_time: {latency_objective:?}, benefit: {priority_weight:?}, \
         late_part: {late_weight:?}, in_order: {in_order} }} expiry {:?}, write {}",
        class.deadline, class.write
    )
}

/// The document's entry on machines that go out for maintenance.
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

/// What a simulated node's server can do.
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
