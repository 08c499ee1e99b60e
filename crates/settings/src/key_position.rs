//! Positions of keys in a TOML text, for error messages.

use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Returns the line number, from 1, of a byte offset.
pub fn line_of_offset(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}

/// Returns the line number of a key path such as `procedures[1].utility`; if the key is absent, that of its
/// nearest parent; 0 if the text is malformed.
pub fn line_of_key(text: &str, key: &str) -> usize {
    let Ok(table) = DeTable::parse(text) else { return 0 };
    let mut segments = key.split(['.', '[', ']']).filter(|s| !s.is_empty());
    let Some(first) = segments.next() else { return 0 };
    let Some((name, mut value)) = table.get_ref().iter().find(|(k, _)| k.get_ref() == first) else {
        return 1;
    };
    let mut offset = name.span().start;
    for segment in segments {
        match child(value, segment) {
            Some((start, next)) => {
                offset = start;
                value = next;
            }
            None => break,
        }
    }
    line_of_offset(text, offset)
}

/// Returns the value at a key or an index of a table or array, with the offset of its key or item.
fn child<'a, 'i>(
    value: &'a Spanned<DeValue<'i>>,
    segment: &str,
) -> Option<(usize, &'a Spanned<DeValue<'i>>)> {
    match value.get_ref() {
        DeValue::Table(table) => {
            let (name, next) = table.iter().find(|(k, _)| k.get_ref() == segment)?;
            Some((name.span().start, next))
        }
        DeValue::Array(items) => {
            let next = items.get(segment.parse::<usize>().ok()?)?;
            Some((next.span().start, next))
        }
        _ => None,
    }
}

/// Returns the path of the innermost key whose name or value contains a byte offset; empty if there is none.
pub fn key_at_offset(text: &str, offset: usize) -> String {
    let Ok(table) = DeTable::parse(text) else { return String::new() };
    let mut path = String::new();
    find_in_table(table.get_ref(), offset, &mut path);
    path
}

/// Appends to `path` the segments that lead to the offset; returns whether the table contains it.
fn find_in_table(table: &DeTable, offset: usize, path: &mut String) -> bool {
    for (name, value) in table.iter() {
        let before = path.len();
        if !path.is_empty() {
            path.push('.');
        }
        path.push_str(name.get_ref());
        if name.span().contains(&offset) || find_in_value(value, offset, path) {
            return true;
        }
        path.truncate(before);
    }
    false
}

fn find_in_value(value: &Spanned<DeValue>, offset: usize, path: &mut String) -> bool {
    let contains = value.span().contains(&offset);
    match value.get_ref() {
        DeValue::Table(table) => find_in_table(table, offset, path) || contains,
        DeValue::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                let before = path.len();
                path.push_str(&format!("[{index}]"));
                if find_in_value(item, offset, path) {
                    return true;
                }
                path.truncate(before);
            }
            contains
        }
        _ => contains,
    }
}
