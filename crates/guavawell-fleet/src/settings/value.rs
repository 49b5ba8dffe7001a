//! Values of settings: each reads itself from TOML and shows itself as TOML.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::InstanceId;
use guavawell_core::id::TokenCount;
use guavawell_core::id::ZoneId;
use toml::de::DeValue;

use super::group::SettingField;
use super::reader::TableReader;
use super::reference::KeyReference;
use super::unit::ByteCount;
use super::unit::ByteRate;
use super::unit::EventTarget;
use super::unit::FilePath;
use super::unit::LogLevel;
use super::unit::ReadRate;
use super::unit::SecretText;
use super::unit::ShareRatio;
use super::unit::WriteRate;

/// A value that a key may have.
pub trait SettingValue: Sized {
    /// What the reference calls it.
    const KIND: &'static str;

    /// Reads the value; paths count from `folder`.
    ///
    /// The error is the finding's sentence.
    fn from_toml(value: &DeValue<'_>, folder: &Path) -> Result<Self, Box<str>>;

    /// The value as TOML.
    fn show(&self) -> Box<str>;
}

fn mismatch<T: SettingValue>(value: &DeValue<'_>) -> Box<str> {
    let (expected, found) = (T::KIND, value.type_str());
    format!("expected {expected}, found {found}").into()
}

fn read_number<T: SettingValue>(value: &DeValue<'_>) -> Result<u64, Box<str>> {
    let DeValue::Integer(integer) = value else {
        return Err(mismatch::<T>(value));
    };
    u64::from_str_radix(integer.as_str(), integer.radix()).map_err(|_| {
        let expected = T::KIND;
        format!("`{integer}` is out of range; expected {expected}, not negative").into()
    })
}

fn read_text<T: SettingValue + FromStr<Err: Display>>(value: &DeValue<'_>) -> Result<T, Box<str>> {
    let DeValue::String(text) = value else {
        return Err(mismatch::<T>(value));
    };
    let parsed: Result<T, _> = text.parse();
    parsed.map_err(|error| {
        let expected = T::KIND;
        format!("`{text}` is not {expected}: {error}").into()
    })
}

/// Makes a value usable as a field of a group.
macro_rules! value_field {
    ($($type:ty),* $(,)?) => {
        $(
            impl SettingField for $type {
                fn read(table: &TableReader<'_>, name: &str) -> Option<Self> {
                    table.value(name)
                }

                fn describe(&self, key: &str, doc: &str, entries: &mut Vec<KeyReference>) {
                    let entry = KeyReference::value(key, doc, Self::KIND, &self.show());
                    entries.push(entry);
                }
            }
        )*
    };
}

/// Values written as a TOML integer.
macro_rules! number_value {
    ($($type:ty, $kind:literal, $make:expr, $plain:expr;)*) => {
        $(
            impl SettingValue for $type {
                const KIND: &'static str = $kind;

                fn from_toml(value: &DeValue<'_>, _folder: &Path) -> Result<Self, Box<str>> {
                    read_number::<Self>(value).and_then($make)
                }

                fn show(&self) -> Box<str> {
                    let plain: fn(&Self) -> u64 = $plain;
                    plain(self).to_string().into()
                }
            }

            value_field!($type);
        )*
    };
}

/// Values written as a TOML string.
macro_rules! text_value {
    ($($type:ty, $kind:literal;)*) => {
        $(
            impl SettingValue for $type {
                const KIND: &'static str = $kind;

                fn from_toml(value: &DeValue<'_>, _folder: &Path) -> Result<Self, Box<str>> {
                    read_text::<Self>(value)
                }

                fn show(&self) -> Box<str> {
                    format!("\"{self}\"").into()
                }
            }

            value_field!($type);
        )*
    };
}

fn narrow(number: u64) -> Result<u32, Box<str>> {
    u32::try_from(number).map_err(|_| format!("`{number}` is too large").into())
}

number_value! {
    u64, "a whole number", Ok, |number| *number;
    u32, "a whole number", narrow, |number| u64::from(*number);
    ByteCount, "a number of bytes", |number| Ok(Self::new(number)), |size| size.get();
    ByteRate, "a number of bytes a second", |number| Ok(Self::new(number)), |rate| rate.get();
    ReadRate, "a number of reads a second", |number| Ok(Self::new(number)), |rate| rate.get();
    WriteRate, "a number of writes a second", |number| Ok(Self::new(number)), |rate| rate.get();
    ClockSpan, "a number of milliseconds", |number| Ok(Self::from_millis(number)), |span| span.as_millis();
    TokenCount, "a number of tokens", |number| Ok(Self::new(number)), |tokens| tokens.get();
}

text_value! {
    SocketAddr, "an address as `IP:port`";
    InstanceId, "an instance id";
    ZoneId, "a zone id";
    LogLevel, "a log level";
}

value_field!(
    bool,
    Box<str>,
    ShareRatio,
    SecretText,
    EventTarget,
    FilePath
);

impl SettingValue for bool {
    const KIND: &'static str = "true or false";

    fn from_toml(value: &DeValue<'_>, _folder: &Path) -> Result<Self, Box<str>> {
        match value {
            DeValue::Boolean(flag) => Ok(*flag),
            _ => Err(mismatch::<Self>(value)),
        }
    }

    fn show(&self) -> Box<str> {
        self.to_string().into()
    }
}

impl SettingValue for Box<str> {
    const KIND: &'static str = "text";

    fn from_toml(value: &DeValue<'_>, _folder: &Path) -> Result<Self, Box<str>> {
        match value {
            DeValue::String(text) => Ok(text.as_ref().into()),
            _ => Err(mismatch::<Self>(value)),
        }
    }

    fn show(&self) -> Box<str> {
        format!("\"{self}\"").into()
    }
}

impl SettingValue for ShareRatio {
    const KIND: &'static str = "a share from 0 to 1";

    fn from_toml(value: &DeValue<'_>, _folder: &Path) -> Result<Self, Box<str>> {
        let text = match value {
            DeValue::Float(float) => float.as_str(),
            DeValue::Integer(integer) => integer.as_str(),
            _ => return Err(mismatch::<Self>(value)),
        };
        let share: Result<Self, _> = text.parse();
        share.map_err(|error| error.to_string().into())
    }

    fn show(&self) -> Box<str> {
        self.to_string().into()
    }
}

impl SettingValue for SecretText {
    const KIND: &'static str = "secret text";

    fn from_toml(value: &DeValue<'_>, _folder: &Path) -> Result<Self, Box<str>> {
        match value {
            DeValue::String(text) => Ok(Self::new(text.as_ref())),
            _ => Err(mismatch::<Self>(value)),
        }
    }

    fn show(&self) -> Box<str> {
        "\"...\"".into()
    }
}

impl SettingValue for FilePath {
    const KIND: &'static str = "a path";

    fn from_toml(value: &DeValue<'_>, folder: &Path) -> Result<Self, Box<str>> {
        match value {
            DeValue::String(text) if text.is_empty() => Err("a path may not be empty".into()),
            DeValue::String(text) => Ok(Self::new(folder.join(text.as_ref()))),
            _ => Err(mismatch::<Self>(value)),
        }
    }

    fn show(&self) -> Box<str> {
        format!("\"{self}\"").into()
    }
}

impl SettingValue for EventTarget {
    const KIND: &'static str = "a path, `-` or `off`";

    fn from_toml(value: &DeValue<'_>, folder: &Path) -> Result<Self, Box<str>> {
        match value {
            DeValue::String(text) if text == "-" => Ok(Self::Stdout),
            DeValue::String(text) if text == "off" => Ok(Self::Off),
            _ => FilePath::from_toml(value, folder).map(Self::File),
        }
    }

    fn show(&self) -> Box<str> {
        format!("\"{self}\"").into()
    }
}

impl<T: SettingValue> SettingValue for Vec<T> {
    const KIND: &'static str = "a list";

    fn from_toml(value: &DeValue<'_>, folder: &Path) -> Result<Self, Box<str>> {
        let DeValue::Array(items) = value else {
            return Err(mismatch::<Self>(value));
        };
        let items = items
            .iter()
            .map(|item| T::from_toml(item.get_ref(), folder));
        items.collect()
    }

    fn show(&self) -> Box<str> {
        let items: Vec<Box<str>> = self.iter().map(T::show).collect();
        format!("[{}]", items.join(", ")).into()
    }
}

impl<T: SettingValue> SettingField for Vec<T> {
    fn read(table: &TableReader<'_>, name: &str) -> Option<Self> {
        table.value(name)
    }

    fn describe(&self, key: &str, doc: &str, entries: &mut Vec<KeyReference>) {
        let kind = format!("a list, each {}", T::KIND);
        entries.push(KeyReference::value(key, doc, &kind, &self.show()));
    }
}

impl<T: SettingField + Default> SettingField for Option<T> {
    fn read(table: &TableReader<'_>, name: &str) -> Option<Self> {
        T::read(table, name).map(Some)
    }

    fn describe(&self, key: &str, doc: &str, entries: &mut Vec<KeyReference>) {
        let first = entries.len();
        T::default().describe(key, doc, entries);
        for entry in &mut entries[first..] {
            entry.leave_unset();
        }
    }
}
