//! Line charts of the results of trials, as SVG.

use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::{BLACK, Color, Palette, Palette99, WHITE};
use std::error::Error as StdError;
use std::ops::Range;
use thiserror::Error;

/// Width and height of a chart, in pixels.
const SIZE_PIXELS: (u32, u32) = (760, 420);
/// Ratio of the end of the vertical axis to the maximum value.
const HEADROOM: f64 = 1.08;
/// Minimum of the highest value that the vertical axis covers, so that its range is never empty.
const MIN_AXIS_TOP: f64 = 1e-6;

/// Why a chart cannot be drawn.
#[derive(Debug, Error)]
pub enum ChartError {
    /// No line has a finite point.
    #[error("chart {title:?} has no finite point to draw")]
    NoPoints {
        /// Title of the chart.
        title: String,
    },
    /// The drawing library failed.
    #[error(transparent)]
    Drawing(Box<dyn StdError>),
}

/// A line of a chart.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points from left to right.
    pub points: Vec<(f64, f64)>,
}

/// Title and axis labels of a chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Labels<'a> {
    /// Title above the chart.
    pub title: &'a str,
    /// Label of the horizontal axis.
    pub x: &'a str,
    /// Label of the vertical axis.
    pub y: &'a str,
}

struct Axes {
    x: Range<f64>,
    y: Range<f64>,
}

/// Draws lines in one chart, whose vertical axis starts at 0.
///
/// # Errors
///
/// Returns an error if there is no finite point, or if the drawing library fails.
///
/// ```
/// use comethitch_lab::chart::{Labels, Line, svg};
/// let line = Line { name: "module".into(), points: vec![(30.0, 0.4), (300.0, 0.5)] };
/// let labels = Labels { title: "Evenness", x: "routers", y: "variation" };
/// let text = svg(labels, &[line]).unwrap();
/// assert!(text.starts_with("<svg") && text.contains("module"));
/// assert!(svg(labels, &[]).is_err());
/// ```
pub fn svg(labels: Labels, lines: &[Line]) -> Result<String, ChartError> {
    let axes = axes(lines).ok_or_else(|| ChartError::NoPoints { title: labels.title.into() })?;
    let mut text = String::new();
    draw(&mut text, labels, lines, axes).map_err(ChartError::Drawing)?;
    Ok(text)
}

/// Returns axes that cover all finite points, or `None` if there are none.
fn axes(lines: &[Line]) -> Option<Axes> {
    let all = lines.iter().flat_map(|line| &line.points);
    let points: Vec<(f64, f64)> = all.copied().filter(|(x, y)| x.is_finite() && y.is_finite()).collect();
    if points.is_empty() {
        return None;
    }
    let left = points.iter().fold(f64::MAX, |left, (x, _)| left.min(*x));
    let right = points.iter().fold(f64::MIN, |right, (x, _)| right.max(*x));
    let top = points.iter().fold(0.0, |top: f64, (_, y)| top.max(*y)).max(MIN_AXIS_TOP);
    Some(Axes { x: left..right.max(left + 1.0), y: 0.0..top * HEADROOM })
}

fn draw(text: &mut String, labels: Labels, lines: &[Line], axes: Axes) -> Result<(), Box<dyn StdError>> {
    let area = SVGBackend::with_string(text, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(labels.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(42)
        .y_label_area_size(56)
        .build_cartesian_2d(axes.x, axes.y)?;
    chart.configure_mesh().x_desc(labels.x).y_desc(labels.y).draw()?;
    for (index, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
