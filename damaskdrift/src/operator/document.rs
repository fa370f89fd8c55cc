//! Reads a fleet document from TOML and reports all faults at once.

use damaskdrift_core::fleet;
use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

/// Reads a fleet document.
///
/// # Errors
///
/// Returns all faults with key and line; when the text is no TOML, only the syntax faults.
pub fn parse(text: &str) -> Result<fleet::Document, Vec<String>> {
    let (root, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        let at = |error: &toml::de::Error| error.span().map(|span| line(text, span.start));
        return Err(errors.iter().map(|e| describe("", at(e), e.message())).collect());
    }
    let mut reader = Reader { text, faults: Vec::new() };
    let document = reader.document(root.get_ref());
    if reader.faults.is_empty() {
        for fault in fleet::check(&document) {
            let line = locate(root.get_ref(), &fault.key).map(|offset| line(text, offset));
            reader.faults.push(describe(&fault.key, line, &fault.message));
        }
    }
    if reader.faults.is_empty() { Ok(document) } else { Err(reader.faults) }
}

/// Returns whether the text has the sections of a settings file instead of a fleet document.
pub fn is_settings(text: &str) -> bool {
    let (root, _) = DeTable::parse_recoverable(text);
    ["instance", "listen", "platform"].iter().any(|key| root.get_ref().contains_key(*key))
}

struct Reader<'a> {
    text: &'a str,
    faults: Vec<String>,
}

impl Reader<'_> {
    fn document(&mut self, root: &DeTable<'_>) -> fleet::Document {
        let mut document = fleet::Document::default();
        for (key, value) in root {
            let name: &str = key.get_ref();
            match name {
                "change" => document.change = self.value(name, value).unwrap_or_default(),
                "secret" => document.secret = self.value(name, value).unwrap_or_default(),
                "history" => document.history = self.value(name, value).unwrap_or_default(),
                "templates" => document.templates = self.section(name, value),
                "workspaces" => document.workspaces = self.section(name, value),
                "upstreams" => document.upstreams = self.section(name, value),
                "failure_domains" => document.failure_domains = self.section(name, value),
                "moves" => document.moves = self.section(name, value),
                _ => self.fault(
                    name,
                    key.span().start,
                    "unknown key; known are secret, templates, workspaces, upstreams, \
                     failure_domains and moves",
                ),
            }
        }
        document
    }

    /// Reads the entries of a section one by one, so that a fault in one does not hide others.
    fn section<K, V>(
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
            self.fault(name, value.span().start, "must be a table");
            return section;
        };
        for (key, value) in table {
            let path = format!("{name}.{}", key.get_ref());
            let entry_key = serde_json::from_value(key.get_ref().as_ref().into()).ok();
            let entry = self.value(&path, value);
            if let (Some(entry_key), Some(entry)) = (entry_key, entry) {
                section.insert(entry_key, entry);
            }
        }
        section
    }

    fn value<T: DeserializeOwned>(
        &mut self,
        path: &str,
        value: &Spanned<DeValue<'_>>,
    ) -> Option<T> {
        let deserializer = ValueDeserializer::from(value.clone());
        match serde_path_to_error::deserialize(deserializer) {
            Ok(read) => Some(read),
            Err(error) => {
                let inner = error.path().to_string();
                let path = if inner == "." { path.to_owned() } else { format!("{path}.{inner}") };
                let error = error.into_inner();
                let offset = error.span().map_or(value.span().start, |span| span.start);
                self.fault(&path, offset, error.message());
                None
            }
        }
    }

    fn fault(&mut self, key: &str, offset: usize, message: &str) {
        self.faults.push(describe(key, Some(line(self.text, offset)), message));
    }
}

fn describe(key: &str, line: Option<usize>, message: &str) -> String {
    let line = line.map(|line| format!("line {line}: ")).unwrap_or_default();
    let key = if key.is_empty() { String::new() } else { format!("{key}: ") };
    format!("{line}{key}{message}")
}

fn line(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1
}

/// Returns the offset of the deepest table entry on the path of a key.
fn locate(root: &DeTable<'_>, key: &str) -> Option<usize> {
    let (section, name) = key.split_once('.')?;
    let section = root.get(section)?;
    let table = section.get_ref().as_table()?;
    let (entry, _) = table.get_key_value(name)?;
    Some(entry.span().start)
}
