//! A summary as a self-contained SVG chart.

use std::path::Path;

use anyhow::anyhow;
use plotters::{
    coord::Shift,
    prelude::{
        BLACK, BLUE, CYAN, ChartBuilder, Color, DrawingArea, GREEN, IntoDrawingArea, IntoFont,
        MAGENTA, PathElement, RED, RGBColor, SVGBackend, WHITE, YELLOW,
    },
    series::LineSeries,
};

use super::{LoadOutcome, LoadSummary, SecondSummary};

const WIDTH_PX: u32 = 1_000;
const HEIGHT_PX: u32 = 800;
const ORANGE: RGBColor = RGBColor(230, 130, 0);

type Panel<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A line of a panel. Its points are seconds of the run and values.
struct Line {
    name: &'static str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Writes the latencies, and the rates of outcomes, over time into an SVG file.
pub fn write_chart(summary: &LoadSummary, title: &str, file: &Path) -> anyhow::Result<()> {
    let backend = SVGBackend::new(file, (WIDTH_PX, HEIGHT_PX));
    draw(summary, title, &backend.into_drawing_area())
        .map_err(|it| anyhow!("cannot write {}: {it}", file.display()))
}

fn draw(
    summary: &LoadSummary,
    title: &str,
    area: &Panel<'_>,
) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(HEIGHT_PX / 2);
    let latencies = vec![
        latency_line(summary, "p50", GREEN, 50.0),
        latency_line(summary, "p99", BLUE, 99.0),
        latency_line(summary, "p99.9", RED, 99.9),
    ];
    draw_panel(&upper, &format!("{title}: latency of requests that ran, ms"), &latencies)?;
    let outcomes: Vec<Line> =
        LoadOutcome::ALL.into_iter().map(|it| outcome_line(summary, it)).collect();
    draw_panel(&lower, "requests per second, by outcome", &outcomes)?;
    area.present()?;
    Ok(())
}

fn latency_line(
    summary: &LoadSummary,
    name: &'static str,
    color: RGBColor,
    percentile: f64,
) -> Line {
    let points = points(summary, |it| it.ran_latency_ms(percentile));
    Line { name, color, points }
}

fn outcome_line(summary: &LoadSummary, outcome: LoadOutcome) -> Line {
    let color = match outcome {
        LoadOutcome::Ran => GREEN,
        LoadOutcome::Failed => CYAN,
        LoadOutcome::NotRun => ORANGE,
        LoadOutcome::Unknown => MAGENTA,
        LoadOutcome::NoAnswer => RED,
        LoadOutcome::Wrong => BLACK,
        LoadOutcome::Denied => YELLOW,
    };
    let points = points(summary, |it| it.count(outcome) as f64);
    Line { name: outcome.name(), color, points }
}

/// Returns one point per second. Seconds without a value are left out.
fn points(summary: &LoadSummary, value: impl Fn(&SecondSummary) -> f64) -> Vec<(f64, f64)> {
    let mut points = Vec::with_capacity(summary.seconds.len());
    for (second, summary) in summary.seconds.iter().enumerate() {
        let value = value(summary);
        if value.is_finite() {
            points.push((second as f64, value));
        }
    }
    points
}

fn draw_panel(
    panel: &Panel<'_>,
    title: &str,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let all = || lines.iter().flat_map(|it| it.points.iter());
    let last = all().map(|it| it.0).fold(1.0, f64::max);
    let highest = all().map(|it| it.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(panel)
        .caption(title, ("sans-serif", 20).into_font())
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..last, 0.0..highest * 1.05)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for line in lines {
        let color = line.color;
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), &color))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}
