/** Versions of environment documents: accepting, following, holding. */
@NullMarked
package org.rattanport.decisions.environment;

import org.jspecify.annotations.NullMarked;
