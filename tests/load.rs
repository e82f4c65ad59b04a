//! Tests of the load generator: its schedule, its checks, and runs against a site.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use jacinthfall::api::{Answer, Ask, Refusal};
use jacinthfall::load::check::{self, Reply, Violation};
use jacinthfall::load::mix::{Kind, Mix};
use jacinthfall::load::report::{Leafs, Report};
use jacinthfall::load::schedule::{self, Arrival};
use jacinthfall::load::tally::Tally;
use jacinthfall::load::{leafs, plot};
use jacinthfall_core::coverage::{Cause, Coverage, Missed};
use jacinthfall_core::id::{Shard, Version};
use jacinthfall_core::query::Row;
use jacinthfall_core::refusal::{self, Ran};
use jacinthfall_core::time::Wall;
use jacinthfall_standin::deployment::Deployment;
use jacinthfall_testkit::site::{Plan, Site};

/// Requests per second of a run, low enough for any machine.
const RATE: &str = "20";

fn examples(deployment: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/settings").join(deployment)
}

fn mix(deployment: &str) -> Mix {
    Mix::open(&examples(deployment).join("load.jsonc")).unwrap()
}

/// Returns a kind of request with two rows in two shards, and a request of that kind.
fn request() -> (Kind, Ask) {
    let kind = Kind { rows: Some(2), ..mix("klang-valley").kinds.remove(0) };
    let arrival = Arrival { at: Duration::ZERO, kind: 0, key: 0 };
    let ask = schedule::ask("run", 7, &arrival, &kind, Wall(1));
    (kind, ask)
}

fn row(key: &str) -> Row {
    Row { key: key.into(), value: format!("v1 {key} history run-7").into() }
}

/// Returns the correct answer to [`request`].
fn answer() -> Answer {
    Answer {
        request: "run-7".into(),
        node: "node-1".into(),
        ran: Ran::Ran,
        version: Version(1),
        coverage: Coverage { total: 2, answered: 2, missed: Vec::new() },
        rows: vec![row("k1"), row("k2")],
        took: Duration::from_millis(3),
    }
}

fn missed(shard: u32) -> Missed {
    Missed { shard: Shard(shard), cause: Cause::Timeout }
}

#[test]
fn a_schedule_is_a_poisson_process_and_the_same_for_the_same_seed() {
    let mix = mix("cz-central");
    let draw = |seed| schedule::draw(&mix, 1_000.0, Duration::from_secs(20), seed);

    let arrivals = draw(1);

    assert_eq!(arrivals, draw(1));
    assert_ne!(arrivals, draw(2));
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    assert!((19_000..21_000).contains(&arrivals.len()), "{}", arrivals.len());
    // The standard deviation of the gaps of a Poisson process equals their mean.
    let gaps: Vec<f64> =
        arrivals.windows(2).map(|pair| (pair[1].at - pair[0].at).as_secs_f64()).collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let variance = gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / gaps.len() as f64;
    assert!((0.9..1.1).contains(&(variance.sqrt() / mean)), "{}", variance.sqrt() / mean);
    let drawn: BTreeSet<_> = arrivals.iter().map(|arrival| arrival.kind).collect();
    assert_eq!(drawn.len(), mix.kinds.len());
}

#[test]
fn a_correct_answer_has_no_violation_and_each_wrong_answer_has_its_own() {
    let (kind, ask) = request();
    let correct = answer();
    let coverage = |answered, missed| Coverage { total: 2, answered, missed };
    let partial =
        Answer { coverage: coverage(1, vec![missed(1)]), rows: vec![row("k1")], ..correct.clone() };
    let uneven = Violation::Coverage { answered: 1, missed: 0, total: 2 };
    let doubled = Violation::Coverage { answered: 0, missed: 1, total: 2 };
    let wrong_answers = [
        (Answer { request: "run-8".into(), ..correct.clone() }, Violation::Foreign("run-8".into())),
        (Answer { ran: Ran::Unknown, ..correct.clone() }, Violation::Ran(Ran::Unknown)),
        (Answer { coverage: coverage(1, Vec::new()), ..correct.clone() }, uneven),
        (Answer { coverage: coverage(0, vec![missed(1), missed(1)]), ..correct.clone() }, doubled),
        (
            Answer { rows: vec![row("k2"), row("k2")], ..correct.clone() },
            Violation::Key("k2".into()),
        ),
        (
            Answer { rows: vec![row("k1")], ..correct.clone() },
            Violation::Rows { found: 1, expected: 2 },
        ),
        (Answer { version: Version(2), ..correct.clone() }, Violation::Echo("k1".into())),
    ];

    assert_eq!(check::answer(&ask, &kind, true, &correct), []);
    assert_eq!(check::answer(&ask, &kind, true, &partial), []);
    for (wrong, violation) in wrong_answers {
        assert_eq!(check::answer(&ask, &kind, true, &wrong), [violation]);
    }
}

#[test]
fn replies_that_contradict_the_number_of_runs_are_violations() {
    let refused = |ran| Reply::Refused(ran);
    let cases = [
        (Reply::Answered, 1, None),
        (Reply::Answered, 0, Some(Violation::Unrun)),
        (Reply::Answered, 2, Some(Violation::Runs(2))),
        (refused(Ran::NotRun), 0, None),
        (refused(Ran::NotRun), 1, Some(Violation::NotRun(1))),
        (refused(Ran::Unknown), 1, None),
        (refused(Ran::Unknown), 2, Some(Violation::Runs(2))),
        (Reply::Nothing, 0, None),
        (Reply::Nothing, 3, Some(Violation::Runs(3))),
    ];

    for (reply, runs, violation) in cases {
        assert_eq!(check::runs(reply, runs), violation, "{reply:?} with {runs} runs");
    }
}

#[test]
fn a_tally_counts_goodput_coverage_and_refusals() {
    let (kind, _) = request();
    let partial = Answer { coverage: Coverage { answered: 1, ..answer().coverage }, ..answer() };
    let refusal = Refusal {
        request: "run-7".into(),
        node: "node-1".into(),
        cause: refusal::Cause::Overloaded,
        ran: Ran::NotRun,
        retry_after: None,
        message: String::new(),
    };
    let mut first = Tally::default();
    first.answer(&kind, &answer(), Duration::from_millis(10));
    first.answer(&kind, &partial, kind.deadline + Duration::from_millis(1));
    let mut second = Tally::default();
    second.refuse(&refusal, Duration::from_millis(2));
    second.fail();

    first.add(&second);
    let row = first.row("total".into(), Duration::from_secs(2));

    assert_eq!((row.sent, row.answered, row.full, row.failed), (4, 2, 1, 1));
    assert_eq!((row.goodput, row.coverage, row.least_coverage), (0.5, 0.75, 0.5));
    assert_eq!(row.refused.into_iter().collect::<Vec<_>>(), [("overloaded/not_run".into(), 1)]);
    assert_eq!(first.needed(), 4);
    let slowest = row.latency.max_us as f64 / kind.deadline.as_micros() as f64;
    assert!((1.0..1.02).contains(&slowest), "a histogram keeps 3 digits: {slowest}");
}

#[test]
fn a_plot_shows_every_run_by_its_name() {
    let report = |name: &str, latency: u64| {
        let (kind, _) = request();
        let mut tally = Tally::default();
        (1..=1_000)
            .for_each(|n| tally.answer(&kind, &answer(), Duration::from_micros(n * latency)));
        Report {
            name: name.into(),
            rate: 1.0,
            duration_s: 1.0,
            seed: 1,
            sent_late: 0,
            total: tally.row("total".into(), Duration::from_secs(1)),
            profiles: Vec::new(),
            leafs: Some(Leafs::new(leafs::Counters::default(), 0)),
            violations: Default::default(),
        }
    };
    let file = std::env::temp_dir().join(format!("jacinthfall-plot-{}.svg", std::process::id()));

    plot::draw(&file, &[report("baseline", 20), report("hedged", 10)]).unwrap();

    let svg = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    assert!(svg.contains("baseline") && svg.contains("hedged"));
    let strokes = svg.split("<polyline").filter_map(|line| {
        let stroke = line.split_once("stroke=\"")?.1.split('"').next()?;
        line.contains("stroke-width=\"2\"").then_some(stroke)
    });
    assert_eq!(strokes.collect::<BTreeSet<_>>().len(), 2, "a colour for each run");
}

/// Runs the tool on a site of two nodes and returns its exit code and result.
fn load(mix: &Path) -> (Option<i32>, Report) {
    let program = Path::new(env!("CARGO_BIN_EXE_jacinthfall-load"));
    let site = Site::open(Plan {
        programs: program.parent().unwrap().into(),
        deployment: Deployment::open(&examples("cz-central")).unwrap(),
        services: ["slot-finder", "invoicer", "bay-card", "fleet-sync"].map(Into::into).into(),
        leaf_processes: false,
        nodes: 2,
        hold: Duration::from_millis(500),
    });
    let mut command = Command::new(program);
    command.args(["--rate", RATE, "--duration", "3", "--echo", "--json", "-"]);
    command.arg("--mix").arg(mix);
    command.args(["--node", &site.nodes[0].callers.to_string()]);
    for process in site.leafs.values() {
        command.args(["--leafs", &process.addresses()["control"].to_string()]);
    }
    let output = command.output().unwrap();
    let report = serde_json::from_slice(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    (output.status.code(), report.unwrap_or_else(|e| panic!("{e}: {stderr}")))
}

#[test]
fn a_run_on_a_site_has_no_violations() {
    let (code, report) = load(&examples("cz-central").join("load.jsonc"));

    assert_eq!(report.violations.first, [""; 0]);
    assert_eq!(code, Some(0));
    let scheduled = schedule::draw(&mix("cz-central"), 20.0, Duration::from_secs(3), 1).len();
    let refused: u64 = report.total.refused.values().sum();
    assert_eq!(report.total.sent as usize, scheduled);
    assert_eq!(report.total.answered + refused + report.total.failed, report.total.sent);
    assert!(report.total.answered > 0 && report.leafs.is_some());
}

#[test]
fn a_run_whose_answers_are_not_as_expected_ends_with_exit_code_1() {
    let mut wrong = mix("cz-central");
    wrong.kinds.retain(|kind| &*kind.profile == "bay-card");
    wrong.kinds[0].rows = Some(2);
    let file = std::env::temp_dir().join(format!("jacinthfall-mix-{}.jsonc", std::process::id()));
    std::fs::write(&file, serde_json::to_string(&wrong).unwrap()).unwrap();

    let (code, report) = load(&file);

    std::fs::remove_file(&file).unwrap();
    assert_eq!(code, Some(1));
    assert_eq!(report.violations.count, report.total.answered);
}
