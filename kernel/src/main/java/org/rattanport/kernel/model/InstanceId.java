package org.rattanport.kernel.model;

/** One start of an entry instance: its name and the incarnation that a restart raises. */
public record InstanceId(String name, long incarnation) {
    @Override
    public String toString() {
        return name + "#" + incarnation;
    }
}
