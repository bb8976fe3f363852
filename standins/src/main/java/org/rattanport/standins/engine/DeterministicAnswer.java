package org.rattanport.standins.engine;

/**
 * The answers of stand-in engines: a function of the prompt's end, so that anyone can check them.
 */
public final class DeterministicAnswer {
    private static final int SEED_SUFFIX_CHARACTERS = 256;
    private static final int VOCABULARY_SIZE = 997;

    private DeterministicAnswer() {}

    /** Hash of the end of a prompt, on which its answer depends. */
    public static int seed(String prompt) {
        return prompt.substring(Math.max(0, prompt.length() - SEED_SUFFIX_CHARACTERS)).hashCode();
    }

    /** Output token at an index. */
    public static String token(int seed, int index) {
        return "w" + Math.floorMod(seed * 31 + index * 7919, VOCABULARY_SIZE) + " ";
    }

    /** Number of output tokens: between half the allowed number and all. */
    public static int tokenCount(int seed, int maximumTokens) {
        int half = Math.max(1, maximumTokens / 2);
        return Math.min(maximumTokens, half + Math.floorMod(seed, half + 1));
    }

    /** The whole answer. */
    public static String text(String prompt, int maximumTokens) {
        int seed = seed(prompt);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokenCount(seed, maximumTokens); i++) {
            text.append(token(seed, i));
        }
        return text.toString();
    }
}
