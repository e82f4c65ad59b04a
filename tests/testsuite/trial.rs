//! A short run under random faults with all invariants checked; the long run is the
//! example `trial` of the test kit.

use std::time::Duration;

use jacinthfall_testkit::trial::{self, Settings};

use crate::support;

/// Seed of the faults and queries.
const SEED: u64 = 1;

/// How long faults are injected.
const DURATION: Duration = Duration::from_secs(10);

#[test]
fn random_faults_violate_no_invariant() {
    let settings = Settings { programs: support::programs(), seed: SEED, duration: DURATION };

    let report = trial::run(&settings);

    assert!(report.violations.is_empty(), "seed {SEED}: {:#?}", report.violations);
    assert!(report.tally.full > 0, "{report:?}");
    assert!(report.tally.confirmed > 0, "{report:?}");
}
