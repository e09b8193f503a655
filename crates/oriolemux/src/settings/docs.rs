//! Renders `docs/SETTINGS.md` from the tables of settings.

use super::spec::Description;
use super::{GatewaySettings, SectionDescription, Settings};

const HEAD: &str = "# Settings

The settings of one instance are a TOML file. `oriolemux check FILE` checks its
text anywhere; `oriolemux serve --settings FILE --check` checks it as a start
would, the files with secrets included. Both report every finding together, as
`file:line:column: problem`. Unknown keys are refused. Relative paths are
resolved against the directory of the settings file. Addresses are IP
addresses; names are not resolved. The settings never contain a secret: they
name a file that holds it (16 to 4096 bytes; whitespace around it is not part
of it).

This page is generated from `crates/oriolemux/src/settings/table.rs`; to
renew it, run the tests of `settings_docs` with `ORIOLEMUX_RENEW=1`.
";

const GATEWAY_HEAD: &str = "
## Instances for HTTP entries

`oriolemux gateway --settings FILE` reads a file of its own. `deploy/gateway.toml` is the template
from which the users' platform generates it; `oriolemux check FILE` distinguishes the two kinds by
the table `[store]`.
";

/// Returns the text of `docs/SETTINGS.md`.
pub fn render() -> String {
    let mut page = String::from(HEAD);
    write_sections(&mut page, "##", &Settings::describe());
    page.push_str(GATEWAY_HEAD);
    write_sections(&mut page, "###", &GatewaySettings::describe());
    page
}

fn write_sections(page: &mut String, level: &str, sections: &[SectionDescription]) {
    for section in sections {
        match section.name {
            "" => page.push_str(&format!("\n{level} Above all sections\n\n")),
            name => page.push_str(&format!("\n{level} `[{name}]`\n\n{}\n\n", section.doc)),
        }
        page.push_str(
            "| key | type | default | range | meaning |\n| --- | --- | --- | --- | --- |\n",
        );
        for setting in &section.settings {
            page.push_str(&row(setting));
        }
    }
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
