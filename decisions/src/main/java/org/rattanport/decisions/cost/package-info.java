/** Predictions of time from tokens. */
@NullMarked
package org.rattanport.decisions.cost;

import org.jspecify.annotations.NullMarked;
