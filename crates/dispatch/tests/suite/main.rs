//! Tests of the decision core of routed requests, without I/O and in virtual time.

mod admission;
mod attribution;
mod budget;
mod callers;
mod catalog;
mod datagrams;
mod evacuation;
mod fleet;
mod flight;
mod merge;
mod overload;
mod quarantine;
mod quota;
mod rate_limits;
mod reach;
mod relay;
mod restore;
mod roster;
mod shedding;
mod shortage;
mod support;
mod suspects;
mod trail;
mod transfer;
mod warmup;
mod watch;
