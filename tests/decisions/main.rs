//! Tests of the scheduler, which feed it events and check its actions without sockets.

mod bounds;
mod cold_fleet;
mod common;
mod cross_zone;
mod inputs;
mod limits;
mod many_volumes;
mod model;
mod repeats;
mod retry_order;
mod rules;
mod symptoms;
mod world;
mod world_nodes;
