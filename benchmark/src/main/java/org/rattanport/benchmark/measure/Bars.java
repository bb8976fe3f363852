package org.rattanport.benchmark.measure;

/** Draws figures as bars of text. */
final class Bars {
    private static final int CHARACTERS_PER_DECADE = 8;
    private static final double SHORTEST_SECONDS = 0.05;

    private Bars() {}

    /** A bar whose length grows with the logarithm of the time. */
    static String logarithmic(double seconds) {
        if (seconds <= SHORTEST_SECONDS) {
            return "";
        }
        int length =
                (int) Math.round(CHARACTERS_PER_DECADE * Math.log10(seconds / SHORTEST_SECONDS));
        return "#".repeat(Math.max(1, length));
    }
}
