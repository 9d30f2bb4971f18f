//! The library of `wingbench`, which measures wingbridge and compares strategies on simulated
//! fleets.

pub mod box_size;
pub mod chart;
pub mod crashes;
pub mod decide;
pub mod memory;
pub mod path;
pub mod quota;
pub mod run;
pub mod settings;
pub mod spread;
pub mod steer;
