//! Draws a comparison as bar charts, one panel per measure.

use super::PolicyResult;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

/// Caption of a panel, and the measure that it shows.
type Measure = (&'static str, fn(&PolicyResult) -> f64);

const MEASURES: [Measure; 9] = [
    ("completion p50 [s]", |result| {
        result.measures.completion_p50_s
    }),
    ("completion p99 [s]", |result| {
        result.measures.completion_p99_s
    }),
    ("urgent on time [share]", |result| {
        result.measures.urgent_on_time
    }),
    ("urgent start p99 [s]", |result| {
        result.measures.urgent_start_p99_s
    }),
    ("large wait p99 [s]", |result| {
        result.measures.large_wait_p99_s
    }),
    ("fragmentation [share]", |result| {
        result.measures.fragmentation
    }),
    ("utilisation [share]", |result| result.measures.utilisation),
    ("reclaim p99 [s]", |result| result.measures.reclaim_p99_s),
    ("work during departure [share]", |result| {
        result.measures.work_during_departure
    }),
];
/// Colours of the policies, in the order in which they are compared.
const COLOURS: [RGBColor; 3] = [
    RGBColor(150, 150, 150),
    RGBColor(70, 120, 180),
    RGBColor(200, 90, 40),
];

/// Writes the charts of a comparison to an SVG file.
///
/// # Errors
///
/// Returns the message of the drawing library if the file can't be written.
pub(super) fn draw(path: &Path, title: &str, results: &[PolicyResult]) -> Result<(), String> {
    let root = SVGBackend::new(path, (1_080, 840)).into_drawing_area();
    let filled = root.fill(&WHITE);
    filled.map_err(|error| error.to_string())?;
    let area = root
        .titled(title, ("sans-serif", 20))
        .map_err(|error| error.to_string())?;
    for (panel, measure) in area.split_evenly((3, 3)).iter().zip(MEASURES) {
        draw_panel(panel, measure, results).map_err(|error| error.to_string())?;
    }
    root.present().map_err(|error| error.to_string())
}

fn draw_panel<D: DrawingBackend>(
    panel: &DrawingArea<D, Shift>,
    (name, value): Measure,
    results: &[PolicyResult],
) -> Result<(), DrawingAreaErrorKind<D::ErrorType>> {
    let y_max = results.iter().map(value).fold(0.0, f64::max).max(1e-9) * 1.1;
    let count = u32::try_from(results.len()).unwrap_or(0);
    let mut chart = ChartBuilder::on(panel)
        .caption(name, ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(52)
        .build_cartesian_2d((0..count).into_segmented(), 0.0..y_max)?;
    let label = |segment: &SegmentValue<u32>| match segment {
        SegmentValue::CenterOf(number) => results
            .get(*number as usize)
            .map(|result| result.policy.to_owned())
            .unwrap_or_default(),
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(results.len())
        .x_label_formatter(&label)
        .y_labels(5)
        .draw()?;
    let bars = (0..count).zip(results).map(|(number, result)| {
        let colour = COLOURS[number as usize % COLOURS.len()];
        let corners = [
            (SegmentValue::Exact(number), 0.0),
            (SegmentValue::Exact(number + 1), value(result).max(0.0)),
        ];
        let mut bar = Rectangle::new(corners, colour.filled());
        bar.set_margin(0, 0, 18, 18);
        bar
    });
    chart.draw_series(bars)?;
    Ok(())
}
