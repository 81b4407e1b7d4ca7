//! Discovery: the complete endpoint list first, then its changes, by long polls. After a connection ends, the
//! complete list is polled again. A silent connection stays open beside the next one for a while; whichever
//! answers first is followed.
//!
//! `state` connects and polls, `endpoint_list` applies the pages that are received, `reload` follows a new
//! address. A page or an entry that cannot be parsed changes nothing.

mod endpoint_list;
mod reload;
pub(super) mod state;
