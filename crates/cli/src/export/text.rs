//! Text export of burn reports.

use std::fmt::Write;

use super::Exporter;
use crate::report::BurnReport;

/// Exports text in aligned columns.
pub struct TextExporter;

impl Exporter for TextExporter {
    fn serialize(&self, report: &BurnReport) -> Result<String, String> {
        let mut text = format!(
            "{:<18} {:>8} {:>10} {:>10} {:>8} {:>10} {:>12}\n",
            "service level", "window", "good", "all", "target", "burn rate", "budget left"
        );
        for row in &report.rows {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:<18} {:>6} s {:>10} {:>10} {:>6.1} % {:>10.2} {:>10.1} %",
                row.indicator,
                row.window_s,
                row.good,
                row.total,
                f64::from(row.target_per_mille) / 10.0,
                row.burn_rate,
                row.budget_left * 100.0
            );
        }
        let _ = writeln!(text, "from {}", report.hosts.join(", "));
        if !report.silent.is_empty() {
            let _ = writeln!(text, "WITHOUT {}, which did not answer", report.silent.join(", "));
        }
        Ok(text)
    }
}
