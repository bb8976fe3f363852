/** Tasks: virtual threads with a name, a period or a cancellation. */
@NullMarked
package org.rattanport.kernel.task;

import org.jspecify.annotations.NullMarked;
