//! Apache's `LogFormat` strings (`mod_log_config`).

use super::error::FormatError;
use super::template::{Builder, Escapes, Field, Template};
use crate::timestamp::TimeFormat;

/// A compiled directive.
enum Directive {
    Field(Field),
    /// `%t`, which writes its time in brackets.
    BracketedTime,
    /// `%%`
    Percent,
}

/// A directive parsed from the start of a text.
struct Parsed<'a> {
    directive: Directive,
    /// Whether it writes the time at which the request ended.
    time_is_end: bool,
    /// The text after the directive.
    rest: &'a str,
}

/// Compiles a `LogFormat` string. Apache logs the start time of a request unless the format contains `%{end:...}t`.
///
/// # Errors
/// The format is invalid, or has no time or no request.
pub fn compile(format: &str) -> Result<Template, FormatError> {
    let (mut builder, mut time_is_end) = (Builder::default(), false);
    let mut rest = format;
    while let Some(special_index) = rest.find(['%', '\\']) {
        builder.literal(&rest[..special_index]);
        let (introducer, following_text) =
            (rest.as_bytes()[special_index], &rest[special_index + 1..]);
        if introducer == b'\\' {
            rest = compile_escape(following_text, &mut builder)?;
            continue;
        }
        let parsed = parse_directive(following_text)?;
        (time_is_end, rest) = (time_is_end | parsed.time_is_end, parsed.rest);
        match parsed.directive {
            Directive::Field(field) => builder.field(field),
            Directive::Percent => builder.literal("%"),
            Directive::BracketedTime => {
                builder.literal("[");
                builder.field(Field::Time(TimeFormat::Clf));
                builder.literal("]");
            }
        }
    }
    builder.literal(rest);
    builder.finish(Escapes::Backslash, time_is_end)
}

/// Adds the character escaped by a backslash and returns the text after it.
fn compile_escape<'a>(
    following_text: &'a str,
    builder: &mut Builder,
) -> Result<&'a str, FormatError> {
    let escaped = following_text
        .chars()
        .next()
        .ok_or(FormatError::TrailingBackslash)?;
    builder.literal(&match escaped {
        'n' => "\n".to_string(),
        't' => "\t".to_string(),
        other => other.to_string(),
    });
    Ok(&following_text[escaped.len_utf8()..])
}

/// Parses `[!CODES|CODES][<|>][{ARGUMENT}]LETTER`, the text after a `%`.
fn parse_directive(following_text: &str) -> Result<Parsed<'_>, FormatError> {
    let body =
        following_text.trim_start_matches(|c: char| c == '!' || c == ',' || c.is_ascii_digit());
    let body = body.trim_start_matches(['<', '>']);
    let (argument, body) = match body.strip_prefix('{') {
        Some(bracketed_text) => {
            let close_index = bracketed_text
                .find('}')
                .ok_or(FormatError::Unclosed("a '{'"))?;
            (
                Some(&bracketed_text[..close_index]),
                &bracketed_text[close_index + 1..],
            )
        }
        None => (None, body),
    };
    let body = body.trim_start_matches(['<', '>']);
    let directive = body.chars().next().ok_or(FormatError::EndsIn("'%'"))?;
    // `%^ti` and `%^to` log trailer fields, which are not used.
    if directive == '^' {
        return Ok(Parsed {
            directive: Directive::Field(Field::Skip),
            time_is_end: false,
            rest: body.get(3..).ok_or(FormatError::EndsIn("'%^'"))?,
        });
    }
    let rest = &body[directive.len_utf8()..];
    let (directive, time_is_end) = match (directive, argument) {
        ('%', _) => (Directive::Percent, false),
        ('t', None) => (Directive::BracketedTime, false),
        ('t', Some(argument)) => {
            let (field, time_is_end) = time_field(argument);
            (Directive::Field(field), time_is_end)
        }
        (directive, argument) => (Directive::Field(field(directive, argument)?), false),
    };
    Ok(Parsed {
        directive,
        time_is_end,
        rest,
    })
}

/// Returns the field of `%{ARGUMENT}t` and whether it is the time at which the request ended.
fn time_field(argument: &str) -> (Field, bool) {
    let (time_is_end, pattern) = match argument.split_once(':') {
        Some(("begin", pattern)) => (false, pattern),
        Some(("end", pattern)) => (true, pattern),
        _ => (false, argument),
    };
    let field = match pattern {
        "" => Field::Time(TimeFormat::Clf),
        "sec" => Field::Time(TimeFormat::Seconds),
        "msec" => Field::Time(TimeFormat::Millis),
        "usec" => Field::Time(TimeFormat::Micros),
        "msec_frac" => Field::Fraction(3),
        "usec_frac" => Field::Fraction(6),
        pattern => Field::Time(TimeFormat::Pattern(pattern.into())),
    };
    (field, time_is_end)
}

/// Returns the field of a directive other than `%t`.
#[allow(clippy::match_same_arms, reason = "a table with one entry per line")]
fn field(directive: char, argument: Option<&str>) -> Result<Field, FormatError> {
    Ok(match (directive, argument) {
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
        ('T', Some(unit)) => return Err(FormatError::UnknownUnit(unit.into())),
        ('i', Some(name)) => Field::Header(name.to_ascii_lowercase()),
        ('C', Some(name)) => Field::Header(format!("cookie.{name}")),
        (
            'a' | 'A' | 'b' | 'B' | 'e' | 'f' | 'H' | 'I' | 'k' | 'l' | 'L' | 'n' | 'o' | 'O' | 'p'
            | 'P' | 'R' | 'S' | 'v' | 'V' | 'X',
            _,
        ) => Field::Skip,
        (directive, _) => return Err(FormatError::UnknownDirective(directive)),
    })
}
