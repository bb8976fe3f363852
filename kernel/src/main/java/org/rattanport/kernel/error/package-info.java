/** Errors with stable codes, and verdicts on the work behind them. */
@NullMarked
package org.rattanport.kernel.error;

import org.jspecify.annotations.NullMarked;
