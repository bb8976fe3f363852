/** Reclaiming of engine memory that nobody needs. */
@NullMarked
package org.rattanport.decisions.memory;

import org.jspecify.annotations.NullMarked;
