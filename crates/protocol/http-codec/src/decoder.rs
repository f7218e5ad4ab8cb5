//! The state machine of both decoders, which alternates between heads and bodies.

use crate::body::BodyState;
use crate::{HttpError, MAX_HEAD_BYTES};

/// Maximum capacity that an empty buffer keeps, in bytes. A larger buffer is freed, since each of
/// thousands of idle connections would hold one.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;

/// A type of message: decodes its head and stores its body.
pub(crate) trait Message: Sized {
    /// Decodes the head at the start of `bytes`; `None` if the head is incomplete.
    fn decode_head(bytes: &[u8]) -> Result<Option<DecodedHead<Self>>, HttpError>;

    /// Returns whether this is an interim response, which the decoder skips.
    fn is_interim(&self) -> bool;

    /// Returns the body, to which the decoder appends.
    fn body_mut(&mut self) -> &mut Vec<u8>;
}

/// A message without its body.
pub(crate) struct DecodedHead<M> {
    pub(crate) message: M,
    /// Length of the head in bytes.
    pub(crate) head_bytes: usize,
    /// The first part of the body.
    pub(crate) body_state: BodyState,
}

/// The part of the connection that is decoded next.
#[derive(Debug)]
enum DecoderState<M> {
    Head,
    Body { message: M, body_state: BodyState },
    Failed(HttpError),
}

/// The result of one decoding step.
enum Step<M> {
    NeedsInput,
    Advanced,
    Message(M),
}

/// Decodes the messages of one connection.
#[derive(Debug)]
pub(crate) struct MessageDecoder<M> {
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that have been decoded.
    consumed: usize,
    state: DecoderState<M>,
    /// Maximum size of a body.
    max_body_bytes: usize,
}

impl<M: Message> MessageDecoder<M> {
    pub(crate) fn new(max_body_bytes: usize) -> MessageDecoder<M> {
        MessageDecoder {
            buffer: Vec::new(),
            consumed: 0,
            state: DecoderState::Head,
            max_body_bytes,
        }
    }

    /// Appends bytes in the order in which they arrived.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        // Nothing is decoded after an error, so further bytes would only accumulate.
        if let DecoderState::Failed(_) = self.state {
            return;
        }
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether an incomplete message has arrived. Empty lines before a head are not part of
    /// a message (RFC 9112, section 2.2).
    pub(crate) fn has_partial_message(&self) -> bool {
        match self.state {
            DecoderState::Head => self.buffer[self.consumed..]
                .iter()
                .any(|byte| !matches!(byte, b'\r' | b'\n')),
            DecoderState::Body { .. } => true,
            DecoderState::Failed(_) => false,
        }
    }

    /// Completes and returns a message whose body extends to the end of the connection; `None` if
    /// there is no such message.
    pub(crate) fn finish_until_close(&mut self) -> Option<M> {
        match self.state {
            DecoderState::Body {
                body_state: BodyState::UntilClose,
                ..
            } => self.take_message(),
            _ => None,
        }
    }

    /// Returns the next complete message, or `None` if more bytes are needed. After an error, every
    /// later call returns the same error.
    pub(crate) fn next_message(&mut self) -> Result<Option<M>, HttpError> {
        let result = self.decode_next();
        match result {
            Err(error) => {
                self.state = DecoderState::Failed(error);
                self.buffer = Vec::new();
                self.consumed = 0;
            }
            Ok(_) if self.consumed == self.buffer.len() => self.clear_buffer(),
            Ok(_) => {}
        }
        result
    }

    fn clear_buffer(&mut self) {
        self.buffer.clear();
        self.consumed = 0;
        if self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.buffer = Vec::new();
        }
    }

    fn decode_next(&mut self) -> Result<Option<M>, HttpError> {
        loop {
            let step = match &self.state {
                DecoderState::Failed(error) => return Err(*error),
                DecoderState::Head => self.decode_head()?,
                DecoderState::Body { .. } => self.decode_body()?,
            };
            match step {
                Step::NeedsInput => return Ok(None),
                Step::Advanced => {}
                Step::Message(message) => return Ok(Some(message)),
            }
        }
    }

    fn decode_head(&mut self) -> Result<Step<M>, HttpError> {
        let input = &self.buffer[self.consumed..];
        // Only the maximum size of a head is decoded, so that errors don't depend on how the bytes
        // were split.
        let window = &input[..input.len().min(MAX_HEAD_BYTES)];
        if window.is_empty() {
            return Ok(Step::NeedsInput);
        }
        let Some(head) = M::decode_head(window)? else {
            return if input.len() >= MAX_HEAD_BYTES {
                Err(HttpError::HeadTooLarge)
            } else {
                Ok(Step::NeedsInput)
            };
        };
        if let BodyState::Length(length) = head.body_state
            && length > self.max_body_bytes
        {
            return Err(HttpError::BodyTooLarge(self.max_body_bytes));
        }
        self.consumed += head.head_bytes;
        self.state = DecoderState::Body {
            message: head.message,
            body_state: head.body_state,
        };
        Ok(Step::Advanced)
    }

    fn decode_body(&mut self) -> Result<Step<M>, HttpError> {
        let DecoderState::Body {
            message,
            body_state,
        } = &mut self.state
        else {
            return Ok(Step::Advanced);
        };
        let input = &self.buffer[self.consumed..];
        let progress = body_state.decode(input, message.body_mut(), self.max_body_bytes)?;
        let is_stalled = progress.consumed == 0 && progress.next == *body_state;
        *body_state = progress.next;
        self.consumed += progress.consumed;
        if progress.next == BodyState::Complete {
            return Ok(match self.take_message() {
                Some(message) if !message.is_interim() => Step::Message(message),
                _ => Step::Advanced,
            });
        }
        Ok(if is_stalled {
            Step::NeedsInput
        } else {
            Step::Advanced
        })
    }

    /// Returns the message whose body is complete, and continues with the next head.
    fn take_message(&mut self) -> Option<M> {
        match std::mem::replace(&mut self.state, DecoderState::Head) {
            DecoderState::Body { message, .. } => Some(message),
            DecoderState::Head | DecoderState::Failed(_) => None,
        }
    }
}
