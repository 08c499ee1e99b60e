//! Where in a TOML text a key stands.

use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// The line, from 1, of a byte of the text.
pub fn line(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}

/// The line of a key path such as `procedures[1].utility`; that of its nearest parent where it is absent.
pub fn line_of(text: &str, key: &str) -> usize {
    let Ok(table) = DeTable::parse(text) else { return 0 };
    let mut at = 0;
    let mut steps = key.split(['.', '[', ']']).filter(|s| !s.is_empty());
    let Some(first) = steps.next() else { return 0 };
    let Some((name, mut value)) = table.get_ref().iter().find(|(k, _)| k.get_ref() == first) else {
        return 1;
    };
    at = at.max(name.span().start);
    for step in steps {
        match inside(value, step) {
            Some((start, next)) => {
                at = start;
                value = next;
            }
            None => break,
        }
    }
    line(text, at)
}

fn inside<'a, 'i>(value: &'a Spanned<DeValue<'i>>, step: &str) -> Option<(usize, &'a Spanned<DeValue<'i>>)> {
    match value.get_ref() {
        DeValue::Table(table) => {
            let (name, next) = table.iter().find(|(k, _)| k.get_ref() == step)?;
            Some((name.span().start, next))
        }
        DeValue::Array(items) => {
            let next = items.get(step.parse::<usize>().ok()?)?;
            Some((next.span().start, next))
        }
        _ => None,
    }
}

/// The key path whose value holds that byte; empty where there is none.
pub fn key_at(text: &str, at: usize) -> String {
    let Ok(table) = DeTable::parse(text) else { return String::new() };
    let mut path = String::new();
    in_table(table.get_ref(), at, &mut path);
    path
}

fn in_table(table: &DeTable, at: usize, path: &mut String) -> bool {
    for (name, value) in table.iter() {
        let before = path.len();
        if !path.is_empty() {
            path.push('.');
        }
        path.push_str(name.get_ref());
        if name.span().contains(&at) || in_value(value, at, path) {
            return true;
        }
        path.truncate(before);
    }
    false
}

fn in_value(value: &Spanned<DeValue>, at: usize, path: &mut String) -> bool {
    let here = value.span().contains(&at);
    match value.get_ref() {
        DeValue::Table(table) => in_table(table, at, path) || here,
        DeValue::Array(items) => {
            for (place, item) in items.iter().enumerate() {
                let before = path.len();
                path.push_str(&format!("[{place}]"));
                if in_value(item, at, path) {
                    return true;
                }
                path.truncate(before);
            }
            here
        }
        _ => here,
    }
}
