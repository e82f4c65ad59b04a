//! `losses`: where service was lost, from the logs of several nodes.

use jacinthfall::ops::explain::for_each_line;
use jacinthfall::ops::losses::{Cause, Loss, Losses, Report, render};

/// Returns a line as a node writes it, at a number of seconds after ten o'clock.
fn line(second: u32, fields: &str) -> String {
    format!("time=2026-12-03T10:00:{second:02}.000Z level=INFO {fields}\n")
}

/// Returns the lines about a request that ended with `outcome`.
fn answer(second: u32, id: &str, steps: &[&str], outcome: &str) -> String {
    let steps = steps.iter().map(|step| line(second, &format!("{step} id=\"{id}\" at_ms=90")));
    let fields = format!("event=answer id=\"{id}\" route=sweep objective_ms=120 {outcome}");
    steps.chain([line(second, &fields)]).collect()
}

fn read(logs: &[(&str, &str)]) -> Report {
    let mut losses = Losses::open(5_000);
    let mut unreadable = 0;
    for (node, log) in logs {
        let add = |node: &str, line| losses.add(node, line);
        unreadable += for_each_line(node, log.as_bytes(), add).expect("a log in memory");
    }
    losses.report(unreadable)
}

/// Returns the only cause of a report.
fn only_cause(report: &Report) -> (Loss, Cause) {
    let [row] = report.rows.as_slice() else { panic!("{report:?}") };
    let [count] = row.causes.as_slice() else { panic!("{report:?}") };
    (count.loss, count.cause)
}

#[test]
fn each_kind_of_loss_is_told_with_its_cause() {
    let send = "event=send service=s-1 leaf=i-1 expected_ms=20";
    let slow = "event=send service=s-1 leaf=i-1 expected_ms=100";
    let response = "event=response service=s-1 leaf=i-1 result=success";
    let unsent = "event=response service=s-1 leaf=i-1 result=unsent";
    let no_leaf = "event=given_up service=s-1 why=no_leaf";
    let busy = "event=given_up service=s-1 why=leafs_busy";
    let budget = "event=given_up service=s-1 why=budget";
    let late = "outcome=merged detail=0 took_ms=130 waited_ms=0 elapsed_ms=0 missing=[]";
    let relayed = "outcome=merged detail=0 took_ms=90 waited_ms=0 elapsed_ms=60 missing=[]";
    let queued = "outcome=merged detail=0 took_ms=130 waited_ms=80 elapsed_ms=0 missing=[]";
    let partial = "outcome=merged detail=1 took_ms=106 waited_ms=0 elapsed_ms=0 missing=[s-1:i-1]";
    let way = "outcome=merged detail=0 took_ms=106 waited_ms=0 elapsed_ms=0 connection=open \
               transport_ms=19 lag_ms=2 missing=[]";
    let node_busy = "event=not_resent service=s-1 why=node_busy";
    let refused = "outcome=refused detail=30 took_ms=12 waited_ms=12 elapsed_ms=0 missing=[s-1:]";
    let failed = "outcome=failed detail=502 took_ms=2 waited_ms=0 elapsed_ms=0 missing=[s-1:i-1]";
    let cases: &[(&[&str], &str, Loss, Cause)] = &[
        (&[send, response], late, Loss::Late, Cause::SlowLeaf),
        (&[], relayed, Loss::Late, Cause::OtherNode),
        (&[], queued, Loss::Late, Cause::Admission),
        (&[], way, Loss::Late, Cause::Transport),
        (&[send, node_busy, response], late, Loss::Late, Cause::NodeBusy),
        (&[], partial, Loss::Partial, Cause::LeafSlowerThanExpected),
        (&[send], partial, Loss::Partial, Cause::LeafSlowerThanExpected),
        (&[slow], partial, Loss::Partial, Cause::SlowLeaf),
        (&[send, unsent], partial, Loss::Partial, Cause::Unreached),
        (&[no_leaf], refused, Loss::Refused, Cause::NoLeaf),
        (&[busy], refused, Loss::Refused, Cause::LeafsBusy),
        (&[send, budget], failed, Loss::Failed, Cause::Budget),
    ];
    for (steps, outcome, loss, cause) in cases {
        let log = answer(3, "r-1", steps, outcome);

        let report = read(&[("n-1", &log)]);

        assert_eq!(only_cause(&report), (*loss, *cause), "{log}");
    }
}

/// Guards against refusals of an organisation's excess that look like failures of this tier.
#[test]
fn a_request_over_the_quota_is_told_apart() {
    let log = line(3, "event=rejected id=\"r-1\" status=429 reason=over_quota");

    let report = read(&[("n-1", &log)]);

    assert_eq!(only_cause(&report), (Loss::Refused, Cause::OverQuota));
}

#[test]
fn losses_without_a_line_are_counted_from_the_summaries_of_all_nodes() {
    let traffic =
        "event=traffic route=sweep whole=90 late=3 partial=4 refused=2 failed=1 abandoned=0";
    let refused = "outcome=refused detail=30 took_ms=1 waited_ms=1 elapsed_ms=0 missing=[]";
    let first = line(4, traffic) + &answer(4, "r-1", &[], refused);
    let second = line(4, traffic);

    let report = read(&[("n-1", &first), ("n-2", &second)]);

    let row = &report.rows[0];
    assert_eq!((row.counted, row.lost, row.without_line), (200, 20, 19));
}

#[test]
fn lines_of_nodes_that_are_mixed_in_one_log_are_told_apart() {
    let steps = |node: &str, why: &str| {
        format!(
            "{node} {}",
            line(1, &format!("event=given_up id=\"r\" at_ms=1 service=s why={why}"))
        )
    };
    let end = |node: &str| {
        let fields = "event=answer id=\"r\" route=sweep objective_ms=120 outcome=failed detail=502 \
                      took_ms=2 waited_ms=0 elapsed_ms=0 missing=[]";
        format!("{node} {}", line(1, fields))
    };
    let log = steps("n-1", "budget") + &steps("n-2", "attempts") + &end("n-1") + &end("n-2");

    let report = read(&[("all", &log)]);

    let causes: Vec<Cause> = report.rows[0].causes.iter().map(|count| count.cause).collect();
    assert_eq!(causes, [Cause::Attempts, Cause::Budget]);
}

#[test]
fn shards_are_listed_by_how_often_they_were_missing() {
    let partial = |missing: &str| {
        format!("outcome=merged detail=1 took_ms=9 waited_ms=0 elapsed_ms=0 missing=[{missing}]")
    };
    let log = answer(1, "r-1", &[], &partial("s-1:i-1"))
        + &answer(1, "r-2", &[], &partial("s-2:i-4"))
        + &answer(2, "r-3", &[], &partial("s-2:i-4"));

    let report = read(&[("n-1", &log)]);

    assert_eq!(report.rows[0].missing, [("s-2".to_owned(), 2), ("s-1".to_owned(), 1)]);
    assert!(render(&report).contains("missing most often: s-2 (2), s-1 (1)"));
}

#[test]
fn unreadable_lines_are_counted_and_the_others_are_used() {
    let refused = "outcome=refused detail=30 took_ms=1 waited_ms=1 elapsed_ms=0 missing=[]";
    let log = format!("panicked at x\n\u{fffd}\n{}", answer(1, "r-1", &[], refused));

    let report = read(&[("n-1", &log)]);

    assert_eq!((report.unreadable, report.rows.len()), (2, 1));
    assert!(render(&report).contains("2 unreadable lines"));
}

#[test]
fn answers_of_nodes_that_log_no_objective_do_not_count_as_late() {
    let fields =
        "event=answer id=\"r\" route=sweep outcome=merged detail=0 took_ms=900 elapsed_ms=0";

    let report = read(&[("n-1", &line(1, fields))]);

    assert!(report.rows.is_empty(), "{report:?}");
}
