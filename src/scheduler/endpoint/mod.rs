//! Endpoints, which are storage nodes as seen by this host. Each endpoint has one [`tracker`], which combines a
//! congestion [`window`], the endpoint's [`health`] and its [`slow_start`], and reports a capacity. Endpoints
//! that answer this host rarely also share one window for each zone ([`sparse_traffic`]). The [`index`] holds
//! the reported capacities by pool and by shard. `dispatch` chooses the requests that are sent to an endpoint.

pub(super) mod health;
pub(super) mod index;
pub(super) mod slow_start;
pub(super) mod sparse_traffic;
pub(super) mod tracker;
pub(super) mod window;
