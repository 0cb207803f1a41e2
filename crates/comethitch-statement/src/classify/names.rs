//! Names in the syntax tree, normalised as servers compare them.

use sqlparser::ast::{Ident, ObjectName};

/// Returns a name with its schema, or `None` if a part is not an identifier.
pub(super) fn qualified_name(name: &ObjectName) -> Option<String> {
    let parts = name.0.iter().map(|part| part.as_ident().map(identifier)).collect::<Option<Vec<_>>>()?;
    Some(parts.join("."))
}

/// Returns a quoted identifier as written, and an unquoted one in lower case.
pub(super) fn identifier(ident: &Ident) -> String {
    match ident.quote_style {
        Some(_) => ident.value.clone(),
        None => ident.value.to_ascii_lowercase(),
    }
}
