//! The engine, which dispatches events to the phases of a query.
//!
//! A query passes through `ask` (admission, version pinning, placement), `place`
//! (choice of replica, queues, sends), `outcome` (outcomes of attempts) and `settle`
//! (verdict, move to another version, final answer). `hedge` sends hedged requests
//! and `service` applies service descriptions. A phase takes the query out of the
//! table, updates it and passes it to `settle`, which puts it back or answers it.

use std::collections::BTreeMap;
use std::sync::Arc;

use jacinthfall_core::service::Service;
use jacinthfall_core::time::Time;
use jacinthfall_core::{event, id};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::admission::Controller;
use crate::budget::Bucket;
use crate::flight::Flights;
use crate::latency::Histogram;
use crate::layout::Layout;
use crate::leafs::{Index, Table};
use crate::query::{Query, Serial};
use crate::timer::{self, Timer};
use crate::{Action, Counters, Event};

mod ask;
mod hedge;
mod outcome;
mod place;
mod service;
mod settle;

/// Read path of one service on one node.
#[derive(Debug)]
pub struct Engine {
    origin: id::Incarnation,
    service: id::Name,
    rng: ChaCha8Rng,
    now: Time,
    description: Option<Arc<Service>>,
    epoch: u64,
    layouts: Vec<Arc<Layout>>,
    /// A version that leafs could not serve, and until when new queries avoid it.
    avoided: Option<(id::Version, Time)>,
    leafs: Table,
    flights: Flights,
    queries: BTreeMap<Serial, Box<Query>>,
    tokens: BTreeMap<id::Token, Serial>,
    next_serial: u64,
    timers: timer::Queue,
    budget: Bucket,
    latency: Histogram,
    admission: Controller,
    /// Leafs whose in-flight count dropped since queued parts were last sent.
    freed_leafs: Vec<Index>,
    actions: Vec<Action>,
    counters: Counters,
}

impl Engine {
    /// Creates the engine. It refuses requests until a service description arrives.
    ///
    /// ```
    /// use jacinthfall_core::id::Incarnation;
    /// let origin = Incarnation { node: "klang-1".into(), started: 1 };
    /// let engine = jacinthfall_read::Engine::open(origin, "chat-archive".into(), 7);
    /// assert_eq!(engine.counters().asks, 0);
    /// ```
    #[must_use]
    pub fn open(origin: id::Incarnation, service: id::Name, seed: u64) -> Engine {
        let flights = Flights::new(&service);
        Engine {
            origin,
            service,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::default(),
            description: None,
            epoch: 0,
            layouts: Vec::new(),
            avoided: None,
            leafs: Table::default(),
            flights,
            queries: BTreeMap::new(),
            tokens: BTreeMap::new(),
            next_serial: 0,
            timers: timer::Queue::default(),
            budget: Bucket::new(),
            latency: Histogram::new(),
            admission: Controller::default(),
            freed_leafs: Vec::new(),
            actions: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Handles one event and returns the actions to carry out, in order.
    ///
    /// A `now` before that of an earlier event is replaced by the earlier event's.
    ///
    /// # Panics
    ///
    /// If an invariant is violated, or a request reuses the token of one in progress.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Service(service) => self.apply_description(service),
            Event::Peers { .. } => {}
            Event::Ask { token, ask, profile, deadline, expires } => {
                self.ask(token, ask, profile, deadline, expires);
            }
            Event::Abandoned { token } => self.abandon(token),
            Event::Ended { attempt, leaf, outcome } => self.on_outcome(&attempt, &leaf, outcome),
            Event::Leaving { leaf, leaving } => self.handle_leaving(&leaf, leaving),
            Event::Wake => {}
        }
        self.run_timers();
        self.send_all_queued();
        self.arm_wake();
        std::mem::take(&mut self.actions)
    }

    /// Totals since the engine was created.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn run_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Deadline(serial) => self.expire(serial),
                Timer::Early(serial) => self.resettle(serial),
                Timer::Hedge(counter) => self.handle_hedge_timer(counter),
            }
        }
    }

    fn arm_wake(&mut self) {
        let queries = &self.queries;
        let flights = &self.flights;
        self.timers.drop_stale(|timer| match timer {
            Timer::Deadline(serial) | Timer::Early(serial) => !queries.contains_key(&serial),
            Timer::Hedge(counter) => !flights.contains(counter),
        });
        if let Some(due) = self.timers.arm(self.now) {
            self.actions.push(Action::Wake(due));
        }
    }

    fn take_query(&mut self, serial: Serial) -> Option<Box<Query>> {
        self.queries.remove(&serial)
    }

    fn record(&mut self, query: &Query, kind: event::Kind) {
        let request = Some(query.ask.request.clone());
        self.actions.push(Action::Record(event::Event { request, kind }));
    }
}
