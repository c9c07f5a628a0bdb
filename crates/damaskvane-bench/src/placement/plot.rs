//! The table as a picture: worth over load, a line for each policy.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, WHITE,
};

use crate::error::BenchError;
use crate::placement::policy::Policy;
use crate::placement::report::Row;

const SIZE_PIXELS: (u32, u32) = (900, 540);
const MARGIN_PIXELS: u32 = 40;

/// Draws the lines of one pattern of load into an SVG file.
pub(super) fn draw(file: &Path, pattern: &str, rows: &[Row]) -> Result<(), BenchError> {
    let drawn = draw_lines(file, pattern, rows);
    drawn.map_err(|cause| BenchError::File {
        what: file.display().to_string(),
        cause: cause.to_string(),
    })
}

fn draw_lines(file: &Path, pattern: &str, rows: &[Row]) -> Result<(), Box<dyn core::error::Error>> {
    let rows: Vec<&Row> = rows.iter().filter(|row| row.pattern == pattern).collect();
    let loads = rows.iter().map(|row| row.load_percent);
    let (least, most) = (loads.clone().min(), loads.max());
    let (least, most) = (least.unwrap_or(0), most.unwrap_or(100));
    let area = SVGBackend::new(file, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN_PIXELS / 2)
        .caption(format!("worth earned, {pattern}"), ("sans-serif", 18))
        .x_label_area_size(MARGIN_PIXELS)
        .y_label_area_size(MARGIN_PIXELS)
        .build_cartesian_2d(least..most.max(least + 1), 0.0..100.0)?;
    chart
        .configure_mesh()
        .x_desc("requests, % of a calm day")
        .y_desc("worth, %")
        .draw()?;
    for (number, policy) in Policy::ALL.into_iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let name = policy.to_string();
        let points = rows
            .iter()
            .filter(|row| row.policy == name)
            .map(|row| (row.load_percent, row.worth.mean));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
