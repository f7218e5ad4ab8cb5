//! The state machine behind both decoders: a head, its body, and again.

use crate::body::BodyState;
use crate::{HttpError, MAX_HEAD_BYTES};

/// An empty buffer above this is freed: of thousands of idle connections each would hold one.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;

/// A kind of message: how its head is decoded, and where its body goes.
pub(crate) trait Message: Sized {
    /// Decodes the head at the start of `bytes`; `None` if it isn't complete.
    fn decode_head(bytes: &[u8]) -> Result<Option<DecodedHead<Self>>, HttpError>;

    /// Whether this is an interim response, which is passed over.
    fn is_interim(&self) -> bool;

    /// The body, to be filled.
    fn body_mut(&mut self) -> &mut Vec<u8>;
}

/// A message without its body.
pub(crate) struct DecodedHead<M> {
    pub(crate) message: M,
    /// The bytes of the head.
    pub(crate) length: usize,
    /// What the body begins with.
    pub(crate) body_state: BodyState,
}

/// What is decoded next.
#[derive(Debug)]
enum DecoderState<M> {
    Head,
    Body { message: M, body_state: BodyState },
    Failed(HttpError),
}

/// What one step of decoding led to.
enum Step<M> {
    NeedsInput,
    Advanced,
    Message(M),
}

/// Decodes the messages of one connection.
#[derive(Debug)]
pub(crate) struct MessageDecoder<M> {
    buffer: Vec<u8>,
    /// How many bytes of the buffer are used up.
    consumed: usize,
    state: DecoderState<M>,
    /// The most bytes that a body may have.
    max_body: usize,
}

impl<M: Message> MessageDecoder<M> {
    pub(crate) fn new(max_body: usize) -> MessageDecoder<M> {
        MessageDecoder {
            buffer: Vec::new(),
            consumed: 0,
            state: DecoderState::Head,
            max_body,
        }
    }

    /// Appends bytes as they arrived.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        // Nothing is read after an error: kept bytes would only pile up.
        if let DecoderState::Failed(_) = self.state {
            return;
        }
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether part of a message has arrived. Empty lines before a head are part of none (RFC 9112,
    /// section 2.2).
    pub(crate) fn has_partial_message(&self) -> bool {
        match self.state {
            DecoderState::Head => self.buffer[self.consumed..]
                .iter()
                .any(|byte| !matches!(byte, b'\r' | b'\n')),
            DecoderState::Body { .. } => true,
            DecoderState::Failed(_) => false,
        }
    }

    /// Ends a body that lasts until the connection ends; `None` if the message has another one.
    pub(crate) fn finish_until_close(&mut self) -> Option<M> {
        match self.state {
            DecoderState::Body {
                body_state: BodyState::UntilClose,
                ..
            } => self.take_message(),
            _ => None,
        }
    }

    /// The next complete message, `None` until more bytes arrive. An error is repeated by every
    /// later call.
    pub(crate) fn next_message(&mut self) -> Result<Option<M>, HttpError> {
        let found = self.run();
        match found {
            Err(error) => {
                self.state = DecoderState::Failed(error);
                self.buffer = Vec::new();
                self.consumed = 0;
            }
            Ok(_) if self.consumed == self.buffer.len() => self.clear_buffer(),
            Ok(_) => {}
        }
        found
    }

    fn clear_buffer(&mut self) {
        self.buffer.clear();
        self.consumed = 0;
        if self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.buffer = Vec::new();
        }
    }

    fn run(&mut self) -> Result<Option<M>, HttpError> {
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
        // Only as much as a head may have is decoded, so that an error doesn't depend on how the
        // bytes were split.
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
            && length > self.max_body
        {
            return Err(HttpError::BodyTooLarge(self.max_body));
        }
        self.consumed += head.length;
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
        let progress = body_state.decode(input, message.body_mut(), self.max_body)?;
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

    /// The message whose body has ended; a head is next.
    fn take_message(&mut self) -> Option<M> {
        match std::mem::replace(&mut self.state, DecoderState::Head) {
            DecoderState::Body { message, .. } => Some(message),
            DecoderState::Head | DecoderState::Failed(_) => None,
        }
    }
}
