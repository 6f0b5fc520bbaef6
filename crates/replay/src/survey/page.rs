//! Renders a survey as an HTML page and as text.

use super::{Row, Summary, draw};
use crate::baseline::Policy;
use minijinja::Environment;
use plotters::prelude::*;
use serde_json::json;
use std::fmt::Write;

const PAGE: &str = include_str!("../survey.html");
const SIZE: (u32, u32) = (960, 300);

type BoxError = Box<dyn std::error::Error>;

/// Renders a survey as text: the summary, the groups by trait, and the worst deployments.
pub fn render_text(rows: &[Row], s: &Summary) -> String {
    let mut out = String::new();
    write_policies(&mut out, s);
    write_traits(&mut out, s);
    let _ = writeln!(out, "\nworst:");
    for row in worst_rows(rows, s) {
        write_row(&mut out, row);
    }
    out
}

fn worst_rows<'a>(rows: &'a [Row], s: &'a Summary) -> impl Iterator<Item = &'a Row> {
    let numbers = s.worst.iter();
    numbers.filter_map(|n| rows.iter().find(|row| row.number == *n))
}

fn write_policies(out: &mut String, s: &Summary) {
    let percent = |n: usize| 100.0 * n as f64 / s.count.max(1) as f64;
    let _ = writeln!(
        out,
        "{} deployments: the module is ahead of every policy that knows no more on {} ({:.0}%; for sure {}), behind on {} \
         (for sure {})",
        s.count,
        s.ahead[0],
        percent(s.ahead[0]),
        s.ahead[1],
        s.behind[0],
        s.behind[1]
    );
    let _ = writeln!(out, "\n{:14} {:>8} {:>12}", "policy", "mean", "broke rules");
    for (policy, mean) in &s.means {
        let (name, broke) = (policy.name(), s.broke.get(policy).unwrap_or(&0));
        let _ = writeln!(out, "{name:14} {mean:8.4} {broke:12}");
    }
}

fn write_traits(out: &mut String, s: &Summary) {
    let _ = writeln!(
        out,
        "\n{:24} {:>6} {:>10} {:>8}",
        "deployments with", "count", "mean by", "behind"
    );
    for (name, (count, by, behind)) in &s.traits {
        let _ = writeln!(out, "{name:24} {count:6} {by:+10.4} {behind:8}");
    }
}

fn write_row(out: &mut String, row: &Row) {
    let Some(comparison) = row.compare_with_best() else {
        return;
    };
    let [low, high] = comparison.interval;
    let _ = writeln!(
        out,
        "{:5} {:+.4} ({low:+.4} to {high:+.4}) against {}: module {:.4}; {}",
        row.number,
        comparison.difference,
        comparison.best.name(),
        row.played[&Policy::Module].mean(),
        row.traits.join(", ")
    );
}

/// Renders a survey as one self-contained HTML page.
///
/// # Errors
/// A plot cannot be drawn, or the template cannot be rendered.
pub fn render_html(title: &str, rows: &[Row], s: &Summary) -> Result<String, BoxError> {
    let mut sorted: Vec<_> = rows
        .iter()
        .filter_map(|r| Some((r.number, r.compare_with_best()?)))
        .collect();
    sorted.sort_by(|a, b| a.1.difference.total_cmp(&b.1.difference));
    let differences = plot_differences(
        &sorted
            .iter()
            .map(|(_, a)| (a.difference, a.interval))
            .collect::<Vec<_>>(),
    )?;
    let service_metric = |r: &Row, policy| r.played.get(&policy).map(super::PolicyResult::mean);
    let points: Vec<(f64, f64)> = rows
        .iter()
        .filter_map(|r| {
            Some((
                service_metric(r, Policy::AllKnowing)?,
                service_metric(r, Policy::Module)?,
            ))
        })
        .collect();
    let scatter = plot_scatter(&points)?;
    let worst: Vec<_> = worst_rows(rows, s)
        .map(|r| {
            let played: Vec<_> = r
                .played
                .iter()
                .map(|(policy, result)| json!({"name": policy.name(), "mean": result.mean(), "shares": result.shares, "breaches": result.breaches}))
                .collect();
            json!({"number": r.number, "traits": r.traits, "against": r.compare_with_best(), "played": played})
        })
        .collect();
    let means: Vec<_> = s
        .means
        .iter()
        .map(|(p, m)| json!({"name": p.name(), "mean": m, "broke": s.broke.get(p)}))
        .collect();
    let data = json!({"title": title, "summary": s, "means": means, "differences": differences,
        "scatter": scatter, "worst": worst});
    let mut env = Environment::new();
    env.add_template("survey.html", PAGE)?;
    Ok(env
        .get_template("survey.html")?
        .render(minijinja::Value::from(minijinja::value::Serde(data)))?)
}

/// The scenario of a deployment as JSON, for a replay of that deployment alone.
///
/// # Errors
/// The scenario cannot be serialised.
pub fn scenario_json(seed: u64, number: u64) -> Result<String, BoxError> {
    Ok(serde_json::to_string_pretty(&draw::deployment(
        seed, number,
    ))?)
}

/// Plots the differences in ascending order, each with its interval, as SVG.
fn plot_differences(values: &[(f64, [f64; 2])]) -> Result<String, BoxError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let limit = values.iter().map(|d| d.0.abs()).fold(0.05, f64::max) * 1.2;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..values.len().max(1) as f64, -limit..limit)?;
        chart
            .configure_mesh()
            .x_desc("deployments, in order")
            .light_line_style(RGBColor(238, 238, 238))
            .draw()?;
        let clip = |y: f64| y.clamp(-limit, limit);
        chart.draw_series(values.iter().enumerate().map(|(n, (_, [low, high]))| {
            let x = n as f64 + 0.5;
            PathElement::new([(x, clip(*low)), (x, clip(*high))], RGBColor(190, 205, 225))
        }))?;
        chart.draw_series(values.iter().enumerate().map(|(n, (difference, _))| {
            let colour = if *difference < 0.0 {
                RGBColor(200, 90, 20)
            } else {
                RGBColor(31, 90, 150)
            };
            Circle::new((n as f64 + 0.5, *difference), 2, colour.filled())
        }))?;
        area.present()?;
    }
    Ok(svg)
}

/// Plots the service metric of the module over that of the all-knowing policy, as SVG.
fn plot_scatter(points: &[(f64, f64)]) -> Result<String, BoxError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (420, 420)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..1.0, 0.0..1.0)?;
        let light = RGBColor(238, 238, 238);
        chart
            .configure_mesh()
            .x_desc("all-knowing")
            .y_desc("module")
            .light_line_style(light)
            .draw()?;
        chart.draw_series(LineSeries::new([(0.0, 0.0), (1.0, 1.0)], BLACK.mix(0.3)))?;
        let inside = |v: f64| v.clamp(0.0, 1.0);
        let dots = points.iter().map(|p| {
            Circle::new(
                (inside(p.0), inside(p.1)),
                2,
                RGBColor(31, 90, 150).filled(),
            )
        });
        chart.draw_series(dots)?;
        area.present()?;
    }
    Ok(svg)
}
