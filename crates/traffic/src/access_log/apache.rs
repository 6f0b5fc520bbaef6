//! Apache's `LogFormat` strings (mod_log_config).

use super::template::{Builder, Escapes, Field, Template};
use crate::timestamp::TimeFormat;

/// Compiles a `LogFormat` string. Apache logs when a request began, unless the format says otherwise.
///
/// # Errors
/// What in it is not understood.
pub fn compile(format: &str) -> Result<Template, String> {
    let (mut builder, mut end) = (Builder::default(), false);
    let mut rest = format;
    while let Some(at) = rest.find(['%', '\\']) {
        builder.literal(&rest[..at]);
        let (introducer, after) = (rest.as_bytes()[at], &rest[at + 1..]);
        if introducer == b'\\' {
            let escaped = after
                .chars()
                .next()
                .ok_or("the format ends in a backslash")?;
            builder.literal(&match escaped {
                'n' => "\n".to_string(),
                't' => "\t".to_string(),
                other => other.to_string(),
            });
            rest = &after[escaped.len_utf8()..];
            continue;
        }
        // %[!CODES|CODES][<|>][{ARGUMENT}]LETTER
        let body = after.trim_start_matches(|c: char| c == '!' || c == ',' || c.is_ascii_digit());
        let body = body.trim_start_matches(['<', '>']);
        let (argument, body) = match body.strip_prefix('{') {
            Some(inner) => {
                let close = inner
                    .find('}')
                    .ok_or("a '{' in the format is never closed")?;
                (Some(&inner[..close]), &inner[close + 1..])
            }
            None => (None, body),
        };
        let body = body.trim_start_matches(['<', '>']);
        let directive = body.chars().next().ok_or("the format ends in '%'")?;
        // `%^ti` and `%^to` are trailers.
        if directive == '^' {
            rest = body.get(3..).ok_or("the format ends in '%^'")?;
            builder.field(Field::Skip);
            continue;
        }
        rest = &body[directive.len_utf8()..];
        let field = match (directive, argument) {
            ('%', _) => {
                builder.literal("%");
                continue;
            }
            ('t', None) => {
                builder.literal("[");
                builder.field(Field::Time(TimeFormat::Clf));
                builder.literal("]");
                continue;
            }
            ('t', Some(argument)) => {
                let (of_end, pattern) = match argument.split_once(':') {
                    Some(("begin", pattern)) => (false, pattern),
                    Some(("end", pattern)) => (true, pattern),
                    _ => (false, argument),
                };
                end |= of_end;
                match pattern {
                    "" => Field::Time(TimeFormat::Clf),
                    "sec" => Field::Time(TimeFormat::Seconds),
                    "msec" => Field::Time(TimeFormat::Millis),
                    "usec" => Field::Time(TimeFormat::Micros),
                    "msec_frac" => Field::Fraction(3),
                    "usec_frac" => Field::Fraction(6),
                    pattern => Field::Time(TimeFormat::Pattern(pattern.into())),
                }
            }
            ('h', _) => Field::Peer,
            ('a', None) => Field::Peer,
            ('u', _) => Field::User,
            ('r', _) => Field::Request,
            ('m', _) => Field::Method,
            ('U', _) => Field::Target,
            ('q', _) => Field::Query,
            ('s', _) => Field::Status,
            ('D', _) => Field::Took(1),
            ('T', None | Some("s")) => Field::Took(1_000_000),
            ('T', Some("ms")) => Field::Took(1_000),
            ('T', Some("us")) => Field::Took(1),
            ('T', Some(unit)) => return Err(format!("%{{{unit}}}T: the unit must be s, ms or us")),
            ('i', Some(name)) => Field::Header(name.to_ascii_lowercase()),
            ('C', Some(name)) => Field::Header(format!("cookie.{name}")),
            (
                'a' | 'A' | 'b' | 'B' | 'e' | 'f' | 'H' | 'I' | 'k' | 'l' | 'L' | 'n' | 'o' | 'O'
                | 'p' | 'P' | 'R' | 'S' | 'v' | 'V' | 'X',
                _,
            ) => Field::Skip,
            (directive, _) => {
                return Err(format!(
                    "%{directive} is no directive of Apache's LogFormat"
                ));
            }
        };
        builder.field(field);
    }
    builder.literal(rest);
    builder.done(Escapes::Backslash, end)
}
