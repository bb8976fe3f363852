/** Targets, their health and the load of engines. */
@NullMarked
package org.rattanport.decisions.target;

import org.jspecify.annotations.NullMarked;
