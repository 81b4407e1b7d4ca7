//! Storage nodes as this host knows them. Each endpoint has one [`tracker`], which combines a congestion
//! [`window`], its [`health`] and its [`slow_start`], and reports a capacity. Endpoints that answer this host
//! rarely also share a window for each zone ([`sparse_traffic`]). The [`index`] holds the reported capacities
//! by pool and by shard. Which request goes to an endpoint is decided in `dispatch`.

pub(super) mod health;
pub(super) mod index;
pub(super) mod slow_start;
pub(super) mod sparse_traffic;
pub(super) mod tracker;
pub(super) mod window;
