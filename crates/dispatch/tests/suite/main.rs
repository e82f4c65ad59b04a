//! Tests of the decision core of routed requests.

mod budget;
mod catalog;
mod fleet;
mod flight;
mod merge;
mod overload;
mod patience;
mod roster;
mod support;
mod trail;
