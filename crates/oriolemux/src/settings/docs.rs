//! Renders `docs/SETTINGS.md` from the table.

use super::Settings;
use super::spec::Description;

const HEAD: &str = "# Settings

The settings of one instance are a TOML file. `oriolemux check FILE` checks its
text anywhere; `oriolemux serve --settings FILE --check` checks it as a start
would, the files with secrets included. Both report every finding together, as
`file:line:column: problem`. Unknown keys are refused. Relative paths are taken
from the directory of the settings file. Addresses are IP numbers; names are
not resolved. A secret never stands in the settings: they name a file that
holds it (16 to 4096 bytes; space around it is not part of it).

This page is generated from `crates/oriolemux/src/settings/table.rs`; to
renew it, run the tests of `settings_docs` with `ORIOLEMUX_RENEW=1`.
";

/// Returns the text of `docs/SETTINGS.md`.
pub fn render() -> String {
    let mut page = String::from(HEAD);
    for section in Settings::describe() {
        match section.name {
            "" => page.push_str("\n## Above all sections\n\n"),
            name => page.push_str(&format!("\n## `[{name}]`\n\n{}\n\n", section.doc)),
        }
        page.push_str(
            "| key | type | default | range | meaning |\n| --- | --- | --- | --- | --- |\n",
        );
        for setting in &section.settings {
            page.push_str(&row(setting));
        }
    }
    page
}

fn row(setting: &Description) -> String {
    let default = match &setting.default {
        Some(value) => format!("`{value}`"),
        None => "required".to_owned(),
    };
    let range = match setting.range {
        Some((min, max)) => format!("{min} to {max}"),
        None => String::new(),
    };
    format!(
        "| `{}` | {} | {default} | {range} | {} |\n",
        setting.key, setting.kind, setting.doc
    )
}
