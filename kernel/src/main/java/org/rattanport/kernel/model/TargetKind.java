package org.rattanport.kernel.model;

/** Kind of a target: a model engine or a plain service. */
public enum TargetKind {
    ENGINE,
    SERVICE
}
