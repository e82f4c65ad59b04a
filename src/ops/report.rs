//! `report`: an HTML page with plots from the logs of gateway nodes.

use std::collections::BTreeMap;
use std::fmt::Write;

use plotters::prelude::*;

use super::explain::{Line, Logs};
use crate::util::plot;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (1_000, 320);

/// Length of an interval on the time axis, in milliseconds. Nodes write `event=traffic`
/// lines at this interval.
const INTERVAL_MS: i64 = 5_000;

/// Events that the plots mark on the time axis.
const MARKED_EVENTS: [&str; 5] = ["configuration", "node", "store_lost", "store_regained", "stop"];

/// A named line in a plot: points of seconds since the start of the page and value.
type Series = (String, Vec<(f64, f64)>);

/// A plot of several series.
struct Plot {
    title: &'static str,
    unit: &'static str,
    series: Vec<Series>,
}

/// Why the page could not be drawn.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The logs contain nothing to draw.
    #[error("the logs have no `event=traffic` line with a time; pass logs of gateway nodes")]
    Empty,
    /// The plotting library failed.
    #[error("a plot can't be drawn: {0}; report this with the logs")]
    Plot(String),
}

/// Draws the page, as HTML with SVG plots.
///
/// # Errors
///
/// Any [`Error`].
pub fn page(logs: &Logs) -> Result<String, Error> {
    let traffic: Vec<&Line> = lines(logs).filter(|line| line.event == "traffic").collect();
    let times = traffic.iter().filter_map(|line| line.millis_of_day());
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Err(Error::Empty);
    };
    let span = Span { first: first - INTERVAL_MS, last };
    let mut page = String::from(
        "<!doctype html>\n<meta charset=\"utf-8\"><title>jacinthfall report</title>\n\
         <style>body{font-family:sans-serif;max-width:1040px;margin:auto}</style>\n",
    );
    let _ = writeln!(page, "<h1>Gateway nodes: {}</h1>", logs.nodes().count());
    let marks = marks(logs, span);
    for plot in plots(&traffic, span) {
        page.push_str(&draw(&plot, &marks, span).map_err(|error| Error::Plot(error.to_string()))?);
    }
    page.push_str(&table(logs));
    Ok(page)
}

/// Time range of the page, in milliseconds since midnight.
#[derive(Clone, Copy)]
struct Span {
    first: i64,
    last: i64,
}

impl Span {
    /// Returns the time of a line in seconds since the start; `None` outside of the range.
    fn seconds(self, line: &Line) -> Option<f64> {
        let at = line.millis_of_day().filter(|at| (self.first..=self.last).contains(at))?;
        Some((at - self.first) as f64 / 1_000.0)
    }

    fn length(self) -> f64 {
        (self.last - self.first) as f64 / 1_000.0
    }
}

fn lines(logs: &Logs) -> impl Iterator<Item = &Line> {
    logs.nodes().flat_map(|(_, lines)| lines)
}

fn plots(traffic: &[&Line], span: Span) -> Vec<Plot> {
    let per_second =
        |field| sum_series(traffic, span, field, |sum| sum * 1_000.0 / INTERVAL_MS as f64);
    let served =
        ["whole", "late", "partial"].map(|field| (field.to_owned(), total(traffic, span, field)));
    let lost = ["refused", "failed", "abandoned"];
    let lost = lost.map(|field| (field.to_owned(), total(traffic, span, field)));
    vec![
        Plot {
            title: "Slowest p99 of any node, by route",
            unit: "ms",
            series: max_series(traffic, span, "p99_ms"),
        },
        Plot { title: "Answers", unit: "1/s", series: served.to_vec() },
        Plot { title: "Not answered, by cause", unit: "1/s", series: lost.to_vec() },
        Plot { title: "Shards missing, by route", unit: "1/s", series: per_second("missing") },
        Plot {
            title: "Sends beyond the first, by route",
            unit: "1/s",
            series: per_second("extra"),
        },
    ]
}

/// Combines the values of a field within each interval with `join`, by route.
fn intervals<'a>(
    traffic: &[&'a Line],
    span: Span,
    field: &str,
    join: impl Fn(f64, f64) -> f64,
) -> BTreeMap<&'a str, BTreeMap<i64, f64>> {
    let mut routes: BTreeMap<&str, BTreeMap<i64, f64>> = BTreeMap::new();
    for line in traffic {
        let Some(seconds) = span.seconds(line) else { continue };
        let interval = (seconds * 1_000.0) as i64 / INTERVAL_MS;
        let value = routes.entry(line.text("route")).or_default().entry(interval).or_default();
        *value = join(*value, line.number(field) as f64);
    }
    routes
}

fn points(intervals: BTreeMap<i64, f64>, scale: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    let second = |interval| (interval * INTERVAL_MS) as f64 / 1_000.0;
    intervals.into_iter().map(|(interval, value)| (second(interval), scale(value))).collect()
}

fn sum_series(
    traffic: &[&Line],
    span: Span,
    field: &str,
    scale: impl Fn(f64) -> f64,
) -> Vec<Series> {
    let routes = intervals(traffic, span, field, |a, b| a + b);
    routes
        .into_iter()
        .map(|(route, intervals)| (route.to_owned(), points(intervals, &scale)))
        .collect()
}

fn max_series(traffic: &[&Line], span: Span, field: &str) -> Vec<Series> {
    let routes = intervals(traffic, span, field, f64::max);
    routes
        .into_iter()
        .map(|(route, intervals)| (route.to_owned(), points(intervals, |v| v)))
        .collect()
}

/// Returns the sum of a field over all routes, per second.
fn total(traffic: &[&Line], span: Span, field: &str) -> Vec<(f64, f64)> {
    let mut sums: BTreeMap<i64, f64> = BTreeMap::new();
    for intervals in intervals(traffic, span, field, |a, b| a + b).into_values() {
        for (interval, value) in intervals {
            *sums.entry(interval).or_default() += value;
        }
    }
    points(sums, |sum| sum * 1_000.0 / INTERVAL_MS as f64)
}

/// Returns the marked events with their time in seconds since the start.
fn marks(logs: &Logs, span: Span) -> Vec<(f64, &str)> {
    let marked = lines(logs).filter(|line| MARKED_EVENTS.contains(&line.event.as_str()));
    marked.filter_map(|line| Some((span.seconds(line)?, line.event.as_str()))).collect()
}

const fn color(event: &str) -> RGBColor {
    match event.as_bytes() {
        b"configuration" => BLUE,
        b"node" => MAGENTA,
        b"stop" => BLACK,
        b"store_lost" => RED,
        _ => GREEN,
    }
}

fn draw(
    plot: &Plot,
    marks: &[(f64, &str)],
    span: Span,
) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let values = plot.series.iter().flat_map(|(_, points)| points).map(|point| point.1);
        let top = values.fold(1.0, f64::max) * 1.05;
        let mut chart = ChartBuilder::on(&area)
            .caption(plot.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..span.length().max(1.0), 0.0..top)?;
        chart.configure_mesh().x_desc("seconds").y_desc(plot.unit).draw()?;
        // Marks are drawn at the upper edge, each event in a colour of its own.
        for (at, event) in marks {
            let path = [(*at, top * 0.96), (*at, top)];
            chart.draw_series([PathElement::new(path, color(event))])?;
        }
        let lines = plot.series.iter().cloned();
        plot::lines(&mut chart, lines, SeriesLabelPosition::UpperRight)?;
        area.present()?;
    }
    Ok(svg)
}

/// Renders a table with the number of lines of each event, by node.
fn table(logs: &Logs) -> String {
    let mut text = String::from(
        "<p>Marks at the upper edge: configuration blue, nodes magenta, store lost red, regained \
         green, stops black.</p>\n<table><tr><th>node<th>event<th>lines\n",
    );
    for (node, lines) in logs.nodes() {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for line in lines {
            *counts.entry(line.event.as_str()).or_default() += 1;
        }
        for (event, count) in counts {
            let (node, event) = (escape_html(node), escape_html(event));
            let _ = writeln!(text, "<tr><td>{node}<td>{event}<td>{count}");
        }
    }
    text + "</table>\n"
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
