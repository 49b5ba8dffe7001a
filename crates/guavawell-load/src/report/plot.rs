//! The report as an SVG plot: latency percentiles and throughput over time.

use std::fmt::Write;

use super::LoadReport;
use super::duration_text;
use crate::measure::SeriesPoint;

/// Width of the picture.
const WIDTH: f64 = 900.0;
/// Height of one panel.
const PANEL: f64 = 220.0;
/// Room left of, right of and above each panel for its labels.
const MARGIN: f64 = 70.0;
/// Horizontal grid lines of a panel.
const GRID_LINES: u32 = 4;

/// One line of a panel.
struct PlotLine {
    name: &'static str,
    colour: &'static str,
    values: Vec<f64>,
}

/// One panel: lines over the same seconds and the same scale.
struct PlotPanel {
    title: &'static str,
    lines: Vec<PlotLine>,
    label: fn(f64) -> String,
}

/// The report's plot as a complete SVG document.
#[must_use]
pub fn plot_svg(report: &LoadReport) -> String {
    let panels = [latency_panel(&report.series), rate_panel(&report.series)];
    let height = panels.iter().fold(MARGIN, |sum, _| sum + PANEL + MARGIN);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"{WIDTH}\" height=\"{height}\" fill=\"white\"/>\n"
    );
    let seconds = report
        .series
        .last()
        .map_or(1, |point| point.second + point.width);
    for (index, panel) in panels.iter().enumerate() {
        #[expect(clippy::cast_precision_loss, reason = "two panels")]
        let top = MARGIN + index as f64 * (PANEL + MARGIN);
        draw_panel(&mut svg, panel, top, seconds);
    }
    svg.push_str("</svg>\n");
    svg
}

fn latency_panel(series: &[SeriesPoint]) -> PlotPanel {
    PlotPanel {
        title: "Latency of whole answers",
        lines: vec![
            line_of("p50", "#1f77b4", series, |point| float(point.p50_micros)),
            line_of("p99", "#d62728", series, |point| float(point.p99_micros)),
        ],
        label: micros_text,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "labels between zero and a recorded latency"
)]
fn micros_text(micros: f64) -> String {
    duration_text(micros as u64)
}

fn rate_panel(series: &[SeriesPoint]) -> PlotPanel {
    let rate = |count: u64, point: &SeriesPoint| float(count) / float(point.width);
    PlotPanel {
        title: "Requests a second",
        lines: vec![
            line_of("answered", "#2ca02c", series, |point| {
                rate(point.answered, point)
            }),
            line_of("other ends", "#ff7f0e", series, |point| {
                rate(point.failed, point)
            }),
        ],
        label: |value| format!("{value:.0}"),
    }
}

fn line_of(
    name: &'static str,
    colour: &'static str,
    series: &[SeriesPoint],
    value: impl Fn(&SeriesPoint) -> f64,
) -> PlotLine {
    PlotLine {
        name,
        colour,
        values: series.iter().map(value).collect(),
    }
}

#[expect(clippy::cast_precision_loss, reason = "a plot's precision")]
fn float(count: u64) -> f64 {
    count as f64
}

fn draw_panel(svg: &mut String, panel: &PlotPanel, top: f64, seconds: u64) {
    let values = panel.lines.iter().flat_map(|line| &line.values);
    let peak = values.copied().fold(1.0, f64::max);
    text(svg, MARGIN, top - 12.0, "start", panel.title);
    for step in 0..=GRID_LINES {
        let share = f64::from(step) / f64::from(GRID_LINES);
        let y = top + PANEL * (1.0 - share);
        write(
            svg,
            format_args!(
                "<line x1=\"{MARGIN}\" y1=\"{y:.1}\" x2=\"{:.1}\" y2=\"{y:.1}\" stroke=\"#ddd\"/>\n",
                WIDTH - MARGIN
            ),
        );
        text(
            svg,
            MARGIN - 6.0,
            y + 4.0,
            "end",
            &(panel.label)(peak * share),
        );
    }
    text(svg, MARGIN, top + PANEL + 16.0, "start", "0 s");
    let end = format!("{seconds} s");
    text(svg, WIDTH - MARGIN, top + PANEL + 16.0, "end", &end);
    for (index, line) in panel.lines.iter().enumerate() {
        draw_line(svg, line, top, peak);
        #[expect(clippy::cast_precision_loss, reason = "a few lines")]
        let x = WIDTH - MARGIN - 90.0 * index as f64;
        write(svg, format_args!("<g fill=\"{}\">", line.colour));
        text(svg, x, top - 12.0, "end", line.name);
        svg.push_str("</g>\n");
    }
}

fn draw_line(svg: &mut String, line: &PlotLine, top: f64, peak: f64) {
    let steps = line.values.len().saturating_sub(1).max(1);
    let mut points = String::new();
    for (index, value) in line.values.iter().enumerate() {
        #[expect(clippy::cast_precision_loss, reason = "at most some hundred points")]
        let x = MARGIN + (WIDTH - 2.0 * MARGIN) * index as f64 / steps as f64;
        let y = top + PANEL * (1.0 - value / peak);
        write(&mut points, format_args!("{x:.1},{y:.1} "));
    }
    write(
        svg,
        format_args!(
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\"/>\n",
            points.trim_end(),
            line.colour
        ),
    );
}

fn text(svg: &mut String, x: f64, y: f64, anchor: &str, content: &str) {
    write(
        svg,
        format_args!("<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{content}</text>\n"),
    );
}

fn write(svg: &mut String, content: std::fmt::Arguments<'_>) {
    svg.write_fmt(content).expect("a string takes every write");
}
