//! Admission: [`arrival`] takes in a request, [`objective`] works out how long it is useful, [`starvation`]
//! says whether waiting for tokens is useless, and [`config_change`] applies what changes while serving.

pub(super) mod arrival;
pub(super) mod config_change;
pub(super) mod objective;
pub(super) mod starvation;
