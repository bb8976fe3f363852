/** Reclaims orphaned memory of engines. */
@NullMarked
package org.rattanport.decisions.memory;

import org.jspecify.annotations.NullMarked;
