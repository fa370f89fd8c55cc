//! Parsing of fleet documents from TOML, with all faults reported at once.

use damaskdrift_core::fleet;
use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

/// Parses and checks a fleet document.
///
/// # Errors
///
/// Returns all faults with key and line; if the text is not valid TOML, only the syntax errors.
pub fn parse(text: &str) -> Result<fleet::Document, Vec<String>> {
    let (root, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        let line_of =
            |error: &toml::de::Error| error.span().map(|span| line_number(text, span.start));
        return Err(errors.iter().map(|e| describe("", line_of(e), e.message())).collect());
    }
    let mut parser = Parser { text, faults: Vec::new() };
    let document = parser.parse_document(root.get_ref());
    if parser.faults.is_empty() {
        for fault in fleet::check(&document) {
            let line = find_entry_offset(root.get_ref(), &fault.key)
                .map(|offset| line_number(text, offset));
            parser.faults.push(describe(&fault.key, line, &fault.message));
        }
    }
    if parser.faults.is_empty() { Ok(document) } else { Err(parser.faults) }
}

/// Returns whether the text has the sections of a settings file and so is not a fleet document.
pub fn is_settings(text: &str) -> bool {
    let (root, _) = DeTable::parse_recoverable(text);
    ["instance", "listen", "platform"].iter().any(|key| root.get_ref().contains_key(*key))
}

struct Parser<'a> {
    text: &'a str,
    faults: Vec<String>,
}

impl Parser<'_> {
    fn parse_document(&mut self, root: &DeTable<'_>) -> fleet::Document {
        let mut document = fleet::Document::default();
        for (key, value) in root {
            let name: &str = key.get_ref();
            match name {
                "change" => document.change = self.parse_value(name, value).unwrap_or_default(),
                "secret" => document.secret = self.parse_value(name, value).unwrap_or_default(),
                "history" => document.history = self.parse_value(name, value).unwrap_or_default(),
                "templates" => document.templates = self.parse_section(name, value),
                "workspaces" => document.workspaces = self.parse_section(name, value),
                "upstreams" => document.upstreams = self.parse_section(name, value),
                "failure_domains" => document.failure_domains = self.parse_section(name, value),
                "moves" => document.moves = self.parse_section(name, value),
                _ => self.record_fault(
                    name,
                    key.span().start,
                    "unknown key; known are secret, templates, workspaces, upstreams, \
                     failure_domains and moves",
                ),
            }
        }
        document
    }

    /// Parses the entries of a section one by one, so that a fault in one does not hide others.
    fn parse_section<K, V>(
        &mut self,
        name: &str,
        value: &Spanned<DeValue<'_>>,
    ) -> std::collections::BTreeMap<K, V>
    where
        K: DeserializeOwned + Ord,
        V: DeserializeOwned,
    {
        let mut section = std::collections::BTreeMap::new();
        let Some(table) = value.get_ref().as_table() else {
            self.record_fault(name, value.span().start, "must be a table");
            return section;
        };
        for (key, value) in table {
            let path = format!("{name}.{}", key.get_ref());
            let entry_key = serde_json::from_value(key.get_ref().as_ref().into()).ok();
            let entry = self.parse_value(&path, value);
            if let (Some(entry_key), Some(entry)) = (entry_key, entry) {
                section.insert(entry_key, entry);
            }
        }
        section
    }

    fn parse_value<T: DeserializeOwned>(
        &mut self,
        path: &str,
        value: &Spanned<DeValue<'_>>,
    ) -> Option<T> {
        let deserializer = ValueDeserializer::from(value.clone());
        match serde_path_to_error::deserialize(deserializer) {
            Ok(value) => Some(value),
            Err(error) => {
                let inner = error.path().to_string();
                let path = if inner == "." { path.to_owned() } else { format!("{path}.{inner}") };
                let error = error.into_inner();
                let offset = error.span().map_or(value.span().start, |span| span.start);
                self.record_fault(&path, offset, error.message());
                None
            }
        }
    }

    fn record_fault(&mut self, key: &str, offset: usize, message: &str) {
        self.faults.push(describe(key, Some(line_number(self.text, offset)), message));
    }
}

fn describe(key: &str, line: Option<usize>, message: &str) -> String {
    let line = line.map(|line| format!("line {line}: ")).unwrap_or_default();
    let key = if key.is_empty() { String::new() } else { format!("{key}: ") };
    format!("{line}{key}{message}")
}

fn line_number(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1
}

/// Returns the offset of the section entry that a key refers to.
fn find_entry_offset(root: &DeTable<'_>, key: &str) -> Option<usize> {
    let (section, name) = key.split_once('.')?;
    let section = root.get(section)?;
    let table = section.get_ref().as_table()?;
    let (entry, _) = table.get_key_value(name)?;
    Some(entry.span().start)
}
