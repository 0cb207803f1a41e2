//! Charts of what trials came to, as SVG.

use plotters::prelude::*;

/// A line of a chart: its name, and its points.
pub type Line = (String, Vec<(f64, f64)>);

/// Draws lines over one another, from 0 up.
///
/// # Errors
/// No point at all, or what the drawing library says.
///
/// ```
/// let line = ("module".to_string(), vec![(30.0, 0.4), (300.0, 0.5)]);
/// let svg = comethitch_lab::chart::svg("Evenness", "routers", "variation", &[line]).unwrap();
/// assert!(svg.starts_with("<svg") && svg.contains("module"));
/// assert!(comethitch_lab::chart::svg("Nothing", "x", "y", &[]).is_err());
/// ```
pub fn svg(title: &str, across: &str, up: &str, lines: &[Line]) -> Result<String, String> {
    let points =
        || lines.iter().flat_map(|(_, points)| points).filter(|(x, y)| x.is_finite() && y.is_finite());
    if points().next().is_none() {
        return Err(format!("{title}: nothing to draw"));
    }
    let (least, most) = points().fold((f64::MAX, f64::MIN), |(l, m), (x, _)| (l.min(*x), m.max(*x)));
    let top = points().fold(0.0, |top: f64, (_, y)| top.max(*y)).max(1e-6);
    let mut text = String::new();
    draw(&mut text, title, across, up, lines, (least..most.max(least + 1.0), 0.0..top * 1.08))
        .map_err(|error| error.to_string())?;
    Ok(text)
}

type Spans = (std::ops::Range<f64>, std::ops::Range<f64>);

fn draw(
    text: &mut String, title: &str, across: &str, up: &str, lines: &[Line], (xs, ys): Spans,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(text, (760, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(42)
        .y_label_area_size(56)
        .build_cartesian_2d(xs, ys)?;
    chart.configure_mesh().x_desc(across).y_desc(up).draw()?;
    for (nth, (name, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(nth).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
