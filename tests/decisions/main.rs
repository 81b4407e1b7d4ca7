//! The decisions, event by event, without the bench.

mod bounds;
mod common;
mod limits;
mod model;
mod rules;
mod symptoms;
