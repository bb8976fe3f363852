package org.rattanport.kernel.model;

/** One run of an entry instance: its name and its incarnation, which each restart raises. */
public record InstanceId(String name, long incarnation) {
    @Override
    public String toString() {
        return name + "#" + incarnation;
    }
}
