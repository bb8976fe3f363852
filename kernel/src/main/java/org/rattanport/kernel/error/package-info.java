/** Errors with stable codes, and verdicts on whether a request may have run. */
@NullMarked
package org.rattanport.kernel.error;

import org.jspecify.annotations.NullMarked;
