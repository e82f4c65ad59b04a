//! Process tests of gateway nodes, run against stand-ins of the platform's store and of leafs.

mod answers;
mod callers;
mod cancelled;
mod changes;
mod copies;
mod cut_off;
mod endless;
mod evacuation;
mod explain;
mod faults;
mod input;
mod nodes;
mod notices;
mod organisations;
mod output;
mod quarantine;
mod quotas;
mod rate_limits;
mod relay;
mod restore;
mod soak;
mod spread;
mod support;
mod warmup;
