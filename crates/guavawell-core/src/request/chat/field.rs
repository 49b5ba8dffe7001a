//! A JSON object as a list of fields with unparsed values.

use std::borrow::Cow;
use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde_json::value::RawValue;

/// One field of an object.
pub(super) struct BodyField<'a> {
    /// The field's name.
    pub name: Cow<'a, str>,
    /// The field's unparsed value.
    pub value: &'a RawValue,
}

/// The fields of an object, in order. A name may appear more than once.
pub(super) struct BodyFields<'a>(pub Vec<BodyField<'a>>);

impl<'a> BodyFields<'a> {
    /// The first value of `name`; `null` counts as absent.
    pub fn value(&self, name: &str) -> Option<&'a RawValue> {
        let field = self.0.iter().find(|field| field.name == name)?;
        (field.value.get() != "null").then_some(field.value)
    }

    /// The names that appear more than once.
    pub fn duplicates(&self) -> impl Iterator<Item = &str> {
        let fields = self.0.iter().enumerate();
        fields.filter_map(|(place, field)| {
            let earlier = &self.0[..place];
            let is_duplicate = earlier.iter().any(|other| other.name == field.name);
            is_duplicate.then_some(&*field.name)
        })
    }
}

/// A field's name, borrowed if it contains no escape sequence.
#[derive(Deserialize)]
struct FieldName<'a>(#[serde(borrow)] Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for BodyFields<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = BodyFields<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut fields = Vec::new();
        while let Some(FieldName(name)) = map.next_key()? {
            let value = map.next_value()?;
            fields.push(BodyField { name, value });
        }
        Ok(BodyFields(fields))
    }
}
