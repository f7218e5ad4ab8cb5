//! SVG of one run, or of two laid over each other.

use crate::attempts::{OUTCOMES, Outcome};
use crate::series::{Series, Sums};
use plotters::coord::ranged1d::{AsRangedCoord, ValueFormatter};
use plotters::prelude::*;
use std::path::{Path, PathBuf};

const SIZE: (u32, u32) = (960, 540);
/// The first run is blue, the second one red.
const RUNS: [RGBColor; 2] = [RGBColor(31, 92, 171), RGBColor(196, 56, 42)];
/// Latencies over time, the palest first.
const SHADES: [(f64, &str); 3] = [(0.5, "p50"), (0.99, "p99"), (1.0, "max")];

#[derive(Debug, thiserror::Error)]
#[error("{0}: {1}")]
pub struct Fault(PathBuf, String);

type Draw = fn(&[Series], &Path) -> Result<(), String>;

/// Draws the three pictures; tells their files.
///
/// # Errors
/// A file can't be written.
pub fn plot(runs: &[Series], folder: &Path) -> Result<Vec<PathBuf>, Fault> {
    let pictures: [(&str, Draw); 3] = [
        ("percentiles.svg", percentiles),
        ("latency.svg", over_time),
        ("outcomes.svg", outcomes),
    ];
    let draw = |(name, draw): (&str, Draw)| {
        let place = folder.join(name);
        draw(runs, &place).map_err(|e| Fault(place.clone(), e))?;
        Ok(place)
    };
    pictures.into_iter().map(draw).collect()
}

fn told<E: std::fmt::Display>(e: E) -> String {
    e.to_string()
}

/// The axes of a picture, drawn; lines come after.
struct Frame<'a> {
    title: &'a str,
    x: &'a str,
    y: &'a str,
}

type Chart<'a, 'b, X, Y> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<X, Y>>;

fn area<'b>(
    place: &'b Path,
) -> Result<DrawingArea<SVGBackend<'b>, plotters::coord::Shift>, String> {
    let area = SVGBackend::new(place, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(told)?;
    Ok(area)
}

fn frame<'a, 'b, X, Y>(
    area: &'a DrawingArea<SVGBackend<'b>, plotters::coord::Shift>,
    of: &Frame<'_>,
    x: X,
    y: Y,
    ticks: &dyn Fn(&f64) -> String,
) -> Result<Chart<'a, 'b, X::CoordDescType, Y::CoordDescType>, String>
where
    X: AsRangedCoord<Value = f64>,
    Y: AsRangedCoord<Value = f64>,
    X::CoordDescType: ValueFormatter<f64> + Ranged<ValueType = f64>,
    Y::CoordDescType: ValueFormatter<f64> + Ranged<ValueType = f64>,
{
    let mut chart = ChartBuilder::on(area)
        .caption(of.title, ("sans-serif", 20))
        .margin(16)
        .x_label_area_size(44)
        .y_label_area_size(72)
        .build_cartesian_2d(x, y)
        .map_err(told)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(of.x)
        .y_desc(of.y)
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.12));
    mesh.x_label_formatter(ticks).draw().map_err(told)?;
    Ok(chart)
}

/// Where names of lines stand.
macro_rules! legend {
    ($chart:expr) => {
        $chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(told)
    };
}

fn seconds(at: &f64) -> String {
    format!("{at:.0}")
}

/// The longest and the shortest latency of all runs, as a range that holds both.
fn range(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let (low, high) = values.fold((f64::MAX, 0f64), |(low, high), value| {
        (low.min(value), high.max(value))
    });
    if high <= 0.0 {
        (0.1, 1.0)
    } else {
        (low.max(0.001) * 0.8, high * 1.3)
    }
}

fn percentiles(runs: &[Series], place: &Path) -> Result<(), String> {
    let sums: Vec<Sums> = runs.iter().map(Series::sums).collect();
    let most = sums.iter().map(|sums| sums.all).max().unwrap_or(1).max(10) as f64;
    let area = area(place)?;
    // So many statements in one are slower: 10 is the 90th percentile.
    let line = |sums: &Sums| -> Vec<(f64, f64)> {
        let steps = (most.log10() * 40.0).ceil() as usize;
        let of = (0..=steps).map(|step| 10f64.powf(step as f64 / 40.0));
        of.filter(|of| *of <= sums.all as f64 * 1.001)
            .filter_map(|of| Some((of, sums.quantile(1.0 - 1.0 / of)?)))
            .collect()
    };
    let lines: Vec<_> = sums.iter().map(line).collect();
    let (low, high) = range(lines.iter().flatten().map(|(_, ms)| *ms));
    let of = Frame {
        title: "Latency by percentile, from when each statement was due",
        x: "percentile",
        y: "milliseconds",
    };
    let percent = |of: &f64| {
        let percent = 100.0 - 100.0 / of;
        let digits = (of.log10().round() as usize).saturating_sub(2);
        format!("{percent:.digits$} %")
    };
    let mut chart = frame(
        &area,
        &of,
        (1.0..most).log_scale(),
        (low..high).log_scale(),
        &percent,
    )?;
    for ((run, points), colour) in runs.iter().zip(lines).zip(RUNS) {
        let drawn = chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))
            .map_err(told)?;
        drawn
            .label(&run.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    legend!(chart)?;
    area.present().map_err(told)
}

/// The end of the longest run, in seconds.
fn length(runs: &[Series]) -> f64 {
    runs.iter()
        .map(|run| run.windows.len() as f64 * run.window_s)
        .fold(1.0, f64::max)
}

fn over_time(runs: &[Series], place: &Path) -> Result<(), String> {
    let of_run = |run: &Series, quantile: f64| -> Vec<(f64, f64)> {
        let at = |(i, window): (usize, &crate::series::Window)| {
            let mut sums = Sums::default();
            window.latency.add_to(&mut sums);
            Some(((i as f64 + 0.5) * run.window_s, sums.quantile(quantile)?))
        };
        run.windows.iter().enumerate().filter_map(at).collect()
    };
    let lines: Vec<Vec<_>> = runs
        .iter()
        .map(|run| {
            SHADES
                .iter()
                .map(|(quantile, _)| of_run(run, *quantile))
                .collect()
        })
        .collect();
    let (low, high) = range(lines.iter().flatten().flatten().map(|(_, ms)| *ms));
    let area = area(place)?;
    let of = Frame {
        title: "Latency by the time at which statements were due",
        x: "seconds since the start",
        y: "milliseconds",
    };
    let mut chart = frame(
        &area,
        &of,
        0.0..length(runs),
        (low..high).log_scale(),
        &seconds,
    )?;
    for ((run, lines), colour) in runs.iter().zip(lines).zip(RUNS) {
        for ((points, (_, name)), strength) in lines.into_iter().zip(SHADES).zip([0.35, 0.65, 1.0])
        {
            let style = colour.mix(strength);
            let drawn = chart
                .draw_series(LineSeries::new(points, style.stroke_width(2)))
                .map_err(told)?;
            drawn
                .label(format!("{} {name}", run.name))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
        }
    }
    legend!(chart)?;
    area.present().map_err(told)
}

fn colour(outcome: Outcome) -> RGBColor {
    match outcome {
        Outcome::Completed => RGBColor(46, 125, 50),
        Outcome::Late => RGBColor(158, 157, 36),
        Outcome::Rejected => RGBColor(239, 108, 0),
        Outcome::Aborted => RGBColor(198, 40, 40),
        Outcome::TimedOut => RGBColor(106, 27, 154),
        Outcome::Unsent => RGBColor(69, 90, 100),
    }
}

fn outcomes(runs: &[Series], place: &Path) -> Result<(), String> {
    let per_s = |run: &Series, outcome: Outcome| -> Vec<(f64, f64)> {
        let at = |(i, window): (usize, &crate::series::Window)| {
            (
                (i as f64 + 0.5) * run.window_s,
                window.outcomes[outcome as usize] as f64 / run.window_s,
            )
        };
        run.windows.iter().enumerate().map(at).collect()
    };
    let most = runs
        .iter()
        .flat_map(|run| run.windows.iter().map(|w| w.all() as f64 / run.window_s));
    let most = most.fold(1.0, f64::max);
    let area = area(place)?;
    let of = Frame {
        title: "Outcomes by the time at which statements were due",
        x: "seconds since the start",
        y: "statements a second",
    };
    let mut chart = frame(&area, &of, 0.0..length(runs), 0.0..most * 1.15, &seconds)?;
    for (place, run) in runs.iter().enumerate() {
        for outcome in OUTCOMES {
            let points = per_s(run, outcome);
            if points.iter().all(|(_, rate)| *rate == 0.0) {
                continue;
            }
            // The second run's lines are thin and broken.
            let colour = colour(outcome);
            let label = format!("{} {}", run.name, outcome.name());
            let legend =
                move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2));
            if place == 0 {
                let line = LineSeries::new(points, colour.stroke_width(2));
                chart
                    .draw_series(line)
                    .map_err(told)?
                    .label(label)
                    .legend(legend);
            } else {
                let line = DashedLineSeries::new(points, 6, 4, colour.stroke_width(1));
                chart
                    .draw_series(line)
                    .map_err(told)?
                    .label(label)
                    .legend(legend);
            }
        }
    }
    legend!(chart)?;
    area.present().map_err(told)
}
