//! Servers taken offline, without a fleet around them: which goes next, what a host may send to, and the
//! coordinator's side.

mod access;
mod coordinator;
mod fixtures;
mod selection;
