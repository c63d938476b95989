//! Export of burn reports to text, JSON and HTML.

mod html;
mod json;
mod text;

use std::{fs, path::PathBuf};

pub use self::{html::HtmlExporter, json::JsonExporter, text::TextExporter};
use crate::{
    error::{Error, Result},
    report::BurnReport,
};

/// An export format of a report.
pub trait Exporter {
    /// Serializes the report in this format.
    fn serialize(&self, report: &BurnReport) -> Result<String, String>;
}

/// Export files of a report, each with its format.
#[derive(Default)]
pub struct ExportManager {
    targets: Vec<(Box<dyn Exporter>, PathBuf)>,
}

impl ExportManager {
    /// Adds an export file.
    pub fn add(&mut self, exporter: impl Exporter + 'static, path: PathBuf) {
        self.targets.push((Box::new(exporter), path));
    }

    /// Writes the report to all export files.
    pub fn write(&self, report: &BurnReport) -> Result<()> {
        for (exporter, path) in &self.targets {
            let write_error = |reason: String| Error::Write { path: path.clone(), reason };
            let text = exporter.serialize(report).map_err(write_error)?;
            fs::write(path, text).map_err(|e| write_error(e.to_string()))?;
        }
        Ok(())
    }

    /// Returns the serialized report, or the error message if serialization fails.
    pub fn text(exporter: &impl Exporter, report: &BurnReport) -> String {
        exporter.serialize(report).unwrap_or_else(|reason| reason)
    }
}
