/** Event streams inside one instance. */
@NullMarked
package org.rattanport.kernel.event;

import org.jspecify.annotations.NullMarked;
