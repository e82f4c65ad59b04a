//! Quotas of organisations over all nodes: the rule in every window, and what must be admitted.

use std::time::Duration;

use jacinthfall_core::time::Time;
use jacinthfall_dispatch::quota::{
    Ask, Cache, Decision, GROUPS, Grant, Limit, MAX_WAIT, OrganisationId, Quotas, Reply, Rule,
    Vote, Want,
};
use jacinthfall_route::organisation::Quota;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::support::quotas::{Customer, Network, WINDOW, World};

/// Time after which all nodes know each other and the buckets hold what they may.
const WARM: Time = Time::from_millis(10_000);

/// Rates and bursts of the organisations.
const QUOTAS: [(&str, f64, f64); 7] = [
    ("rare", 0.2, 0.0),
    ("one", 1.0, 0.0),
    ("two", 2.0, 5.0),
    ("twenty", 20.0, 0.0),
    ("bursty", 20.0, 40.0),
    ("fifty", 50.0, 0.0),
    ("fifty-bursty", 50.0, 100.0),
];

fn customers(demand: f64) -> Vec<Customer> {
    let customer = |(name, rate_per_s, burst): (&'static str, f64, f64)| Customer {
        name,
        quota: Quota { rate_per_s, burst },
        demand: rate_per_s * demand,
    };
    QUOTAS.into_iter().map(customer).collect()
}

fn at(seconds: f64) -> Time {
    Time(0) + Duration::from_secs_f64(seconds)
}

/// Guards against refusals below the limit, by numbers of nodes and of those that callers use.
#[test]
fn no_request_below_the_limit_is_refused_in_calm() {
    for (nodes, callers, seconds) in
        [(1, 1, 60.0), (3, 3, 60.0), (8, 8, 60.0), (76, 8, 60.0), (300, 30, 25.0)]
    {
        let mut world = World::open(nodes, callers, &customers(0.5), nodes as u64);

        world.run(at(seconds));

        world.assert_rule("in calm");
        for (index, customer) in world.customers.iter().enumerate() {
            let (admitted, refused) = world.counts(index, WARM);
            assert_eq!(refused, 0, "{nodes} nodes: {admitted} admitted of {customer:?}");
        }
        let ended = world.ended.iter().flatten().filter(|ended| ended.at >= WARM);
        let waits = ended.map(|ended| ended.waited);
        assert!(waits.max() < Some(Duration::from_millis(15)), "{nodes} nodes");
    }
}

/// Guards against quotas that are used up only in part by organisations that ask for more.
#[test]
fn an_organisation_that_asks_for_more_gets_its_limit() {
    for (nodes, callers, seconds) in [(3, 3, 60.0), (8, 8, 60.0), (76, 8, 60.0), (300, 30, 30.0)] {
        for demand in [1.0, 2.0, 8.0] {
            let mut world = World::open(nodes, callers, &customers(demand), nodes as u64);

            world.run(at(seconds));

            world.assert_rule("with too much demand");
            for (index, customer) in world.customers.iter().enumerate() {
                let (admitted, _) = world.counts(index, WARM);
                let limit = customer.quota.rate_per_s * (seconds - WARM.0 as f64 / 1e6);
                let share = admitted as f64 / limit;
                let least = match customer.quota.rate_per_s {
                    rate if rate >= 20.0 => 0.95,
                    rate if rate >= 1.0 => 0.8,
                    _ => 0.0,
                };
                let least = if demand > 1.0 { least } else { least - 0.15 };
                assert!(share >= least, "{nodes} nodes, {demand}: {share} of {customer:?}");
            }
        }
    }
}

/// Guards against one organisation's excess that costs others their quota.
#[test]
fn the_excess_of_some_organisations_costs_others_nothing() {
    let mut customers = customers(0.5);
    for index in [1, 3, 5] {
        customers[index].demand = 8.0 * customers[index].quota.rate_per_s;
    }
    let mut world = World::open(76, 8, &customers, 1);

    world.run(at(40.0));

    world.assert_rule("with excess");
    for index in [0, 2, 4, 6] {
        let (admitted, refused) = world.counts(index, WARM);
        assert_eq!(refused, 0, "{admitted} admitted of {:?}", world.customers[index]);
    }
}

/// Does something to a random node.
fn disturb(world: &mut World) {
    let index = world.rng.random_range(0..world.len());
    let time = Duration::from_millis(world.rng.random_range(100..5_000));
    match world.rng.random_range(0..5) {
        0 if world.is_running(index) => world.kill(index),
        1 if !world.is_running(index) => world.start(index),
        2 => world.pause(index, time),
        3 => world.set_cut_off(index, true),
        _ => world.set_cut_off(index, false),
    }
}

/// Disturbs a site at an interval until the end, and checks the rule.
fn check_rule_with_failures(nodes: usize, callers: usize, interval: f64, end: f64, seed: u64) {
    let mut world = World::open(nodes, callers, &customers(8.0), seed);
    let max_delay = Duration::from_secs(2);
    world.network = Network { lost: 0.03, doubled: 0.05, delayed: 0.05, max_delay };
    let mut time = 4.0;
    while time < end {
        world.run(at(time));
        disturb(&mut world);
        time += interval;
    }
    world.assert_rule(&format!("{nodes} nodes, seed {seed}"));
}

/// Guards against a node that was the only one, is cut off, and doesn't know that others start
/// (seed 14).
#[test]
fn the_rule_holds_with_failures_of_3_nodes() {
    (0..20).for_each(|seed| check_rule_with_failures(3, 3, 0.7, 30.0, seed));
}

/// Guards against grants that are made twice: by two nodes whose views differ, after pauses,
/// by messages that come twice or late.
#[test]
fn the_rule_holds_with_failures_of_8_nodes() {
    (0..12).for_each(|seed| check_rule_with_failures(8, 8, 0.4, 30.0, seed));
}

#[test]
fn the_rule_holds_with_failures_of_76_nodes() {
    (0..2).for_each(|seed| check_rule_with_failures(76, 8, 0.1, 25.0, seed));
}

#[test]
fn the_rule_holds_with_failures_of_300_nodes() {
    check_rule_with_failures(300, 30, 0.05, 15.0, 1);
}

/// Guards against a granting node that is replaced, or half of the nodes that are lost, so that
/// more is granted than before or nothing any more.
#[test]
fn quotas_outlive_half_of_the_nodes() {
    for (nodes, callers, seeds) in [(8, 8, 5), (76, 8, 2), (300, 30, 1)] {
        for seed in 0..seeds {
            let mut world = World::open(nodes, callers, &customers(2.0), seed);
            world.run(WARM);
            let mut rng = world.rng.clone();
            (0..nodes).choose_multiple(&mut rng, nodes / 2).into_iter().for_each(|n| world.kill(n));
            world.callers = (0..nodes).filter(|index| world.is_running(*index)).collect();
            world.callers.truncate(callers);

            world.run(at(30.0));

            world.assert_rule("after the loss of half of the nodes");
            for (index, customer) in world.customers.iter().enumerate() {
                let (early, _) = world.counts(index, at(12.0));
                let (late, _) = world.counts(index, at(20.0));
                let rate = customer.quota.rate_per_s;
                if rate < 1.0 {
                    continue;
                }
                let share = (early - late) as f64 / (rate * 8.0);
                assert!(share >= 0.3, "{nodes} nodes: {share} early of {customer:?}");
                let share = late as f64 / (rate * 10.0);
                assert!(share >= 0.8, "{nodes} nodes: {share} late of {customer:?}");
            }
        }
    }
}

/// Guards against nodes that grant alone while they are cut off, together more than the quota.
#[test]
fn nodes_that_are_all_cut_off_keep_within_the_quota_together() {
    for (nodes, callers) in [(8, 8), (76, 76)] {
        let mut world = World::open(nodes, callers, &customers(8.0), 1);
        world.run(WARM);
        (0..nodes).for_each(|index| world.set_cut_off(index, true));
        world.run(at(25.0));
        (0..nodes).for_each(|index| world.set_cut_off(index, false));
        world.run(at(35.0));

        world.assert_rule("with all nodes cut off");
    }
}

/// Guards against two parts of a site that each grant the whole quota, and against parts that
/// grant too little together.
#[test]
fn parts_of_a_site_share_the_quota() {
    for (nodes, callers) in [(8, 8), (76, 8)] {
        let mut world = World::open(nodes, callers, &customers(8.0), 1);
        world.run(WARM);
        (0..nodes).for_each(|index| world.set_side(index, index % 2));
        world.run(at(20.0));
        let parted: Vec<usize> = (0..7).map(|index| world.counts(index, at(12.0)).0).collect();
        (0..nodes).for_each(|index| world.set_side(index, 0));
        world.run(at(30.0));

        world.assert_rule("with two parts");
        for (customer, admitted) in world.customers.iter().zip(parted) {
            let share = admitted as f64 / (customer.quota.rate_per_s * 8.0);
            let least = if customer.quota.rate_per_s >= 20.0 { 0.9 } else { 0.0 };
            assert!(share >= least, "{nodes} nodes: {share} of {customer:?}");
        }
    }
}

/// Guards against buckets and grants of a higher limit that outlive it.
#[test]
fn a_lower_limit_is_binding_one_window_after_it_is_in_force_everywhere() {
    let nodes = 76;
    let mut world = World::open(nodes, 8, &customers(8.0), 1);
    world.run(WARM);
    for customer in &mut world.customers {
        customer.quota.rate_per_s /= 4.0;
        customer.quota.burst /= 4.0;
    }
    for index in 0..nodes {
        world.configure(index);
        world.run(world.now + Duration::from_millis(30));
    }
    let from = world.now + WINDOW;

    world.run(at(30.0));

    for (index, customer) in world.customers.iter().enumerate() {
        let (most, allowed) = (world.busiest_window(index, from), customer.max_requests());
        assert!(most <= allowed, "{most} of {allowed} requests of {customer:?}");
    }
}

/// Guards against control traffic that small nodes can't carry.
#[test]
fn nodes_exchange_few_messages() {
    for (nodes, callers) in [(8, 8), (76, 8), (300, 30)] {
        let mut world = World::open(nodes, callers, &customers(0.5), 1);

        world.run(at(12.0));

        let node_seconds = 12.0 * nodes as f64;
        let messages = world.messages as f64 / node_seconds;
        let bytes = world.bytes as f64 / node_seconds;
        let most = *world.sent_bytes.iter().max().expect("some nodes") as f64 / 12.0;
        println!("{nodes} nodes: {messages} messages, {bytes} bytes/s, {most} bytes/s at most");
        assert!(messages <= 170.0, "{nodes} nodes: {messages} messages per node and second");
        assert!(most <= 17_000.0, "{nodes} nodes: {most} bytes/s sent by one node");
    }
}

const RULE: Rule = Rule { window: WINDOW, overage: 0.1, slack: 20.0 };

/// Returns a node that has granted for seconds, alone, to an organisation of a hundred requests a
/// second, with the time.
fn granting_node() -> (Quotas, OrganisationId, Time) {
    let bank = OrganisationId::of("bank");
    let mut node = Quotas::open(RULE, "a".into(), 1);
    node.set_members(Time(0), vec!["a".into()], 1);
    let quota = Quota { rate_per_s: 100.0, burst: 0.0 };
    node.set_quotas(Time(0), [(bank, quota)].into());
    let mut now = Time(0);
    while now < at(4.0) {
        now = now + Duration::from_millis(20);
        for (_, ask) in node.poll(now) {
            let reply = node.receive_ask(now, &ask).expect("its own message");
            assert!(node.receive_reply(now, &reply));
        }
    }
    (node, bank, now)
}

fn ask(bank: OrganisationId, number: u64, requests: u16) -> Ask {
    let limit = Limit { rate: 100_000, burst: 0 };
    let want = Want { organisation: bank, requests, has_unreported: false, limit };
    let group = bank.group();
    Ask { group, node: "b".into(), started: 1, number, vote: None, wants: vec![want] }
}

/// Guards against grants of messages that come twice or late.
#[test]
fn a_message_is_granted_once() {
    let (mut node, bank, now) = granting_node();

    let first = node.receive_ask(now, &ask(bank, 2, 3)).expect("a reply");
    let second = node.receive_ask(now, &ask(bank, 2, 3));
    let earlier = node.receive_ask(now, &ask(bank, 1, 3));

    assert_eq!(first.grants[0].requests, 3);
    assert!(second.is_none() && earlier.is_none(), "{second:?} {earlier:?}");
}

/// Guards against a peer that sends what no node of this build would.
#[test]
fn implausible_messages_grant_nothing_more() {
    let (mut node, bank, now) = granting_node();
    let foreign = Ask { group: GROUPS, ..ask(bank, 1, 1) };
    let other = Ask { group: (bank.group() + 1) % GROUPS, ..ask(bank, 1, 1) };
    let mut repeated = ask(bank, 2, u16::MAX);
    repeated.wants = vec![repeated.wants[0]; 10_000];
    let mut zero = ask(bank, 3, 1);
    zero.wants[0].limit.rate = 0;
    // Neither an elector nor a clock that this node can have stated.
    let vote = Some(Vote { started: 1, clock: u64::MAX });
    let voter = Ask { vote, ..ask(bank, 4, 1) };

    assert!(node.receive_ask(now, &foreign).is_none());
    assert!(node.receive_ask(now, &other).expect("a reply").grants.is_empty());
    let reply = node.receive_ask(now, &repeated).expect("a reply");
    let granted: u32 = reply.grants.iter().map(|grant| u32::from(grant.requests)).sum();
    assert!(granted <= 30, "{granted} requests");
    assert!(node.receive_ask(now, &zero).expect("a reply").grants.is_empty());
    assert!(node.receive_ask(now, &voter).is_some());
    assert!(node.coverage(now).iter().all(|coverage| *coverage <= 1.0));
}

/// Guards against a reply that is counted twice, or that no message asked for.
#[test]
fn a_reply_is_counted_once() {
    let (mut node, bank, now) = granting_node();
    let quota = Quota { rate_per_s: 100.0, burst: 0.0 };
    assert_eq!(node.request(now, bank, &quota), Decision::Wait);
    let due = node.poll(now);
    let asks: Vec<&Ask> = due.iter().map(|(_, ask)| ask).collect();
    let wanted = asks.iter().find(|ask| !ask.wants.is_empty()).expect("a need");
    let reply = node.receive_ask(now, wanted).expect("a reply");

    assert!(node.receive_reply(now, &reply));
    assert!(!node.receive_reply(now, &reply));
    let unasked = Reply { number: 1_000_000, ..reply };
    assert!(!node.receive_reply(now, &unasked));

    assert_eq!(node.retry(now, bank, now), Decision::Admit);
    assert_eq!(node.request(now, bank, &quota), Decision::Wait, "one request was granted");
}

/// Guards against a refusal for a granting node that was late once, and against credit without
/// end.
#[test]
fn one_request_is_made_on_credit_when_no_grant_arrives() {
    let (mut node, bank, now) = granting_node();
    let quota = Quota { rate_per_s: 100.0, burst: 0.0 };
    let late = now + MAX_WAIT;

    assert_eq!(node.request(now, bank, &quota), Decision::Wait);
    assert_eq!(node.retry(late, bank, now), Decision::Admit);
    assert_eq!(node.request(now, bank, &quota), Decision::Wait);
    assert!(matches!(node.retry(late, bank, now), Decision::Refuse(_)));
}

/// Guards against a request on credit that is never deducted: a reply to a message that didn't state
/// it was taken for a confirmation.
#[test]
fn every_request_on_credit_is_stated_to_the_node_that_grants() {
    let rule = Rule { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };
    let (bank, limit) = (OrganisationId::of("bank"), Limit { rate: 1_000, burst: 0 });
    let nothing = Grant { organisation: bank, requests: 0, wait_ms: 0 };
    let mut cache = Cache::open(rule);
    cache.set_credit(bank.group(), Time::from_millis(10_000));
    let (mut on_credit, mut stated) = (0, 0);

    // A request each 20 ms, of which every one waits for 15 ms in vain; each message is answered.
    for start in (0..200).step_by(20) {
        let arrived = Time::from_millis(start);
        assert_eq!(cache.request(arrived, bank, limit), Decision::Wait);
        for at in [arrived + Duration::from_millis(7), arrived + MAX_WAIT] {
            let decision = if at == arrived + MAX_WAIT {
                cache.retry(at, bank, arrived)
            } else {
                Decision::Wait
            };
            on_credit += usize::from(decision == Decision::Admit);
            let wants = cache.wants(at, bank.group());
            stated += wants.iter().filter(|want| want.has_unreported).count();
            if !wants.is_empty() {
                cache.receive(at, at, &nothing, true);
            }
        }
    }

    assert!(on_credit > 1, "{on_credit}");
    assert_eq!(stated, on_credit);
}
