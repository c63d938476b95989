//! HTML export of burn reports, with plots.

use std::fmt::Write;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoSegmentedCoord, RGBColor, Rectangle, SVGBackend,
    SegmentValue, WHITE,
};

use super::Exporter;
use crate::report::{BurnReport, BurnRow};

/// Exports a self-contained HTML page.
pub struct HtmlExporter;

const WIDTH_PX: u32 = 760;
const HEIGHT_PX: u32 = 260;
/// Burn rates above this value are clipped in the plots.
const MAX_PLOTTED_RATE: f64 = 20.0;
const WITHIN_BUDGET: RGBColor = RGBColor(46, 125, 91);
const OVER_BUDGET: RGBColor = RGBColor(184, 60, 60);

impl Exporter for HtmlExporter {
    fn serialize(&self, report: &BurnReport) -> Result<String, String> {
        let mut windows: Vec<_> = report.rows.iter().map(|row| row.window_s).collect();
        windows.sort_unstable();
        windows.dedup();
        let mut page = String::from(PAGE_HEAD);
        for window in windows {
            let rows: Vec<_> = report.rows.iter().filter(|row| row.window_s == window).collect();
            // Writing to a string cannot fail.
            let _ = writeln!(page, "<h2>Last {window} s</h2>\n{}", plot(&rows)?);
            page.push_str(&table(&rows));
        }
        let _ = writeln!(page, "<p>From {}.</p>", escape(&report.hosts.join(", ")));
        if !report.silent.is_empty() {
            let silent = escape(&report.silent.join(", "));
            let _ = writeln!(page, "<p class=bad>Without {silent}, which did not answer.</p>");
        }
        page.push_str("</body></html>\n");
        Ok(page)
    }
}

const PAGE_HEAD: &str = "<!DOCTYPE html>
<html lang=en><head><meta charset=utf-8><title>Service-level burn</title><style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60em; margin: 2em auto; color: #222 }
table { border-collapse: collapse } td, th { padding: .2em .8em; text-align: right }
th:first-child, td:first-child { text-align: left } tr + tr { border-top: 1px solid #ddd }
.bad { color: #b83c3c }
</style></head><body><h1>Service-level burn</h1>
<p>A burn rate of 1 uses the error budget up just at the promised rate.</p>
";

fn plot(rows: &[&BurnRow]) -> Result<String, String> {
    let mut svg = String::new();
    draw(rows, &mut svg).map_err(|e| e.to_string())?;
    Ok(svg)
}

fn draw(rows: &[&BurnRow], svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let names: Vec<_> = rows.iter().map(|row| row.indicator.as_str()).collect();
    let max_rate = rows.iter().map(|row| row.burn_rate.min(MAX_PLOTTED_RATE)).fold(1.5, f64::max);
    let area = SVGBackend::with_string(svg, (WIDTH_PX, HEIGHT_PX)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(names.as_slice().into_segmented(), 0.0..max_rate * 1.1)?;
    chart.configure_mesh().disable_x_mesh().y_desc("burn rate").y_labels(6).draw()?;
    let bars = rows.iter().zip(&names).map(|(row, name)| {
        let colour = if row.burn_rate > 1.0 { OVER_BUDGET } else { WITHIN_BUDGET };
        let top = row.burn_rate.min(MAX_PLOTTED_RATE);
        let corners = [(SegmentValue::Exact(name), 0.0), (SegmentValue::CenterOf(name), top)];
        Rectangle::new(corners, colour.filled())
    });
    chart.draw_series(bars)?;
    area.present()?;
    Ok(())
}

fn table(rows: &[&BurnRow]) -> String {
    let mut text = String::from(
        "<table><tr><th>service level<th>good<th>all<th>target<th>burn rate<th>budget left</tr>\n",
    );
    for row in rows {
        let class = if row.burn_rate > 1.0 { " class=bad" } else { "" };
        let _ = writeln!(
            text,
            "<tr{class}><td>{}<td>{}<td>{}<td>{:.1} %<td>{:.2}<td>{:.1} %</tr>",
            escape(&row.indicator),
            row.good,
            row.total,
            f64::from(row.target_per_mille) / 10.0,
            row.burn_rate,
            row.budget_left * 100.0
        );
    }
    text + "</table>\n"
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
