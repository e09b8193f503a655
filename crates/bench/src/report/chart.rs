//! Charts as SVG text.

use plotters::prelude::*;

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (1_000, 420);
const TITLE_PX: u32 = 20;
const LABEL_PX: u32 = 12;
const MARGIN_PX: u32 = 12;
const LEFT_PX: u32 = 80;
const BOTTOM_PX: u32 = 40;
/// Part of a group's place that its bars fill.
const BAR_FILL: f64 = 0.85;

/// Why a chart could not be drawn.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
/// a chart could not be drawn: {0}
pub struct ChartError(String);

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for ChartError {
    fn from(err: DrawingAreaErrorKind<E>) -> Self {
        ChartError(err.to_string())
    }
}

/// One colour of bars: a value for each group.
pub(super) struct Bars {
    pub name: String,
    pub values: Vec<f64>,
}

/// Draws bars side by side in groups, on a logarithmic scale from `floor` on.
pub(super) fn grouped_bars(
    title: &str,
    unit: &str,
    groups: &[String],
    bars: &[Bars],
    floor: f64,
) -> Result<String, ChartError> {
    let mut svg = String::new();
    let values = bars.iter().flat_map(|it| it.values.iter().copied());
    let top = values.fold(floor * 10.0, f64::max) * 1.5;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", TITLE_PX))
            .margin(MARGIN_PX)
            .x_label_area_size(BOTTOM_PX)
            .y_label_area_size(LEFT_PX)
            .build_cartesian_2d(0.0..groups.len() as f64, (floor..top).log_scale())?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(groups.len() * 2 + 1)
            .x_label_formatter(&|x| group_label(*x, groups))
            .y_desc(unit)
            .label_style(("sans-serif", LABEL_PX))
            .draw()?;
        let width = BAR_FILL / bars.len() as f64;
        for (at, series) in bars.iter().enumerate() {
            let colour = Palette99::pick(at).to_rgba();
            let bar = |(group, value): (usize, &f64)| {
                let left = group as f64 + (1.0 - BAR_FILL) / 2.0 + width * at as f64;
                let corners = [(left, floor), (left + width * 0.9, value.max(floor))];
                Rectangle::new(corners, colour.filled())
            };
            chart
                .draw_series(series.values.iter().enumerate().map(bar))?
                .label(&series.name)
                .legend(move |(x, y)| {
                    Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled())
                });
        }
        legend(&mut chart)?;
        area.present()?;
    }
    Ok(svg)
}

/// Labels stand in the middle of each group.
fn group_label(x: f64, groups: &[String]) -> String {
    let is_middle = (x.fract() - 0.5).abs() < 1e-6;
    let name = groups.get(x as usize).filter(|_| is_middle);
    name.cloned().unwrap_or_default()
}

/// Points, joined by lines or with the line fitted through them.
pub(super) struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
    pub markers: bool,
}

/// Draws lines over plain axes.
pub(super) fn lines(
    title: &str,
    x_unit: &str,
    y_unit: &str,
    lines: &[Line],
) -> Result<String, ChartError> {
    let mut svg = String::new();
    let points = || lines.iter().flat_map(|it| it.points.iter().copied());
    let right = points().map(|it| it.0).fold(f64::MIN_POSITIVE, f64::max);
    let top = points().map(|it| it.1).fold(f64::MIN_POSITIVE, f64::max) * 1.1;
    let bottom = points().map(|it| it.1).fold(0.0, f64::min);
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", TITLE_PX))
            .margin(MARGIN_PX)
            .x_label_area_size(BOTTOM_PX)
            .y_label_area_size(LEFT_PX)
            .build_cartesian_2d(0.0..right, bottom..top)?;
        chart
            .configure_mesh()
            .x_desc(x_unit)
            .y_desc(y_unit)
            .label_style(("sans-serif", LABEL_PX))
            .draw()?;
        for (at, line) in lines.iter().enumerate() {
            let colour = Palette99::pick(at).to_rgba();
            if line.markers {
                let circle = |point: &(f64, f64)| Circle::new(*point, 4, colour.filled());
                chart.draw_series(line.points.iter().map(circle))?
            } else {
                let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
                chart.draw_series(series)?
            }
            .label(&line.name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
        }
        legend(&mut chart)?;
        area.present()?;
    }
    Ok(svg)
}

fn legend<'a, DB, CT>(chart: &mut ChartContext<'a, DB, CT>) -> Result<(), ChartError>
where
    DB: DrawingBackend + 'a,
    CT: CoordTranslate,
{
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .label_font(("sans-serif", LABEL_PX))
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}
