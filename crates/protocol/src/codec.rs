//! Encoding of frames: a length prefix of four bytes (big endian), then the message in Cap'n Proto's stream encoding.
//! The schema is `schema/internal.capnp`.

mod agent;
mod client;
mod common;
mod member;

use crate::internal::Frame;
use crate::internal_capnp::frame;
use capnp::message::{Builder, HeapAllocator, ReaderOptions};
use capnp::serialize;
use snafu::Snafu;

/// Longest message that is accepted, in bytes, without its length prefix.
pub const FRAME_BYTES_MAX: usize = 64 << 20;
/// Size of the length prefix of each message, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// Words allocated for a message without long fields; a larger message allocates more while it is written.
const INITIAL_WORDS: u32 = 96;
/// Bytes of one word of the Cap'n Proto encoding.
const WORD_BYTES: usize = 8;
/// Upper limit on reads per word of a message, on average. It protects against amplification: a small message whose
/// pointers all lead to the same words cannot expand into a large one.
const READS_PER_WORD_MAX: usize = 4;
/// Words that may be read in any message, however short.
const READ_LIMIT_WORDS_MIN: usize = 1_024;

/// Bytes that are not a valid frame.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The length prefix is above [`FRAME_BYTES_MAX`].
    #[snafu(display("a frame of {length} bytes exceeds the limit of {FRAME_BYTES_MAX} bytes"))]
    TooLong {
        /// Value of the length prefix, in bytes.
        length: usize,
    },
    /// The message is not valid Cap'n Proto, violates the schema, or exceeds the read limit.
    #[snafu(display("a frame cannot be decoded: {source}"))]
    Malformed {
        /// The decoder's error.
        source: capnp::Error,
    },
}

/// Encodes a frame, with its length prefix.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let allocator = HeapAllocator::new().first_segment_words(initial_words(frame));
    let mut message = Builder::new(allocator);
    write_frame(message.init_root(), frame);
    let length = serialize::compute_serialized_size_in_words(&message) * WORD_BYTES;
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + length);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    // Writing to a `Vec` does not fail.
    let _ = serialize::write_message(&mut bytes, &message);
    bytes
}

/// Decodes the first frame in `bytes` and returns it with the number of bytes it takes, length prefix included;
/// `None` while the frame is incomplete.
///
/// # Errors
///
/// [`CodecError`] if the frame is invalid, whatever bytes follow.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame, usize)>, CodecError> {
    let Some(prefix) = bytes.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > FRAME_BYTES_MAX {
        return Err(CodecError::TooLong { length });
    }
    let Some(body) = bytes.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
        return Ok(None);
    };
    let frame = decode_body(body).map_err(|source| CodecError::Malformed { source })?;
    Ok(Some((frame, LENGTH_BYTES + length)))
}

/// Number of bytes that are missing until `bytes` begin with a complete frame; 0 if the frame is complete or its length
/// is above the limit. Without a complete length prefix, only the rest of the prefix is counted.
pub fn missing_bytes(bytes: &[u8]) -> usize {
    match bytes.first_chunk::<LENGTH_BYTES>() {
        Some(prefix) => match u32::from_be_bytes(*prefix) as usize {
            length if length > FRAME_BYTES_MAX => 0,
            length => (LENGTH_BYTES + length).saturating_sub(bytes.len()),
        },
        None => LENGTH_BYTES - bytes.len(),
    }
}

/// Words to allocate up front: few for short messages, and enough for a replication payload to be written without a
/// second allocation.
fn initial_words(frame: &Frame) -> u32 {
    match frame {
        Frame::Replication(payload) => INITIAL_WORDS + (payload.len() / WORD_BYTES) as u32,
        _ => INITIAL_WORDS,
    }
}

/// Decodes a message without its length prefix.
fn decode_body(mut body: &[u8]) -> capnp::Result<Frame> {
    let read_limit_words = body.len() / WORD_BYTES * READS_PER_WORD_MAX + READ_LIMIT_WORDS_MIN;
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(read_limit_words));
    let message = serialize::read_message_from_flat_slice_no_alloc(&mut body, options)?;
    read_frame(message.get_root()?)
}

/// Writes a [`Frame`].
fn write_frame(mut to: frame::Builder, frame: &Frame) {
    match frame {
        Frame::Hello(hello) => member::write_hello(to.init_hello(), hello),
        Frame::Welcome(welcome) => member::write_welcome(to.init_welcome(), welcome),
        Frame::Call(call) => client::write_call(to.init_call(), call),
        Frame::Reply(reply) => client::write_reply(to.init_reply(), reply),
        Frame::Report(report) => agent::write_report(to.init_report(), report),
        Frame::Orders(orders) => agent::write_orders(to.init_orders(), orders),
        Frame::Replication(payload) => to.set_replication(payload),
        Frame::Inspect(call) => to.set_inspect(common::to_json(call).as_str()),
        Frame::Inspected(reply) => to.set_inspected(common::to_json(reply).as_str()),
    }
}

/// Reads a [`Frame`].
fn read_frame(from: frame::Reader) -> capnp::Result<Frame> {
    Ok(match from.which()? {
        frame::Hello(hello) => Frame::Hello(member::read_hello(hello?)?),
        frame::Welcome(welcome) => Frame::Welcome(member::read_welcome(welcome?)?),
        frame::Call(call) => Frame::Call(client::read_call(call?)?),
        frame::Reply(reply) => Frame::Reply(client::read_reply(reply?)?),
        frame::Report(report) => Frame::Report(agent::read_report(report?)?),
        frame::Orders(orders) => Frame::Orders(agent::read_orders(orders?)?),
        frame::Replication(payload) => Frame::Replication(payload?.to_vec()),
        frame::Inspect(call) => Frame::Inspect(common::from_json(call?)?),
        frame::Inspected(reply) => Frame::Inspected(common::from_json(reply?)?),
    })
}
