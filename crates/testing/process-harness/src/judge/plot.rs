//! SVG of a run's figures over time, another's laid over them.

use super::{Figures, Window};
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (960, 900);
const COLOURS: [RGBColor; 2] = [RGBColor(31, 92, 171), RGBColor(196, 56, 42)];

/// A panel's title, what it shows of a window, and the least height of its axis.
type Panel = (&'static str, fn(&Window) -> f64, f64);

const PANELS: [Panel; 3] = [
    (
        "Served share of the worth due, by 100 ms",
        |w| if w.due > 0.0 { w.served / w.due } else { 1.0 },
        1.0,
    ),
    (
        "Connections asked for in 100 ms, at the node with the most",
        |w| w.opened_most as f64,
        5.0,
    ),
    ("Probes in 100 ms, at all nodes", |w| w.probes as f64, 5.0),
];

/// Draws named runs over each other: the first blue, the second red.
///
/// # Errors
/// The file can't be written.
pub fn plot(runs: &[(&str, &Figures)], place: &Path) -> Result<(), String> {
    fn told(e: impl std::fmt::Display) -> String {
        e.to_string()
    }
    let area = SVGBackend::new(place, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(told)?;
    let length = runs
        .iter()
        .filter_map(|(_, f)| f.windows.last())
        .map(|w| w.at_ms / 1e3)
        .fold(1.0, f64::max);
    for (part, (title, value, least)) in area.split_evenly((PANELS.len(), 1)).iter().zip(PANELS) {
        let most = runs
            .iter()
            .flat_map(|(_, f)| f.windows.iter().map(value))
            .fold(least, f64::max);
        let mut chart = ChartBuilder::on(part)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..length, 0.0..most * 1.1)
            .map_err(told)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("seconds since the clients began")
            .light_line_style(WHITE)
            .draw()
            .map_err(told)?;
        for ((name, figures), colour) in runs.iter().zip(COLOURS) {
            let points = figures.windows.iter().map(|w| (w.at_ms / 1e3, value(w)));
            let line = LineSeries::new(points, colour.stroke_width(2));
            let legend = move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour);
            chart
                .draw_series(line)
                .map_err(told)?
                .label(*name)
                .legend(legend);
        }
        let mut labels = chart.configure_series_labels();
        labels
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(told)?;
    }
    area.present().map_err(told)
}
