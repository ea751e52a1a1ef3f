//! A small JSON parser for the calls to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.skip();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.bytes.get(self.at)? {
            b'{' => {
                let mut fields = BTreeMap::new();
                self.at += 1;
                loop {
                    self.skip();
                    match *self.bytes.get(self.at)? {
                        b'}' => break,
                        b',' => self.at += 1,
                        _ => {
                            let Json::Text(name) = self.value()? else { return None };
                            self.skip();
                            if *self.bytes.get(self.at)? != b':' {
                                return None;
                            }
                            self.at += 1;
                            fields.insert(name, self.value()?);
                        }
                    }
                }
                self.at += 1;
                Some(Json::Object(fields))
            }
            b'[' => {
                let mut items = Vec::new();
                self.at += 1;
                loop {
                    self.skip();
                    match *self.bytes.get(self.at)? {
                        b']' => break,
                        b',' => self.at += 1,
                        _ => items.push(self.value()?),
                    }
                }
                self.at += 1;
                Some(Json::List(items))
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.take("true", Json::Bool(true)),
            b'f' => self.take("false", Json::Bool(false)),
            b'n' => self.take("null", Json::Null),
            _ => {
                let rest = &self.bytes[self.at..];
                let is_number = |byte: &u8| b"+-.0123456789eE".contains(byte);
                let length = rest.iter().take_while(|byte| is_number(byte)).count();
                self.at += length;
                std::str::from_utf8(&rest[..length]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?;
                            self.at += 4;
                            text.extend(char::from_u32(code)?.to_string().as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                byte => text.push(byte),
            }
        }
    }
}
