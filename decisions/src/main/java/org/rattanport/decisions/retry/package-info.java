/** Retry policy and retry budget. */
@NullMarked
package org.rattanport.decisions.retry;

import org.jspecify.annotations.NullMarked;
