//! Quotas of organisations over several node processes.

use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_dispatch::quota::OrganisationId;
use jacinthfall_testkit::gateway::leaf::Leaf;
use jacinthfall_testkit::gateway::site::{Request, Site, metric, route, serving_leaf, wait_for};
use serde_json::json;

use crate::explain::{command, stdout, stop_and_read_log_of};
use crate::support::open;

/// Window, overage and slack of the rule.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Requests per second that each organisation may make.
const RATE: f64 = 20.0;

/// Time in which an answer must be there that takes no leaf. Nodes decide within 15 ms.
const AT_ONCE: Duration = Duration::from_millis(500);

/// The answer to a request of an organisation.
#[derive(Clone, Debug)]
struct Answer {
    organisation: &'static str,
    id: String,
    status: u16,
    at: Instant,
    took: Duration,
    retry_after: Option<f64>,
}

/// Starts three nodes, a leaf, and the organisations `bank` and `shop`.
fn three_nodes() -> (Site, Leaf) {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = open();
    let tenant = |name: &str| json!({"name": name, "api-keys": [format!("key-{name}")], "rate-per-s": RATE, "burst": 0});
    site.set_organisations(json!([tenant("bank"), tenant("shop")]));
    site.quotas = json!({"window_s": 5, "overage": OVERAGE, "slack": SLACK});
    site.register("i-1", "a", &leaf, 1, "ready");
    site.configure(&[route("safe")]);
    (0..3).for_each(|_| site.start());
    (0..3).for_each(|node| site.wait_ready(node));
    for organisation in ["bank", "shop"] {
        wait_for("a granting node", || granting_node(&site, organisation).is_some());
    }
    (site, leaf)
}

/// Returns the node that has all votes for the grants to an organisation.
fn granting_node(site: &Site, organisation: &str) -> Option<usize> {
    let group = OrganisationId::of(organisation).group();
    let name = format!("jacinthfall_quota_coverage{{group=\"{group}\"}}");
    site.nodes.iter().position(|node| metric(node, &name) == Some(1.0))
}

/// Sends requests of organisations to nodes for some time, at these rates per second.
fn load(site: &Site, callers: &[(&'static str, usize, f64)], time: Duration) -> Vec<Answer> {
    let started = Instant::now();
    thread::scope(|scope| {
        let callers = callers.iter().map(|(organisation, node, rate)| {
            scope.spawn(move || {
                let headers = format!("X-Api-Key: key-{organisation}\r\n");
                let mut answers = Vec::new();
                while started.elapsed() < time {
                    let id = format!("r-{organisation}-{node}-{}-{started:?}", answers.len());
                    let id = id.replace(|c: char| !c.is_ascii_alphanumeric(), "-");
                    let sent = Instant::now();
                    let request = Request { id: &id, headers: &headers, ..Request::default() };
                    let response = site.ask(*node, &request);
                    let retry_after = response.header("retry-after");
                    let retry_after = retry_after.and_then(|value| value.parse().ok());
                    let (at, took) = (Instant::now(), sent.elapsed());
                    let status = response.status;
                    answers.push(Answer { organisation, id, status, at, took, retry_after });
                    let next = Duration::from_secs_f64(answers.len() as f64 / rate);
                    thread::sleep(next.saturating_sub(started.elapsed()));
                }
                answers
            })
        });
        let callers: Vec<_> = callers.collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("answers")).collect()
    })
}

/// Returns the largest number of runs at the leaf in any window.
fn busiest_window(leaf: &Leaf) -> usize {
    let times: Vec<Instant> = leaf.runs().iter().filter_map(|run| run.at).collect();
    let within = |end: &Instant| {
        times.iter().filter(|at| **at <= *end && end.duration_since(**at) <= WINDOW).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

fn allowed() -> usize {
    (RATE * WINDOW.as_secs_f64() * (1.0 + OVERAGE) + SLACK) as usize
}

fn count(answers: &[Answer], organisation: &str, status: u16) -> usize {
    let own = answers.iter().filter(|answer| answer.organisation == organisation);
    own.filter(|answer| answer.status == status).count()
}

/// Guards against nodes that each grant the whole quota, or together less than it.
#[test]
fn three_nodes_together_admit_the_quota() {
    let (site, leaf) = three_nodes();
    let time = Duration::from_secs(10);

    let callers = [("bank", 0, 30.0), ("bank", 1, 8.0), ("bank", 2, 2.0)];
    let answers = load(&site, &callers, time);

    let most = busiest_window(&leaf);
    assert!(most <= allowed(), "{most} of {} requests in a window", allowed());
    let admitted = count(&answers, "bank", 200) as f64;
    assert!(admitted >= 0.95 * RATE * time.as_secs_f64(), "{admitted} requests admitted");
}

/// Guards against refusals of an organisation that stays below its quota.
#[test]
fn requests_below_the_quota_are_admitted() {
    let (site, _leaf) = three_nodes();

    let callers = [("bank", 0, 6.0), ("bank", 1, 2.0), ("bank", 2, 2.0), ("shop", 1, 10.0)];
    let answers = load(&site, &callers, Duration::from_secs(8));

    let refused: Vec<&Answer> = answers.iter().filter(|answer| answer.status != 200).collect();
    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against a 429 for a request that runs all the same, that comes late, or that doesn't
/// say when to retry, or that says the same to all.
#[test]
fn a_request_over_the_quota_is_refused_at_once_and_never_runs() {
    let (site, leaf) = three_nodes();

    let callers = [("bank", 0, 60.0), ("bank", 1, 60.0), ("bank", 2, 60.0)];
    let answers = load(&site, &callers, Duration::from_secs(4));

    let refused: Vec<&Answer> = answers.iter().filter(|answer| answer.status == 429).collect();
    assert!(refused.len() > 100, "{} refused", refused.len());
    assert_eq!(refused.len() + count(&answers, "bank", 200), answers.len(), "no other statuses");
    thread::sleep(Duration::from_millis(100));
    let runs = leaf.runs();
    let ran: Vec<Option<String>> = runs.iter().map(|run| run.header("x-request-id")).collect();
    for answer in &refused {
        assert!(!ran.contains(&Some(answer.id.clone())), "{answer:?} has run");
        assert!(answer.took <= AT_ONCE, "{answer:?}");
        assert!(answer.retry_after.is_some_and(|after| after > 0.0 && after < 30.0), "{answer:?}");
    }
    let mut times: Vec<f64> = refused.iter().filter_map(|answer| answer.retry_after).collect();
    times.sort_by(f64::total_cmp);
    times.dedup();
    assert!(times.len() > 50, "{} different times to retry", times.len());
}

/// Guards against refusals that operators can't explain, and against keys in the log.
#[test]
fn a_request_over_the_quota_is_explained_by_the_log() {
    let (mut site, _leaf) = three_nodes();
    let answers = load(&site, &[("bank", 0, 100.0)], Duration::from_secs(1));
    let refused = answers.iter().find(|answer| answer.status == 429).expect("bank has too much");

    let log = stop_and_read_log_of(&mut site, 0);

    let explained = stdout(&command(&["explain", &refused.id], &log));
    assert!(explained.contains("used up its quota over all nodes"), "{explained}");
    assert!(log.contains("event=over_quota organisation=\"bank\""), "{log}");
    assert!(log.contains("reason=over_quota"), "{log}");
    assert!(!log.contains("key-bank"), "a key is in the log");
}

/// Guards against a quota that is granted twice, or no more, when the granting node is lost.
#[test]
fn the_quota_outlives_the_node_that_grants_it() {
    let (mut site, leaf) = three_nodes();
    let granting = granting_node(&site, "bank").expect("it was waited for");
    let others: Vec<usize> = (0..3).filter(|node| *node != granting).collect();
    let callers = [("bank", others[0], 40.0), ("bank", others[1], 20.0)];
    load(&site, &callers, Duration::from_secs(5));

    site.nodes[granting].process.kill();
    let killed = Instant::now();
    let answers = load(&site, &callers, Duration::from_secs(6));

    let most = busiest_window(&leaf);
    assert!(most <= allowed(), "{most} of {} requests in a window", allowed());
    // Two of three electors are left until the store drops the third.
    let late = answers.iter().filter(|answer| answer.at > killed + Duration::from_secs(2));
    let admitted = late.filter(|answer| answer.status == 200).count() as f64;
    assert!(admitted >= 0.9 * 2.0 / 3.0 * RATE * 4.0, "{admitted} admitted in 4 s");
}

/// Guards against one organisation's excess that costs another one its quota.
#[test]
fn the_excess_of_one_organisation_costs_another_nothing() {
    let (site, _leaf) = three_nodes();

    let callers = [
        ("bank", 0, 60.0),
        ("bank", 1, 60.0),
        ("bank", 2, 40.0),
        ("shop", 0, 5.0),
        ("shop", 1, 5.0),
    ];
    let answers = load(&site, &callers, Duration::from_secs(6));

    assert!(count(&answers, "bank", 429) > 200, "bank asks for too much");
    let refused = answers.iter().filter(|a| a.organisation == "shop" && a.status != 200);
    let refused: Vec<&Answer> = refused.collect();
    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against quotas that bind where the deployment has none.
#[test]
fn without_the_setting_nothing_is_refused() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = open();
    let bank = json!({"name": "bank", "api-keys": ["key-bank"], "rate-per-s": 1, "burst": 0});
    site.set_organisations(json!([bank]));
    site.register("i-1", "a", &leaf, 1, "ready");
    site.configure(&[route("safe")]);
    site.start();
    site.wait_ready(0);

    let answers = load(&site, &[("bank", 0, 40.0)], Duration::from_secs(2));

    assert_eq!(count(&answers, "bank", 200), answers.len());
}
