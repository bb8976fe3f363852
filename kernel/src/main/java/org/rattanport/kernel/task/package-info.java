/** Tasks on virtual threads, periodic tasks and cancellation. */
@NullMarked
package org.rattanport.kernel.task;

import org.jspecify.annotations.NullMarked;
