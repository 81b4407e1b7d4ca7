//! Dispatch: requests wait in a [`queue`] until an endpoint has room. [`review`] sheds the requests of a queue
//! that can no longer meet their objective, [`endpoint_choice`] chooses endpoints for new objects,
//! [`candidate`] chooses the request for an endpoint with room, and [`send`] sends it. The end of an attempt is
//! handled in `attempts`.

pub(super) mod candidate;
pub(super) mod endpoint_choice;
pub(super) mod queue;
pub(super) mod review;
pub(super) mod send;
