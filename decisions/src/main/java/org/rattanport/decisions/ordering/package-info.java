/** Ordering: the queue of attempts that wait for an engine. */
@NullMarked
package org.rattanport.decisions.ordering;

import org.jspecify.annotations.NullMarked;
