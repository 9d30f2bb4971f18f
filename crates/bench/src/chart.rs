//! Draws measurements as charts.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use crate::decide::curve::CurvePoint;

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (900, 540);

/// A curve with its name and colour.
type NamedLine<'a> = (&'a str, RGBColor, Vec<(f64, f64)>);

/// Writes a chart of detection times and false ejections over the bias to `file`, as SVG.
///
/// # Errors
/// The chart could not be written to `file`.
pub fn draw_curve(file: &Path, site: &str, points: &[CurvePoint]) -> eyre::Result<()> {
    let over_bias = |value: fn(&CurvePoint) -> Option<f64>| {
        let values =
            points.iter().filter_map(|point| Some((point.bias_days.log10(), value(point)?)));
        values.collect::<Vec<_>>()
    };
    let lines: [NamedLine<'_>; 3] = [
        ("stall", BLUE, over_bias(|point| point.stall_p50_ms)),
        ("errors 20 %", RED, over_bias(|point| point.errors_p50_ms)),
        ("slow 2x", RGBColor(30, 130, 76), over_bias(|point| point.slow_p50_ms)),
    ];
    let max_time = lines.iter().flat_map(|(_, _, line)| line).map(|(_, y)| *y).fold(1.0, f64::max);
    let rates: Vec<(f64, f64)> =
        points.iter().map(|point| (point.bias_days.log10(), point.false_per_1000_days)).collect();
    let max_rate = rates.iter().map(|(_, y)| *y).fold(1.0, f64::max);
    let (from, to) = (points[0].bias_days.log10(), points[points.len() - 1].bias_days.log10());
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    let result = (|| {
        area.fill(&WHITE)?;
        let (upper, lower) = area.split_vertically(SIZE.1 * 3 / 5);
        let mut chart = ChartBuilder::on(&upper)
            .caption(format!("{site}: detection over bias"), ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(from..to, 0.0..max_time * 1.1)?;
        chart.configure_mesh().y_desc("median ms").x_desc("log10 of target-days").draw()?;
        for (name, colour, line) in &lines {
            let series = LineSeries::new(line.iter().copied(), colour.stroke_width(2));
            let colour = *colour;
            chart.draw_series(series)?.label(*name).legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2))
            });
        }
        chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
        let mut chart = ChartBuilder::on(&lower)
            .margin(12)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(from..to, 0.0..max_rate * 1.1)?;
        chart
            .configure_mesh()
            .y_desc("false per 1,000 days")
            .x_desc("log10 of target-days")
            .draw()?;
        chart.draw_series(LineSeries::new(rates, BLACK.stroke_width(2)))?;
        area.present()
    })();
    result.map_err(|error| eyre!("drawing the chart {}: {error}", file.display()))
}
