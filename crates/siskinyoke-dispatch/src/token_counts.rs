//! Token counts of requests.

/// Prompt and output tokens of a request; zero for services that are not models.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TokenCounts {
    /// Prompt tokens to process before the first part of the response.
    pub prompt: f64,
    /// Expected output tokens: the caller's estimate, or else the maximum it allows.
    pub output: f64,
}

impl TokenCounts {
    /// Creates the counts from the prompt tokens and maximum output tokens, if stated, and the
    /// caller's estimate of the output.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts stay far below 2^52"
    )]
    pub fn new(tokens: Option<(u64, u64)>, estimate: Option<u64>) -> Self {
        let Some((prompt, max_output)) = tokens else {
            return Self::default();
        };
        Self {
            prompt: prompt as f64,
            output: estimate.map_or(max_output, |it| it.min(max_output)) as f64,
        }
    }

    /// Returns the counts with unprocessed prompt tokens of the endpoint added to the prompt.
    #[must_use]
    pub fn with_backlog(&self, prefill_tokens: f64) -> Self {
        Self {
            prompt: self.prompt + prefill_tokens,
            ..*self
        }
    }

    /// Returns the output tokens as a whole number, as sent in messages.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "token counts are not negative, and larger ones saturate"
    )]
    pub fn output_tokens(&self) -> u32 {
        self.output as u32
    }

    /// Returns the prompt tokens as a whole number, as sent in messages and reports.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "token counts are not negative, and larger ones saturate"
    )]
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt as u32
    }
}
