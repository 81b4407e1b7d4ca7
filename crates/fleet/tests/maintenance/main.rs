//! The modules of maintenance tested without a fleet: selection of the next server, access to servers, and the
//! coordinator's side.

mod access;
mod coordinator;
mod fixtures;
mod selection;
