/** Enforces the limits of client accounts over all instances. */
@NullMarked
package org.rattanport.decisions.quota;

import org.jspecify.annotations.NullMarked;
