//! Open-loop load generator for nodes that checks every answer.
//!
//! [`schedule`] fixes the arrival times in advance. [`run`] sends each request at its time, or
//! as soon afterwards as a worker is free, and measures latency from the intended time, so
//! that a slow system does not slow down its own measurement (coordinated omission).
//! [`check`] finds invalid answers, [`tally`] counts results, [`report`] holds the result of
//! a run, and [`table`] and [`plot`] display it.

pub mod addresses;
pub mod check;
pub mod client;
pub mod leafs;
pub mod mix;
pub mod plot;
pub mod report;
pub mod run;
pub mod schedule;
pub mod table;
pub mod tally;
