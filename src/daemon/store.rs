//! Access to the platform's store: configuration watches, claims and node entries.

use std::net::SocketAddr;
use std::sync::Arc;

use jacinthfall_adapter::store::{Condition, Error, Item, Put};
use jacinthfall_claim as claim;
use jacinthfall_config as config;
use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::record::{Document, PREFIX, Record};
use jacinthfall_member as member;
use jacinthfall_wire::member::Rumor;
use metrics::counter;
use serde::{Deserialize, Serialize};

use super::context::Context;
use super::job::Job;
use super::settings::Seed;
use crate::registration::{self, Entry};

/// Key prefix of the node entries.
const NODE_PREFIX: &str = "jacinthfall/vms/";

/// Watches the store for configuration changes after the place `after`; reports the
/// result as a job for the configuration engine.
pub fn watch(context: &Arc<Context>, after: Position) {
    let context = Arc::clone(context);
    context.runtime.clone().spawn(async move {
        counter!("jacinthfall_store_watches_total").increment(1);
        let event = match read_changes(&context, after).await {
            Ok(event) => event,
            Err(_) => {
                counter!("jacinthfall_store_failures_total").increment(1);
                config::Event::StoreFailed
            }
        };
        context.post(Job::Config(event));
    });
}

/// Waits for changes. Lists the whole configuration if the store no longer has those after
/// `after`.
async fn read_changes(context: &Context, after: Position) -> Result<config::Event, Error> {
    let (items, upto) = match context.platform.watch(PREFIX, after, config::WATCH_WAIT).await {
        Ok(changes) => (changes.events, changes.at),
        Err(Error::Compacted | Error::Restored) => {
            let listing = context.platform.list(PREFIX).await?;
            (listing.items, listing.at)
        }
        Err(error) => return Err(error),
    };
    let records = items.iter().filter_map(parse_record).collect();
    Ok(config::Event::Stored { records, upto })
}

fn parse_record(item: &Item) -> Option<Record> {
    match serde_json::from_slice::<Document>(item.value.as_ref()?) {
        Ok(document) if document.record.key == item.key => Some(document.record),
        Ok(document) => {
            let reason = format!("it is of {:?}", document.record.key);
            ignore(item, &reason)
        }
        Err(error) => ignore(item, &error.to_string()),
    }
}

/// Counts and logs an entry of the store that isn't used.
fn ignore<T>(item: &Item, reason: &str) -> Option<T> {
    counter!("jacinthfall_store_malformed_total").increment(1);
    log::warn!("ignoring the entry {:?} in the store: {reason}; correct or remove it", item.key);
    None
}

/// Reads a key for the claim engine.
pub fn read(context: &Arc<Context>, call: u64, key: id::Name) {
    let context = Arc::clone(context);
    context.runtime.clone().spawn(async move {
        counter!("jacinthfall_store_reads_total").increment(1);
        let result = match context.platform.get(&key).await {
            Ok(item) => claim::Completion::Value {
                revision: item.as_ref().map_or(0, |item| item.at.revision),
                value: item.and_then(|item| item.value).map(Vec::from),
            },
            Err(error) => error_completion(&error),
        };
        end_call(&context, call, result);
    });
}

/// Writes a key for the claim engine if its revision is still `expect`.
pub fn swap(context: &Arc<Context>, call: u64, key: id::Name, expect: u64, value: Vec<u8>) {
    let context = Arc::clone(context);
    context.runtime.clone().spawn(async move {
        counter!("jacinthfall_store_swaps_total").increment(1);
        let at = Position::new(context.claims_era(), expect);
        let condition = Condition { key: key.clone(), at };
        let put = Put { key, value: value.into(), lease: 0 };
        let result = match context.platform.commit(&[condition], &[put], &[]).await {
            Ok(written) => claim::Completion::Swapped { revision: written.revision },
            Err(Error::Conflict(present)) => {
                let revision = present.first().map_or(0, |item| item.at.revision);
                claim::Completion::Conflict { revision }
            }
            Err(error) => error_completion(&error),
        };
        end_call(&context, call, result);
    });
}

/// Reports the result of a call to the claim engine. A store that has returned from an older copy
/// may have lost claims, so what it says of them is unknown.
fn end_call(context: &Context, call: u64, result: claim::Completion) {
    let is_answer = !matches!(result, claim::Completion::Refused | claim::Completion::Unknown);
    let era = context.platform.era();
    let result = if !is_answer || era == context.claims_era() {
        result
    } else {
        let trusted = context.claims_era();
        counter!("jacinthfall_store_claims_distrusted_total").increment(1);
        log::warn!(
            "claims in the store are not trusted: it returned from an older copy (era {era} after \
             {trusted}); restart this node once the requests from before have expired"
        );
        claim::Completion::Unknown
    };
    context.post(Job::Claim(claim::Event::CallEnded { call, result }));
}

/// Counts a store error and converts it for the claim engine.
fn error_completion(error: &Error) -> claim::Completion {
    counter!("jacinthfall_store_failures_total").increment(1);
    match error {
        Error::Refused(_) => claim::Completion::Refused,
        Error::Unknown(_)
        | Error::Era(_)
        | Error::Compacted
        | Error::Restored
        | Error::LeaseEnded
        | Error::Conflict(_) => claim::Completion::Unknown,
    }
}

/// Entry of a node in the store. An operator removes a node from service by setting
/// `leaving` in its entry.
#[derive(Serialize, Deserialize)]
struct Vm {
    node: id::Name,
    zone: id::Name,
    peer_address: SocketAddr,
    caller_address: SocketAddr,
    #[serde(default)]
    leaving: bool,
}

/// Keeps this node's entry registered in the store while the process runs.
pub async fn register(context: Arc<Context>, own_rumor: Rumor) {
    let vm = Vm {
        node: own_rumor.node.node.clone(),
        zone: own_rumor.zone,
        peer_address: own_rumor.peer_address,
        caller_address: own_rumor.caller_address,
        leaving: false,
    };
    let value = serde_json::to_vec(&vm).expect("the keys of an entry are strings").into();
    let entry = Entry { key: format!("{NODE_PREFIX}{}", vm.node).into(), value };
    registration::keep(context.platform.clone(), entry, Arc::default(), |_, result| {
        if result.is_err() {
            counter!("jacinthfall_store_failures_total").increment(1);
        }
    })
    .await;
}

/// Reports the seed nodes of the settings to the membership engine, then polls the node
/// entries in the store periodically.
pub async fn poll_vms(context: Arc<Context>) {
    let seeds = context.settings.peers.seeds.iter().map(seed_vm).collect::<Vec<_>>();
    if !seeds.is_empty() {
        context.post(Job::Member(member::Event::Vms(seeds)));
    }
    let mut interval = tokio::time::interval(context.settings.platform.vm_poll);
    let mut reachable = true;
    loop {
        interval.tick().await;
        counter!("jacinthfall_vm_list_reads_total").increment(1);
        let result = context.platform.list(NODE_PREFIX).await;
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            let state = if reachable { "readable again" } else { "unreadable" };
            log::warn!("the list of nodes in the store is {state}");
        }
        if let Ok(listing) = result {
            // The first answer after the start decides which claims are trusted.
            context.claims_era();
            let vms = listing.items.iter().filter_map(parse_vm).collect();
            context.post(Job::Member(member::Event::Vms(vms)));
        }
    }
}

fn seed_vm(seed: &Seed) -> member::Vm {
    member::Vm {
        node: seed.node.clone(),
        zone: seed.zone.clone(),
        peer_address: seed.peer_address,
        caller_address: seed.caller_address,
        leaving: false,
    }
}

fn parse_vm(item: &Item) -> Option<member::Vm> {
    let vm = match serde_json::from_slice::<Vm>(item.value.as_ref()?) {
        Ok(vm) if item.key.strip_prefix(NODE_PREFIX) == Some(&*vm.node) => vm,
        Ok(vm) => return ignore(item, &format!("it is of node {:?}", vm.node)),
        Err(error) => return ignore(item, &error.to_string()),
    };
    Some(member::Vm {
        node: vm.node,
        zone: vm.zone,
        peer_address: vm.peer_address,
        caller_address: vm.caller_address,
        leaving: vm.leaving,
    })
}
