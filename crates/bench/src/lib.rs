//! `wingbench`: the measurements that decisions are made by.

pub mod chart;
pub mod decide;
pub mod memory;
pub mod run;
pub mod settings;
