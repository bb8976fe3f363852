/** Placement: the choice of an engine for a prompt. */
@NullMarked
package org.rattanport.decisions.placement;

import org.jspecify.annotations.NullMarked;
