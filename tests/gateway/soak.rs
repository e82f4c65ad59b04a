//! A short soak with fixed seeds; some of them have failed before.

use std::time::Duration;

use jacinthfall_testkit::gateway::soak::{Plan, run};

use crate::support::program;

#[test]
fn random_faults_violate_no_invariant() {
    for seed in [1, 2] {
        let plan = Plan { seed, duration: Duration::from_secs(10), nodes: 3 };

        let report = run(program(), plan);

        assert!(report.violations.is_empty(), "seed {seed}: {report:?}");
        assert!(report.statuses.get(&200).is_some_and(|count| *count > 0), "{report:?}");
    }
}
