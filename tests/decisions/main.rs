//! The decisions, event by event, without the bench.

mod bounds;
mod cold_fleet;
mod common;
mod limits;
mod model;
mod rules;
mod symptoms;
