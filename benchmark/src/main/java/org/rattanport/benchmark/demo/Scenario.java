package org.rattanport.benchmark.demo;

/** One part of the demo; found with {@link java.util.ServiceLoader} and run in order. */
public interface Scenario {
    /** Position among the scenarios; those that end instances come last. */
    int order();

    /** What it does, in one line. */
    String title();

    void run(DemoContext context);
}
