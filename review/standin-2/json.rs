//! A small JSON reader, enough for the answers of the system.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn u64(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    space(bytes, at);
    match bytes.get(*at)? {
        b'{' => object(bytes, at),
        b'[' => list(bytes, at),
        b'"' => text(bytes, at).map(Json::Text),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => number(bytes, at),
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn number(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let start = *at;
    while *at < bytes.len() && b"+-.eE0123456789".contains(&bytes[*at]) {
        *at += 1;
    }
    let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
    text.parse().ok().map(Json::Number)
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let escaped = *bytes.get(*at + 1)?;
                *at += 2;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        let character = char::from_u32(code).unwrap_or('?');
                        out.extend(character.to_string().as_bytes());
                        *at += 4;
                    }
                    other => out.push(other),
                }
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}

fn list(bytes: &[u8], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut items = Vec::new();
    loop {
        space(bytes, at);
        match bytes.get(*at)? {
            b']' => {
                *at += 1;
                return Some(Json::List(items));
            }
            b',' => *at += 1,
            _ => items.push(value(bytes, at)?),
        }
    }
}

fn object(bytes: &[u8], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut fields = Vec::new();
    loop {
        space(bytes, at);
        match bytes.get(*at)? {
            b'}' => {
                *at += 1;
                return Some(Json::Object(fields));
            }
            b',' => *at += 1,
            _ => {
                let name = text(bytes, at)?;
                space(bytes, at);
                if bytes.get(*at) != Some(&b':') {
                    return None;
                }
                *at += 1;
                fields.push((name, value(bytes, at)?));
            }
        }
    }
}
