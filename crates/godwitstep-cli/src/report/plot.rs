//! Plots of the report as SVG.

use super::Report;
use super::text::pace;
use crate::failure::Failure;
use godwitstep_core::burn::{BUCKET, FAST_RATE, FAST_WINDOWS, SLOW_RATE, SLOW_WINDOWS};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;

/// Size of a plot. Unit: pixels.
const SIZE: (u32, u32) = (960, 320);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Fault = DrawingAreaErrorKind<std::io::Error>;

const GOOD: RGBColor = RGBColor(0x2b, 0x7a, 0x4b);
const BAD: RGBColor = RGBColor(0xb5, 0x2b, 0x2b);
const MIDDLE: RGBColor = RGBColor(0x2b, 0x5d, 0x9b);

impl Report {
    /// Returns the requests of each bucket that were on time and that were not.
    pub fn plot_requests(&self) -> Result<String, Failure> {
        let mut sums: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
        for (start, _, _, counts) in self.ledger.buckets() {
            let sum = sums.entry(super::millis(start) / 1_000).or_default();
            sum.0 += counts.on_time;
            sum.1 += counts.bad();
        }
        let (first, last) = match (sums.first_key_value(), sums.last_key_value()) {
            (Some((first, _)), Some((last, _))) => (*first, *last),
            _ => (0, 0),
        };
        let most = sums.values().map(|(good, bad)| good + bad).max();
        let age = |at: u64| -i64::try_from(last - at).unwrap_or(0);
        draw(|area| {
            let span = age(first)..i64::try_from(BUCKET.as_secs()).unwrap_or(0);
            let mut chart = ChartBuilder::on(area)
                .caption("Requests in each 10 s", ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(36)
                .y_label_area_size(56)
                .build_cartesian_2d(span, 0..most.unwrap_or(1).max(1))?;
            chart
                .configure_mesh()
                .x_desc("seconds before the newest")
                .draw()?;
            let good = sums.iter().map(|(at, sum)| (age(*at), sum.0));
            let bad = sums.iter().map(|(at, sum)| (age(*at), sum.1));
            let series = [
                (good.collect::<Vec<_>>(), GOOD, "on time"),
                (bad.collect(), BAD, "not on time"),
            ];
            for (points, colour, label) in series {
                let dots = points.iter().map(|at| Circle::new(*at, 3, colour.filled()));
                chart.draw_series(dots)?;
                chart
                    .draw_series(LineSeries::new(points.clone(), &colour))?
                    .label(label)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
            }
            legend(&mut chart)
        })
    }

    /// Returns the pace of burn of each workspace and kind against the thresholds of the alerts.
    pub fn plot_burn(&self) -> Result<String, Failure> {
        let paces = |windows| self.lines.iter().map(move |line| pace(line, windows));
        let (fast, slow) = (paces(FAST_WINDOWS), paces(SLOW_WINDOWS));
        let bars = [
            (fast.collect::<Vec<f64>>(), BAD, "fast windows"),
            (slow.collect(), MIDDLE, "slow windows"),
        ];
        let limits = [(FAST_RATE, BAD), (SLOW_RATE, MIDDLE)];
        self.bars("Burn rate; lines: alert thresholds", &bars, &limits)
    }

    /// Returns the mean time of each step by workspace and kind.
    pub fn plot_steps(&self) -> Result<String, Failure> {
        #[allow(clippy::cast_precision_loss)]
        let of = |step: fn(&godwitstep_core::burn::ServiceLevel) -> u64| -> Vec<f64> {
            self.lines
                .iter()
                .map(|line| step(line) as f64 / 1e3)
                .collect()
        };
        let bars = [
            (of(|line| line.queue.mean_us), BAD, "queue"),
            (of(|line| line.link.mean_us), MIDDLE, "link"),
            (of(|line| line.run.mean_us), GOOD, "run"),
        ];
        self.bars("Mean time of each step, ms", &bars, &[])
    }

    /// Draws a group of bars for each line of the report.
    fn bars(
        &self,
        caption: &str,
        bars: &[(Vec<f64>, RGBColor, &'static str)],
        limits: &[(f64, RGBColor)],
    ) -> Result<String, Failure> {
        let values = bars.iter().flat_map(|(values, _, _)| values).copied();
        let limited = limits.iter().map(|(limit, _)| *limit);
        let top = values.chain(limited).fold(1.0, f64::max) * 1.1;
        let names: Vec<String> = self
            .lines
            .iter()
            .map(|line| format!("{}/{}", line.workspace, line.kind))
            .collect();
        let width = number(self.lines.len().max(1));
        draw(|area| {
            let mut chart = ChartBuilder::on(area)
                .caption(caption, ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(8)
                .y_label_area_size(56)
                .build_cartesian_2d(0.0..width, 0.0..top)?;
            chart.configure_mesh().disable_x_mesh().x_labels(0).draw()?;
            let step = 0.8 / number(bars.len().max(1));
            for (place, (values, colour, label)) in bars.iter().enumerate() {
                let boxes = values.iter().enumerate().map(|(line, value)| {
                    let left = number(line) + 0.1 + step * number(place);
                    Rectangle::new([(left, 0.0), (left + step, *value)], colour.filled())
                });
                let colour = *colour;
                chart
                    .draw_series(boxes)?
                    .label(*label)
                    .legend(move |(x, y)| {
                        Rectangle::new([(x, y - 4), (x + 16, y + 4)], colour.filled())
                    });
            }
            for (limit, colour) in limits {
                let line = [(0.0, *limit), (width, *limit)];
                chart.draw_series(LineSeries::new(line, colour))?;
            }
            let text = ("sans-serif", 11)
                .into_font()
                .transform(FontTransform::Rotate270);
            let labels = names.iter().enumerate();
            chart.draw_series(labels.map(|(line, name)| {
                Text::new(name.clone(), (number(line), top * 0.98), text.clone())
            }))?;
            legend(&mut chart)
        })
    }
}

#[allow(clippy::cast_precision_loss)]
const fn number(count: usize) -> f64 {
    count as f64
}

fn legend<'a, T>(chart: &mut ChartContext<'a, SVGBackend<'a>, T>) -> Result<(), Fault>
where
    T: CoordTranslate,
{
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()
}

fn draw(plot: impl Fn(&Area) -> Result<(), Fault>) -> Result<String, Failure> {
    let mut svg = String::new();
    let failed = |error: Fault| Failure::Failed(format!("a plot can't be drawn: {error}"));
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        plot(&area).map_err(failed)?;
        area.present().map_err(failed)?;
    }
    Ok(svg)
}
