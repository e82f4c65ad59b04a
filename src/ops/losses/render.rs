//! Formats losses as text.

use super::{Report, Row};

/// Formats a report: a line for each stretch of time and route in which requests were lost, with
/// the causes below it.
#[must_use]
pub fn render(report: &Report) -> String {
    let mut text =
        format!("{:<20} {:<16} {:>8} {:>8} {:>8}\n", "FROM", "ROUTE", "COUNTED", "LOST", "NO LINE");
    for row in report.rows.iter().filter(|row| row.lost > 0 || !row.causes.is_empty()) {
        text.push_str(&render_row(row));
    }
    if report.unreadable > 0 {
        text.push_str(&format!("{} unreadable lines were skipped\n", report.unreadable));
    }
    text
}

fn render_row(row: &Row) -> String {
    let mut text = format!(
        "{:<20} {:<16} {:>8} {:>8} {:>8}\n",
        row.from, row.route, row.counted, row.lost, row.without_line
    );
    for count in &row.causes {
        let (loss, cause) = (count.loss.name(), count.cause.name());
        text.push_str(&format!("    {:>6} {loss:<8} {cause}\n", count.requests));
    }
    if !row.missing.is_empty() {
        let shards = row.missing.iter().map(|(service, count)| format!("{service} ({count})"));
        let shards: Vec<String> = shards.collect();
        text.push_str(&format!("    missing most often: {}\n", shards.join(", ")));
    }
    text
}
