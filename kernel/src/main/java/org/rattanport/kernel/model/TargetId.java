package org.rattanport.kernel.model;

/** One start of a target: its name and the incarnation that a restart raises. */
public record TargetId(String name, long incarnation) {
    @Override
    public String toString() {
        return name + "#" + incarnation;
    }
}
