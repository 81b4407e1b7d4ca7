//! The decisions, event by event, without the bench.

mod common;
mod limits;
mod rules;
mod symptoms;
