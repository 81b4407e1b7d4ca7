//! Rules for sending a request again after an attempt that an endpoint may have executed.

use gullsail_scheduler_api::{
    Endpoint, Idempotency, IdempotencyScope, Instant, MAX_SEND_DELAY, RequestClass, ShardId, ZoneId,
};

/// The first attempt of a request that its endpoint may have executed.
#[derive(Clone, Copy)]
pub(crate) struct UnprovenExecution {
    pub(crate) attempt: u32,
    pub(crate) shard: ShardId,
    pub(crate) zone: ZoneId,
    pub(crate) sent_at: Instant,
}

/// Whether a request may be sent to an endpoint after `execution`: a repeat does no harm, the endpoint would
/// recognise the repeat by its idempotency key, or nothing can have run (`None`). Always true for non-idempotent
/// requests: those that may have run are shed before they are queued again, by [`may_run_again`].
pub(crate) fn may_repeat_at(
    execution: Option<UnprovenExecution>,
    endpoint: &Endpoint,
    idempotency: Idempotency,
    now: Instant,
) -> bool {
    let Idempotency::WithKey { scope, .. } = idempotency else {
        return true;
    };
    let Some(execution) = execution else {
        return true;
    };
    let same_shard = execution.shard == endpoint.shard;
    let in_scope = match scope {
        IdempotencyScope::All => true,
        IdempotencyScope::Zone => execution.zone == endpoint.zone || same_shard,
        IdempotencyScope::Shard => same_shard,
    };
    in_scope && is_before(now, send_before(Some(execution), idempotency))
}

/// The clock reading from which on a request is no longer sent again: a repeat that is held up on its way out must
/// still be written before the endpoints forget the idempotency key. `None`: there is no such time.
pub(crate) fn send_before(
    execution: Option<UnprovenExecution>,
    idempotency: Idempotency,
) -> Option<Instant> {
    let Idempotency::WithKey { window, .. } = idempotency else {
        return None;
    };
    execution.map(|execution| execution.sent_at + window - MAX_SEND_DELAY)
}

fn is_before(now: Instant, end: Option<Instant>) -> bool {
    end.is_none_or(|end| now < end)
}

/// Whether there may be an endpoint to which the request can be sent again now or later.
pub(crate) fn may_run_again(
    execution: Option<UnprovenExecution>,
    idempotency: Idempotency,
    now: Instant,
) -> bool {
    let may_repeat = idempotency != Idempotency::NonIdempotent || execution.is_none();
    may_repeat && is_before(now, send_before(execution, idempotency))
}

/// Whether a host may accept a request that ends by `deadline`, if an earlier one with the same id may have run. The
/// earlier one arrived at `first_arrived_at` and is no longer open, so its endpoint is not known any more: a request
/// with an idempotency key is accepted only if it reaches endpoints that recognise the key in all of its time.
///
/// Clients give each request an id of its own, so this harms only those that do not: they wait for nothing.
pub fn may_accept_again(
    idempotency: Idempotency,
    shard: Option<ShardId>,
    first_arrived_at: Instant,
    deadline: Instant,
) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::WithKey { scope, window } => {
            let reaches_same_scope = shard.is_some() || scope == IdempotencyScope::All;
            reaches_same_scope && deadline < first_arrived_at + window - MAX_SEND_DELAY
        }
    }
}

/// Whether only the endpoints of the same shard recognise repeats of this class's requests.
pub(crate) fn is_bound_to_shard(class: &RequestClass) -> bool {
    matches!(
        class.idempotency,
        Idempotency::WithKey {
            scope: IdempotencyScope::Shard,
            ..
        }
    )
}

/// Whether a client may repeat this class's requests through any host and endpoint.
pub(crate) fn is_safe_anywhere(class: &RequestClass) -> bool {
    matches!(
        class.idempotency,
        Idempotency::Idempotent
            | Idempotency::WithKey {
                scope: IdempotencyScope::All,
                ..
            }
    )
}
