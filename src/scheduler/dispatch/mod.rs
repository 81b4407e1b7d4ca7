//! Dispatch: requests wait in a [`queue`] until an endpoint has room. The [`review`] of a queue sheds what can
//! no longer be in time; [`endpoint_choice`] picks endpoints for new objects; [`candidate`] picks the request
//! that goes to an endpoint with room, and [`send`] sends it. What came of an attempt is for `attempts`.

pub(super) mod candidate;
pub(super) mod endpoint_choice;
pub(super) mod queue;
pub(super) mod review;
pub(super) mod send;
