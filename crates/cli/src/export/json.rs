//! JSON export of burn reports.

use super::Exporter;
use crate::report::BurnReport;

/// Exports a JSON document.
pub struct JsonExporter;

impl Exporter for JsonExporter {
    fn serialize(&self, report: &BurnReport) -> Result<String, String> {
        serde_json::to_string_pretty(report).map_err(|e| e.to_string())
    }
}
