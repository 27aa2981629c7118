//! What a request asks of an endpoint.

/// What a request asks of an endpoint, in tokens; nothing for plain services.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TokenCounts {
    /// Tokens of prompt to be read before the first part of the answer.
    pub prompt: f64,
    /// Tokens of output that are expected: its caller's estimate, or else the most that it allows.
    pub output: f64,
}

impl TokenCounts {
    /// Makes it from prompt tokens and the most output tokens, and the caller's estimate of output.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts stay far below 2^52"
    )]
    pub fn new(tokens: Option<(u64, u64)>, estimate: Option<u64>) -> Self {
        let Some((prompt, most)) = tokens else {
            return Self::default();
        };
        Self {
            prompt: prompt as f64,
            output: estimate.map_or(most, |it| it.min(most)) as f64,
        }
    }

    /// Returns the same work behind prompts that its endpoint has still to read.
    #[must_use]
    pub fn with_backlog(&self, unread: f64) -> Self {
        Self {
            prompt: self.prompt + unread,
            ..*self
        }
    }

    /// Returns the output tokens as they stand in messages.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "token counts are not negative, and a larger one counts as the largest"
    )]
    pub fn output_tokens(&self) -> u32 {
        self.output as u32
    }

    /// Returns the prompt tokens as they stand in reports.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "token counts are not negative, and a larger one counts as the largest"
    )]
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt as u32
    }
}
