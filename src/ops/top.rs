//! `top`: current rates of gateway nodes, calculated from two scrapes of their metrics.

use std::time::Duration;

use serde::Serialize;

use super::metrics::Scrape;

/// Rates of one route, over all scraped nodes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Requests per second.
    pub requests: f64,
    /// Answers per second, from one leaf or merged.
    pub answered: f64,
    /// Refusals per second.
    pub refused: f64,
    /// Failures per second, including failures of leafs.
    pub failed: f64,
    /// Requests per second whose caller disconnected before the answer.
    pub abandoned: f64,
    /// Shards per second that are missing from answers.
    pub missing: f64,
    /// Retries and hedged requests per second: sends beyond the first of each part.
    pub extra: f64,
    /// Upper bound of the median response time, in seconds.
    pub p50: Option<f64>,
    /// Upper bound of the 99th percentile of the response time, in seconds.
    pub p99: Option<f64>,
}

/// State of one node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Node {
    /// Scraped address.
    pub address: String,
    /// Version of the configuration in force.
    pub version: f64,
    /// Leafs that the node may send requests to.
    pub leafs: f64,
    /// Requests in flight.
    pub in_hand: f64,
    /// Age of its knowledge of the leafs, in seconds.
    pub knowledge_age: f64,
    /// Whether the store answers the node.
    pub store_answers: bool,
    /// Remaining budget for extra sends, of the service that has the least.
    pub extra_left: f64,
}

/// Contents of the display.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct View {
    /// Routes, by name.
    pub routes: Vec<Route>,
    /// Nodes, in the order of the command line.
    pub nodes: Vec<Node>,
}

/// Calculates the view from two scrapes of the same nodes.
#[must_use]
pub fn view(before: &[(String, Scrape)], after: &[(String, Scrape)], elapsed: Duration) -> View {
    let (first, last) = (total(before), total(after));
    let names = last.values("jacinthfall_requests_total", "route");
    let routes = names.into_iter().map(|name| route(name, &first, &last, elapsed));
    let nodes = after.iter().map(|(address, scrape)| node(address, scrape));
    View { routes: routes.collect(), nodes: nodes.collect() }
}

fn total(nodes: &[(String, Scrape)]) -> Scrape {
    let mut total = Scrape::default();
    nodes.iter().for_each(|(_, scrape)| total.add(scrape));
    total
}

fn route(name: &str, before: &Scrape, after: &Scrape, elapsed: Duration) -> Route {
    let rate = |metric: &str, outcome: Option<&str>| {
        let mut labels = vec![("route", name)];
        labels.extend(outcome.map(|outcome| ("outcome", outcome)));
        (after.sum(metric, &labels) - before.sum(metric, &labels)) / elapsed.as_secs_f64()
    };
    let requests = |outcome| rate("jacinthfall_requests_total", outcome);
    let quantile =
        |share| after.quantile(before, "jacinthfall_request_seconds", &[("route", name)], share);
    Route {
        name: name.to_owned(),
        requests: requests(None),
        answered: requests(Some("success")) + requests(Some("merged")),
        refused: requests(Some("refused")),
        failed: requests(Some("failed")) + requests(Some("leaf_failure")),
        abandoned: requests(Some("abandoned")),
        missing: rate("jacinthfall_missing_parts_total", None),
        extra: rate("jacinthfall_extra_sends_total", None),
        p50: quantile(0.5),
        p99: quantile(0.99),
    }
}

fn node(address: &str, scrape: &Scrape) -> Node {
    let value = |name: &str| scrape.sum(&format!("jacinthfall_{name}"), &[]);
    let left = scrape.samples("jacinthfall_extra_sends_left").iter().map(|sample| sample.value);
    Node {
        address: address.to_owned(),
        version: value("configuration_version"),
        leafs: value("leafs_usable"),
        in_hand: value("requests_in_hand"),
        knowledge_age: value("knowledge_age_seconds"),
        store_answers: value("store_answers") > 0.0,
        extra_left: left.reduce(f64::min).unwrap_or_default(),
    }
}

/// Formats the view as two tables.
#[must_use]
pub fn render(view: &View) -> String {
    let mut lines = vec![format!(
        "{:<16} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}",
        "ROUTE", "REQ/s", "ANSW/s", "REF/s", "FAIL/s", "LEFT/s", "MISS/s", "EXTRA/s", "P50", "P99"
    )];
    lines.extend(view.routes.iter().map(|r| {
        format!(
            "{:<16} {:>8.1} {:>8.1} {:>7.1} {:>7.1} {:>7.1} {:>7.1} {:>7.1} {:>7} {:>7}",
            r.name,
            r.requests,
            r.answered,
            r.refused,
            r.failed,
            r.abandoned,
            r.missing,
            r.extra,
            millis(r.p50),
            millis(r.p99)
        )
    }));
    lines.push(String::new());
    lines.push(format!(
        "{:<22} {:>8} {:>6} {:>8} {:>10} {:>6} {:>8}",
        "NODE", "VERSION", "LEAFS", "IN HAND", "KNOWN AGO", "STORE", "EXTRA"
    ));
    lines.extend(view.nodes.iter().map(|n| {
        let store = if n.store_answers { "yes" } else { "no" };
        format!(
            "{:<22} {:>8} {:>6} {:>8} {:>8.1} s {store:>6} {:>8.1}",
            n.address, n.version, n.leafs, n.in_hand, n.knowledge_age, n.extra_left
        )
    }));
    lines.join("\n") + "\n"
}

fn millis(seconds: Option<f64>) -> String {
    seconds.map_or_else(|| "-".to_owned(), |seconds| format!("{:.0} ms", seconds * 1_000.0))
}
