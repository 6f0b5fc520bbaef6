//! Renders reports: a self-contained HTML page with SVG plots.

use crate::compare::Comparison;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::service::{Outcome, Second};
use crate::virtual_time::Run;
use minijinja::Environment;
use plotters::prelude::*;
use serde_json::json;
use std::ops::Range;

const PAGE: &str = include_str!("report.html");
const SIZE: (u32, u32) = (960, 260);
/// Greatest number of points of a line; longer runs are averaged in chunks of several seconds.
const POINTS: usize = 360;
const COLOURS: [RGBColor; 4] = [
    RGBColor(31, 90, 150),
    RGBColor(200, 90, 20),
    RGBColor(40, 130, 70),
    RGBColor(150, 40, 90),
];

type BoxError = Box<dyn std::error::Error>;

/// A named line of a plot; points are (second, value).
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

/// The seconds of the runs in chunks; each chunk is one point of a plot.
struct Chunks<'a> {
    runs: &'a [(&'a str, &'a Run)],
    /// Length of a chunk in seconds.
    step: usize,
}

impl<'a> Chunks<'a> {
    fn new(runs: &'a [(&'a str, &'a Run)]) -> Self {
        let seconds = runs.iter().map(|(_, run)| run.outcome.seconds.len()).max();
        let step = seconds.unwrap_or(0).div_ceil(POINTS).max(1);
        Chunks { runs, step }
    }

    /// Returns one series for each run, with the value of each chunk.
    fn series(&self, value: impl Fn(&[Second]) -> f64) -> Vec<Series> {
        let series = |(name, run): &(&str, &Run)| {
            let chunks = run.outcome.seconds.chunks(self.step).enumerate();
            Series {
                name: name.to_string(),
                points: chunks
                    .map(|(n, chunk)| ((n * self.step) as f64, value(chunk)))
                    .collect(),
            }
        };
        self.runs.iter().map(series).collect()
    }

    /// Returns one series for each run, with the mean per second of a count in each chunk.
    fn rates(&self, count: impl Fn(&Second) -> u32) -> Vec<Series> {
        self.series(|chunk| sum(chunk, |s| f64::from(count(s))) / chunk.len() as f64)
    }
}

fn sum(chunk: &[Second], value: impl Fn(&Second) -> f64) -> f64 {
    chunk.iter().map(value).sum()
}

/// Returns the fraction of the value earned in a chunk; 1 without jobs.
fn earned_fraction(chunk: &[Second]) -> f64 {
    let offered = sum(chunk, |s| s.offered);
    if offered > 0.0 {
        sum(chunk, |s| s.earned) / offered
    } else {
        1.0
    }
}

/// Returns the mean latency of served jobs in a chunk, in milliseconds; 0 without served jobs.
fn mean_time_ms(chunk: &[Second]) -> f64 {
    let served = sum(chunk, |s| f64::from(s.ends[0] + s.ends[1]));
    if served > 0.0 {
        sum(chunk, |s| s.took_ms) / served
    } else {
        0.0
    }
}

/// Draws all plots of a report. Returns the title and the SVG of each.
fn plots(
    scenario: &Scenario,
    runs: &[(&str, &Run)],
) -> Result<Vec<(&'static str, String)>, BoxError> {
    let chunks = Chunks::new(runs);
    let shaded = shaded_spans(scenario);
    let earned = chunks.series(earned_fraction);
    let arrivals = chunks.rates(|s| s.first);
    let refused = chunks.rates(|s| s.ends[2]);
    let retries = chunks.rates(|s| s.retries);
    let times = chunks.series(mean_time_ms);
    let full_range = Some(0.0..1.02);
    let mut plots = vec![
        (
            "Share of the worth earned",
            chart(&earned, full_range, &shaded)?,
        ),
        ("First tries a second", chart(&arrivals, None, &shaded)?),
        (
            "Jobs refused for good, a second",
            chart(&refused, None, &shaded)?,
        ),
        ("Clients' retries a second", chart(&retries, None, &shaded)?),
        ("Mean time to the answer, ms", chart(&times, None, &shaded)?),
    ];
    for (name, run) in runs {
        plots.push((
            "Jobs begun at each job worker",
            heat_map(run, name, chunks.step)?,
        ));
    }
    Ok(plots)
}

/// Renders the report of one run, or of two runs with their comparison.
///
/// # Errors
/// A plot cannot be drawn or the template cannot be rendered.
pub fn page(
    scenario: &Scenario,
    title: &str,
    runs: &[(&str, &Run)],
    comparison: Option<&Comparison>,
) -> Result<String, BoxError> {
    let plots = plots(scenario, runs)?;
    let latency: Vec<_> = runs
        .iter()
        .flat_map(|(name, run)| {
            let rows = run.outcome.latency.iter();
            rows.map(move |(of, row)| (name.to_string(), of.clone(), *row))
        })
        .collect();
    let faults: Vec<String> = scenario.faults.iter().map(describe_fault).collect();
    let data = json!({
        "title": title, "troubles": faults, "plots": plots, "latency": latency, "comparison": comparison,
        "scenario": {"name": scenario.name, "schedulers": scenario.schedulers, "workers": scenario.workers()},
        "runs": runs.iter().map(|(name, run)| json!({
            "name": name, "outcome": summary(&run.outcome), "verdict": run.verdict, "kept": run.verdict.kept()
        })).collect::<Vec<_>>(),
    });
    let mut env = Environment::new();
    env.add_template("page.html", PAGE)?;
    let text = env
        .get_template("page.html")?
        .render(minijinja::Value::from(minijinja::value::Serde(data)))?;
    Ok(text)
}

/// Returns an outcome without its seconds, which only the plots need.
fn summary(outcome: &Outcome) -> Outcome {
    Outcome {
        seconds: Vec::new(),
        ..outcome.clone()
    }
}

fn describe_fault(t: &Fault) -> String {
    let what = match &t.what {
        FaultKind::Hang => "hang: they take jobs and say nothing".to_string(),
        FaultKind::Pauses { ms, every_ms } => {
            format!("stand still for {ms} ms every {every_ms} ms")
        }
        FaultKind::Crash => "crash, and come back cold".into(),
        FaultKind::Drain => "drain, and come back cold".into(),
        FaultKind::Slow { times } => format!("run jobs {times} times as long"),
        FaultKind::HotThings { fraction, things } => {
            let percent = fraction * 100.0;
            return format!(
                "from {} s on, for {} s, {things} things draw {percent:.0}% of the jobs",
                t.at_s, t.for_s
            );
        }
    };
    format!(
        "from {} s on, for {} s, job workers {:?} {what}",
        t.at_s, t.for_s, t.workers
    )
}

/// Returns the time spans of faults and load jumps, in seconds, which the plots shade.
fn shaded_spans(scenario: &Scenario) -> Vec<Range<f64>> {
    let faults = scenario.faults.iter().map(|f| f.at_s..f.at_s + f.for_s);
    let jumps = scenario.load.jumps.iter();
    faults
        .chain(jumps.map(|j| j.at_s..j.at_s + j.for_s))
        .collect()
}

/// Draws lines over time as SVG. Without a `range`, the vertical axis goes from 0 to 10% above the greatest value, at
/// least to 1.
fn chart(
    lines: &[Series],
    range: Option<Range<f64>>,
    shaded: &[Range<f64>],
) -> Result<String, BoxError> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let last_points = lines.iter().filter_map(|l| l.points.last());
    let end = last_points.map(|p| p.0).fold(1.0, f64::max);
    let points = lines.iter().flat_map(|l| &l.points);
    let top = points.map(|p| p.1).fold(0.0, f64::max);
    let range = range.unwrap_or(0.0..(top * 1.1).max(1.0));
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..end, range.clone())?;
    chart.draw_series(shaded.iter().map(|span| {
        let to = span.end.max(span.start + end / 400.0).min(end);
        let corners = [(span.start, range.start), (to, range.end)];
        Rectangle::new(corners, RGBColor(255, 225, 190).filled())
    }))?;
    chart
        .configure_mesh()
        .x_desc("s")
        .light_line_style(RGBColor(238, 238, 238))
        .draw()?;
    for (n, line) in lines.iter().enumerate() {
        let colour = COLOURS[n % COLOURS.len()];
        let points = line.points.iter().copied();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(1)))?
            .label(line.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    if lines.len() > 1 {
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
    }
    area.present()?;
    drop(chart);
    drop(area);
    Ok(svg)
}

/// Draws the jobs started by each worker over time as SVG; darker cells are more jobs.
fn heat_map(run: &Run, name: &str, step: usize) -> Result<String, BoxError> {
    let mut svg = String::new();
    {
        let seconds = &run.outcome.seconds;
        let workers = seconds.first().map_or(0, |s| s.begun.len()).max(1);
        let area = SVGBackend::with_string(&mut svg, (SIZE.0, 60 + 16 * workers.min(40) as u32))
            .into_drawing_area();
        area.fill(&WHITE)?;
        let end = seconds.len().max(1) as f64;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .caption(name, ("sans-serif", 13))
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..end, 0.0..workers as f64)?;
        let cells: Vec<(f64, usize, f64)> = seconds
            .chunks(step)
            .enumerate()
            .flat_map(|(n, chunk)| {
                let count = move |w: usize| {
                    chunk
                        .iter()
                        .map(|s| f64::from(s.begun.get(w).copied().unwrap_or(0)))
                        .sum::<f64>()
                };
                (0..workers).map(move |w| ((n * step) as f64, w, count(w) / chunk.len() as f64))
            })
            .collect();
        let most = cells.iter().map(|c| c.2).fold(1e-9, f64::max);
        chart.configure_mesh().disable_mesh().x_desc("s").draw()?;
        chart.draw_series(cells.into_iter().map(|(t, w, count)| {
            let shade = 1.0 - count / most;
            let of = |low: f64| (low + (255.0 - low) * shade) as u8;
            let cell = [(t, w as f64), ((t + step as f64).min(end), w as f64 + 0.92)];
            Rectangle::new(cell, RGBColor(of(20.0), of(70.0), of(120.0)).filled())
        }))?;
        area.present()?;
    }
    Ok(svg)
}
