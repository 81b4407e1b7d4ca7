//! Follows the endpoint list of discovery: polls for the complete list first, then for its changes by long polls. After
//! a connection ends, the next one polls for the complete list, or for the changes since the known version if discovery
//! is a remote service. A connection that does not respond in time stays open beside the next one for a while. The host
//! continues with the one that responds first.
//!
//! `state` connects and polls, `endpoint_list` applies received pages, `reload` applies a new address. A page or an
//! entry that cannot be parsed changes nothing.

mod endpoint_list;
mod reload;
pub(super) mod state;
