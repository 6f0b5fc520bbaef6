//! Reports: one self-contained HTML page, with plots as SVG.

use crate::compare::Comparison;
use crate::scenario::{FaultKind, Scenario};
use crate::virtual_time::Run;
use minijinja::Environment;
use plotters::prelude::*;
use serde_json::json;
use std::ops::Range;

const PAGE: &str = include_str!("report.html");
const SIZE: (u32, u32) = (960, 260);
/// Seconds that one point of a plot stands for, so that an hour is drawn in some hundreds.
const POINTS: usize = 360;
const COLOURS: [RGBColor; 4] = [
    RGBColor(31, 90, 150),
    RGBColor(200, 90, 20),
    RGBColor(40, 130, 70),
    RGBColor(150, 40, 90),
];

type Bad = Box<dyn std::error::Error>;

/// A line of a plot.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// The page for one run, or for two that are compared.
///
/// # Errors
/// A plot cannot be drawn.
pub fn page(
    scenario: &Scenario,
    title: &str,
    runs: &[(&str, &Run)],
    comparison: Option<&Comparison>,
) -> Result<String, Bad> {
    let mut plots = Vec::new();
    let seconds = runs
        .iter()
        .map(|(_, r)| r.outcome.seconds.len())
        .max()
        .unwrap_or(0);
    let step = seconds.div_ceil(POINTS).max(1);
    let series = |of: &dyn Fn(&[crate::service::Second]) -> f64| -> Vec<Line> {
        let line = |(name, run): &(&str, &Run)| {
            let chunks = run.outcome.seconds.chunks(step).enumerate();
            Line {
                name: name.to_string(),
                points: chunks.map(|(n, c)| ((n * step) as f64, of(c))).collect(),
            }
        };
        runs.iter().map(line).collect()
    };
    let sum = |c: &[crate::service::Second], of: &dyn Fn(&crate::service::Second) -> f64| {
        c.iter().map(of).sum::<f64>()
    };
    let earned = series(&|c| {
        let offered = sum(c, &|s| s.offered);
        if offered > 0.0 {
            sum(c, &|s| s.earned) / offered
        } else {
            1.0
        }
    });
    let marks = marks(scenario);
    plots.push((
        "Share of the worth earned",
        chart(&earned, Some(0.0..1.02), &marks)?,
    ));
    let rate = series(&|c| sum(c, &|s| f64::from(s.first)) / c.len() as f64);
    plots.push(("First tries a second", chart(&rate, None, &marks)?));
    let refused = series(&|c| sum(c, &|s| f64::from(s.ends[2])) / c.len() as f64);
    plots.push((
        "Jobs refused for good, a second",
        chart(&refused, None, &marks)?,
    ));
    let retries = series(&|c| sum(c, &|s| f64::from(s.retries)) / c.len() as f64);
    plots.push(("Clients' retries a second", chart(&retries, None, &marks)?));
    let took = series(&|c| {
        let served = sum(c, &|s| f64::from(s.ends[0] + s.ends[1]));
        if served > 0.0 {
            sum(c, &|s| s.took_ms) / served
        } else {
            0.0
        }
    });
    plots.push(("Mean time to the answer, ms", chart(&took, None, &marks)?));
    for (name, run) in runs {
        plots.push(("Jobs begun at each job worker", heat(run, name, step)?));
    }
    let latency: Vec<_> = runs
        .iter()
        .flat_map(|(name, run)| {
            run.outcome
                .latency
                .iter()
                .map(move |(of, row)| (name.to_string(), of.clone(), *row))
        })
        .collect();
    let mut env = Environment::new();
    env.add_template("page.html", PAGE)?;
    let faults: Vec<String> = scenario.faults.iter().map(fault).collect();
    let data = json!({
        "title": title, "troubles": faults, "plots": plots, "latency": latency, "comparison": comparison,
        "scenario": {"name": scenario.name, "schedulers": scenario.schedulers, "workers": scenario.workers()},
        "runs": runs.iter().map(|(name, run)| json!({
            "name": name, "outcome": summary(&run.outcome), "verdict": run.verdict, "kept": run.verdict.kept()
        })).collect::<Vec<_>>(),
    });
    let text = env
        .get_template("page.html")?
        .render(minijinja::Value::from(minijinja::value::Serde(data)))?;
    Ok(text)
}

/// An outcome without its seconds, which the plots show.
fn summary(outcome: &crate::service::Outcome) -> crate::service::Outcome {
    crate::service::Outcome {
        seconds: Vec::new(),
        ..outcome.clone()
    }
}

fn fault(t: &crate::scenario::Fault) -> String {
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

/// Where troubles and jumps lie in time.
fn marks(scenario: &Scenario) -> Vec<Range<f64>> {
    let faults = scenario.faults.iter().map(|t| t.at_s..t.at_s + t.for_s);
    faults
        .chain(scenario.load.jumps.iter().map(|j| j.at_s..j.at_s + j.for_s))
        .collect()
}

fn chart(lines: &[Line], range: Option<Range<f64>>, marks: &[Range<f64>]) -> Result<String, Bad> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let end = lines
            .iter()
            .filter_map(|l| l.points.last())
            .map(|p| p.0)
            .fold(1.0, f64::max);
        let top = lines
            .iter()
            .flat_map(|l| &l.points)
            .map(|p| p.1)
            .fold(0.0, f64::max);
        let range = range.unwrap_or(0.0..(top * 1.1).max(1.0));
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..end, range.clone())?;
        chart.draw_series(marks.iter().map(|m| {
            let to = m.end.max(m.start + end / 400.0).min(end);
            Rectangle::new(
                [(m.start, range.start), (to, range.end)],
                RGBColor(255, 225, 190).filled(),
            )
        }))?;
        chart
            .configure_mesh()
            .x_desc("s")
            .light_line_style(RGBColor(238, 238, 238))
            .draw()?;
        for (n, line) in lines.iter().enumerate() {
            let colour = COLOURS[n % COLOURS.len()];
            let drawn = chart.draw_series(LineSeries::new(
                line.points.iter().copied(),
                colour.stroke_width(1),
            ))?;
            drawn
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
    }
    Ok(svg)
}

/// Jobs begun, by job worker and time: the darker, the more.
fn heat(run: &Run, name: &str, step: usize) -> Result<String, Bad> {
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
