//! Writes reports in several formats.

mod html;
mod json;
mod text;

use std::{fs, path::PathBuf};

pub use self::{html::HtmlExporter, json::JsonExporter, text::TextExporter};
use crate::{
    error::{Error, Result},
    report::BurnReport,
};

/// One format of a report.
pub trait Exporter {
    /// The whole report in this format.
    fn serialize(&self, report: &BurnReport) -> Result<String, String>;
}

/// Files to write a report to.
#[derive(Default)]
pub struct ExportManager {
    targets: Vec<(Box<dyn Exporter>, PathBuf)>,
}

impl ExportManager {
    /// Adds a file.
    pub fn add(&mut self, exporter: impl Exporter + 'static, path: PathBuf) {
        self.targets.push((Box::new(exporter), path));
    }

    /// Writes all files.
    pub fn write(&self, report: &BurnReport) -> Result<()> {
        for (exporter, path) in &self.targets {
            let failed = |reason: String| Error::Write { path: path.clone(), reason };
            let text = exporter.serialize(report).map_err(failed)?;
            fs::write(path, text).map_err(|e| failed(e.to_string()))?;
        }
        Ok(())
    }

    /// The report as text, or why it could not be made.
    pub fn text(exporter: &impl Exporter, report: &BurnReport) -> String {
        exporter.serialize(report).unwrap_or_else(|reason| reason)
    }
}
