//! Draws a comparison as bars, one panel a measure.

use super::Line;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

type Measure = (&'static str, fn(&Line) -> f64);

const MEASURES: [Measure; 9] = [
    ("completion p50 [s]", |line| line.measures.completion_p50_s),
    ("completion p99 [s]", |line| line.measures.completion_p99_s),
    ("urgent on time [share]", |line| {
        line.measures.urgent_on_time
    }),
    ("urgent start p99 [s]", |line| {
        line.measures.urgent_start_p99_s
    }),
    ("large wait p99 [s]", |line| line.measures.large_wait_p99_s),
    ("fragmentation [share]", |line| line.measures.fragmentation),
    ("utilisation [share]", |line| line.measures.utilisation),
    ("reclaim p99 [s]", |line| line.measures.reclaim_p99_s),
    ("work during departure [share]", |line| {
        line.measures.work_during_departure
    }),
];
const COLOURS: [RGBColor; 3] = [
    RGBColor(150, 150, 150),
    RGBColor(70, 120, 180),
    RGBColor(200, 90, 40),
];

/// Writes the drawing of a comparison to a file.
///
/// # Errors
///
/// Returns the message of the drawing library if the file can't be written.
pub(super) fn draw(path: &Path, title: &str, lines: &[Line]) -> Result<(), String> {
    let root = SVGBackend::new(path, (1_080, 840)).into_drawing_area();
    let filled = root.fill(&WHITE);
    filled.map_err(|error| error.to_string())?;
    let area = root
        .titled(title, ("sans-serif", 20))
        .map_err(|error| error.to_string())?;
    for (panel, measure) in area.split_evenly((3, 3)).iter().zip(MEASURES) {
        bars(panel, measure, lines).map_err(|error| error.to_string())?;
    }
    root.present().map_err(|error| error.to_string())
}

fn bars<D: DrawingBackend>(
    panel: &DrawingArea<D, Shift>,
    (name, value): Measure,
    lines: &[Line],
) -> Result<(), DrawingAreaErrorKind<D::ErrorType>> {
    let most = lines.iter().map(value).fold(0.0, f64::max).max(1e-9) * 1.1;
    let count = u32::try_from(lines.len()).unwrap_or(0);
    let mut chart = ChartBuilder::on(panel)
        .caption(name, ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(52)
        .build_cartesian_2d((0..count).into_segmented(), 0.0..most)?;
    let label = |at: &SegmentValue<u32>| match at {
        SegmentValue::CenterOf(number) => lines
            .get(*number as usize)
            .map(|line| line.policy.to_owned())
            .unwrap_or_default(),
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(lines.len())
        .x_label_formatter(&label)
        .y_labels(5)
        .draw()?;
    let bars = (0..count).zip(lines).map(|(number, line)| {
        let colour = COLOURS[number as usize % COLOURS.len()];
        let corners = [
            (SegmentValue::Exact(number), 0.0),
            (SegmentValue::Exact(number + 1), value(line).max(0.0)),
        ];
        let mut bar = Rectangle::new(corners, colour.filled());
        bar.set_margin(0, 0, 18, 18);
        bar
    });
    chart.draw_series(bars)?;
    Ok(())
}
