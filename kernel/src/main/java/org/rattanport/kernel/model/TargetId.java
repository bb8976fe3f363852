package org.rattanport.kernel.model;

/** One run of a target: its name and its incarnation, which each restart raises. */
public record TargetId(String name, long incarnation) {
    @Override
    public String toString() {
        return name + "#" + incarnation;
    }
}
