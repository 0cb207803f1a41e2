//! Declarations of a statement's parameters, as in calls of `sp_executesql` and `sp_prepare`.

/// Returns the names of the declared parameters in order, in lower case and without the leading `@`.
///
/// ```
/// let names = comethitch_tds::request::declared_names("@a int, @B decimal(9, 2) output");
/// assert_eq!(names, ["a", "b"]);
/// ```
pub fn declared_names(declarations: &str) -> Vec<String> {
    let mut names = Vec::new();
    let mut parentheses = 0_usize;
    let mut at_declaration_start = true;
    for (position, character) in declarations.char_indices() {
        match character {
            '(' => parentheses += 1,
            ')' => parentheses = parentheses.saturating_sub(1),
            ',' if parentheses == 0 => at_declaration_start = true,
            '@' if at_declaration_start => {
                let rest = &declarations[position + 1..];
                let name = rest.split(|end: char| end.is_whitespace() || end == ',').next();
                names.push(name.unwrap_or_default().to_lowercase());
                at_declaration_start = false;
            }
            _ => {}
        }
    }
    names
}
