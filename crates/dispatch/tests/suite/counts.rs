//! What requests take from the state that they share is free once they have ended, however they end.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::{Ending, Key, Order};
use jacinthfall_dispatch::flight::{Action, Answer, Flight, Outcome};
use jacinthfall_dispatch::relay;
use jacinthfall_dispatch::roster::{Node, Roster};
use jacinthfall_route::leaf::{Age, Entry};
use jacinthfall_route::snapshot::Route;
use rand::seq::{IndexedMutRandom, IndexedRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{Bench, deployment, entry, gather, reply, shards, single, timing};

/// Number of random steps of a run.
const STEPS: usize = 3_000;

/// Number of leafs of each service.
const LEAFS: usize = 2;

/// Usual response time.
const USUAL: Duration = Duration::from_millis(20);

/// A send that has not ended.
struct Send {
    /// Number of its request.
    request: usize,
    part: usize,
    leaf: Key,
    sent: Time,
}

/// Random requests that share a fleet.
struct Run {
    bench: Bench,
    services: Vec<id::Name>,
    routes: [Arc<Route>; 2],
    /// Requests without an answer, by number.
    flights: Vec<(usize, Flight)>,
    sends: Vec<Send>,
    now: Time,
    started: usize,
    rng: ChaCha8Rng,
}

impl Run {
    fn open(order: Order, seed: u64) -> Run {
        let mut services = shards(3);
        let query = gather(services.clone(), 0.6);
        services.push("single".into());
        let single = Arc::new(single("single", true));
        let mut bench = Bench::open(Arc::clone(&query), &services, LEAFS);
        bench.fleet.set_order(order);
        Run {
            bench,
            services,
            routes: [query, single],
            flights: Vec::new(),
            sends: Vec::new(),
            now: Time(0),
            started: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_micros(self.rng.random_range(1..4_000));
        match self.rng.random_range(0..20) {
            0..8 => self.start(),
            8..14 => self.end_any_send(),
            14..16 => self.leave_any(),
            16 => self.register_leafs(),
            _ => self.wake(),
        }
    }

    fn start(&mut self) {
        let route = Arc::clone(self.routes.choose(&mut self.rng).expect("two routes"));
        let timing = timing(self.now + Duration::from_millis(1_500));
        let mut flight = Flight::open(route, None, self.now, timing);
        let (now, number) = (self.now, self.started);
        self.started += 1;
        let actions = self.bench.decide(|_, context| flight.start(now, context));
        self.flights.push((number, flight));
        self.carry_out(number, actions);
    }

    /// Does what the driver of a request does with its actions.
    fn carry_out(&mut self, request: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { part, leaf } => {
                    self.bench.fleet.record_send(self.now, leaf, USUAL);
                    self.sends.push(Send { request, part, leaf, sent: self.now });
                }
                Action::Finish(answer) => {
                    self.flights.retain(|(number, _)| *number != request);
                    if matches!(answer, Answer::Refused { .. }) {
                        self.cancel_sends(request);
                    }
                }
            }
        }
    }

    fn cancel_sends(&mut self, request: usize) {
        for position in (0..self.sends.len()).rev() {
            if self.sends[position].request == request {
                let send = self.sends.swap_remove(position);
                self.bench.fleet.record_end(self.now, send.leaf, send.sent, Ending::Cancelled);
            }
        }
    }

    fn end_any_send(&mut self) {
        if self.sends.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.sends.len());
        let send = self.sends.swap_remove(position);
        let (outcome, ending) = self.random_end(&send);
        self.bench.fleet.record_end(self.now, send.leaf, send.sent, ending);
        let now = self.now;
        let flights = &mut self.flights;
        let Some((_, flight)) = flights.iter_mut().find(|(n, _)| *n == send.request) else {
            return;
        };
        let actions = self
            .bench
            .decide(|_, context| flight.send_ended(now, send.part, send.leaf, outcome, context));
        self.carry_out(send.request, actions);
    }

    fn random_end(&mut self, send: &Send) -> (Outcome, Ending) {
        let reply = |status| reply(status, "receipt", b"0123456789abcdef");
        let took = self.now.since(send.sent);
        match self.rng.random_range(0..8) {
            0..3 => {
                let ending = Ending::Success { took, usual: USUAL };
                (Outcome::Success(reply(StatusCode::OK)), ending)
            }
            3 => (Outcome::Failure(reply(StatusCode::INTERNAL_SERVER_ERROR)), Ending::Failure),
            4 => (Outcome::NotRun, Ending::Rejected),
            5 => (Outcome::Unsent, Ending::Unreachable),
            6 => (Outcome::Unknown, Ending::Broken),
            _ => (Outcome::Unknown, Ending::Silent),
        }
    }

    /// Lets the caller of a request leave, if there is one.
    fn leave_any(&mut self) {
        if !self.flights.is_empty() {
            let position = self.rng.random_range(0..self.flights.len());
            self.leave(position);
        }
    }

    fn leave(&mut self, position: usize) {
        let (number, mut flight) = self.flights.swap_remove(position);
        flight.abandon(&mut self.bench.fleet);
        self.cancel_sends(number);
    }

    /// Lets some leafs start anew or leave.
    fn register_leafs(&mut self) {
        let mut entries: Vec<(id::Name, Entry)> = Vec::new();
        for service in &self.services {
            for leaf in 0..LEAFS {
                if self.rng.random_bool(0.9) {
                    let age = Age { born: self.rng.random_range(1..3), sequence: 1 };
                    let id = format!("{service}-{leaf}").into();
                    entries.push((id, entry(service, &format!("zone-{leaf}"), age)));
                }
            }
        }
        self.bench.fleet.update(self.now, entries.iter().map(|(id, entry)| (id, entry)));
    }

    /// Wakes the requests whose time has come.
    fn wake(&mut self) {
        let now = self.now;
        let due = self.flights.iter().filter(|(_, flight)| flight.next_wake() <= now);
        let due: Vec<usize> = due.map(|(number, _)| *number).collect();
        for number in due {
            let flights = &mut self.flights;
            let Some((_, flight)) = flights.iter_mut().find(|(n, _)| *n == number) else {
                continue;
            };
            let actions = self.bench.decide(|_, context| flight.wake(now, context));
            self.carry_out(number, actions);
        }
    }

    /// Lets all callers leave and all sends end.
    fn finish(&mut self) {
        while !self.flights.is_empty() {
            self.leave(0);
        }
        while !self.sends.is_empty() {
            self.end_any_send();
        }
    }
}

/// Guards against leafs that count as busy, and turns that are kept, for requests that have ended.
#[test]
fn requests_that_have_ended_hold_no_send_and_no_turn() {
    for order in [Order::Unordered, Order::Urgency] {
        for seed in 0..20 {
            let mut run = Run::open(order, seed);
            let mut most_queued = 0;
            for step in 0..STEPS {
                run.step();
                let sends = run.bench.fleet.sends_in_flight();
                assert_eq!(sends, run.sends.len(), "{order:?}, seed {seed}, step {step}");
                most_queued = most_queued.max(run.bench.fleet.queued());
            }
            assert!(most_queued > 0, "{order:?}, seed {seed}: no request had to wait");

            run.finish();

            let fleet = &run.bench.fleet;
            let held = (fleet.sends_in_flight(), fleet.queued());
            assert_eq!(held, (0, 0), "sends and turns; {order:?}, seed {seed}");
        }
    }
}

/// Guards against nodes that count as busy for requests that have ended, also where such a node was
/// started anew meanwhile.
#[test]
fn requests_through_other_nodes_that_have_ended_count_for_no_node() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (own, mut roster) = (deployment::node(0, 1), Roster::default());
        let mut nodes: Vec<Node> = (1..5).map(|number| deployment::node(number, 1)).collect();
        let mut relays = relay::Selector::default();
        let mut asked: Vec<Node> = Vec::new();
        for millis in 0..2_000 {
            let now = Time::from_millis(millis);
            match rng.random_range(0..10) {
                0..5 => {
                    let node = nodes.choose(&mut rng).expect("some nodes").clone();
                    relays.record_send(&node);
                    asked.push(node);
                }
                5..9 if !asked.is_empty() => {
                    let node = asked.swap_remove(rng.random_range(0..asked.len()));
                    let endings = [
                        relay::Ending::Answered,
                        relay::Ending::Declined,
                        relay::Ending::Failed,
                        relay::Ending::Cancelled,
                    ];
                    let ending = *endings.choose(&mut rng).expect("some endings");
                    relays.record_end(now, &node.name, ending);
                }
                _ => {
                    let node = nodes.choose_mut(&mut rng).expect("some nodes");
                    node.started += 1;
                    roster.record_registration(now, node.clone());
                    let _ = relays.choose(now, &roster, &own, &[], &[], &mut rng);
                }
            }
        }

        for node in asked {
            relays.record_end(Time::from_millis(2_000), &node.name, relay::Ending::Cancelled);
        }

        assert_eq!(relays.in_flight(), 0, "seed {seed}");
    }
}
