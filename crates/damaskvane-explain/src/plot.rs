//! SVG plots of counts over time, as stacked bars.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, Palette, Palette99, Rectangle, SVGBackend, WHITE,
};

const SIZE_PIXELS: (u32, u32) = (1_100, 560);
const MARGIN_PIXELS: u32 = 40;
const LEGEND_PIXELS: i32 = 12;
/// Width of the bar in seconds if the plot has only one bar.
const SINGLE_BAR_WIDTH_S: u64 = 2;

/// Counts by the start of the bar in seconds, and by the name of the bar's segment.
pub(super) type Stacks = BTreeMap<u64, BTreeMap<String, u64>>;

/// cannot write the plot to {file}: {cause}; give a path in a writable directory
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct PlotError {
    file: String,
    cause: String,
}

/// Draws the stacked bars into an SVG file.
pub(super) fn draw(
    file: &Path,
    caption: &str,
    y_label: &str,
    stacks: &Stacks,
) -> Result<(), PlotError> {
    draw_bars(file, caption, y_label, stacks).map_err(|cause| PlotError {
        file: file.display().to_string(),
        cause: cause.to_string(),
    })
}

fn draw_bars(
    file: &Path,
    caption: &str,
    y_label: &str,
    stacks: &Stacks,
) -> Result<(), Box<dyn core::error::Error>> {
    let starts: Vec<u64> = stacks.keys().copied().collect();
    let widths = starts.windows(2).map(|pair| pair[1] - pair[0]);
    let width_s = widths.min().unwrap_or(SINGLE_BAR_WIDTH_S);
    let end_s = starts.last().map_or(width_s, |last| last + width_s);
    let sums = stacks.values().map(|names| names.values().sum::<u64>());
    let max_sum = sums.max().unwrap_or(1);
    let mut names: Vec<&String> = stacks.values().flat_map(BTreeMap::keys).collect();
    names.sort_unstable();
    names.dedup();
    let area = SVGBackend::new(file, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN_PIXELS / 2)
        .caption(caption, ("sans-serif", 18))
        .x_label_area_size(MARGIN_PIXELS)
        .y_label_area_size(MARGIN_PIXELS)
        .build_cartesian_2d(0..end_s, 0..max_sum)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc(y_label)
        .draw()?;
    for (number, name) in names.into_iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let bars = stacks.iter().filter_map(|(from_s, counts)| {
            let count = counts.get(name).copied()?;
            let bottom: u64 = counts
                .range::<String, _>(..name)
                .map(|(_, count)| count)
                .sum();
            let corners = [(*from_s, bottom), (from_s + width_s, bottom + count)];
            Some(Rectangle::new(corners, colour.filled()))
        });
        chart
            .draw_series(bars)?
            .label(name.as_str())
            .legend(move |(x, y)| {
                let corners = [
                    (x, y - LEGEND_PIXELS / 2),
                    (x + LEGEND_PIXELS, y + LEGEND_PIXELS / 2),
                ];
                Rectangle::new(corners, colour.filled())
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
