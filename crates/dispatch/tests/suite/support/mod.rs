//! Fixtures for the tests: leafs, routes, responses and a request with its context.

pub mod cluster;
pub mod credits;
pub mod deployment;
pub mod followers;
pub mod load;
pub mod quotas;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::budget::{Budget, Limit};
use jacinthfall_dispatch::fleet::{Fleet, Key};
use jacinthfall_dispatch::flight::{Action, Answer, Context, Flight, Reply, Timing};
use jacinthfall_dispatch::latency::Latency;
use jacinthfall_dispatch::overload;
use jacinthfall_route::leaf::{Age, Entry, State};
use jacinthfall_route::snapshot::{Gather, Route, Target};

/// Returns the entry of a ready leaf.
pub fn entry(service: &str, zone: &str, age: Age) -> Entry {
    Entry {
        service: service.into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: zone.into(),
        slots: 3,
        state: State::Ready,
        warmup: Duration::ZERO,
        age,
    }
}

/// Returns a fleet with `leafs` leafs of each service, each in a zone of its own.
pub fn fleet(services: &[id::Name], leafs: usize) -> Fleet {
    let mut fleet = Fleet::open("zone-0".into(), 7);
    let entries: Vec<(id::Name, Entry)> = services
        .iter()
        .flat_map(|service| {
            (0..leafs).map(move |n| {
                let id = format!("{service}-{n}").into();
                (id, entry(service, &format!("zone-{n}"), Age { born: 1, sequence: 1 }))
            })
        })
        .collect();
    fleet.update(Time(0), entries.iter().map(|(id, entry)| (id, entry)));
    fleet.set_concurrency_limits(services.iter().map(|service| (service.clone(), 4)).collect());
    fleet
}

/// Returns the names of `count` shards.
pub fn shards(count: usize) -> Vec<id::Name> {
    (0..count).map(|n| format!("shard-{n}").into()).collect()
}

/// Returns a route for queries over `shards`.
pub fn gather(shards: Vec<id::Name>, min_coverage: f64) -> Arc<Route> {
    Arc::new(Route {
        target: Target::Gather(Gather { shards, top: 5, min_coverage }),
        ..single("unused", true)
    })
}

/// Returns a route to one leaf of a service.
pub fn single(service: &str, idempotent: bool) -> Route {
    Route {
        name: "route".into(),
        host: "a.example".into(),
        prefix: "/a/".into(),
        idempotent,
        timeout: Duration::from_millis(1_500),
        objective: Duration::from_millis(150),
        attempts: 2,
        priority: 1,
        allows_anonymous: false,
        target: Target::Service(service.into()),
    }
}

/// Returns a leaf's response.
pub fn reply(status: StatusCode, receipt: &str, body: &[u8]) -> Reply {
    Reply {
        status,
        headers: HeaderMap::new(),
        receipt: Some(HeaderValue::from_str(receipt).expect("a receipt")),
        body: Bytes::copy_from_slice(body),
    }
}

/// Returns the timing of a request from a caller that is 3 ms away.
pub fn timing(deadline: Time) -> Timing {
    let (round_trip, lag) = (Duration::from_millis(6), Duration::from_millis(2));
    Timing { deadline, elapsed: Duration::ZERO, round_trip, lag }
}

/// Returns the response times of a route whose leafs all took `usual`.
pub fn latency(usual: Duration) -> Latency {
    let mut latency = Latency::open(usual);
    (0..32).for_each(|_| latency.add(usual));
    latency
}

/// A request with the state that its decisions depend on.
pub struct Bench {
    /// Leafs that the request is placed on.
    pub fleet: Fleet,
    /// Budget of extra sends.
    pub budget: Budget,
    /// Response times of the route.
    pub latency: Latency,
    /// Shortage of shards.
    pub overload: overload::State,
    /// Request under test.
    pub flight: Flight,
}

impl Bench {
    /// Creates a request that arrives at time 0, with a budget of 1,000 extra sends.
    pub fn open(route: Arc<Route>, services: &[id::Name], leafs: usize) -> Bench {
        Bench::with_floor(route, services, leafs, 1_000.0)
    }

    /// Creates a request that arrives at time 0, with a budget of `floor` extra sends.
    pub fn with_floor(route: Arc<Route>, services: &[id::Name], leafs: usize, floor: f64) -> Bench {
        let limit = Limit { ratio: 0.0, floor, window: Duration::from_secs(10) };
        let timing = timing(Time::from_millis(1_500));
        Bench {
            fleet: fleet(services, leafs),
            budget: Budget::open(limit, 1),
            latency: Latency::open(Duration::from_millis(20)),
            overload: overload::State::default(),
            flight: Flight::open(route, None, Time(0), timing),
        }
    }

    /// Calls a method of the request with its context, and returns the resulting actions.
    pub fn decide(
        &mut self,
        decision: impl FnOnce(&mut Flight, &mut Context<'_>) -> Vec<Action>,
    ) -> Vec<Action> {
        let Bench { fleet, budget, latency, overload, flight } = self;
        decision(
            flight,
            &mut Context {
                fleet,
                budget,
                latency,
                overload,
                priority: 1,
                lot: 0.5,
                jitter: 0.5,
                is_quarantined: false,
            },
        )
    }
}

/// Returns the part and leaf of each send in `actions`.
pub fn sends(actions: &[Action]) -> Vec<(usize, Key)> {
    let send = |action: &Action| match action {
        Action::Send { part, leaf } => Some((*part, *leaf)),
        Action::Finish(_) => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Returns the answer in `actions`, if there is one.
pub fn answer(actions: Vec<Action>) -> Option<Answer> {
    actions.into_iter().find_map(|action| match action {
        Action::Finish(answer) => Some(answer),
        Action::Send { .. } => None,
    })
}
