package org.rattanport.benchmark.demo;

/** Part of the demo. {@link java.util.ServiceLoader} finds the scenarios; they run in order. */
public interface Scenario {
    /** Returns the sort key of the scenario; scenarios that end instances run last. */
    int order();

    /** Returns a description of the scenario in one line. */
    String title();

    void run(DemoContext context);
}
