//! Draws the service-level burn.

use plotters::prelude::*;

use super::budget::{BurnReport, BurnRow};
use super::burn::{HISTORY_INTERVAL, SloCount};
use crate::error::{Error, Result};

/// The size of a plot, in pixels.
const SIZE: (u32, u32) = (960, 540);

/// The most lines of a plot; those that burned the most are drawn.
const MAX_LINES: usize = 8;

/// The least height of the axis of burn rates.
const MIN_RATE_SHOWN: f64 = 2.0;

/// Draws the burn rates of the last hours as an SVG file's text.
///
/// # Errors
///
/// Returns an error where the plot cannot be drawn.
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
    rows.sort_by(|a, b| total_rate(b).total_cmp(&total_rate(a)));
    rows.truncate(MAX_LINES);
    let mut svg = String::new();
    let drawn = draw(&rows, SVGBackend::with_string(&mut svg, SIZE));
    drawn.map_err(|error| Error::Other(format!("plot: {error}")))?;
    Ok(svg)
}

fn draw(
    rows: &[&BurnRow],
    backend: SVGBackend<'_>,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let lines: Vec<Vec<(f64, f64)>> = rows.iter().map(|row| points(row)).collect();
    let points = lines.iter().flatten();
    let highest = points.map(|(_, rate)| *rate).fold(MIN_RATE_SHOWN, f64::max);
    let buckets = rows.iter().map(|row| row.history.len()).max().unwrap_or(1);
    let hours = HISTORY_INTERVAL.as_secs_f64() * buckets as f64 / 3_600.0;

    let area = backend.into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Service-level burn rate", ("sans-serif", 22))
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d(-hours..0.0, 0.0..highest * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("hours before now")
        .y_desc("burn rate (1 uses the whole budget)")
        .draw()?;
    let limit = [(-hours, 1.0), (0.0, 1.0)];
    chart.draw_series(LineSeries::new(limit, BLACK.mix(0.4)))?;
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

/// The burn rate of each bucket in which there was work, by hours before now.
fn points(row: &BurnRow) -> Vec<(f64, f64)> {
    let step_h = HISTORY_INTERVAL.as_secs_f64() / 3_600.0;
    let buckets = row.history.iter().enumerate().rev();
    buckets
        .filter_map(|(age, count)| {
            let rate = count.bad_share()? / (1.0 - row.target);
            Some((-(age as f64) * step_h, rate))
        })
        .collect()
}

/// The burn rate over the whole plot.
fn total_rate(row: &BurnRow) -> f64 {
    let sum = row
        .history
        .iter()
        .copied()
        .fold(SloCount::default(), SloCount::plus);
    sum.bad_share().unwrap_or(0.0) / (1.0 - row.target)
}
