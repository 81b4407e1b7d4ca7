//! Client connections. Each serves one message at a time. Input received meanwhile is buffered up to a bound and
//! decoded later.
//!
//! `client` holds the state of one connection, `table` all connections. `input` handles received bytes, `responses`
//! writes responses, `capacity` accepts connections and closes idle, slow and evicted ones. `arrival_times` records
//! when buffered bytes were received.

mod arrival_times;
mod capacity;
mod client;
mod input;
mod responses;
pub(super) mod table;
