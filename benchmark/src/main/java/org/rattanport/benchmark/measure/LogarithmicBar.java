package org.rattanport.benchmark.measure;

/** Draws times as bars of characters on a logarithmic scale. */
final class LogarithmicBar {
    private static final int CHARACTERS_PER_DECADE = 8;
    private static final double MIN_SECONDS = 0.05;

    private LogarithmicBar() {}

    /** Returns a bar with 8 characters per decade above 0.05 s, empty for shorter times. */
    static String draw(double seconds) {
        if (seconds <= MIN_SECONDS) {
            return "";
        }
        int length = (int) Math.round(CHARACTERS_PER_DECADE * Math.log10(seconds / MIN_SECONDS));
        return "#".repeat(Math.max(1, length));
    }
}
