//! Settings of a front: reads TOML with units into checked types, yields their schema and converts them to
//! the parameters of the other crates. A bad value is reported with its file, line and key and with what is
//! allowed there; a front does not start with one.

mod fleet;
mod model;
mod place;
mod sites;
mod sources;
mod span;

pub use fleet::{read_key_file, FleetSettings, PeerSettings};
pub use model::*;
pub use sites::{SitePlanSettings, SiteSettings};
pub use sources::{DnsSettings, DnsTarget, MembershipSettings};
pub use span::Span;

use garde::Validate;
use std::fmt;
use std::path::Path;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    pub file: String,
    /// Line number from 1; 0 if the file can't be read.
    pub line: usize,
    /// Path of the key, such as `rules.cold.start_capacity`; empty if the TOML itself is malformed.
    pub key: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

/// Reads and checks a settings file. The errors of all values are returned together; a file that can't be
/// parsed yields only the first error.
pub fn read(path: &Path) -> Result<Settings, Vec<SettingsError>> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(error) => {
            Err(vec![SettingsError { file, line: 0, key: String::new(), message: error.to_string() }])
        }
    }
}

/// Parses and checks the text of a settings file; `file` is its name in errors.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<SettingsError>> {
    let error = |line, key: String, message: String| SettingsError { file: file.into(), line, key, message };
    let settings: Settings = toml::from_str(text).map_err(|e| {
        let offset = e.span().map_or(0, |s| s.start);
        let (line, key) = (place::line(text, offset), place::key_at(text, offset));
        vec![error(line, key, e.message().to_string())]
    })?;
    let mut errors = Vec::new();
    if let Err(report) = settings.validate() {
        for (path, invalid) in report.iter() {
            let key = path.to_string();
            errors.push(error(place::line_of(text, &key), key, invalid.message().to_string()));
        }
    }
    for (key, message) in settings.cross_checks() {
        errors.push(error(place::line_of(text, &key), key, message));
    }
    if errors.is_empty() {
        Ok(settings)
    } else {
        errors.sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
        Err(errors)
    }
}

/// Returns the JSON schema of a settings file.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Settings).to_value()
}
