//! Plots of the report as SVG.

use super::Report;
use super::text::alert_burn_rate;
use crate::failure::Failure;
use godwitstep_core::burn::{BUCKET, FAST_RATE, FAST_WINDOWS, SLOW_RATE, SLOW_WINDOWS};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;

/// Size of a plot. Unit: pixels.
const PLOT_SIZE: (u32, u32) = (960, 320);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type PlotError = DrawingAreaErrorKind<std::io::Error>;

const DARK_GREEN: RGBColor = RGBColor(0x2b, 0x7a, 0x4b);
const DARK_RED: RGBColor = RGBColor(0xb5, 0x2b, 0x2b);
const DARK_BLUE: RGBColor = RGBColor(0x2b, 0x5d, 0x9b);

impl Report {
    /// Plots the numbers of requests per bucket that were on time and that were not.
    pub fn plot_requests(&self) -> Result<String, Failure> {
        let mut sums: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
        for (bucket_start, _, _, counts) in self.ledger.buckets() {
            let sum = sums
                .entry(super::unix_millis(bucket_start) / 1_000)
                .or_default();
            sum.0 += counts.on_time;
            sum.1 += counts.bad();
        }
        let (first, last) = match (sums.first_key_value(), sums.last_key_value()) {
            (Some((first, _)), Some((last, _))) => (*first, *last),
            _ => (0, 0),
        };
        let max_requests = sums.values().map(|(good, bad)| good + bad).max();
        let offset = |start: u64| -i64::try_from(last - start).unwrap_or(0);
        render_svg(|area| {
            let span = offset(first)..i64::try_from(BUCKET.as_secs()).unwrap_or(0);
            let mut chart = ChartBuilder::on(area)
                .caption("Requests per 10 s", ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(36)
                .y_label_area_size(56)
                .build_cartesian_2d(span, 0..max_requests.unwrap_or(1).max(1))?;
            chart
                .configure_mesh()
                .x_desc("seconds before the newest bucket")
                .draw()?;
            let good = sums.iter().map(|(start, sum)| (offset(*start), sum.0));
            let bad = sums.iter().map(|(start, sum)| (offset(*start), sum.1));
            let series = [
                (good.collect::<Vec<_>>(), DARK_GREEN, "on time"),
                (bad.collect(), DARK_RED, "not on time"),
            ];
            for (points, colour, label) in series {
                let dots = points
                    .iter()
                    .map(|point| Circle::new(*point, 3, colour.filled()));
                chart.draw_series(dots)?;
                chart
                    .draw_series(LineSeries::new(points.clone(), &colour))?
                    .label(label)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
            }
            draw_legend(&mut chart)
        })
    }

    /// Plots the burn rates of each workspace and kind with the thresholds of the alerts.
    pub fn plot_burn(&self) -> Result<String, Failure> {
        let rates = |windows| {
            self.service_levels
                .iter()
                .map(move |line| alert_burn_rate(line, windows))
        };
        let (fast, slow) = (rates(FAST_WINDOWS), rates(SLOW_WINDOWS));
        let bars = [
            (fast.collect::<Vec<f64>>(), DARK_RED, "fast windows"),
            (slow.collect(), DARK_BLUE, "slow windows"),
        ];
        let thresholds = [(FAST_RATE, DARK_RED), (SLOW_RATE, DARK_BLUE)];
        self.plot_bars("Burn rate; lines: alert thresholds", &bars, &thresholds)
    }

    /// Plots the mean time of each step by workspace and kind.
    pub fn plot_steps(&self) -> Result<String, Failure> {
        #[allow(clippy::cast_precision_loss)]
        let mean_ms = |step: fn(&godwitstep_core::burn::ServiceLevel) -> u64| -> Vec<f64> {
            self.service_levels
                .iter()
                .map(|line| step(line) as f64 / 1e3)
                .collect()
        };
        let bars = [
            (mean_ms(|line| line.queue.mean_us), DARK_RED, "queue"),
            (mean_ms(|line| line.link.mean_us), DARK_BLUE, "link"),
            (mean_ms(|line| line.run.mean_us), DARK_GREEN, "run"),
        ];
        self.plot_bars("Mean time of each step, ms", &bars, &[])
    }

    /// Plots a group of bars for each line of the report, and a horizontal line for each threshold.
    fn plot_bars(
        &self,
        caption: &str,
        bars: &[(Vec<f64>, RGBColor, &'static str)],
        thresholds: &[(f64, RGBColor)],
    ) -> Result<String, Failure> {
        let values = bars.iter().flat_map(|(values, _, _)| values).copied();
        let threshold_values = thresholds.iter().map(|(threshold, _)| *threshold);
        let top = values.chain(threshold_values).fold(1.0, f64::max) * 1.1;
        let names: Vec<String> = self
            .service_levels
            .iter()
            .map(|line| format!("{}/{}", line.workspace, line.kind))
            .collect();
        let width = to_f64(self.service_levels.len().max(1));
        render_svg(|area| {
            let mut chart = ChartBuilder::on(area)
                .caption(caption, ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(8)
                .y_label_area_size(56)
                .build_cartesian_2d(0.0..width, 0.0..top)?;
            chart.configure_mesh().disable_x_mesh().x_labels(0).draw()?;
            let bar_width = 0.8 / to_f64(bars.len().max(1));
            for (index, (values, colour, label)) in bars.iter().enumerate() {
                let boxes = values.iter().enumerate().map(|(line, value)| {
                    let left = to_f64(line) + 0.1 + bar_width * to_f64(index);
                    Rectangle::new([(left, 0.0), (left + bar_width, *value)], colour.filled())
                });
                let colour = *colour;
                chart
                    .draw_series(boxes)?
                    .label(*label)
                    .legend(move |(x, y)| {
                        Rectangle::new([(x, y - 4), (x + 16, y + 4)], colour.filled())
                    });
            }
            for (threshold, colour) in thresholds {
                let line = [(0.0, *threshold), (width, *threshold)];
                chart.draw_series(LineSeries::new(line, colour))?;
            }
            let label_style = ("sans-serif", 11)
                .into_font()
                .transform(FontTransform::Rotate270);
            let labels = names.iter().enumerate();
            chart.draw_series(labels.map(|(line, name)| {
                Text::new(
                    name.clone(),
                    (to_f64(line), top * 0.98),
                    label_style.clone(),
                )
            }))?;
            draw_legend(&mut chart)
        })
    }
}

#[allow(clippy::cast_precision_loss)]
const fn to_f64(count: usize) -> f64 {
    count as f64
}

fn draw_legend<'a, T>(chart: &mut ChartContext<'a, SVGBackend<'a>, T>) -> Result<(), PlotError>
where
    T: CoordTranslate,
{
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()
}

/// Renders a plot as SVG.
fn render_svg(plot: impl Fn(&Area) -> Result<(), PlotError>) -> Result<String, Failure> {
    let mut svg = String::new();
    let to_failure = |error: PlotError| Failure::Failed(format!("a plot can't be drawn: {error}"));
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        plot(&area).map_err(to_failure)?;
        area.present().map_err(to_failure)?;
    }
    Ok(svg)
}
