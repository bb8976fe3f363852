/** Detects poison requests, during which engines die. */
@NullMarked
package org.rattanport.decisions.poison;

import org.jspecify.annotations.NullMarked;
