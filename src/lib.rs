//! gullsail: the decisions of a storage gateway. Everything that is decided stands in [`brain`];
//! what it is told and what it asks for stands in `gullsail-interface`.

pub mod brain;
pub mod fading;

pub use brain::Brain;
pub use gullsail_interface as interface;
