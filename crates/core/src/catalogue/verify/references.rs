//! Checks that names are unique and that references point to defined names.

use super::fields::Fields;
use crate::catalogue::source::{EntrySource, Field, Given, IndexSource, ModelSource};
use crate::findings::catalogue::{Problem as CatalogueProblem, nearest_of, quoted};
use crate::findings::{Findings, Place, Problem};
use std::collections::BTreeMap;

/// The place of the first definition of each name.
pub type Places<'s> = BTreeMap<&'s str, Place>;

/// The names that entries may refer to.
#[derive(Debug, Default)]
pub struct Names<'s> {
    classes: Places<'s>,
    services: Places<'s>,
    /// The versions of each model, with the table that defines each version.
    models: BTreeMap<&'s str, BTreeMap<&'s str, &'s ModelSource>>,
}

/// Collects the names that an index defines, and reports duplicate definitions.
pub fn collect<'s>(source: &'s IndexSource, findings: &mut Findings) -> Names<'s> {
    let mut names = Names::default();
    for class in &source.classes {
        unique("class", &class.name, &mut names.classes, findings);
    }
    for service in &source.services {
        unique("service", &service.name, &mut names.services, findings);
    }
    for model in &source.models {
        collect_model(model, &mut names, findings);
    }
    let mut entries = Places::new();
    for entry in &source.entries {
        unique("entry", &entry.name, &mut entries, findings);
    }
    names
}

fn collect_model<'s>(model: &'s ModelSource, names: &mut Names<'s>, findings: &mut Findings) {
    let (Some(name), Some(version)) = (model.name.given(), model.version.given()) else {
        return;
    };
    let versions = names.models.entry(&name.value).or_default();
    match versions.get(version.value.as_str()) {
        Some(first) => {
            let problem = CatalogueProblem::Duplicate {
                what: "model",
                name: quoted(&format!("{} {}", name.value, version.value)),
                first: first.place,
            };
            findings.push(name.place, Problem::Catalogue(problem));
        }
        None => {
            versions.insert(&version.value, model);
        }
    }
}

/// Reports `name` if it was defined before, and otherwise records its place.
pub fn unique<'s>(
    what: &'static str,
    name: &'s Field<String>,
    places: &mut Places<'s>,
    findings: &mut Findings,
) {
    if let Some(given) = name.given() {
        unique_text(what, given, places, findings);
    }
}

/// Reports `name` if it was defined before, and otherwise records its place.
pub fn unique_text<'s>(
    what: &'static str,
    name: &'s Given<String>,
    places: &mut Places<'s>,
    findings: &mut Findings,
) {
    match places.get(name.value.as_str()) {
        Some(first) => {
            let problem = CatalogueProblem::Duplicate {
                what,
                name: quoted(&name.value),
                first: *first,
            };
            findings.push(name.place, Problem::Catalogue(problem));
        }
        None => {
            places.insert(&name.value, name.place);
        }
    }
}

/// Checks the class that an entry names.
pub fn class_of(entry: &EntrySource, names: &Names<'_>, findings: &mut Findings) {
    if let Some(class) = entry.class.given() {
        known("class", class, names.classes.keys().copied(), findings);
    }
}

/// Checks the model or service that an entry names.
pub fn target_of(entry: &EntrySource, names: &Names<'_>, findings: &mut Findings) {
    let names_model = !matches!(entry.model, Field::Absent);
    let names_service = !matches!(entry.service, Field::Absent);
    if names_model == names_service {
        let problem = CatalogueProblem::NoSingleTarget;
        findings.push(entry.place, Problem::Catalogue(problem));
        return;
    }
    if names_service {
        return service_of(entry, names, findings);
    }
    if let Some(model) = entry.model.given() {
        model_of(entry, model, names, findings);
    }
}

fn service_of(entry: &EntrySource, names: &Names<'_>, findings: &mut Findings) {
    if let Some(service) = entry.service.given() {
        known("service", service, names.services.keys().copied(), findings);
    }
    let mut fields = Fields::new("entry", entry.place, findings);
    fields.model_only("version", &entry.version);
    fields.model_only("adapter", &entry.adapter);
}

fn model_of(entry: &EntrySource, name: &Given<String>, names: &Names<'_>, findings: &mut Findings) {
    let Some(versions) = names.models.get(name.value.as_str()) else {
        return unknown("model", name, names.models.keys().copied(), findings);
    };
    let Some(model) = version_of(entry, name, versions, findings) else {
        return;
    };
    let (Some(adapter), Some(adapters)) = (entry.adapter.given(), adapters_of(model)) else {
        return;
    };
    known("adapter", adapter, adapters, findings);
}

fn version_of<'s>(
    entry: &EntrySource,
    name: &Given<String>,
    versions: &BTreeMap<&'s str, &'s ModelSource>,
    findings: &mut Findings,
) -> Option<&'s ModelSource> {
    let Some(version) = entry.version.given() else {
        if versions.len() > 1 && matches!(entry.version, Field::Absent) {
            let name = quoted(&name.value);
            let problem = CatalogueProblem::AmbiguousVersion { name };
            findings.push(entry.place, Problem::Catalogue(problem));
            return None;
        }
        return versions.values().next().copied();
    };
    let model = versions.get(version.value.as_str());
    if model.is_none() {
        unknown("version", version, versions.keys().copied(), findings);
    }
    model.copied()
}

/// Returns the adapters of a model, or `None` if they are unreadable.
fn adapters_of(model: &ModelSource) -> Option<impl Iterator<Item = &str> + Clone> {
    let adapters = match &model.adapters {
        Field::Absent => &[],
        Field::Unreadable => return None,
        Field::Given(given) => given.value.as_slice(),
    };
    Some(adapters.iter().map(|adapter| adapter.value.as_str()))
}

fn known<'s>(
    what: &'static str,
    name: &Given<String>,
    existing: impl Iterator<Item = &'s str> + Clone,
    findings: &mut Findings,
) {
    if !existing.clone().any(|known| known == name.value) {
        unknown(what, name, existing, findings);
    }
}

fn unknown<'s>(
    what: &'static str,
    name: &Given<String>,
    existing: impl Iterator<Item = &'s str>,
    findings: &mut Findings,
) {
    let nearest = if findings.is_full() {
        None
    } else {
        nearest_of(&name.value, existing)
    };
    let problem = Problem::UnknownName {
        what,
        name: quoted(&name.value),
        nearest,
    };
    findings.push(name.place, problem);
}
