//! The grammar of a message head on `winnow` combinators (RFC 3261 section 25.1, RFC 4904 section 4).
//! `rsip` 0.4 is not used because it rejects a user part with parameters, where RFC 4904 puts the trunk
//! group, and copies each header; see docs/design-notes/front.md.

use crate::message::{CalledParty, Header, Method, ParseError, Start, Via};
use smallvec::SmallVec;
use winnow::ascii::{digit1, line_ending, space0, space1};
use winnow::combinator::{alt, opt, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::Stream;
use winnow::token::{any, one_of, take_till, take_while};

/// Result of a combinator.
type Out<T> = Result<T, ErrMode<ContextError>>;

/// Whether a character may be part of a token.
fn token_char(c: char) -> bool {
    matches!(c, 'a'..='z' | 'A'..='Z' | '0'..='9' | '-' | '.' | '!' | '%' | '*' | '_' | '+' | '`' | '\'' | '~')
}

fn token<'a>(input: &mut &'a str) -> Out<&'a str> {
    take_while(1.., token_char).parse_next(input)
}

fn status_line<'a>(input: &mut &'a str) -> Out<Start<'a>> {
    let code = preceded(("SIP/2.0", space1), take_while(3, |c: char| c.is_ascii_digit()));
    let code = code.verify_map(|d: &str| d.parse::<u16>().ok().filter(|s| (100..700).contains(s)));
    let reason = take_till(0.., ['\r', '\n']);
    (code, opt(' '), reason).map(|(status, _, reason)| Start::Response { status, reason }).parse_next(input)
}

fn request_line<'a>(input: &mut &'a str) -> Out<Start<'a>> {
    let uri = take_till(1.., |c: char| c.is_whitespace() || c.is_control());
    (token, space1, uri, space1, "SIP/2.0")
        .map(|(method, _, uri, _, _)| Start::Request { method: Method::from_name(method), uri })
        .parse_next(input)
}

/// The text up to the end of the line, searched with SIMD instructions.
fn line<'a>(input: &mut &'a str) -> Out<&'a str> {
    let end = memchr::memchr2(b'\r', b'\n', input.as_bytes()).unwrap_or(input.len());
    Ok(input.next_slice(end))
}

/// A header value. A line that begins with white space continues the one before (section 7.3.1); the line
/// break is part of the slice.
fn value<'a>(input: &mut &'a str) -> Out<&'a str> {
    let folded = (line_ending, one_of([' ', '\t']), line);
    terminated((line, repeat::<_, _, (), _, _>(0.., folded.void())).take(), line_ending).parse_next(input)
}

fn header<'a>(input: &mut &'a str) -> Out<Header<'a>> {
    (token, space0, ':', value)
        .map(|(name, _, _, value): (&str, _, _, &str)| Header { name, value: value.trim() })
        .parse_next(input)
}

/// A parsed head: its first line and its header lines.
pub(crate) type Head<'a> = (Start<'a>, SmallVec<[Header<'a>; 24]>);

/// Parses a whole head, including its empty line.
pub(crate) fn head(mut input: &str) -> Result<Head<'_>, ParseError> {
    let input = &mut input;
    let start = terminated(alt((status_line, request_line)), line_ending)
        .parse_next(input)
        .map_err(|_| ParseError::StartLine)?;
    let mut headers = SmallVec::new();
    while !matches!(*input, "\r\n" | "") {
        headers.push(header.parse_next(input).map_err(|_| ParseError::MalformedHeader)?);
    }
    Ok((start, headers))
}

/// The compact form of a header's name.
pub(crate) fn compact(name: &str) -> Option<&'static str> {
    const FORMS: [(&str, &str); 6] = [
        ("Via", "v"),
        ("From", "f"),
        ("To", "t"),
        ("Call-ID", "i"),
        ("Contact", "m"),
        ("Content-Length", "l"),
    ];
    FORMS.iter().find(|(long, _)| long.eq_ignore_ascii_case(name)).map(|f| f.1)
}

/// The topmost Via; none if it is malformed or has no branch.
pub(crate) fn via(text: &str) -> Option<Via<'_>> {
    fn parts<'a>(input: &mut &'a str) -> Out<(&'a str, &'a str)> {
        let protocol = ("SIP", space0, '/', space0, "2.0", space0, '/', space0);
        let by = take_till(1.., |c: char| c.is_whitespace() || c == ';' || c == ',');
        (preceded(protocol, token), preceded(space1, by)).parse_next(input)
    }
    let first = text.split(',').next()?;
    let mut rest = first;
    let (transport, sent_by) = parts(&mut rest).ok()?;
    let branch = parameter(rest, "branch").filter(|b| !b.is_empty())?;
    Some(Via { transport, sent_by, branch })
}

/// The number and the method of a CSeq value.
pub(crate) fn cseq(mut text: &str) -> Option<(u32, Method)> {
    let number = digit1::<_, ErrMode<ContextError>>.verify_map(|d: &str| d.parse::<u32>().ok());
    let out = (number, space1, token).parse_next(&mut text).ok()?;
    Some((out.0, Method::from_name(out.2)))
}

/// The value of the first parameter `;name=value` of that name; empty if it has no value.
pub(crate) fn parameter<'a>(text: &'a str, wanted: &str) -> Option<&'a str> {
    fn one<'a>(input: &mut &'a str) -> Out<(&'a str, &'a str)> {
        let value = alt((
            preceded('"', terminated(take_till(0.., '"'), '"')),
            take_till(0.., [';', ' ', ',', '>', '\t']),
        ));
        let name = preceded((';', space0), token);
        (name, opt(preceded((space0, '=', space0), value)))
            .map(|(n, v)| (n, v.unwrap_or("")))
            .parse_next(input)
    }
    let mut rest = text;
    while !rest.is_empty() {
        match one(&mut rest) {
            Ok((name, value)) if name.eq_ignore_ascii_case(wanted) => return Some(value),
            Ok(_) => {}
            Err(_) => {
                any::<_, ErrMode<ContextError>>.parse_next(&mut rest).ok()?;
            }
        }
    }
    None
}

/// Seconds of a Retry-After value: of its parameter `ms` if there is one, otherwise its whole seconds.
pub(crate) fn retry_after(text: &str) -> Option<f64> {
    if let Some(ms) = parameter(text, "ms").and_then(|v| v.parse::<u32>().ok()) {
        return Some(f64::from(ms) / 1000.0);
    }
    let mut rest = text;
    let seconds: Out<&str> = digit1.parse_next(&mut rest);
    seconds.ok()?.parse::<u32>().ok().map(f64::from)
}

/// The called number and the trunk group of a sip or tel URI.
pub(crate) fn called_party(uri: &str) -> Option<CalledParty<'_>> {
    let rest = uri.strip_prefix("sip:").or_else(|| uri.strip_prefix("tel:"))?;
    // RFC 4904: a sip URI has the parameters of the telephone number in its user part.
    let user = rest.split_once('@').map_or(rest, |(user, _)| user);
    let number = user.split(';').next().filter(|n| !n.is_empty())?;
    let trunk_group = parameter(user.get(number.len()..)?, "tgrp").filter(|t| !t.is_empty());
    Some(CalledParty { number, trunk_group })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message::{host, tag, Message, MAX_HEAD_BYTES};

    const INVITE: &str =
        "INVITE sip:+919876543210;tgrp=idukki;trunk-context=example.org@127.0.0.1 SIP/2.0\r\n\
        v: SIP/2.0/UDP 127.0.0.1:5070;rport;branch=z9hG4bKabc, SIP/2.0/TCP other;branch=z9hG4bKx\r\n\
        From: \"R, 12;tag=no\" <sip:r12@coop.example.org>;tag=a1\r\nTo: <sip:1@h>\r\n\
        i: abc@h\r\nCSeq: 7 INVITE\r\nSubject: folded\r\n over two lines\r\nExpires: 3\r\n\
        Reason: Q.850 ;cause=34;text=\"no, circuit\"\r\nRetry-After: 1;ms=250\r\nl: 4\r\n\r\nbodyextra";

    #[test]
    fn a_message_and_its_headers_are_parsed() {
        let m = Message::parse(INVITE.as_bytes()).unwrap();
        assert_eq!(
            m.called_party(),
            Some(CalledParty { number: "+919876543210", trunk_group: Some("idukki") })
        );
        let via = Via { transport: "UDP", sent_by: "127.0.0.1:5070", branch: "z9hG4bKabc" };
        assert_eq!(m.via(), Ok(via));
        assert_eq!(m.cseq(), Ok((7, Method::Invite)));
        assert_eq!((m.call_id(), m.body, m.expires()), (Ok("abc@h"), &b"body"[..], Some(3.0)));
        assert_eq!((m.q850_cause(), m.retry_after()), (Some(34), Some(0.25)));
        assert_eq!(tag(m.from().unwrap()), Some("a1"));
        assert_eq!(host(m.from().unwrap()), Some("coop.example.org"));
        assert_eq!(m.header("subject"), Some("folded\r\n over two lines"));
    }

    #[test]
    fn each_defect_of_a_message_has_its_own_error() {
        let parse = |s: &str| Message::parse(s.as_bytes()).map(|_| ()).unwrap_err();
        assert_eq!(parse("INVITE sip:a SIP/2.0\r\n"), ParseError::UnterminatedHead);
        assert_eq!(parse("INVITE sip:a SIP/1.0\r\n\r\n"), ParseError::StartLine);
        assert_eq!(parse("SIP/2.0 99 x\r\n\r\n"), ParseError::StartLine);
        assert_eq!(parse("BYE sip:a SIP/2.0\r\nno colon\r\n\r\n"), ParseError::MalformedHeader);
        assert_eq!(parse("BYE sip:a SIP/2.0\r\nl: 5\r\n\r\nabc"), ParseError::BodyLength);
        assert_eq!(parse("BYE sip:a SIP/2.0\r\nl: x\r\n\r\n"), ParseError::RequiredHeader("Content-Length"));
        assert_eq!(Message::parse(b"BYE sip:\xff SIP/2.0\r\n\r\n").unwrap_err(), ParseError::NotUtf8);
    }

    #[test]
    fn a_head_is_limited_by_its_size_alone() {
        let start = "BYE sip:abc SIP/2.0\r\n";
        let lines = (MAX_HEAD_BYTES - start.len() - 2) / "a:\r\n".len();
        let padding = "x".repeat(MAX_HEAD_BYTES - start.len() - 2 - lines * "a:\r\n".len());
        let longest = format!("{start}a:{padding}\r\n{}\r\n", "a:\r\n".repeat(lines - 1));
        assert_eq!(longest.len(), MAX_HEAD_BYTES);
        assert_eq!(Message::parse(longest.as_bytes()).unwrap().headers.len(), lines);
        let too_long = longest.replacen("a:", "a:x", 1);
        assert_eq!(Message::parse(too_long.as_bytes()).unwrap_err(), ParseError::HeadTooLong);
    }
}
