package org.rattanport.kernel.model;

/** What a target is: a model engine or a plain service. */
public enum TargetKind {
    ENGINE,
    SERVICE
}
