//! A small JSON reader for the bodies that the deployed program sends to the store.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`, `true` or `false`.
    Word(String),
    /// A number.
    Number(f64),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Json>),
    /// An object, in the order of its members.
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a document; `None` if it is malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            place: 0,
        };
        let value = reader.value()?;
        reader.skip_space();
        (reader.place == reader.bytes.len()).then_some(value)
    }

    /// A member of an object.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Object(members) = self else {
            return None;
        };
        let found = members.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value)
    }

    /// The text of a string member, or an empty text.
    #[must_use]
    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    /// A whole number member.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Self::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    /// The entries of an array member.
    #[must_use]
    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(entries)) => entries,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    place: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.place += 1;
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.place).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.peek()? == byte).then(|| self.place += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.peek()? {
            b'"' => self.text().map(Json::Text),
            b'[' => self.list(),
            b'{' => self.object(),
            _ => self.word(),
        }
    }

    fn word(&mut self) -> Option<Json> {
        let rest = &self.bytes[self.place..];
        let is_end = |byte: &u8| b",]} \t\r\n".contains(byte);
        let length = rest.iter().position(is_end).unwrap_or(rest.len());
        let word = std::str::from_utf8(&rest[..length]).ok()?;
        self.place += length;
        match word {
            "null" | "true" | "false" => Some(Json::Word(word.to_string())),
            number => number.parse().ok().map(Json::Number),
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut entries = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(entries));
        }
        loop {
            entries.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(entries));
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut members = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(members));
        }
        loop {
            self.skip_space();
            let name = self.text()?;
            self.take(b':')?;
            members.push((name, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(members));
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = self.peek()?;
            self.place += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let mark = self.peek()?;
                    self.place += 1;
                    let escaped = match mark {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => self.code_point()?,
                        other => char::from(other),
                    };
                    bytes.extend_from_slice(escaped.encode_utf8(&mut [0; 4]).as_bytes());
                }
                other => bytes.push(other),
            }
        }
    }

    fn code_point(&mut self) -> Option<char> {
        let digits = self.bytes.get(self.place..self.place + 4)?;
        self.place += 4;
        let digits = std::str::from_utf8(digits).ok()?;
        char::from_u32(u32::from_str_radix(digits, 16).ok()?)
    }
}
