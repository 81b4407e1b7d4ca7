//! The interface of gullsail's scheduler: events in, actions out, the ids in both, points in time, and the
//! configuration. The crate holds data types only; the scheduler's decisions are made elsewhere.
//!
//! Read [`Event`] and [`Action`] first, then [`SchedulerConfig`]. [`demand_report`] defines the messages between
//! hosts.

mod action;
mod config;
pub mod demand_report;
mod endpoint;
mod event;
mod ids;
mod time;

pub use action::{Action, MAX_SEND_DELAY, OverrunCause};
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
