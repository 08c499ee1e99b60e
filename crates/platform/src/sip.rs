//! Strict parsing of the callers' SIP messages, and the messages written to callers.

use crate::lines::call_id;
use shalespindle_signalling::message::CalledParty;
use shalespindle_signalling::write::{ResponseHead, Writer};
use shalespindle_signalling::{Message, Method};

/// The part of a set-up that is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadForm(pub &'static str);

/// The contents of a set-up.
#[derive(Debug, PartialEq)]
pub struct SetUpRequest<'a> {
    pub number: &'a str,
    pub procedure: usize,
    /// How long the caller waits, seconds.
    pub patience: f64,
    pub first_choice: Option<u16>,
    pub description: &'a str,
}

/// The parameters of `X-Route`.
#[derive(Debug, Default, PartialEq)]
pub struct Route<'a> {
    pub first_choice: Option<u16>,
    /// The signalling server at which the call is already established.
    pub at: Option<&'a str>,
}

pub fn route<'a>(message: &Message<'a>) -> Result<Route<'a>, BadForm> {
    let mut route = Route::default();
    let Some(text) = message.header("X-Route") else { return Ok(route) };
    for part in text.split(';').map(str::trim).filter(|p| !p.is_empty()) {
        let (name, value) = part.split_once(':').ok_or(BadForm("X-Route"))?;
        match name {
            "dest" => route.first_choice = Some(value.parse().map_err(|_| BadForm("X-Route dest"))?),
            "at" if value.is_empty() => return Err(BadForm("X-Route at")),
            "at" => route.at = Some(value),
            "width" => {
                let width: f64 = value.parse().map_err(|_| BadForm("X-Route width"))?;
                if !(width > 0.0 && width <= f64::from(u16::MAX)) {
                    return Err(BadForm("X-Route width"));
                }
            }
            "via" => {
                let via: f64 = value.parse().map_err(|_| BadForm("X-Route via"))?;
                if !(-1.0..=f64::from(u16::MAX)).contains(&via) {
                    return Err(BadForm("X-Route via"));
                }
            }
            "again" if !matches!(value, "0" | "1") => return Err(BadForm("X-Route again")),
            _ => {}
        }
    }
    Ok(route)
}

/// The id of the call that a message belongs to.
pub fn id(message: &Message) -> Option<u64> {
    message.call_id().ok().and_then(call_id)
}

/// Parses a set-up; `procedures` holds the names and the longest time in seconds that a caller of each may
/// wait.
pub fn read_set_up<'a>(
    message: &Message<'a>,
    route: &Route,
    procedures: &[(String, f64)],
) -> Result<SetUpRequest<'a>, BadForm> {
    if message.cseq().map(|c| c.1) != Ok(Method::Invite) {
        return Err(BadForm("CSeq"));
    }
    let class = message.header("X-Service").ok_or(BadForm("X-Service"))?;
    let procedure = procedures.iter().position(|p| p.0 == class).ok_or(BadForm("X-Service"))?;
    let ms = message.header("X-Setup-Ms").and_then(|v| v.parse::<f64>().ok()).ok_or(BadForm("X-Setup-Ms"))?;
    // No caller waits longer than the T-timer, so a larger value is malformed.
    if !(ms > 0.0 && ms <= 1000.0 * procedures[procedure].1 + 1.0) {
        return Err(BadForm("X-Setup-Ms"));
    }
    let Some(CalledParty { number, .. }) = message.called_party() else { return Err(BadForm("Request-URI")) };
    let description = std::str::from_utf8(message.body).map_err(|_| BadForm("description"))?;
    if description.is_empty() {
        return Err(BadForm("description"));
    }
    Ok(SetUpRequest {
        number,
        procedure,
        patience: ms / 1000.0,
        first_choice: route.first_choice,
        description,
    })
}

/// The called number as passed to `Control`; 0 if it is not hexadecimal.
pub fn number(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or(0)
}

pub fn answer(head: &ResponseHead, description: &str) -> Vec<u8> {
    Writer::response(200, head).finish_with(description.as_bytes())
}

/// A final answer without a call; `pause` is the advised retry pause in seconds.
pub fn refusal(status: u16, head: &ResponseHead, pause: Option<f64>) -> Vec<u8> {
    let mut writer = Writer::response(status, head);
    if let Some(pause) = pause.filter(|p| *p > 0.0) {
        writer = writer.with_args("Retry-After-Ms", format_args!("{}", (pause * 1000.0).ceil() as u64));
    }
    writer.finish()
}

/// An error response where the message's head is not known.
pub fn unreadable(status: u16) -> Vec<u8> {
    Writer::response(status, &ResponseHead::empty()).finish()
}

/// An error response to a whole message that could not be parsed.
pub fn unparsed(status: u16, frame: &[u8]) -> Vec<u8> {
    Writer::response(status, &ResponseHead::for_unparsed(frame)).finish()
}

pub fn bye(id: u64, cause: u16) -> Vec<u8> {
    Writer::request(Method::Bye, "sip:peer@net")
        .with_args("Via", format_args!("SIP/2.0/TCP peer;branch=z9hG4bK{id:016x}"))
        .with_args("Call-ID", format_args!("{id:016x}"))
        .with("CSeq", "2 BYE")
        .with_args("Reason", format_args!("Q.850;cause={cause}"))
        .finish()
}

#[cfg(test)]
#[path = "sip_tests.rs"]
mod tests;
