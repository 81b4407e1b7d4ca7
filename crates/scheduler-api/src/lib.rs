//! The interface of gullsail's scheduler: events in, actions out, the ids that both name, points in time, and
//! the configuration that is given at the start. Nothing is decided here, and nothing is read from outside.
//!
//! Read `event` and `action` first, then `config`; [`demand_report`] is what hosts send each other.

mod action;
mod config;
pub mod demand_report;
mod endpoint;
mod event;
mod ids;
mod time;

pub use action::{Action, OverrunCause};
pub use config::{
    BudgetScope, CrossZoneBudget, FleetMembership, Idempotency, IdempotencyScope, Limit, Plan,
    RequestClass, RetryBudget, SchedulerConfig, SlowStart, VolumeAllocation,
};
pub use endpoint::{Endpoint, EndpointState, UpdateKind};
pub use event::{AttemptEnd, AttemptOutcome, Event, Request};
pub use ids::{
    HostId, NodeId, ObjectId, PlanId, PoolId, RequestClassId, RequestId, ShardId, TimerId,
    VolumeId, ZoneId,
};
pub use time::{Instant, Span};
