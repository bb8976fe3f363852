/** Clocks and deadlines. */
@NullMarked
package org.rattanport.kernel.time;

import org.jspecify.annotations.NullMarked;
