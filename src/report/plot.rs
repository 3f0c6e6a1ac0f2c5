//! Plots of burn rates.

use plotters::prelude::*;

use super::budget::{BurnReport, BurnRow};
use super::slo_tracker::{HISTORY_INTERVAL, SloCount};
use crate::error::{Error, Result};

/// The width and height of a plot.
const SIZE_PX: (u32, u32) = (960, 540);

/// The maximum number of lines in a plot; rows with lower burn rates are left out.
const MAX_LINES: usize = 8;

/// The smallest upper end of the burn-rate axis.
const MIN_AXIS_END: f64 = 2.0;

/// Plots the burn rates of the last hours and returns the SVG document.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn.
///
/// # Examples
///
/// ```
/// use chestnutlug::report::{BurnReport, burn_svg};
///
/// let svg = burn_svg(&BurnReport::default()).unwrap();
/// assert!(svg.starts_with("<svg"));
/// ```
pub fn burn_svg(report: &BurnReport) -> Result<String> {
    let mut rows: Vec<&BurnRow> = report.rows.iter().collect();
    rows.sort_by(|a, b| overall_rate(b).total_cmp(&overall_rate(a)));
    rows.truncate(MAX_LINES);
    let mut svg = String::new();
    let drawn = draw(&rows, SVGBackend::with_string(&mut svg, SIZE_PX));
    drawn.map_err(|error| Error::Other(format!("cannot draw the burn-rate plot: {error}")))?;
    Ok(svg)
}

fn draw(
    rows: &[&BurnRow],
    backend: SVGBackend<'_>,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let lines: Vec<Vec<(f64, f64)>> = rows.iter().map(|row| line_points(row)).collect();
    let points = lines.iter().flatten();
    let max_rate = points.map(|(_, rate)| *rate).fold(MIN_AXIS_END, f64::max);
    let buckets = rows.iter().map(|row| row.history.len()).max().unwrap_or(1);
    let hours = HISTORY_INTERVAL.as_secs_f64() * buckets as f64 / 3_600.0;

    let area = backend.into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Service-level burn rate", ("sans-serif", 22))
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d(-hours..0.0, 0.0..max_rate * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("hours before now")
        .y_desc("burn rate (1 uses the whole budget)")
        .draw()?;
    let sustainable = [(-hours, 1.0), (0.0, 1.0)];
    chart.draw_series(LineSeries::new(sustainable, BLACK.mix(0.4)))?;
    for (i, (row, line)) in rows.iter().zip(lines).enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)))?
            .label(format!("{} / {}", row.team, row.kind))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    if !rows.is_empty() {
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
    }
    area.present()?;
    Ok(())
}

/// Pairs of time, in hours relative to now, and burn rate, for all buckets that are not empty.
fn line_points(row: &BurnRow) -> Vec<(f64, f64)> {
    let interval_h = HISTORY_INTERVAL.as_secs_f64() / 3_600.0;
    let buckets = row.history.iter().enumerate().rev();
    buckets
        .filter_map(|(age, count)| {
            let rate = count.bad_fraction()? / (1.0 - row.target);
            Some((-(age as f64) * interval_h, rate))
        })
        .collect()
}

/// The burn rate over the whole plotted time.
fn overall_rate(row: &BurnRow) -> f64 {
    let sum = row
        .history
        .iter()
        .copied()
        .fold(SloCount::default(), SloCount::plus);
    sum.bad_fraction().unwrap_or(0.0) / (1.0 - row.target)
}
