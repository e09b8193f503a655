//! How one setting is described.

use super::value::Value;

/// What applies when a setting is absent.
#[derive(Clone, Debug)]
pub(super) enum Absent<T> {
    /// It must be given.
    Refused,
    /// This value applies.
    Default(T),
}

/// The rules of one setting.
#[derive(Clone, Debug)]
pub(super) struct Spec<T> {
    pub(super) absent: Absent<T>,
    pub(super) range: Option<(i64, i64)>,
}

/// A setting that must be given.
pub(super) fn required<T>() -> Spec<T> {
    Spec {
        absent: Absent::Refused,
        range: None,
    }
}

/// A setting that has a default.
pub(super) fn default<T>(value: T) -> Spec<T> {
    Spec {
        absent: Absent::Default(value),
        range: None,
    }
}

impl<T> Spec<T> {
    /// Bounds a number; both ends are allowed.
    pub(super) fn range(mut self, min: i64, max: i64) -> Self {
        debug_assert!(min <= max);
        self.range = Some((min, max));
        self
    }
}

/// The description of one setting in the docs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Description {
    /// The key, with the section in front.
    pub key: String,
    /// The type in words, for example `integer`.
    pub kind: &'static str,
    /// The default in TOML, or `None` if the setting must be given.
    pub default: Option<String>,
    /// The least and the greatest value of a number.
    pub range: Option<(i64, i64)>,
    /// What it means and why one would change it.
    pub doc: String,
}

/// Describes the setting `field` of `section`.
pub(super) fn describe<T: Value>(
    section: &str,
    field: &str,
    doc_lines: &[&str],
    spec: &Spec<T>,
) -> Description {
    let key = match section {
        "" => field.to_owned(),
        _ => format!("{section}.{field}"),
    };
    let doc_lines: Vec<&str> = doc_lines.iter().map(|line| line.trim()).collect();
    Description {
        key,
        kind: T::KIND,
        default: match &spec.absent {
            Absent::Refused => None,
            Absent::Default(value) => Some(value.to_toml()),
        },
        range: spec.range,
        doc: doc_lines.join(" "),
    }
}
