//! The macro that generates settings from a table of rows.

/// Generates the types, the reader and the descriptions of the settings.
///
/// A row is `name: type = rules;` below the sentences that the docs show.
macro_rules! settings {
    (
        $(#[doc = $table_doc:literal])* root $Root:ident { $($(#[doc = $root_doc:literal])* $root_field:ident: $root_ty:ty = $root_spec:expr;)* }
        $(
            $(#[doc = $section_doc:literal])*
            $section:ident: $Section:ident {
                $($(#[doc = $doc:literal])* $field:ident: $ty:ty = $spec:expr;)*
            }
        )*
    ) => {
        $(#[doc = $table_doc])*
        #[derive(Clone, Debug)]
        pub struct $Root {
            /// The file that the settings came from, as it was named.
            pub file: String,
            $($(#[doc = $root_doc])* pub $root_field: $root_ty,)*
            $($(#[doc = $section_doc])* pub $section: $Section,)*
        }

        impl $Root {
            /// Reads all tables; `None` means that findings were pushed.
            pub(in crate::settings) fn read(root: &mut $crate::settings::reader::SectionReader<'_>) -> Option<Self> {
                root.report_unknown_keys(&[$(stringify!($root_field),)* $(stringify!($section),)*]);
                $(let $root_field = root.field(stringify!($root_field), $root_spec);)*
                $(let $section = $Section::read(&mut root.section(stringify!($section)));)*
                Some($Root {
                    file: root.file().to_owned(),
                    $($root_field: $root_field?,)*
                    $($section: $section?,)*
                })
            }

            /// Describes every setting, in the order of the table.
            pub fn describe() -> Vec<$crate::settings::SectionDescription> {
                vec![
                    $crate::settings::SectionDescription {
                        name: "",
                        doc: String::new(),
                        settings: vec![$({
                            let spec: $crate::settings::spec::Spec<$root_ty> = $root_spec;
                            $crate::settings::spec::describe("", stringify!($root_field), &[$($root_doc),*], &spec)
                        },)*],
                    },
                    $($Section::describe(),)*
                ]
            }
        }

        $(
            $(#[doc = $section_doc])*
            #[derive(Clone, Debug)]
            pub struct $Section {
                $($(#[doc = $doc])* pub $field: $ty,)*
            }

            impl $Section {
                fn read(section: &mut $crate::settings::reader::SectionReader<'_>) -> Option<Self> {
                    section.report_unknown_keys(&[$(stringify!($field),)*]);
                    $(let $field = section.field(stringify!($field), $spec);)*
                    Some($Section { $($field: $field?,)* })
                }

                fn describe() -> $crate::settings::SectionDescription {
                    $crate::settings::SectionDescription {
                        name: stringify!($section),
                        doc: [$($section_doc),*].map(str::trim).join(" "),
                        settings: vec![$({
                            let spec: $crate::settings::spec::Spec<$ty> = $spec;
                            $crate::settings::spec::describe(stringify!($section), stringify!($field), &[$($doc),*], &spec)
                        },)*],
                    }
                }
            }
        )*
    };
}

pub(super) use settings;
