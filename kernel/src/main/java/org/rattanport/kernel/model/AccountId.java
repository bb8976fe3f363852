package org.rattanport.kernel.model;

/** Name of a client account. */
public record AccountId(String value) {
    @Override
    public String toString() {
        return value;
    }
}
