//! Leafs that send a second copy of a response, late, where the next response is expected.

use std::time::Duration;

use jacinthfall_testkit::gateway::leaf::{Behaviour, Copies, Leaf, Run};
use jacinthfall_testkit::gateway::proxy::Fault;
use jacinthfall_testkit::gateway::site::{Request, Response, Site, metric, route, wait_for};
use serde_json::{Value, json};

use crate::cut_off::Cut;
use crate::explain::stop_and_read_log_of;
use crate::support::{open, serving};

/// Work of a leaf, long enough for a further send to arrive meanwhile.
const WORK: Duration = Duration::from_millis(100);

/// A route to one leaf, which a request is sent to again after a rejection.
fn single_attempt(kind: &str) -> Value {
    let mut route = route(kind);
    route["attempts"] = json!(1);
    route
}

/// Starts a leaf that rejects each request once and sends a late copy of each response.
fn copying_leaf() -> Leaf {
    let leaf = Leaf::spawn("i-1", Behaviour::RejectFirst);
    leaf.set_copies(Copies::Exact);
    leaf
}

fn post(site: &Site, id: &str) -> Response {
    site.ask(0, &Request { method: "POST", id, ..Request::default() })
}

fn runs_of(leaf: &Leaf, id: &str) -> usize {
    let is_own = |run: &&Run| run.header("x-request-id").as_deref() == Some(id);
    leaf.runs().iter().filter(is_own).count()
}

/// A late copy of a rejection was taken for the response to the next send of the same request,
/// which was then sent a third time while it ran.
#[test]
fn a_late_copy_of_a_rejection_never_answers_the_next_send_of_the_same_request() {
    let leaf = copying_leaf();
    let site = serving(&[single_attempt("unsafe")], &[("i-1", "a", &leaf)]);

    for number in 0..20 {
        let id = format!("r-{number}");
        let response = post(&site, &id);

        let runs = runs_of(&leaf, &id);
        assert!(runs <= 1, "{id} ran {runs} times; answered {}", response.status);
        assert!(response.status != 503 || runs == 0, "{id} was refused and has run");
    }
    let served = |run: &Run| run.header("x-request-id").is_some();
    assert!(leaf.runs().iter().any(served), "requests are sent again after a rejection");
}

/// A rejected request must not wait in vain for a connection that has not carried it.
#[test]
fn a_rejected_request_gets_another_connection_where_only_one_is_allowed() {
    let leaf = Leaf::spawn("i-1", Behaviour::RejectFirst);
    let mut site = open();
    site.register("i-1", "a", &leaf, 1, "ready");
    site.configure_with(&[single_attempt("unsafe")], &json!({ "max-connections": 1 }));
    site.start();
    site.wait_ready(0);

    let response = post(&site, "r-1");

    assert_eq!((response.status, &response.body[..]), (200, &b"r-1"[..]));
    assert_eq!((runs_of(&leaf, "r-1"), leaf.connections()), (1, 2));
}

/// Waits until the first node counts this many services as lost, and sends it requests meanwhile.
fn wait_for_lost_services(site: &Site, count: f64) {
    wait_for("the node to know what it has lost", || {
        site.ask(0, &Request { id: "before", deadline_ms: 100, ..Request::default() });
        metric(&site.nodes[0], "jacinthfall_services_lost") == Some(count)
    });
}

/// The response to a health check names no request, so that its late copy passed for the response to
/// any request on the connection.
#[test]
fn a_late_copy_of_a_rejected_health_check_never_answers_a_request() {
    let cut = Cut::open(&[single_attempt("unsafe")], &["a"], 0);
    let (site, leaf) = (&cut.site, &cut.leafs[0]);
    cut.set_fault(Fault::Blackhole);
    wait_for_lost_services(site, 1.0);
    leaf.set_copies(Copies::Exact);
    leaf.set_behaviour(Behaviour::RejectFirst);
    cut.set_fault(Fault::None);
    wait_for("the health check", || {
        metric(&site.nodes[0], "jacinthfall_services_lost") == Some(0.0)
    });
    leaf.set_behaviour(Behaviour::Echo(WORK));

    let response = post(site, "r-1");

    assert_eq!((response.status, runs_of(leaf, "r-1")), (200, 1));
}

/// Additional bytes that name no request were passed on as the success of another request.
#[test]
fn a_success_that_names_no_request_reaches_no_caller() {
    let leafs = [0, 1].map(|n| Leaf::spawn(&format!("i-{n}"), Behaviour::Echo(Duration::ZERO)));
    leafs.iter().for_each(|leaf| leaf.set_copies(Copies::WithoutId));
    let entries = [("i-0", "a", &leafs[0]), ("i-1", "a", &leafs[1])];
    let site = serving(&[route("safe")], &entries);

    let mut served = 0;
    for number in 0..40 {
        let id = format!("r-{number}");
        let response = site.ask(0, &Request { id: &id, ..Request::default() });

        if response.status == 200 {
            served += 1;
            assert_eq!(String::from_utf8_lossy(&response.body), id);
        } else {
            assert_eq!(response.status, 502, "it may have run: {response:?}");
        }
    }
    assert!(served > 0);
    let name = "jacinthfall_unattributed_responses_total{named=\"missing\"}";
    assert!(metric(&site.nodes[0], name).is_some_and(|count| count > 0.0));
}

/// A rejection that names no request let another request be sent again while it ran.
#[test]
fn a_rejection_that_names_no_request_lets_no_request_run_again() {
    let leafs = [0, 1].map(|n| Leaf::spawn(&format!("i-{n}"), Behaviour::Reject));
    leafs.iter().for_each(|leaf| leaf.set_copies(Copies::WithoutId));
    let entries = [("i-0", "a", &leafs[0]), ("i-1", "a", &leafs[1])];
    let site = serving(&[route("unsafe")], &entries);
    assert_eq!(post(&site, "rejected").status, 503);
    leafs.iter().for_each(|leaf| leaf.set_behaviour(Behaviour::Echo(WORK)));

    let statuses: Vec<u16> = (0..4).map(|n| post(&site, &format!("r-{n}")).status).collect();

    for (number, status) in statuses.iter().enumerate() {
        let id = format!("r-{number}");
        let runs: usize = leafs.iter().map(|leaf| runs_of(leaf, &id)).sum();
        assert!(runs <= 1, "{id} ran {runs} times; answered {status}");
        assert!(*status != 503 || runs == 0, "{id} was refused and has run");
    }
}

/// A site whose leafs name no request serves nothing; an operator must see why.
#[test]
fn a_leaf_that_never_names_the_request_is_named_in_the_log() {
    let leaf = Leaf::spawn("i-1", Behaviour::Anonymous);
    let mut site = serving(&[route("unsafe")], &[("i-1", "a", &leaf)]);

    let response = post(&site, "r-1");

    assert_eq!(response.status, 502, "it has run, and no response to it has come");
    assert_eq!(metric(&site.nodes[0], "jacinthfall_cut_off"), Some(0.0));
    let log = stop_and_read_log_of(&mut site, 0);
    let line = log.lines().find(|line| line.contains("event=response_unattributed"));
    let line = line.expect("a line about the response");
    assert!(line.contains("id=i-1 service=a attempt=\"r-1\" named=missing"), "{line}");
}
