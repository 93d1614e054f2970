//! Bar chart of cache reuse by scenario and policy.

use super::Figures;
use plotters::prelude::*;
use std::path::Path;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (900, 480);

/// Draws a group of bars for each scenario that compares policies.
pub(super) fn draw(
    path: &Path,
    rows: &[(String, String, Figures)],
) -> Result<(), Box<dyn std::error::Error>> {
    let compared: Vec<&(String, String, Figures)> = rows
        .iter()
        .filter(|(scenario, _, _)| scenario.contains("steady") || scenario.contains("leaves"))
        .collect();
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Returning prompt tokens from a cache", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..compared.len() as f64, 0.0..1.0)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(0)
        .y_desc("share")
        .draw()?;
    for (i, (scenario, policy, figures)) in compared.iter().enumerate() {
        let left = i as f64;
        let color = match policy.as_str() {
            "briargap" => RGBColor(30, 110, 60),
            "oracle" => RGBColor(90, 90, 90),
            _ => RGBColor(150, 180, 215),
        };
        let corners = [(left + 0.1, 0.0), (left + 0.9, figures.reuse)];
        chart.draw_series([Rectangle::new(corners, color.filled())])?;
        let style = ("sans-serif", 11)
            .into_font()
            .transform(FontTransform::Rotate270);
        let label = Text::new(policy.clone(), (left + 0.35, 0.5), style);
        chart.draw_series([label])?;
        if i % 7 == 0 {
            let text = Text::new(scenario.clone(), (left + 0.1, 0.98), ("sans-serif", 12));
            chart.draw_series([text])?;
        }
    }
    root.present()?;
    Ok(())
}
