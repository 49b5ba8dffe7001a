//! How a group of settings is declared, read and described.

use super::reader::TableReader;
use super::reference::KeyReference;

/// A setting or a group of settings.
pub trait SettingField: Sized {
    /// Reads the key `name` of `table`; `None` if it is absent or wrong.
    /// Findings go to the reader.
    fn read(table: &TableReader<'_>, name: &str) -> Option<Self>;

    /// Appends the reference entries of `key`, with `self` as the default.
    fn describe(&self, key: &str, doc: &str, entries: &mut Vec<KeyReference>);
}

/// Declares a settings struct with `Default`, a reader and a reference entry
/// for each field, all from one list of fields.
macro_rules! settings_group {
    (
        $(#[doc = $group_doc:literal])*
        pub struct $name:ident {
            $(
                $(#[doc = $doc:literal])*
                $field:ident: $type:ty = $default:expr;
            )*
        }
    ) => {
        $(#[doc = $group_doc])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $(
                $(#[doc = $doc])*
                pub $field: $type,
            )*
        }

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        impl $name {
            /// The names of the group's keys.
            pub(crate) const KEYS: &'static [&'static str] = &[$(stringify!($field)),*];

            fn read_table(table: &crate::settings::reader::TableReader<'_>) -> Self {
                let mut settings = Self::default();
                $(
                    if let Some(value) =
                        crate::settings::group::SettingField::read(table, stringify!($field))
                    {
                        settings.$field = value;
                    }
                )*
                settings
            }
        }

        impl crate::settings::group::SettingField for $name {
            fn read(
                table: &crate::settings::reader::TableReader<'_>,
                name: &str,
            ) -> Option<Self> {
                let group = table.group(name, Self::KEYS)?;
                Some(Self::read_table(&group))
            }

            fn describe(
                &self,
                key: &str,
                doc: &str,
                entries: &mut Vec<crate::settings::reference::KeyReference>,
            ) {
                entries.push(crate::settings::reference::KeyReference::group(key, doc));
                $(
                    let field_doc = concat!($($doc, "\n"),*);
                    let field_key = crate::settings::reader::join_key(key, stringify!($field));
                    crate::settings::group::SettingField::describe(
                        &self.$field, &field_key, field_doc, entries,
                    );
                )*
            }
        }
    };
}
