/** Predictions of prefill and decode times from token counts. */
@NullMarked
package org.rattanport.decisions.cost;

import org.jspecify.annotations.NullMarked;
