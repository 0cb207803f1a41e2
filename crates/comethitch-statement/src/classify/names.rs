//! Names of the syntax tree, written as a server compares them.

use sqlparser::ast::{Ident, ObjectName};

/// A name with its schema, or none if a part of it is no identifier.
pub(super) fn qualified_name(name: &ObjectName) -> Option<String> {
    let parts = name.0.iter().map(|part| part.as_ident().map(identifier)).collect::<Option<Vec<_>>>()?;
    Some(parts.join("."))
}

/// A quoted identifier as it stands, an unquoted one in lower case.
pub(super) fn identifier(ident: &Ident) -> String {
    match ident.quote_style {
        Some(_) => ident.value.clone(),
        None => ident.value.to_ascii_lowercase(),
    }
}
