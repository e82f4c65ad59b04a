//! Lines in plots.

use plotters::coord::ranged1d::Ranged;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

/// A chart in an SVG file or text, over any kind of horizontal axis.
pub type Chart<'a, X> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, RangedCoordf64>>;

/// Draws named lines, each in a colour of its own, and a legend of them.
///
/// # Errors
///
/// What the plotting library says.
pub fn lines<'a, X>(
    chart: &mut Chart<'a, X>,
    lines: impl IntoIterator<Item = (String, Vec<(f64, f64)>)>,
    legend: SeriesLabelPosition,
) -> Result<(), Box<dyn std::error::Error>>
where
    X: Ranged<ValueType = f64>,
{
    for (index, (name, points)) in lines.into_iter().enumerate() {
        let style = Palette99::pick(index).to_rgba().stroke_width(2);
        chart
            .draw_series(LineSeries::new(points, style))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], style));
    }
    chart
        .configure_series_labels()
        .position(legend)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
