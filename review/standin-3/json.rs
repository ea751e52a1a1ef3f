//! A small JSON reader, and base64, for the calls that the stand-ins receive.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// `null`, `true` or `false`.
    Word(String),
    /// A number.
    Number(f64),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Value>),
    /// An object.
    Object(BTreeMap<String, Value>),
}

impl Value {
    /// Reads a value; `None` if the bytes are none.
    pub fn parse(bytes: &[u8]) -> Option<Value> {
        let text: Vec<char> = std::str::from_utf8(bytes).ok()?.chars().collect();
        Parser { text, at: 0 }.value()
    }

    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    /// Returns a field that is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Value::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    /// Returns a field that is a string.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the entries of a field that is an array.
    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Value::List(values)) => values,
            _ => &[],
        }
    }
}

struct Parser {
    text: Vec<char>,
    at: usize,
}

impl Parser {
    fn peek(&mut self) -> Option<char> {
        while self.text.get(self.at).is_some_and(|char| char.is_whitespace()) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn take(&mut self, char: char) -> Option<()> {
        let is_next = self.peek()? == char;
        self.at += usize::from(is_next);
        is_next.then_some(())
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.text().map(Value::Text),
            _ => self.word(),
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.take('{')?;
        let mut fields = BTreeMap::new();
        while self.peek()? != '}' {
            let name = self.text()?;
            self.take(':')?;
            fields.insert(name, self.value()?);
            self.take(',');
        }
        self.take('}')?;
        Some(Value::Object(fields))
    }

    fn list(&mut self) -> Option<Value> {
        self.take('[')?;
        let mut values = Vec::new();
        while self.peek()? != ']' {
            values.push(self.value()?);
            self.take(',');
        }
        self.take(']')?;
        Some(Value::List(values))
    }

    fn text(&mut self) -> Option<String> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let char = *self.text.get(self.at)?;
            self.at += 1;
            match char {
                '"' => return Some(text),
                '\\' => {
                    text.push(*self.text.get(self.at)?);
                    self.at += 1;
                }
                _ => text.push(char),
            }
        }
    }

    fn word(&mut self) -> Option<Value> {
        let start = self.at;
        let ends = |char: &char| ",]}".contains(*char) || char.is_whitespace();
        while self.text.get(self.at).is_some_and(|char| !ends(char)) {
            self.at += 1;
        }
        let word: String = self.text[start..self.at].iter().collect();
        if word.is_empty() {
            return None;
        }
        Some(word.parse().map_or(Value::Word(word), Value::Number))
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits =
            (0..3).fold(0u32, |bits, at| bits << 8 | u32::from(part.get(at).copied().unwrap_or(0)));
        for at in 0..4 {
            let index = (bits >> (18 - 6 * at)) & 63;
            let char = if at <= part.len() { ALPHABET[index as usize] } else { b'=' };
            text.push(char::from(char));
        }
    }
    text
}

/// Decodes base64 with padding.
pub fn decode_base64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|char| ALPHABET.iter().position(|other| *other == char))
        .map(|index| index as u32)
        .collect();
    let mut bytes = Vec::new();
    for part in digits.chunks(4) {
        let bits = (0..4).fold(0u32, |bits, at| bits << 6 | part.get(at).copied().unwrap_or(0));
        let all = [(bits >> 16) as u8, (bits >> 8) as u8, bits as u8];
        bytes.extend_from_slice(&all[..part.len().saturating_sub(1)]);
    }
    bytes
}
