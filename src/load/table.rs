//! Formats a report as text.

use std::fmt::{self, Display, Formatter};

use crate::load::report::{Report, Row};

/// Displays a report as a table.
#[derive(Clone, Copy, Debug)]
pub struct Table<'a>(pub &'a Report);

impl Display for Table<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let report = self.0;
        writeln!(
            f,
            "{}: {} requests/s for {} s, seed {}, {} sent late",
            report.name, report.rate, report.duration_s, report.seed, report.sent_late
        )?;
        writeln!(
            f,
            "{:<16} {:>8} {:>8} {:>7} {:>7} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6}",
            "profile",
            "sent",
            "answers",
            "full %",
            "cover %",
            "goodput/s",
            "p50 ms",
            "p90 ms",
            "p99 ms",
            "p99.9 ms",
            "max ms",
            "refused",
            "failed"
        )?;
        report.profiles.iter().try_for_each(|row| write_row(f, row))?;
        write_row(f, &report.total)?;
        write_refusals(f, report)?;
        write_leafs(f, report)?;
        writeln!(f, "violations: {}", report.violations.count)?;
        report.violations.first.iter().try_for_each(|line| writeln!(f, "  {line}"))
    }
}

fn write_row(f: &mut Formatter<'_>, row: &Row) -> fmt::Result {
    let latency = &row.latency;
    let full = 100.0 * row.full as f64 / row.answered.max(1) as f64;
    writeln!(
        f,
        "{:<16} {:>8} {:>8} {:>7.2} {:>7.2} {:>9.1} {:>8.2} {:>8.2} {:>8.2} {:>8.2} {:>8.2} {:>8} {:>6}",
        row.name,
        row.sent,
        row.answered,
        full,
        100.0 * row.coverage,
        row.goodput,
        millis(latency.p50_us),
        millis(latency.p90_us),
        millis(latency.p99_us),
        millis(latency.p999_us),
        millis(latency.max_us),
        row.refused.values().sum::<u64>(),
        row.failed
    )
}

fn write_refusals(f: &mut Formatter<'_>, report: &Report) -> fmt::Result {
    for row in &report.profiles {
        for (cause, count) in &row.refused {
            writeln!(f, "refused {}: {cause} {count}", row.name)?;
        }
    }
    let latency = &report.total.refusal_latency;
    if report.total.refused.is_empty() {
        return Ok(());
    }
    let (p50, p99) = (millis(latency.p50_us), millis(latency.p99_us));
    writeln!(f, "refusals came after {p50:.2} ms (p50), {p99:.2} ms (p99)")
}

fn write_leafs(f: &mut Formatter<'_>, report: &Report) -> fmt::Result {
    let Some(leafs) = &report.leafs else { return Ok(()) };
    let counters = &leafs.counters;
    writeln!(
        f,
        "leafs: {} parts received, {} needed, extra load {:.2} %; {} shed, {} expired, {} cancelled; \
         {} connections, {} refused",
        counters.received,
        leafs.needed,
        100.0 * leafs.extra,
        counters.overloaded,
        counters.expired,
        counters.cancelled_queued + counters.cancelled_running,
        counters.connections,
        counters.connections_refused
    )
}

fn millis(us: u64) -> f64 {
    us as f64 / 1_000.0
}
