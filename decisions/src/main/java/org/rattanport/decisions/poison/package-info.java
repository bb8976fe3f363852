/** Requests that engines die with. */
@NullMarked
package org.rattanport.decisions.poison;

import org.jspecify.annotations.NullMarked;
