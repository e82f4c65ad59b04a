//! Tests of the decision core of routed requests.

mod budget;
mod caller_timeout;
mod catalog;
mod fleet;
mod flight;
mod merge;
mod overload;
mod roster;
mod support;
mod trail;
