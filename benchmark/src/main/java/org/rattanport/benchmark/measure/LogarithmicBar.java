package org.rattanport.benchmark.measure;

/** Draws figures as bars of text. */
final class LogarithmicBar {
    private static final int CHARACTERS_PER_DECADE = 8;
    private static final double MIN_SECONDS = 0.05;

    private LogarithmicBar() {}

    /** A bar whose length grows with the logarithm of the time. */
    static String draw(double seconds) {
        if (seconds <= MIN_SECONDS) {
            return "";
        }
        int length = (int) Math.round(CHARACTERS_PER_DECADE * Math.log10(seconds / MIN_SECONDS));
        return "#".repeat(Math.max(1, length));
    }
}
