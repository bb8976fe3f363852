package org.rattanport.standins.engine;

/**
 * Answers of stand-in engines. An answer depends only on the end of the prompt and the token limit,
 * so that tests can compute the expected answer.
 */
public final class DeterministicAnswer {
    private static final int SEED_SUFFIX_CHARACTERS = 256;
    private static final int VOCABULARY_SIZE = 997;

    private DeterministicAnswer() {}

    /** Returns a hash of the end of the prompt, from which its answer is generated. */
    public static int seed(String prompt) {
        return prompt.substring(Math.max(0, prompt.length() - SEED_SUFFIX_CHARACTERS)).hashCode();
    }

    /** Returns the output token at the index. */
    public static String token(int seed, int index) {
        return "w" + Math.floorMod(seed * 31 + index * 7919, VOCABULARY_SIZE) + " ";
    }

    /** Returns the number of output tokens, between half the maximum and the maximum. */
    public static int tokenCount(int seed, int maxOutputTokens) {
        int half = Math.max(1, maxOutputTokens / 2);
        return Math.min(maxOutputTokens, half + Math.floorMod(seed, half + 1));
    }

    /** Returns the complete answer to the prompt. */
    public static String text(String prompt, int maxOutputTokens) {
        int seed = seed(prompt);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokenCount(seed, maxOutputTokens); i++) {
            text.append(token(seed, i));
        }
        return text.toString();
    }
}
