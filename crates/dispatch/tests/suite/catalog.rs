use std::time::Duration;

use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::catalog::{Catalog, Delta, FORGET_AFTER, LAPSE_GRACE, Record};
use jacinthfall_route::leaf::{Age, Entry, State};

use crate::support::entry;

fn id() -> id::Name {
    "i-1".into()
}

fn record(revision: u64, born: u64, sequence: u64) -> Record {
    record_at(at(revision), born, sequence)
}

/// Place of a revision in the first era.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

fn record_at(at: Position, born: u64, sequence: u64) -> Record {
    Record::of(at, Some(entry("a", "z", Age { born, sequence })))
}

fn removed(revision: u64) -> Record {
    Record::of(at(revision), None)
}

fn usable(catalog: &Catalog) -> Vec<Entry> {
    catalog.usable().map(|(_, entry)| entry.clone()).collect()
}

#[test]
fn an_older_revision_changes_nothing() {
    let mut catalog = Catalog::default();
    catalog.apply(Time(0), &id(), removed(7));

    let changed = catalog.apply(Time(0), &id(), record(5, 1, 1));

    assert!(!changed);
    assert!(usable(&catalog).is_empty());
}

#[test]
fn a_draining_leaf_gets_no_new_requests() {
    let mut catalog = Catalog::default();
    catalog.apply(Time(0), &id(), record(5, 1, 1));
    let mut draining = record(6, 1, 2);
    draining.entry.as_mut().expect("an entry").state = State::Draining;

    catalog.apply(Time(0), &id(), draining);

    assert!(usable(&catalog).is_empty());
}

#[test]
fn an_older_report_written_at_a_later_revision_is_ignored() {
    let mut catalog = Catalog::default();
    let mut draining = record(6, 1, 9);
    draining.entry.as_mut().expect("an entry").state = State::Draining;
    catalog.apply(Time(0), &id(), draining);

    catalog.apply(Time(0), &id(), record(8, 1, 4));

    assert!(
        usable(&catalog).is_empty(),
        "the record at the later revision holds an earlier report"
    );
}

#[test]
fn a_restarted_leaf_may_restart_its_sequence() {
    let mut catalog = Catalog::default();
    catalog.apply(Time(0), &id(), record(5, 1_000, 40));
    catalog.apply(Time(0), &id(), removed(6));

    catalog.apply(Time(0), &id(), record(7, 2_000, 1));

    assert_eq!(usable(&catalog)[0].age, Age { born: 2_000, sequence: 1 });
}

#[test]
fn a_late_report_of_an_earlier_incarnation_does_not_restore_a_removed_leaf() {
    let mut catalog = Catalog::default();
    catalog.apply(Time(0), &id(), record(5, 2_000, 1));
    catalog.apply(Time(0), &id(), removed(6));

    catalog.apply(Time(0), &id(), record(7, 1_000, 90));

    assert!(usable(&catalog).is_empty());
}

#[test]
fn an_undecodable_entry_removes_its_leaf_and_no_other() {
    let mut catalog = Catalog::default();
    catalog.apply(Time(0), &id(), record(5, 1, 1));
    catalog.apply(Time(0), &"i-2".into(), record(6, 1, 1));

    catalog.apply(Time(0), &id(), removed(7));

    let ids: Vec<_> = catalog.usable().map(|(id, _)| id.to_string()).collect();
    assert_eq!(ids, ["i-2"]);
}

#[test]
fn a_listing_removes_leafs_that_it_does_not_contain() {
    let mut catalog = Catalog::default();
    catalog.apply(Time(0), &id(), record(5, 1, 1));
    catalog.apply(Time(0), &"i-2".into(), record(30, 1, 1));

    catalog.apply_listing(Time(0), vec![("i-3".into(), record(9, 1, 1))], at(20));

    let mut ids: Vec<_> = catalog.usable().map(|(id, _)| id.to_string()).collect();
    ids.sort_unstable();
    assert_eq!(ids, ["i-2", "i-3"], "a record newer than the listing stays");
}

#[test]
fn entries_that_expired_during_a_store_outage_are_used_for_a_grace_period() {
    let mut catalog = Catalog::default();
    let regained = Time::from_millis(10_000);
    catalog.apply(Time(0), &id(), record(5, 1, 1));
    catalog.apply(Time(0), &"i-2".into(), record(6, 1, 1));
    catalog.store_regained(regained);

    catalog.apply(regained, &id(), removed(7));
    catalog.apply(regained, &"i-2".into(), removed(8));
    assert_eq!(usable(&catalog).len(), 2);
    catalog.apply(regained + Duration::from_millis(900), &id(), record(9, 1, 5));
    catalog.expire(regained + LAPSE_GRACE);

    let ids: Vec<_> = catalog.usable().map(|(id, _)| id.to_string()).collect();
    assert_eq!(ids, ["i-1"], "a leaf without a new entry is removed after the grace period");
}

#[test]
fn a_removal_outside_the_grace_period_takes_effect_at_once() {
    let mut catalog = Catalog::default();
    catalog.store_regained(Time::from_millis(1_000));
    catalog.apply(Time(0), &id(), record(5, 1, 1));

    catalog.apply(Time::from_millis(9_000), &id(), removed(7));

    assert!(usable(&catalog).is_empty());
}

#[test]
fn records_applied_in_any_order_give_the_same_result() {
    let records = [record(5, 1, 1), removed(6), record(7, 2, 1), record(8, 1, 50)];
    let mut orders = vec![vec![0, 1, 2, 3], vec![3, 2, 1, 0], vec![2, 0, 3, 1]];
    // The outdated report at revision 8 is accepted by a catalog that knows no newer report.
    orders.retain(|order| order[0] != 3);

    for order in orders {
        let mut catalog = Catalog::default();
        for step in order {
            catalog.apply(Time(0), &id(), records[step].clone());
        }
        assert_eq!(usable(&catalog)[0].age, Age { born: 2, sequence: 1 });
    }
}

#[test]
fn a_delta_after_a_listing_covers_removals_that_the_sender_did_not_see() {
    let mut behind = Catalog::default();
    behind.apply(Time(0), &id(), record(5, 1, 1));
    behind.apply(Time(0), &"i-2".into(), record(6, 1, 1));
    let mut listed = Catalog::default();
    listed.apply_listing(Time(0), vec![("i-2".into(), record(6, 1, 1))], at(20));

    behind.merge(Time(0), listed.changes_since(at(10)), at(20));

    let ids: Vec<_> = behind.usable().map(|(id, _)| id.to_string()).collect();
    assert_eq!(ids, ["i-2"], "the listing shows that the other leaf was removed");
}

#[test]
fn records_older_than_a_listing_do_not_restore_a_leaf() {
    let mut behind = Catalog::default();
    behind.apply(Time(0), &id(), record(5, 1, 1));
    let mut listed = Catalog::default();
    listed.apply_listing(Time(0), Vec::new(), at(20));

    listed.merge(Time(0), behind.changes_since(at(0)), at(10));

    assert!(usable(&listed).is_empty());
}

#[test]
fn a_delta_for_a_recent_revision_holds_only_later_records() {
    let mut ahead = Catalog::default();
    ahead.apply_listing(Time(0), vec![(id(), record(5, 1, 1))], at(20));
    ahead.apply(Time(0), &"i-2".into(), record(30, 1, 1));

    let delta = ahead.changes_since(at(25));

    assert_eq!(delta, Delta { records: vec![("i-2".into(), record(30, 1, 1))], complete: false });
}

#[test]
fn dropped_tombstones_are_still_covered_by_a_complete_delta() {
    let mut ahead = Catalog::default();
    ahead.apply(Time(0), &id(), record(5, 1, 1));
    ahead.apply(Time(0), &id(), removed(9));
    let mut behind = Catalog::default();
    behind.apply(Time(0), &id(), record(5, 1, 1));

    ahead.expire(Time(0) + FORGET_AFTER);
    behind.merge(Time(0), ahead.changes_since(at(6)), at(12));

    assert!(ahead.is_empty());
    assert!(usable(&behind).is_empty());
}

/// Place of a revision in the era after a restore.
fn restored(revision: u64) -> Position {
    Position::new(1, revision)
}

fn with_state(mut record: Record, state: State) -> Record {
    record.entry.as_mut().expect("an entry").state = state;
    record
}

#[test]
fn a_later_era_wins_over_any_revision_of_an_earlier_one() {
    let mut catalog = Catalog::default();
    catalog.apply(Time(0), &id(), record_at(at(50), 1, 1));

    let late = catalog.apply(Time(0), &id(), Record::of(restored(3), None));
    let overtaken = catalog.apply(Time(0), &id(), record(60, 1, 2));

    assert!(late);
    assert!(!overtaken, "an answer of an earlier era that arrives late changes nothing");
}

#[test]
fn an_old_listing_that_arrives_after_a_restore_changes_nothing() {
    let mut catalog = Catalog::default();
    catalog.apply_listing(Time(0), vec![(id(), record_at(restored(3), 1, 1))], restored(3));

    let changed = catalog.apply_listing(Time(0), vec![("i-2".into(), record(50, 1, 1))], at(50));

    assert!(changed.is_empty());
    assert_eq!(usable(&catalog).len(), 1);
}

#[test]
fn a_leaf_that_the_copy_lacks_is_used_while_it_may_still_write_again() {
    let mut catalog = Catalog::default();
    catalog.apply(Time(0), &id(), record(50, 1, 4));
    let start = Time(0) + FORGET_AFTER;

    catalog.apply_listing(start, Vec::new(), restored(3));

    assert_eq!(usable(&catalog).len(), 1);
    catalog.apply(start + LAPSE_GRACE / 2, &id(), record_at(restored(5), 1, 4));
    assert!(catalog.expire(start + LAPSE_GRACE).is_empty(), "it has written again");
    assert_eq!(usable(&catalog).len(), 1);
}

#[test]
fn a_leaf_that_the_copy_lacks_and_that_does_not_write_again_is_dropped() {
    let mut catalog = Catalog::default();
    catalog.apply(Time(0), &id(), record(50, 1, 4));
    let start = Time(0) + FORGET_AFTER;

    catalog.apply_listing(start, Vec::new(), restored(3));
    let lapsed = catalog.expire(start + LAPSE_GRACE);

    assert_eq!(lapsed, [id()]);
    assert!(usable(&catalog).is_empty());
}

#[test]
fn a_leaf_that_had_left_before_a_restore_stays_out_until_it_writes_again() {
    let mut catalog = Catalog::default();
    catalog.apply(Time(0), &id(), record(40, 1, 4));
    catalog.apply(Time(0), &id(), removed(50));

    catalog.apply_listing(Time(1), vec![(id(), record_at(restored(40), 1, 4))], restored(45));

    assert!(usable(&catalog).is_empty());
    catalog.apply(Time(2), &id(), record_at(restored(46), 1, 5));
    assert_eq!(usable(&catalog).len(), 1, "it is alive after all");
}

#[test]
fn a_drain_that_the_copy_lacks_is_not_forgotten() {
    let mut catalog = Catalog::default();
    catalog.apply(Time(0), &id(), record(40, 1, 4));
    catalog.apply(Time(0), &id(), with_state(record(50, 1, 5), State::Draining));

    catalog.apply_listing(Time(1), vec![(id(), record_at(restored(40), 1, 4))], restored(45));

    assert!(usable(&catalog).is_empty());
}

#[test]
fn a_node_that_took_an_old_copy_for_the_present_learns_better_from_another_node() {
    let listing = || vec![(id(), record_at(restored(40), 1, 4))];
    let mut known = Catalog::default();
    known.apply(Time(0), &id(), record(40, 1, 4));
    known.apply(Time(0), &id(), removed(50));
    known.apply_listing(Time(1), listing(), restored(45));
    let mut started = Catalog::default();
    started.apply_listing(Time(1), listing(), restored(45));
    assert_eq!(usable(&started).len(), 1);

    started.merge(Time(2), known.changes_since(Position::START), restored(45));

    assert!(usable(&started).is_empty());
}
