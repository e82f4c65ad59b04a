//! Plots latency distributions of several runs side by side.

use std::path::Path;

use plotters::prelude::*;

use crate::load::report::{Point, Report};
use crate::util::plot;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 560);

/// Draws the latency of all answers of each report into an SVG file.
///
/// The horizontal axis is `1 / (1 - quantile)` on a logarithmic scale: 100 is the 99th
/// percentile.
///
/// # Errors
///
/// A description of what failed while drawing or writing.
pub fn draw(file: &Path, reports: &[Report]) -> Result<(), String> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    draw_on(&area, reports).map_err(|error| format!("{}: {error}", file.display()))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_on(area: &Area<'_>, reports: &[Report]) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let points = || reports.iter().flat_map(|report| &report.total.latency.curve);
    let slowest = points().map(millis).fold(1.0, f64::max);
    let rarest = points().map(rarity).fold(10.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("Latency from the intended start", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d((1.0..rarest).log_scale(), 0.0..slowest * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("1 / (1 - quantile): 100 is p99")
        .y_desc("ms")
        .x_label_formatter(&|x| format!("{x:.0}"))
        .draw()?;
    let lines = reports.iter().map(|report| {
        let curve = report.total.latency.curve.iter();
        (report.name.to_string(), curve.map(|point| (rarity(point), millis(point))).collect())
    });
    plot::lines(&mut chart, lines, SeriesLabelPosition::UpperLeft)?;
    area.present()?;
    Ok(())
}

fn millis(point: &Point) -> f64 {
    point.us as f64 / 1_000.0
}

fn rarity(point: &Point) -> f64 {
    1.0 / (1.0 - point.quantile)
}
